"""Leases that the leader of a cluster with open membership grants to query nodes; each may serve until its
lease expires."""

import collections.abc
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers

LEASE_MARGIN_MS = 150
"""The leader considers a follower's lease valid for this many milliseconds longer than the follower does."""
APPLY_TIMEOUT_MS = 400
"""A follower's lease is not renewed if it has not applied a change this many milliseconds after its
commit."""
NO_ACK = 0
"""Acknowledgement number in a heartbeat that returns no acknowledgement."""

MemberOrRow = log.MemberRecord | dict[str, typing.Any]
"""A voter's record in the log, or a learner's Hello row."""
LatestAcks = dict[str, tuple[int, int, int]]
"""By member id: the number of the latest acknowledgement, when it arrived (ms), and the log index applied by
then."""


class FollowerLeaseNeeds(typing.Protocol):
    """What `FollowerLeaseMixin` needs of its node."""

    now: identifiers.Millis
    appended_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    latest_acks: LatestAcks

    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""


class LeaseGrantNeeds(typing.Protocol):
    """What `LeaseGrantMixin` needs of its node."""

    now: identifiers.Millis
    policy: voting_policy.VotingPolicy
    latest_acks: LatestAcks
    follower_lease_ends: dict[str, int]
    stopped_followers: set[str]
    acknowledged_index: int
    pending_changes: list[dict[str, typing.Any]]


if typing.TYPE_CHECKING:
    Needs = FollowerLeaseNeeds
    GrantNeeds = LeaseGrantNeeds
else:
    Needs = GrantNeeds = object


class FollowerLeaseMixin(Needs):
    """The leader's view of follower leases. `follower_lease_ends`: when each follower's lease has certainly
    expired, in milliseconds; `stopped_followers`: followers that announced that they stop."""

    def follower_leases_start(
        self, replacements: collections.abc.Sequence[collections.abc.Sequence[typing.Any]]
    ) -> None:
        """Assume that every query node that is not replaced holds a lease from the previous leader.
        `replacements`: pairs of the id of a replaced member and the row of its replacement."""
        self.follower_lease_ends: dict[str, int] = {}
        self.stopped_followers: set[str] = set()
        members = self.appended_state.members.items()
        query_nodes = [
            member_id for member_id, record in members if record.role == state_machine.ROLE_OF_QUERY_NODES
        ]
        replaced = {former_id for former_id, _ in replacements}
        self.all_query_nodes_replaced = bool(query_nodes) and replaced >= set(query_nodes)
        for member_id in query_nodes:
            if member_id not in replaced:
                self.follower_lease_ends[member_id] = (
                    self.now + self.policy.follower_lease_ms + LEASE_MARGIN_MS
                )

    def is_leased_follower_behind(self, log_index: int) -> bool:
        """Whether a follower that may hold a lease has not applied the entry of this index."""
        for member_id, until in list(self.follower_lease_ends.items()):
            if self.now >= until:
                del self.follower_lease_ends[member_id]
                continue
            latest = self.latest_acks.get(member_id)
            if latest is None or latest[2] < log_index:
                return True
        return False

    def end_follower_lease(self, member_id: str) -> None:
        """Discard the lease of a follower that stops, and grant it no further lease."""
        if not self.has_committed_in_term() or member_id not in self.appended_state.members:
            return
        self.follower_lease_ends.pop(member_id, None)
        self.latest_acks.pop(member_id, None)
        self.stopped_followers.add(member_id)


class LeaseGrantMixin(GrantNeeds):
    """Selects the acknowledgement that a heartbeat returns to a query node, which renews the node's lease."""

    def ack_to_return(self, member_id: str, record: MemberOrRow) -> int:
        """Return the number of a query node's latest acknowledgement, or NO_ACK if its lease is not
        renewed."""
        if record["role"] != state_machine.ROLE_OF_QUERY_NODES:
            return NO_ACK
        if member_id not in self.latest_acks or member_id in self.stopped_followers:
            return NO_ACK
        ack_number, acked_at_ms, applied = self.latest_acks[member_id]
        if applied < self.acknowledged_index or self.is_change_overdue(applied):
            return NO_ACK
        expires_at_ms = acked_at_ms + self.policy.follower_lease_ms + LEASE_MARGIN_MS
        self.follower_lease_ends[member_id] = max(self.follower_lease_ends.get(member_id, 0), expires_at_ms)
        return ack_number

    def is_change_overdue(self, applied: int) -> bool:
        """Whether a pending change after the index `applied` was committed more than APPLY_TIMEOUT_MS ago."""
        return any(
            change["serial"] > applied and self.now - change["committed"] > APPLY_TIMEOUT_MS
            for change in self.pending_changes
            if change["committed"]
        )
