"""What differs between the two agreements that run on this code: times, and which steps are taken.

One is among the controllers, which all have disks and are few: members with disks alone vote, a candidate
asks first whether the others hear a leader (pre-vote), and members change by learners and joint consensus.
The other is of the older JSON API, where proxies vote as well."""

import dataclasses

import basaltport.consensus.timing as timing

NO_WAIT_MS = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VotingPolicy:
    """Given to a node when it is made, and never changed. Times are in milliseconds.

    `disk_members_only`: members without disks neither vote nor are known to others. `pre_vote`: a candidate
    asks the others whether they hear a leader before it takes a new term, asks again for votes that are
    missing, and a leader that is followed refuses its own vote. `joint_consensus`: members join as learners
    and are replaced by joint consensus; who leaves goes on voting until it is removed. Else each member that
    says hello is added at once. `ordered_heartbeats`: a heartbeat older than one already taken is dropped.
    `acknowledges_after_followers`: a change is acknowledged once each follower with a lease has applied it.
    `followers_retain_entries`: committed entries are kept by all for a while, not by the leader alone."""

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
"""Of the older JSON API: log nodes, which have disks, and query nodes, which have none, vote alike."""

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
    leader_step_down_ms=timing.STEP_DOWN,
    first_commit_timeout_ms=timing.UNSETTLED,
    vote_wait_after_restart_ms=timing.VOTE_REFUSAL,
    snapshot_request_interval_ms=timing.FETCH_AGAIN,
    hello_interval_led_ms=timing.HELLO_LED,
)
"""Of the controllers."""
