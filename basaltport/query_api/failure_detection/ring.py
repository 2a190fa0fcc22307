"""Heartbeats round a ring: each member sends them to a few watchers, who tell the leader whom they miss."""

import collections.abc
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.hash_ring as hash_ring
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.query_api.messages as messages

WATCHERS = 3
HEARTBEAT_INTERVAL_MS = 300
MISSED_AFTER_MS = 1200
STOOD_STILL_MS = 400
REPORT_VALID_MS = 900
LONG_AGO = -(10**9)


def watchers(member_id: str, members: collections.abc.Collection[str]) -> list[str]:
    """The members that follow one on the ring and watch it; none for a stranger."""
    if member_id not in members:
        return []
    ring = sorted(members, key=hash_ring.position)
    own = ring.index(member_id)
    return [ring[(own + i) % len(ring)] for i in range(1, min(WATCHERS, len(ring) - 1) + 1)]


class RingInterface(typing.Protocol):
    """What `RingMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    leader: typing.Any

    def address_of(self, seat: str) -> str | None:
        """The address of a member, if it is known."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Interface = RingInterface
else:
    Interface = object


class RingMixin(Interface):
    """Watches members of the ring; a watcher that itself stood still begins anew and reports nobody."""

    def ring_start(self) -> None:
        """Begin with nothing heard."""
        self.ring_sequence = 0
        self.ring_sent_at = LONG_AGO
        self.ring_ticked_at = self.now
        self.ring_heard_at: dict[str, int] = {}
        self.suspicions: dict[str, dict[str, int]] = {}

    def tick_ring(self) -> None:
        """Send heartbeats to the watchers of this member, and report whom it watches and misses."""
        if self.now - self.ring_ticked_at > STOOD_STILL_MS:
            self.ring_heard_at = {}
        self.ring_ticked_at = self.now
        if self.now - self.ring_sent_at < HEARTBEAT_INTERVAL_MS:
            return
        self.ring_sent_at = self.now
        self.ring_sequence += 1
        members = self.cluster_state.members
        for watcher in watchers(self.me.seat, members):
            address = self.address_of(watcher)
            if address:
                self.send(address, messages.RingHeartbeat(self.me.seat, self.ring_sequence))
        for member_id in members:
            if self.me.seat in watchers(member_id, members) and self.is_missed(member_id):
                self.report(member_id)

    def is_missed(self, member_id: str) -> bool:
        """Whether a watched member has been silent too long."""
        return self.now - self.ring_heard_at.setdefault(member_id, self.now) > MISSED_AFTER_MS

    def report(self, member_id: str) -> None:
        """Tell the leader that a member is missed."""
        message = messages.SuspicionReport(self.me.seat, identifiers.MemberId(member_id))
        if getattr(self, "leading", False):
            self.hear_suspicion_report("", message)
        elif self.leader:
            self.send(self.leader.addr, message)

    def hear_ring_heartbeat(self, source: str, message: messages.RingHeartbeat) -> None:
        """A member that this one watches is alive."""
        self.ring_heard_at[message.member_id] = self.now

    def hear_suspicion_report(self, source: str, message: messages.SuspicionReport) -> None:
        """A watcher misses a member."""
        self.suspicions.setdefault(message.suspect_id, {})[message.watcher_id] = self.now

    def missed_by(self, member_id: str) -> int:
        """How many watchers miss a member just now."""
        reports = self.suspicions.get(member_id, {})
        return sum(1 for reported_at in reports.values() if self.now - reported_at < REPORT_VALID_MS)
