"""Leases that a leader of the older path gives to query nodes: each may act until it surely expired."""

import collections.abc
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers

MARGIN = 150
"""How much longer than a follower's lease the leader takes it for, in milliseconds."""
LATE_MS = 400
"""How long after its commit a change may be unapplied by a follower before that gets no further lease."""
NO_ACK = 0
"""Stands in a heartbeat for no acknowledgement that is given back."""

MemberOrRow = log.MemberRecord | dict[str, typing.Any]
"""A voter as the log has it, or a learner as it said hello."""
LatestAcks = dict[str, tuple[int, int, int]]
"""By member id: number of its latest acknowledgement, when that came, and the log index applied by then."""


class FollowerLeaseNeeds(typing.Protocol):
    """What `FollowerLeaseMixin` needs of the node it is part of."""

    now: identifiers.Millis
    appended_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    latest_acks: LatestAcks

    def settled(self) -> bool:
        """Whether an entry of this leader's term is committed."""


class LeaseGrantNeeds(typing.Protocol):
    """What `LeaseGrantMixin` needs of the node it is part of."""

    now: identifiers.Millis
    policy: voting_policy.VotingPolicy
    latest_acks: LatestAcks
    lapse: dict[str, int]
    left: set[str]
    acked: int
    waiting: list[dict[str, typing.Any]]


if typing.TYPE_CHECKING:
    Needs = FollowerLeaseNeeds
    GrantNeeds = LeaseGrantNeeds
else:
    Needs = GrantNeeds = object


class FollowerLeaseMixin(Needs):
    """`lapse`: when each follower's lease is surely over; `left`: followers that said they stop."""

    def follower_leases_start(
        self, replacements: collections.abc.Sequence[collections.abc.Sequence[typing.Any]]
    ) -> None:
        """Every query node of before may hold a lease of the leader before, but those that are replaced.
        `replacements`: pairs of the id of a replaced member and the record of the one in its place."""
        self.lapse: dict[str, int] = {}
        self.left: set[str] = set()
        members = self.appended_state.members.items()
        query_nodes = [
            member_id for member_id, record in members if record.role == state_machine.ROLE_OF_QUERY_NODES
        ]
        replaced = {former_id for former_id, _ in replacements}
        self.fresh = bool(query_nodes) and replaced >= set(query_nodes)
        for member_id in query_nodes:
            if member_id not in replaced:
                self.lapse[member_id] = self.now + self.policy.follower_lease_ms + MARGIN

    def behind(self, log_index: int) -> bool:
        """Whether a follower whose lease may hold has not applied the entry of this index."""
        for member_id, until in list(self.lapse.items()):
            if self.now >= until:
                del self.lapse[member_id]
                continue
            latest = self.latest_acks.get(member_id)
            if latest is None or latest[2] < log_index:
                return True
        return False

    def follower_stops(self, member_id: str) -> None:
        """It holds no lease any more and will take none."""
        if not self.settled() or member_id not in self.appended_state.members:
            return
        self.lapse.pop(member_id, None)
        self.latest_acks.pop(member_id, None)
        self.left.add(member_id)


class LeaseGrantMixin(GrantNeeds):
    """Which acknowledgement a heartbeat of the older path gives back, by which a follower's lease is
    renewed."""

    def ack_to_return(self, member_id: str, record: MemberOrRow) -> int:
        """The number of a query node's latest acknowledgement, NO_ACK where its lease is not renewed."""
        if record["role"] != state_machine.ROLE_OF_QUERY_NODES:
            return NO_ACK
        if member_id not in self.latest_acks or member_id in self.left:
            return NO_ACK
        ack_number, acked_at_ms, applied = self.latest_acks[member_id]
        if applied < self.acked or self.late(applied):
            return NO_ACK
        expires_at_ms = acked_at_ms + self.policy.follower_lease_ms + MARGIN
        self.lapse[member_id] = max(self.lapse.get(member_id, 0), expires_at_ms)
        return ack_number

    def late(self, applied: int) -> bool:
        """Whether a change behind the index `applied` was committed more than LATE_MS ago and still waits."""
        return any(
            change["serial"] > applied and self.now - change["committed"] > LATE_MS
            for change in self.waiting
            if change["committed"]
        )
