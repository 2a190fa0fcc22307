"""Heartbeats round a ring: each member pulses to a few watchers, who tell the leader whom they miss."""

import collections.abc
import typing

import basaltport.hash_ring as hash_ring
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

WATCHERS = 3
PULSE = 300
MISSED = 1200
GAP = 400
VOICE = 900


LONG_AGO = -(10**9)


def watchers(seat: str, roster: collections.abc.Collection[str]) -> list[str]:
    """The seats that follow on the ring."""
    ring = sorted(roster, key=hash_ring.position)
    if seat not in roster:
        return []
    i = ring.index(seat)
    return [ring[(i + k) % len(ring)] for k in range(1, min(WATCHERS, len(ring) - 1) + 1)]


class RingNeeds(typing.Protocol):
    """What `RingMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    book: dict[str, typing.Any]
    leader: typing.Any

    def addr_of(self, seat: str) -> str:
        """The address of a seat."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Needs = RingNeeds
else:
    Needs = object


class RingMixin(Needs):
    """Watches seats of the ring. A watcher that itself stood still begins anew instead of accusing."""

    def ring_start(self) -> None:
        """Begin with nothing heard."""
        self.pulse_n = 0
        self.pulse_at = LONG_AGO
        self.ring_at = self.now
        self.pulses: dict[str, int] = {}
        self.voices: dict[str, dict[str, int]] = {}

    def tick_ring(self) -> None:
        """Send heartbeats to the watchers of this seat, and accuse whom it watches and misses."""
        if self.now - self.ring_at > GAP:
            self.pulses = {}
        self.ring_at = self.now
        if self.now - self.pulse_at < PULSE:
            return
        self.pulse_at = self.now
        self.pulse_n += 1
        roster = self.book["roster"]
        for s in watchers(self.me.seat, roster):
            self.send(self.addr_of(s), messages.Pulse(self.me.seat, self.pulse_n))
        for s in roster:
            if self.me.seat not in watchers(s, roster):
                continue
            if self.now - self.pulses.setdefault(s, self.now) > MISSED:
                self.accuse(s)

    def accuse(self, seat: str) -> None:
        """Tell the leader that a seat is missed."""
        word = messages.Suspect(self.me.seat, identifiers.MemberId(seat))
        if getattr(self, "leading", False):
            self.hear_suspect("", word)
        elif self.leader:
            self.send(self.leader.addr, word)

    def hear_pulse(self, src: str, m: messages.Pulse) -> None:
        """A seat that this one watches is alive."""
        self.pulses[m.seat] = self.now

    def hear_suspect(self, src: str, m: messages.Suspect) -> None:
        """A watcher misses a seat."""
        self.voices.setdefault(m.of, {})[m.seat] = self.now

    def missed_by(self, s: str) -> int:
        """How many watchers miss a seat just now."""
        vs = self.voices.get(s, {})
        return sum(1 for at in vs.values() if self.now - at < VOICE)
