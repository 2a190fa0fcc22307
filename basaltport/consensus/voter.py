"""Voting: a member votes once in each term, syncs its vote before sending it, and refuses while a leader may
hold its lease."""

import collections.abc
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

NEVER_MS = -(10**9)


class VoterNeeds(typing.Protocol):
    """What `VoterMixin` needs of its node: the leader that it hears, its log and its disk.

    `process_started_at_ms`: when the process started; `leader_heard_at_ms`: when the leader was last heard;
    both in milliseconds.
    """

    me: member.Me
    now: identifiers.Millis
    process_started_at_ms: identifiers.Millis
    policy: voting_policy.VotingPolicy
    leading: bool
    leader: messages.Heartbeat | None
    leader_heard_at_ms: int
    lease_started_at_ms: int
    durable: bool
    synced_term: identifiers.Term

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Return the term and index of the last log entry, committed or not."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def write(
        self,
        records: list[log.DiskRecord],
        whole: state_machine.ReplicatedState | None = None,
        then: collections.abc.Iterable[object] = (),
    ) -> None:
        """Write records, or a snapshot (`whole`), and release the effects in `then` once they are synced."""

    def step_down(self, why: str) -> None:
        """Stop leading; `why` is logged."""


if typing.TYPE_CHECKING:
    Needs = VoterNeeds
else:
    Needs = object


class VoterMixin(Needs):
    """The votes that this member gives.

    `current_term`: the highest term that it knows, the only one it votes in; `voted_at_ms`: when it last
    voted for another member; `may_vote_from_ms`: until then it refuses its vote.
    """

    current_term: identifiers.Term
    voted_at_ms: int
    may_vote_from_ms: int

    def voter_start(self, current_term: identifiers.Term) -> None:
        """Start with the term that the disk holds.

        A leader that an earlier incarnation of this member acknowledged may still hold its lease. That
        incarnation ended before this process started, so the lease has expired `vote_wait_after_restart_ms`
        after the start.
        """
        self.current_term = current_term
        self.voted_at_ms = NEVER_MS
        self.may_vote_from_ms = NEVER_MS
        if current_term.count:
            self.may_vote_from_ms = self.process_started_at_ms + self.policy.vote_wait_after_restart_ms

    def hears_leader(self) -> bool:
        """Whether the leader was heard recently; of a leader, whether a majority acknowledged it recently."""
        if self.leading:
            return self.policy.pre_vote and self.now - self.lease_started_at_ms < timing.RESPONSIVE_WITHIN
        return self.leader is not None and self.now - self.leader_heard_at_ms < timing.VOTE_REFUSAL

    def may_vote(self) -> bool:
        """Whether every lease that was acknowledged before a restart, and forgotten by it, has expired
        (M7)."""
        return self.now >= self.may_vote_from_ms

    def hear_vote_request(self, src: str, message: messages.VoteRequest) -> None:
        """Answer a candidate; a request for a vote already granted in this term is granted again."""
        if self.policy.pre_vote and message.term == self.current_term and message.member_id != self.me.seat:
            if not self.durable or self.synced_term == self.current_term:
                self.send(message.addr, self.make_vote(message.term, True))
            return
        # M1: one vote in each term. M4: no vote while the current leader may hold its lease.
        if message.term <= self.current_term or self.hears_leader() or not self.may_vote():
            self.send(message.addr, self.make_vote(message.term, False))
            return
        self.current_term = message.term
        self.voted_at_ms = self.now
        self.lose_leadership(message.term)
        # M1: the vote is synced before it is sent.
        vote = events.Send(message.addr, self.make_vote(message.term, True))
        self.write([log.TermRecord(message.term)], then=[vote])

    def lose_leadership(self, term: identifiers.Term) -> None:
        """Step down if this member leads, because a newer term is known."""
        if self.leading:
            self.step_down(f"newer term {term.text()}")

    def make_vote(self, term: identifiers.Term, granted: bool) -> messages.Vote:
        """Return the answer to a vote request for a term, granted or refused, with the last entry of this
        member's log."""
        head_term, head_index = self.head()
        row: dict[str, typing.Any] = dict(self.me.row())
        if self.policy.disk_members_only:
            row["first"] = self.me.first_start
        me = self.me
        return messages.Vote(term, me.seat, me.name, granted, self.current_term, head_term, head_index, row)

    def hear_pre_vote_request(self, src: str, message: messages.PreVoteRequest) -> None:
        """Answer whether this member hears no leader; the answer commits it to nothing."""
        no_leader_heard = not self.hears_leader()
        self.send(message.addr, messages.PreVote(self.me.seat, self.me.name, self.me.addr, no_leader_heard))
