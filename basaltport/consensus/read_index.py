"""Linearizable reads and acknowledgements of changes: a read waits until a majority acknowledges a heartbeat
that was sent after the read arrived."""

import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]

NO_LEADER_STATUS = 503


class ReadIndexNeeds(typing.Protocol):
    """What `ReadIndexMixin` needs of its node: the committed state, and how to answer requests."""

    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    confirmed_heartbeat_number: int

    def respond(self, src: str | None, call: str, status: int, body: Document) -> None:
        """Answer a request, directly or through the member that forwarded it."""

    def acknowledge(self, row: Document) -> None:
        """Answer a change that is committed."""

    def unknown(self, row: Document) -> None:
        """Answer a change whose outcome is unknown."""

    def serve_read(self, row: Document) -> None:
        """Answer a read from the committed state."""

    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""

    def is_leased_follower_behind(self, log_index: int) -> bool:
        """Whether a follower that may hold a lease has not applied the entry of this index."""


if typing.TYPE_CHECKING:
    Needs = ReadIndexNeeds
else:
    Needs = object


class ReadIndexMixin(Needs):
    """Requests that a leader has accepted and not yet answered.

    `pending_reads`: reads that wait for a majority to confirm the leadership; `pending_changes`: changes that
    wait to be committed, in the order of their log indexes; `acknowledged_index`: the highest log index
    acknowledged to a caller.
    """

    pending_reads: list[Document]
    pending_changes: list[Document]
    acknowledged_index: int

    def clear_pending_reads(self) -> None:
        """Discard the pending reads without answering them."""
        self.pending_reads = []

    def reset_acknowledged_index(self, last_index: int) -> None:
        """Treat all entries up to `last_index`, the end of the log when the term started, as acknowledged."""
        self.acknowledged_index = last_index

    def clear_pending_changes(self) -> None:
        """Discard the pending changes without answering them."""
        self.pending_changes = []

    def fail_pending_changes(self) -> None:
        """Answer each pending change that its outcome is unknown."""
        for change in self.pending_changes:
            self.unknown(change)

    def fail_pending_reads(self, why: str) -> None:
        """Answer each pending read that this member no longer leads, with the reason."""
        body = {"error": "no-leader", "detail": why, "changed": False}
        for read in self.pending_reads:
            self.respond(read["src"], read["call"], NO_LEADER_STATUS, dict(body))

    def record_commit_times(self) -> None:
        """Record the current time, in milliseconds, for each pending change that has just been committed."""
        for change in self.pending_changes:
            if change["serial"] <= self.cluster_state.log_index and change["committed"] is None:
                change["committed"] = self.now

    def answer_ready_requests(self) -> None:
        """Answer committed changes, then reads that a majority confirmed.

        With `acknowledges_after_followers` a change also waits until each follower with a lease has applied
        it.
        """
        while self.pending_changes:
            change = self.pending_changes[0]
            # M3: a change is acknowledged only once it is committed.
            if change["serial"] > self.cluster_state.log_index:
                break
            if self.policy.acknowledges_after_followers and self.is_leased_follower_behind(change["serial"]):
                break
            self.pending_changes.pop(0)
            self.acknowledged_index = max(self.acknowledged_index, change["serial"])
            self.acknowledge(change)
        if self.has_committed_in_term():
            self.serve_confirmed_reads()

    def serve_confirmed_reads(self) -> None:
        """Answer the reads that arrived before the newest heartbeat that a majority acknowledged."""
        reads, self.pending_reads = self.pending_reads, []
        for read in reads:
            # M2: the heartbeat that a majority acknowledged was sent after the read arrived.
            if read["n"] < self.confirmed_heartbeat_number:
                self.serve_read(read)
                continue
            self.pending_reads.append(read)
