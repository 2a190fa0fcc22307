"""Tracks, on the leader, until when each other member may hold an executor lease: the right to send orders.

A member holds a lease while the leader's heartbeats return its own recent acknowledgements. The leader
returns one only after the member has applied the last change of shard owners, so that no member sends orders
under an ownership that has ended.
"""

import collections.abc
import typing

import basaltport.consensus.follower as follower
import basaltport.consensus.follower_lease as follower_lease
import basaltport.consensus.state_machine as state_machine
import basaltport.controller.messages as messages
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as member_messages

MEMBER_LOST_MS = 1000
"""A member that was silent for this long, in ms, and whose lease has expired, loses its shards."""

ShardRow = state_machine.Shard
ShardRows = collections.abc.Mapping[str, ShardRow]


class ExecutorLeasesNeeds(typing.Protocol):
    """The members of the controller that `ExecutorLeasesMixin` uses; see `consensus`."""

    me: member.Me
    now: identifiers.Millis
    policy: typing.Any
    listeners: typing.Any
    cluster_state: typing.Any
    appended_state: typing.Any
    leading: bool
    stopped: bool
    leader: typing.Any
    previous_term: identifiers.Term
    last_ack_number: int
    leading_since_ms: int
    resumed_at_ms: int
    lease_expires_at_ms: int
    acked_at_ms: dict[str, int]
    latest_acks: dict[str, tuple[int, int, int]]
    """By member: the number of its newest acknowledgement, its arrival time in ms, and the log index that the
    member had applied by then."""

    def send(self, address: str, message: object) -> None:
        """Send a message to an address."""

    def has_committed_in_term(self) -> bool:
        """Whether the first entry of this leader's term is committed."""


if typing.TYPE_CHECKING:
    Needs = ExecutorLeasesNeeds
else:
    Needs = object


class ExecutorLeasesMixin(Needs):
    """Grants and tracks executor leases.

    `executor_leased_since`: when this leader first granted each member a lease, in ms.
    `executor_lease_ends_at`: when the lease of each member has certainly expired, in ms.
    `resigned_incarnations`: by member, the incarnation in which it announced that it sends no more orders."""

    def executor_leases_start(self) -> None:
        """Initialize without leases, and subscribe to changes of the leadership."""
        self.last_leadership_transfer: tuple[identifiers.Term, str] | None = None
        """The last leader that transferred its leadership: its term and member id."""
        self.executor_leased_since: dict[str, int] = {}
        self.executor_lease_ends_at: dict[str, int] = {}
        self.resigned_incarnations: dict[str, int] = {}
        self.listeners.stopping.append(self.resign_when_stopping)
        self.listeners.heartbeat_heard.append(self.resign_to_new_leader)
        self.listeners.leader_resigned.append(self.record_leadership_transfer)
        self.listeners.leadership_started.append(self.assume_all_leased)

    # a member that stops

    def resign_when_stopping(self) -> None:
        """Announce to the leader that this follower stops, so that it needn't wait for the lease to
        expire."""
        if not self.leading and self.leader is not None:
            self.send(self.leader.addr, messages.ExecutorResigned(self.me.seat, self.last_ack_number))

    def resign_to_new_leader(self, heartbeat: member_messages.Heartbeat) -> None:
        """Announce it to a leader that was elected while this follower stops."""
        if self.stopped and not self.leading:
            self.send(heartbeat.addr, messages.ExecutorResigned(self.me.seat, self.last_ack_number))

    def record_leadership_transfer(self, message: member_messages.LeadershipTransfer) -> None:
        """Record that the current leader transfers its leadership."""
        self.last_leadership_transfer = (message.term, self.leader.leader_id)

    # the leader

    def executor_lease_ms(self) -> int:
        """Returns how long after an acknowledgement its sender may hold a lease, in ms, with a margin."""
        length: int = self.policy.follower_lease_ms + follower_lease.LEASE_MARGIN_MS
        return length

    def assume_all_leased(self, votes: object) -> None:
        """Assume that every other member holds a lease from the former leader, except a former leader that
        transferred its leadership."""
        self.lease_expires_at_ms = -1
        rows = self.latest_shards()
        members = {
            *self.appended_state.members,
            *(m for row in rows.values() for m in (row.owner, row.former_owner)),
        }
        self.executor_lease_ends_at = {
            member_id: self.now + self.executor_lease_ms()
            for member_id in members
            if member_id != self.me.seat and self.last_leadership_transfer != (self.previous_term, member_id)
        }
        self.executor_leased_since = {}
        self.resigned_incarnations = {}

    def latest_shards(self) -> ShardRows:
        """Returns the rows of all shards by the leader's last appended entry, which may not be committed
        yet."""
        rows: ShardRows = self.appended_state.shards or {}
        return rows

    def newest_fence(self) -> int:
        """Returns the fencing token of the last change of shard owners."""
        return max((row.fence for row in self.latest_shards().values()), default=0)

    def hear_executor_resigned(self, source: str, message: messages.ExecutorResigned) -> None:
        """Record that a member has stopped sending orders, and drop its lease."""
        latest_ack = self.latest_acks.get(message.member_id) if self.leading else None
        incarnation = message.ack_number >> follower.INCARNATION_SHIFT
        if latest_ack is None or latest_ack[0] >> follower.INCARNATION_SHIFT != incarnation:
            return
        self.resigned_incarnations[message.member_id] = incarnation
        self.executor_lease_ends_at.pop(message.member_id, None)

    def has_resigned(self, member_id: str) -> bool:
        """Whether a member announced in its current incarnation that it sends no more orders."""
        incarnation = self.resigned_incarnations.get(member_id)
        return (
            incarnation is not None
            and incarnation == self.latest_acks[member_id][0] >> follower.INCARNATION_SHIFT
        )

    def ack_to_return(self, member_id: str, row: object) -> int:
        """Returns the number of the acknowledgement that a heartbeat returns to a member, 0 for none.

        One is returned only to a member that has applied the last change of shard owners, and only after the
        first entry of this leader's term is committed."""
        unknown = member_id not in self.latest_acks or member_id not in self.appended_state.members
        if unknown or not self.has_committed_in_term():
            return 0
        number, heard_at, applied = self.latest_acks[member_id]
        if self.has_resigned(member_id) or applied < self.newest_fence():
            return 0
        self.executor_leased_since.setdefault(member_id, self.now)
        self.executor_lease_ends_at[member_id] = max(
            self.executor_lease_ends_at.get(member_id, 0), heard_at + self.executor_lease_ms()
        )
        return number

    def may_hold_lease(self, member_id: str) -> bool:
        """Whether a member may still hold a lease."""
        return member_id == self.me.seat or self.now < self.executor_lease_ends_at.get(member_id, 0)

    def is_lost(self, member_id: str) -> bool:
        """Whether a member can send no more orders: its lease has expired, and it left, resigned or is
        silent."""
        if member_id == self.me.seat or self.may_hold_lease(member_id):
            return False
        if (
            member_id not in self.appended_state.members
            or member_id in self.latest_acks
            and self.has_resigned(member_id)
        ):
            return True
        return (
            self.now - max(self.acked_at_ms.get(member_id, self.leading_since_ms), self.resumed_at_ms)
            > MEMBER_LOST_MS
        )

    def former_owner_released(self, row: ShardRow) -> bool:
        """Whether the former owner of a shard has applied the loss of the shard, or holds no lease any
        more."""
        member_id = row.former_owner
        if member_id is None or not self.may_hold_lease(member_id):
            return True
        if member_id == self.me.seat:
            released: bool = self.cluster_state.log_index >= row.fence
            return released
        return member_id in self.latest_acks and self.latest_acks[member_id][2] >= row.fence
