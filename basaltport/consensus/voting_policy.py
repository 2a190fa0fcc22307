"""The differences between the two clusters that run this consensus code: times, and which steps are taken.

The controllers are few and all have disks: only members with disks vote, candidates use pre-vote, and members
change by learners and joint consensus. In the other cluster, that of the older JSON API, query nodes without
disks vote as well.
"""

import dataclasses

import basaltport.consensus.timing as timing

NO_WAIT_MS = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VotingPolicy:
    """The rules of a cluster, given to each node when it is created. Times are in milliseconds.

    `disk_members_only`: members without disks neither vote nor are listed. `pre_vote`: a candidate asks the
    others whether they hear a leader before it starts a new term, repeats unanswered vote requests, and a
    leader with a responsive majority refuses its own vote. `joint_consensus`: members join as learners and
    are replaced by joint consensus; a leaving member votes until it is removed. Without it each member that
    says hello is added at once. `ordered_heartbeats`: a heartbeat older than one already processed is
    dropped. `acknowledges_after_followers`: a change is acknowledged once each follower with a lease has
    applied it. `followers_retain_entries`: followers, too, retain recent committed entries.
    """

    disk_members_only: bool
    pre_vote: bool
    joint_consensus: bool
    ordered_heartbeats: bool
    acknowledges_after_followers: bool
    followers_retain_entries: bool
    retained_entries_max: int
    retained_bytes_max: int | None
    known_members_max: int
    follower_lease_ms: int
    leader_step_down_ms: int
    first_commit_timeout_ms: int
    vote_wait_after_restart_ms: int
    snapshot_request_interval_ms: int
    hello_interval_led_ms: int


ALL_MEMBERS = VotingPolicy(
    disk_members_only=False,
    pre_vote=False,
    joint_consensus=False,
    ordered_heartbeats=False,
    acknowledges_after_followers=True,
    followers_retain_entries=False,
    retained_entries_max=400,
    retained_bytes_max=None,
    known_members_max=40,
    follower_lease_ms=1500,
    leader_step_down_ms=1500,
    first_commit_timeout_ms=8000,
    vote_wait_after_restart_ms=NO_WAIT_MS,
    snapshot_request_interval_ms=NO_WAIT_MS,
    hello_interval_led_ms=1000,
)
"""The policy of the older JSON API: log nodes, which have disks, and query nodes, which have none, all
vote."""

DISK_MEMBERS = VotingPolicy(
    disk_members_only=True,
    pre_vote=True,
    joint_consensus=True,
    ordered_heartbeats=True,
    acknowledges_after_followers=False,
    followers_retain_entries=True,
    retained_entries_max=200,
    retained_bytes_max=4 << 20,
    known_members_max=20,
    follower_lease_ms=timing.EXECUTOR_LEASE,
    leader_step_down_ms=timing.STEP_DOWN_TIMEOUT,
    first_commit_timeout_ms=timing.FIRST_COMMIT_TIMEOUT,
    vote_wait_after_restart_ms=timing.VOTE_REFUSAL,
    snapshot_request_interval_ms=timing.SNAPSHOT_REQUEST_INTERVAL,
    hello_interval_led_ms=timing.HELLO_INTERVAL_LED,
)
"""The policy of the controllers."""
