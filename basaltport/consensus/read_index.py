"""Reads and acknowledgements of a leader: a read rests on a heartbeat that a majority acknowledged after it
came."""

import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]

NO_LEADER_STATUS = 503


class ReadIndexNeeds(typing.Protocol):
    """What `ReadIndexMixin` needs of the node it is part of: what is committed, and how it answers."""

    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    confirmed_heartbeat_number: int

    def respond(self, src: str | None, call: str, status: int, body: Document) -> None:
        """Answer a request, here or by the member that passed it on."""

    def acknowledge(self, row: Document) -> None:
        """Answer a change that is committed."""

    def unknown(self, row: Document) -> None:
        """Answer a change whose outcome is unknown."""

    def serve_read(self, row: Document) -> None:
        """Answer a read from the committed state."""

    def settled(self) -> bool:
        """Whether an entry of this leader's term is committed."""

    def behind(self, log_index: int) -> bool:
        """Whether a follower with a lease has not yet applied the entry of an index."""


if typing.TYPE_CHECKING:
    Needs = ReadIndexNeeds
else:
    Needs = object


class ReadIndexMixin(Needs):
    """Requests that a leader has taken and not yet answered.

    `reads`: those that wait until a majority confirms the lead; `waiting`: changes that wait to be committed,
    by rising log index; `acked`: the highest log index that was acknowledged.
    """

    reads: list[Document]
    waiting: list[Document]
    acked: int

    def clear_reads(self) -> None:
        """Forget the reads under way without answering them."""
        self.reads = []

    def acknowledge_from(self, top: int) -> None:
        """Count all up to the head of the log, where the lead starts, as acknowledged."""
        self.acked = top

    def clear_waiting(self) -> None:
        """Forget the changes under way without answering them."""
        self.waiting = []

    def give_up_waiting(self) -> None:
        """Answer that the outcome of each change not yet acknowledged is unknown."""
        for change in self.waiting:
            self.unknown(change)

    def give_up_reads(self, why: str) -> None:
        """Answer each waiting read that this member leads no more, with the reason."""
        body = {"error": "no-leader", "detail": why, "changed": False}
        for read in self.reads:
            self.respond(read["src"], read["call"], NO_LEADER_STATUS, dict(body))

    def note_committed(self) -> None:
        """Note the time, in milliseconds, of each waiting change that has just been committed."""
        for change in self.waiting:
            if change["serial"] <= self.cluster_state.log_index and change["committed"] is None:
                change["committed"] = self.now

    def settle(self) -> None:
        """Answer what can be answered: committed changes, then reads that a majority confirmed.

        With `acknowledges_after_followers` a change also waits until each follower with a lease applied it.
        """
        while self.waiting:
            change = self.waiting[0]
            # M3: a change is acknowledged only once it is committed.
            if change["serial"] > self.cluster_state.log_index:
                break
            if self.policy.acknowledges_after_followers and self.behind(change["serial"]):
                break
            self.waiting.pop(0)
            self.acked = max(self.acked, change["serial"])
            self.acknowledge(change)
        if self.settled():
            self.serve_confirmed_reads()

    def serve_confirmed_reads(self) -> None:
        """Answer reads that came before a heartbeat which a majority acknowledged; the others wait on."""
        reads, self.reads = self.reads, []
        for read in reads:
            # M2: the heartbeat that a majority acknowledged was sent after the read came.
            if read["n"] < self.confirmed_heartbeat_number:
                self.serve_read(read)
                continue
            self.reads.append(read)
