"""The leader's lease: for how long it may act alone after a heartbeat that a majority acknowledged."""

import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.identifiers as identifiers
import basaltport.member as member

NEVER_MS = -(10**9)
NEVER_SENT_MS = -1


class LeaderLeaseNeeds(typing.Protocol):
    """What `LeaderLeaseMixin` needs of the node it is part of: the clock and the heartbeats sent.

    `n` is the number of the newest heartbeat; `beats` has the time of sending, in milliseconds, by number.
    """

    me: member.Me
    now: identifiers.Millis
    n: int
    beats: dict[int, int]
    appended_state: state_machine.ClusterState
    leading: bool

    def settled(self) -> bool:
        """Whether an entry of this leader's term is committed."""


if typing.TYPE_CHECKING:
    Needs = LeaderLeaseNeeds
else:
    Needs = object


class LeaderLeaseMixin(Needs):
    """The lease of a leader, renewed with each heartbeat that a majority acknowledges.

    `confirmed_heartbeat_number`: the newest heartbeat that a majority acknowledged; `lease_started_at_ms`:
    when it was sent; `acked_heartbeat_numbers`: the newest one acknowledged, by member id.
    """

    confirmed_heartbeat_number: int
    lease_started_at_ms: int
    acked_heartbeat_numbers: dict[str, int]

    def clear_lease(self) -> None:
        """Hold no lease, as a member that does not lead."""
        self.lease_started_at_ms = NEVER_MS

    def lease_start(self) -> None:
        """Begin to lead: what was acknowledged to a leader before no longer counts."""
        self.confirmed_heartbeat_number = 0
        self.lease_started_at_ms = self.now
        self.acked_heartbeat_numbers = {}

    def renew_lease(self) -> None:
        """Note the newest heartbeat that a majority acknowledged, and when it was sent."""
        number = quorum.majority_value(self.appended_state, self.acked_number_of)
        self.confirmed_heartbeat_number = max(self.confirmed_heartbeat_number, number)
        # M4: the lease runs from the sending of the heartbeat, not from its acknowledgement.
        sent_at_ms = self.beats.get(number, NEVER_SENT_MS)
        self.lease_started_at_ms = max(self.lease_started_at_ms, sent_at_ms)

    def acked_number_of(self, member_id: str) -> int:
        """Return the number of the newest heartbeat that a member acknowledged, 0 for none."""
        if member_id == self.me.seat:
            return self.n
        return self.acked_heartbeat_numbers.get(member_id, 0)

    def record_acked_heartbeat(self, member_id: str, number: int) -> None:
        """Take an acknowledgement of a heartbeat; one of a heartbeat no longer kept is passed over."""
        if number not in self.beats:
            return
        newest = self.acked_heartbeat_numbers.get(member_id, 0)
        self.acked_heartbeat_numbers[member_id] = max(newest, number)
        self.renew_lease()

    def holds(self) -> bool:
        """Whether no other can lead: a majority acknowledged a heartbeat sent within the leader lease."""
        return self.holds_at(self.now)

    def holds_at(self, now: int) -> bool:
        """Whether the lease holds at `now`, in milliseconds on this node's clock."""
        # M4: shorter than the time for which whoever acknowledged refuses its vote.
        return self.leading and self.settled() and now - self.lease_started_at_ms <= timing.LEADER_LEASE
