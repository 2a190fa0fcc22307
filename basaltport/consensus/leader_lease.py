"""The leader lease: how long a leader may act without new acknowledgements after a majority acknowledged a
heartbeat."""

import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.identifiers as identifiers
import basaltport.member as member

NEVER_MS = -(10**9)
NEVER_SENT_MS = -1


class LeaderLeaseNeeds(typing.Protocol):
    """What `LeaderLeaseMixin` needs of its node: the clock and the heartbeats sent.

    `heartbeat_number`: number of the newest heartbeat; `heartbeat_times`: when each was sent, in
    milliseconds, by number.
    """

    me: member.Me
    now: identifiers.Millis
    heartbeat_number: int
    heartbeat_times: dict[int, int]
    appended_state: state_machine.ClusterState
    leading: bool

    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""


if typing.TYPE_CHECKING:
    Needs = LeaderLeaseNeeds
else:
    Needs = object


class LeaderLeaseMixin(Needs):
    """The lease of a leader, renewed with each heartbeat that a majority acknowledges.

    `confirmed_heartbeat_number`: the newest heartbeat that a majority acknowledged; `lease_started_at_ms`:
    when it was sent; `acked_heartbeat_numbers`: the newest one that each member acknowledged, by member id.
    """

    confirmed_heartbeat_number: int
    lease_started_at_ms: int
    acked_heartbeat_numbers: dict[str, int]

    def clear_lease(self) -> None:
        """Hold no lease, as a member that does not lead."""
        self.lease_started_at_ms = NEVER_MS

    def lease_start(self) -> None:
        """Initialize the lease of a new leader, without the acknowledgements of an earlier term."""
        self.confirmed_heartbeat_number = 0
        self.lease_started_at_ms = self.now
        self.acked_heartbeat_numbers = {}

    def renew_lease(self) -> None:
        """Start the lease at the newest heartbeat that a majority acknowledged."""
        number = quorum.majority_value(self.appended_state, self.acked_number_of)
        self.confirmed_heartbeat_number = max(self.confirmed_heartbeat_number, number)
        # M4: the lease starts when the heartbeat was sent, not when it was acknowledged.
        sent_at_ms = self.heartbeat_times.get(number, NEVER_SENT_MS)
        self.lease_started_at_ms = max(self.lease_started_at_ms, sent_at_ms)

    def acked_number_of(self, member_id: str) -> int:
        """Return the number of the newest heartbeat that a member acknowledged, 0 if none."""
        if member_id == self.me.seat:
            return self.heartbeat_number
        return self.acked_heartbeat_numbers.get(member_id, 0)

    def record_acked_heartbeat(self, member_id: str, number: int) -> None:
        """Record the acknowledgement of a heartbeat; numbers whose time of sending was discarded are
        ignored."""
        if number not in self.heartbeat_times:
            return
        newest = self.acked_heartbeat_numbers.get(member_id, 0)
        self.acked_heartbeat_numbers[member_id] = max(newest, number)
        self.renew_lease()

    def holds_lease(self) -> bool:
        """Whether no other member can lead: a majority acknowledged a heartbeat sent within the leader
        lease."""
        return self.holds_lease_at(self.now)

    def holds_lease_at(self, now: int) -> bool:
        """Whether the lease holds at `now`, in milliseconds on this node's clock."""
        # M4: shorter than the time for which the acknowledging members refuse their votes.
        return (
            self.leading
            and self.has_committed_in_term()
            and now - self.lease_started_at_ms <= timing.LEADER_LEASE
        )
