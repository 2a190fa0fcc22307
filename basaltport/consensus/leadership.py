"""The leader's term: it starts with an entry of its own, appends entries, and steps down when a majority no
longer acknowledges it."""

import collections.abc
import typing

import basaltport.consensus.candidacies as candidacies
import basaltport.consensus.codec as codec
import basaltport.consensus.listeners as listeners
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

Document = dict[str, typing.Any]
Proposal = typing.Any
"""An operation of `log`, or its document."""

NEVER_MS = -(10**9)
SYNC_BYTES_PER_MS = 20_000
"""Throughput of the slowest supported disk, in bytes per millisecond."""
TICK_MS = 50
"""Nominal length of a tick; a disk stall must also last for the number of ticks that fit into its limit."""


class LeadershipNeeds(typing.Protocol):
    """What `LeadershipMixin` needs of its node: the log, the disk, and the other parts of a leader, which it
    starts, clears and calls at each tick.

    `stalled`: by write token, the start of the write in milliseconds, its tick, and its bytes; `acked_at_ms`:
    when each member last acknowledged.
    """

    me: member.Me
    now: identifiers.Millis
    ticks: int
    policy: voting_policy.VotingPolicy
    listeners: listeners.Listeners
    cluster_state: state_machine.ClusterState
    uncommitted_entries: list[log.LogEntry]
    current_term: identifiers.Term
    leader: messages.Heartbeat | None
    leader_heard_at_ms: int
    candidacy_due_at_ms: int
    lease_started_at_ms: int
    heartbeat_sent_at_ms: int
    acked_at_ms: dict[str, int]
    stalled: dict[int, tuple[identifiers.Millis, int, int]]

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Return the term and index of the last log entry, committed or not."""

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""

    def write(
        self,
        records: list[log.DiskRecord],
        whole: state_machine.ReplicatedState | None = None,
        then: collections.abc.Iterable[object] = (),
    ) -> None:
        """Write records, or a snapshot (`whole`), and release the effects in `then` once they are synced."""

    def clear_leader(self, since: int, /) -> None:
        """Follow no leader; its silence counts from `since`, in milliseconds."""

    def clear_retained_entries(self) -> None:
        """Discard the committed entries that are retained for members that lack them."""

    def clear_pending_reads(self) -> None:
        """Discard the pending reads without answering them."""

    def clear_pending_changes(self) -> None:
        """Discard the pending changes without answering them."""

    def reset_acknowledged_index(self, last_index: int) -> None:
        """Treat every entry up to an index as already acknowledged to its caller."""

    def fail_pending_changes(self) -> None:
        """Answer each pending change that its outcome is unknown."""

    def fail_pending_reads(self, why: str) -> None:
        """Answer each pending read that this member no longer leads."""

    def answer_ready_requests(self) -> None:
        """Answer the pending changes and reads that are ready."""

    def clear_learners(self) -> None:
        """Replicate to no learners."""

    def maintain_membership(self) -> None:
        """Propose the next membership change that is due."""

    def open_membership_start(self) -> None:
        """Initialize the open membership of a new leader."""

    def clear_lease(self) -> None:
        """Hold no leader lease."""

    def lease_start(self) -> None:
        """Initialize the leader lease at the start of a term."""

    def follower_leases_start(
        self, replacements: collections.abc.Sequence[collections.abc.Sequence[typing.Any]]
    ) -> None:
        """Assume the leases that followers may still hold from the previous leader."""

    def replication_start(self, voters: collections.abc.Iterable[str]) -> None:
        """Initialize replication; `voters` have just answered."""

    def send_heartbeats(self) -> None:
        """Send heartbeats to all voters and learners."""

    def resign_if_possible(self, why: str, /) -> bool:
        """Step down, handing over to a successor; return whether it did."""


if typing.TYPE_CHECKING:
    Needs = LeadershipNeeds
else:
    Needs = object


class LeadershipMixin(Needs):
    """The volatile state of a leader. Times are in milliseconds.

    `leading_since_ms`: when it became leader; `first_index_of_term`: index of its term's first entry;
    `previous_term`: term of the entry before that one; `appended_state`: the state with the uncommitted
    entries applied; `leader_ticked_at_ms`: its last tick; `resumed_at_ms`: its first tick after a pause of
    the process; `no_step_down_before_ms`: until then it does not step down for missing acknowledgements.
    """

    leading: bool
    leader: messages.Heartbeat | None
    leading_since_ms: int
    first_index_of_term: identifiers.LogIndex | None
    previous_term: identifiers.Term
    appended_state: state_machine.ClusterState
    leader_ticked_at_ms: int
    resumed_at_ms: int
    no_step_down_before_ms: int

    def clear_leadership(self) -> None:
        """Discard all state of a leader."""
        self.leading = False
        self.clear_pending_reads()
        self.clear_pending_changes()
        self.clear_learners()
        self.clear_lease()

    def start_leading(
        self,
        founding: Document | None,
        votes: candidacies.Votes,
        replacements: list[candidacies.Replacement],
        removed: list[str],
    ) -> None:
        """Become leader and append the first entry of the term.

        `votes`: by member id; `founding`: the fields of the founding entry if the cluster is founded, else
        None; `replacements`: members that others replace; `removed`: ids of members declared lost.
        """
        previous_leader, leader_heard_at_ms, self.leading = self.leader, self.leader_heard_at_ms, True
        self.leading_since_ms = self.now
        self.first_index_of_term = None
        self.leader_ticked_at_ms = self.now
        self.resumed_at_ms = NEVER_MS
        self.no_step_down_before_ms = self.now
        self.previous_term, last_index = self.head()
        self.clear_pending_reads()
        self.clear_pending_changes()
        self.reset_acknowledged_index(last_index)
        self.replication_start(votes)
        self.lease_start()
        if not self.policy.followers_retain_entries:
            self.clear_retained_entries()
        self.leader = None
        self.appended_state = self.compute_appended_state()
        self.follower_leases_start(replacements)
        self.open_membership_start()
        self.append(
            {"op": "found", **founding} if founding else self.first_entry(votes, replacements, removed)
        )
        if self.policy.joint_consensus and previous_leader and previous_leader.leader_id not in votes:
            self.acked_at_ms[previous_leader.leader_id] = leader_heard_at_ms
        for call in self.listeners.leadership_started:
            call(votes)

    def first_entry(
        self, votes: candidacies.Votes, replacements: list[candidacies.Replacement], removed: list[str]
    ) -> Document:
        """Return the operation that starts the term. It lists the disk members anew if a majority of them is
        lost."""
        disk_members = self.appended_state.disk_members
        known_ids = {self.me.seat, *self.appended_state.members, *(row["seat"] for _, row in replacements)}
        live = sorted(
            member_id
            for member_id, vote in votes.items()
            if vote.member_row["role"] == "ledger" and member_id in known_ids
        )
        operation: Document = {"op": "lead", "swap": replacements, "drops": removed}
        if not quorum.is_majority(set(live), set(disk_members)):
            operation["ledgers"] = live
            self.note(14, lost=sorted(set(disk_members) - set(live)), live=live)
        return operation

    def step_down(self, why: str) -> None:
        """Stop leading: answer pending requests, and follow no leader until one is heard."""
        for call in self.listeners.leadership_ending:
            call()
        self.note(15, why=why)
        self.fail_pending_changes()
        self.fail_pending_reads(why)
        self.clear_leadership()
        self.clear_leader(self.now)
        for call in self.listeners.leadership_ended:
            call()

    def append(self, operation: Proposal) -> identifiers.LogIndex:
        """Append an operation to the log, send it with the next tick, and return the index of its entry."""
        operation = codec.decode_operation(operation) if isinstance(operation, dict) else operation
        index = identifiers.LogIndex(self.head()[1] + 1)
        entry = log.LogEntry(index, self.current_term, operation)
        self.uncommitted_entries.append(entry)
        self.appended_state = state_machine.apply(self.appended_state, entry)
        if self.first_index_of_term is None:
            self.first_index_of_term = index
        self.write([log.EntryRecord(entry)])
        self.heartbeat_sent_at_ms = NEVER_MS
        return index

    def has_uncommitted(self, *kinds: str) -> bool:
        """Whether an operation of one of these kinds, by stored name, is not yet committed."""
        return any(entry.operation["op"] in kinds for entry in self.uncommitted_entries)

    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return (
            self.leading
            and self.first_index_of_term is not None
            and self.cluster_state.log_index >= self.first_index_of_term
        )

    def tick_lead(self) -> None:
        """Step down or hand over if needed, else maintain the membership and send heartbeats."""
        if not self.leading:
            return
        self.detect_pause()
        silent_ms = self.now - self.lease_started_at_ms
        if silent_ms > self.policy.leader_step_down_ms and self.now > self.no_step_down_before_ms:
            self.step_down("no majority acknowledged a heartbeat in time")
            return
        if (
            not self.has_committed_in_term()
            and self.now - self.leading_since_ms > self.policy.first_commit_timeout_ms
        ):
            self.step_down("no entry of this term could be committed in time")
            return
        if self.disk_stalls() and self.resign_if_possible("the disk stalls"):
            self.candidacy_due_at_ms = self.now + 2 * timing.DISK_STALL_LIMIT
            return
        self.maintain_membership()
        for call in self.listeners.leader_tick:
            call()
        if self.now - self.heartbeat_sent_at_ms >= timing.HEARTBEAT_INTERVAL:
            self.send_heartbeats()
        self.answer_ready_requests()

    def detect_pause(self) -> None:
        """After a pause of the process, delay stepping down and judging other members."""
        if self.now - self.leader_ticked_at_ms > timing.PAUSE_THRESHOLD:
            self.no_step_down_before_ms = self.now + timing.PAUSE_GRACE
            if self.policy.joint_consensus:
                self.resumed_at_ms = self.now
        self.leader_ticked_at_ms = self.now

    def disk_stalls(self) -> bool:
        """Whether a sync takes longer than the stall limit plus the time allowed for its bytes.

        The limit must also have passed in ticks, because a pause of the process is not a stall of the disk.
        """
        for began_at_ms, began_at_tick, size_bytes in self.stalled.values():
            limit_ms = timing.DISK_STALL_LIMIT + size_bytes // SYNC_BYTES_PER_MS
            if self.now - began_at_ms > limit_ms and self.ticks - began_at_tick > limit_ms // TICK_MS:
                return True
        return False
