"""Elections: a candidate checks that a majority hears no leader (pre-vote), requests votes for a new term,
and fetches the newest log among its voters before it counts their votes."""

import collections.abc
import typing

import basaltport.consensus.candidacies as candidacies
import basaltport.consensus.candidate_order as candidate_order
import basaltport.consensus.listeners as listeners
import basaltport.consensus.log as log
import basaltport.consensus.lost_members as lost_members
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

NEVER_MS = -(10**9)
ROUND_MS = 600
"""Without pre-vote: least time between two candidacies of a member."""


class ElectionNeeds(typing.Protocol):
    """What `ElectionMixin` needs of its node: its log and disk, the known members, and its own vote."""

    me: member.Me
    now: identifiers.Millis
    out: list[object]
    policy: voting_policy.VotingPolicy
    listeners: listeners.Listeners
    cluster_state: state_machine.ClusterState
    members: dict[str, dict[str, typing.Any]]
    leading: bool
    leader: messages.Heartbeat | None
    leader_heard_at_ms: int
    stopped: bool
    stalled: dict[int, tuple[identifiers.Millis, int, int]]
    bad: bool
    current_term: identifiers.Term
    synced_term: identifiers.Term
    voted_at_ms: int

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Return the term and index of the last log entry, committed or not."""

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""

    def install_snapshot(self, snapshot: state_machine.ReplicatedState, /) -> None:
        """Replace the log by a snapshot from another member."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""

    def write(
        self,
        records: list[log.DiskRecord],
        whole: state_machine.ReplicatedState | None = None,
        then: collections.abc.Iterable[object] = (),
    ) -> None:
        """Write records, or a snapshot (`whole`), and release the effects in `then` once they are synced."""

    def hears_leader(self) -> bool:
        """Whether this member heard the leader recently, or leads with a responsive majority."""

    def may_vote(self) -> bool:
        """Whether leases acknowledged before a restart have expired."""

    def make_vote(self, term: identifiers.Term, granted: bool) -> messages.Vote:
        """Return this member's answer to a vote request."""

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all possible members but this one."""

    def proven_replacements(self, votes: candidacies.Votes) -> list[candidacies.Replacement] | None:
        """Return the replacements of members with lost disks if the votes then suffice, else None."""

    def count_founding_votes(self) -> None:
        """Found the cluster if enough initial members granted their votes."""

    def start_leading(
        self,
        founding: dict[str, typing.Any] | None,
        votes: candidacies.Votes,
        replacements: list[candidacies.Replacement],
        removed: list[str],
    ) -> None:
        """Become leader of the current term."""


if typing.TYPE_CHECKING:
    Needs = ElectionNeeds
else:
    Needs = object


class ElectionMixin(candidate_order.CandidateOrderMixin, lost_members.LostMembersMixin, Needs):
    """The candidacies of this member. Times are in milliseconds.

    `candidacy`: the current one, None without; `pre_votes`: by member name, when it last answered that it
    hears no leader, and its address; `highest_term_count`: the highest term count in refused votes;
    `missing_logged_at_ms`: when missing votes were last logged; `standing_since_ms`: when it first stood for
    election since it last heard a leader; `candidacy_due_at_ms`: when it may stand next.
    """

    election_ticked_at_ms: int
    pre_vote_sent_at_ms: int
    pre_votes: dict[str, tuple[int, str]]
    candidacy: candidacies.Candidacy | None
    highest_term_count: int
    missing_logged_at_ms: int
    standing_since_ms: int | None
    candidacy_due_at_ms: int

    def election_start(self) -> None:
        """Start without a candidacy, and react to leadership transfers."""
        self.election_ticked_at_ms = self.now
        self.pre_vote_sent_at_ms = NEVER_MS
        self.pre_votes = {}
        self.candidacy = None
        self.highest_term_count = 0
        self.lost_names = set()
        self.missing_logged_at_ms = self.now
        self.standing_since_ms = None
        self.candidacy_due_at_ms = self.now + self.candidacy_delay_ms()
        self.listeners.transfer_heard.append(self.stand_if_successor)

    # elections

    def tick_elect(self) -> None:
        """Start or continue an election once the leader has been silent for the election timeout."""
        was_paused = self.now - self.election_ticked_at_ms > timing.VOTE_REFUSAL
        self.election_ticked_at_ms = self.now
        if self.leading or self.stopped:
            return
        timeout_ms = self.election_timeout()
        if self.now - self.leader_heard_at_ms < timeout_ms:
            self.candidacy = self.standing_since_ms = None
            since = self.leader_heard_at_ms if self.policy.pre_vote else self.now
            self.candidacy_due_at_ms = since + timeout_ms + self.candidacy_delay_ms()
            return
        if was_paused and self.policy.pre_vote:
            self.candidacy_due_at_ms = max(self.candidacy_due_at_ms, self.now + timing.CANDIDATE_TURN)
        if self.policy.pre_vote:
            self.tick_pre_vote()
            return
        self.tick_without_pre_vote()

    def tick_pre_vote(self) -> None:
        """With pre-vote: continue the candidacy, or send pre-vote requests when they are due."""
        if self.candidacy:
            self.continue_candidacy(self.candidacy)
            return
        if self.now < self.candidacy_due_at_ms or self.now - self.voted_at_ms < timing.CANDIDACY_TIMEOUT:
            return
        if self.stalled or self.bad or not self.may_be_candidate() or not self.may_vote():
            return
        if self.now - self.pre_vote_sent_at_ms >= timing.VOTE_REQUEST_INTERVAL:
            self.start_pre_vote()

    def continue_candidacy(self, candidacy: candidacies.Candidacy) -> None:
        """Repeat the vote requests that are unanswered, until the candidacy times out."""
        if self.current_term != candidacy.term or self.now - candidacy.started_at >= timing.CANDIDACY_TIMEOUT:
            self.candidacy = None
            self.candidacy_due_at_ms = self.now + self.candidacy_delay_ms()
            return
        if self.synced_term != candidacy.term:
            return
        self.count_votes()
        if self.candidacy is candidacy and self.now - candidacy.requested_at >= timing.VOTE_REQUEST_INTERVAL:
            candidacy.requested_at = self.now
            self.out.extend(self.vote_requests())

    def tick_without_pre_vote(self) -> None:
        """Without pre-vote: count the votes, and stand in a new term each round."""
        candidacy = self.candidacy
        if candidacy and self.current_term == candidacy.term and len(candidacy.votes) > 1:
            self.count_votes()
            if self.leading:
                return
        if (
            self.now < self.candidacy_due_at_ms
            or self.now - self.voted_at_ms < ROUND_MS + self.candidacy_delay_ms()
        ):
            return
        if self.stalled or self.bad:
            return
        self.start_candidacy()

    def stand_if_successor(self, message: messages.LeadershipTransfer) -> None:
        """Stand for election at once if the resigning leader names this member its successor and the disk is
        healthy."""
        if message.successor_id != self.me.seat:
            return
        if not self.leading and not self.stalled and not self.bad:
            self.start_candidacy()
        if self.policy.pre_vote:
            self.candidacy_due_at_ms, self.voted_at_ms = self.now, NEVER_MS

    # pre-vote

    def start_pre_vote(self) -> None:
        """Ask all peers whether they hear a leader."""
        self.pre_vote_sent_at_ms = self.now
        request = messages.PreVoteRequest(self.me.name, self.me.addr)
        for address in self.peer_addresses():
            self.send(address, request)
        self.count_pre_votes()

    def hear_pre_vote(self, src: str, message: messages.PreVote) -> None:
        """Record whether a member hears a leader, and stand for election if a majority hears none."""
        self.pre_votes[message.name] = (self.now if message.no_leader_heard else NEVER_MS, message.addr)
        if message.no_leader_heard and self.now - self.pre_vote_sent_at_ms < timing.CANDIDACY_TIMEOUT:
            self.count_pre_votes()

    def count_pre_votes(self) -> None:
        """Stand for election if a majority hears no leader.

        Answers are counted by member name: a member that lost its disk cannot vote, but knows whether there
        is a leader.
        """
        if self.leading or self.candidacy or self.stopped or self.stalled or self.hears_leader():
            return
        if not self.may_be_candidate():
            return
        recent = {
            name: address
            for name, (answered_at_ms, address) in self.pre_votes.items()
            if self.now - answered_at_ms < timing.CANDIDACY_TIMEOUT
        }
        recent[self.me.name] = self.me.addr
        if self.head()[1] == 0:
            answering, voters = set(recent.values()), set(self.me.founders or [])
        else:
            answering, voters = (
                set(recent),
                {record.name for record in self.compute_appended_state().members.values()},
            )
        if quorum.is_majority(answering, voters):
            self.start_candidacy()

    # vote requests

    def vote_requests(self) -> list[events.Send]:
        """Return vote requests to all peers that have not granted their vote."""
        if self.candidacy is None:
            return []
        request = messages.VoteRequest(self.candidacy.term, self.me.seat, self.me.name, self.me.addr)
        granted = {vote.member_row["addr"] for vote in self.candidacy.votes.values()}
        return [events.Send(address, request) for address in self.peer_addresses() if address not in granted]

    def next_term(self) -> identifiers.Term:
        """Return a new term that no other member can request votes for: it includes this member's id, because
        two members may have the same name (M1)."""
        owner = self.me.seat if self.policy.pre_vote else self.me.name
        return identifiers.Term(max(self.current_term.count, self.highest_term_count) + 1, owner)

    def start_candidacy(self) -> None:
        """Start a new term, vote for this member, and request votes once its own vote is synced."""
        if self.policy.pre_vote and (self.stopped or not self.may_be_candidate() or not self.may_vote()):
            return
        if not self.policy.pre_vote:
            self.candidacy_due_at_ms = self.now + ROUND_MS + self.candidacy_delay_ms()
        self.pre_votes = {}
        if self.standing_since_ms is None:
            self.standing_since_ms = self.missing_logged_at_ms = self.now
        if self.now - self.missing_logged_at_ms >= lost_members.OVERRIDE_AFTER_SILENCE_MS:
            self.missing_logged_at_ms = self.now
            self.note(19, missing=self.missing_voters())
        term = self.next_term()
        self.current_term = term
        self.candidacy = candidacies.Candidacy(
            term, {self.me.seat: self.make_vote(term, True)}, self.now, self.now
        )
        # M1: the candidate's own vote is synced before it requests others.
        self.write([log.TermRecord(term)], then=self.vote_requests())
        self.note(11, generation=term.text())

    def standing_for_ms(self) -> int:
        """Return for how many milliseconds this member has been standing for election, 0 if it is not."""
        return 0 if self.standing_since_ms is None else self.now - self.standing_since_ms

    def hear_vote(self, src: str, message: messages.Vote) -> None:
        """Count a granted vote; of a refusal, record its term so that the next candidacy exceeds it."""
        candidacy = self.candidacy
        if candidacy is None or self.leading:
            return
        if not message.granted:
            self.highest_term_count = max(self.highest_term_count, message.current_term.count)
            return
        if message.term != candidacy.term or self.current_term != candidacy.term:
            return
        candidacy.votes[message.member_id] = message
        self.count_votes()

    def hear_snapshot(self, src: str, message: messages.Snapshot) -> None:
        """Install a snapshot that this candidate requested, unless it is older than its own log (M6)."""
        candidacy = self.candidacy
        snapshot = message.state
        if snapshot is None or (self.policy.pre_vote and not self.is_newer(snapshot)):
            return
        if candidacy is None or message.term != candidacy.term or self.current_term != candidacy.term:
            return
        self.install_snapshot(snapshot)
        self.count_votes()

    def is_newer(self, snapshot: state_machine.ReplicatedState) -> bool:
        """Whether a snapshot's last entry is newer than this member's."""
        return (snapshot.last_term, snapshot.last_index) > self.head()

    # counting votes

    def count_votes(self) -> None:
        """Become leader if the votes suffice, after fetching the newest log among the voters."""
        candidacy = self.candidacy
        # M1: a vote counts only once it is synced, including this member's own.
        if candidacy is None or self.synced_term != candidacy.term:
            return
        newest = max(candidacy.votes.values(), key=lambda vote: (vote.last_log_term, vote.last_log_index))
        if newest.last_log_index == 0:
            self.count_founding_votes()
            return
        # M1: the leader has the newest log of a majority.
        if (newest.last_log_term, newest.last_log_index) > self.head():
            self.request_snapshot_from(newest.member_row["addr"])
            return
        if not self.may_be_candidate():
            self.candidacy = None
            return
        if self.quorum(candidacy.votes):
            self.win()
            return
        replacements = self.proven_replacements(candidacy.votes)
        if replacements:
            self.win(replacements=replacements)
            return
        removed = self.members_declared_lost(candidacy.votes)
        if removed:
            self.win(removed=removed)

    def request_snapshot_from(self, address: str) -> None:
        """Request the newer log of a voter, and repeat that every `snapshot_request_interval_ms`."""
        candidacy = self.candidacy
        if candidacy and self.now - candidacy.fetched_at >= self.policy.snapshot_request_interval_ms:
            candidacy.fetched_at = self.now
            self.send(address, messages.SnapshotRequest(candidacy.term, self.me.seat))

    def quorum(self, votes: candidacies.Votes) -> bool:
        """Whether the votes of these members elect a leader."""
        return quorum.has_majority(self.compute_appended_state(), votes.keys())

    def win(
        self,
        founding: dict[str, typing.Any] | None = None,
        replacements: collections.abc.Iterable[candidacies.Replacement] = (),
        removed: collections.abc.Iterable[str] = (),
    ) -> None:
        """End the candidacy and become leader; the parameters are those of `start_leading`."""
        candidacy = self.candidacy
        if candidacy is None:
            return
        self.candidacy = None
        self.standing_since_ms = None
        self.note(13, generation=candidacy.term.text(), serial=int(self.head()[1]))
        self.lost_names = set()
        self.start_leading(founding, candidacy.votes, list(replacements), list(removed))
