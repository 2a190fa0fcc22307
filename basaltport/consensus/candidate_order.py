"""Which members may stand for election, and with which delays."""

import random
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

ELECTION_TIMEOUT_MS = 700
"""Without pre-vote: silence of the leader after which a member stands for election."""
OUTSIDER_TIMEOUT_MS = 2500
"""Without pre-vote: the same timeout for a member that is not a disk member of the log."""
CANDIDACY_SPREAD_MS = 400
"""Without pre-vote: upper bound of the random delay before a candidacy."""
PRE_VOTE_SPREAD_MS = 40
"""With pre-vote: upper bound of the random delay, added to the member's turn."""


class CandidateOrderNeeds(typing.Protocol):
    """What `CandidateOrderMixin` needs of its node: the members and the last leader."""

    me: member.Me
    rng: random.Random
    policy: voting_policy.VotingPolicy
    cluster_state: state_machine.ClusterState
    leader: messages.Heartbeat | None

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Return the term and index of the last log entry, committed or not."""

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""


if typing.TYPE_CHECKING:
    Needs = CandidateOrderNeeds
else:
    Needs = object


class CandidateOrderMixin(Needs):
    """Derives eligibility and delays from the log and the settings; has no state of its own."""

    def candidacy_delay_ms(self) -> int:
        """Return by how many milliseconds this member delays its next candidacy."""
        if not self.policy.pre_vote:
            return self.rng.randrange(0, CANDIDACY_SPREAD_MS)
        return self.candidacy_turn_ms() + self.rng.randrange(0, PRE_VOTE_SPREAD_MS)

    def candidacy_turn_ms(self) -> int:
        """Return the delay of this member's turn in milliseconds. Members take turns in the order of their
        ids, at the founding of the cluster in the order of the founders, so that their candidacies do not
        collide."""
        if self.head()[1] == 0:
            founders = self.me.founders or []
            rank = founders.index(self.me.addr) if self.me.addr in founders else 0
            return rank * timing.FOUNDER_TURN
        last_leader = self.leader.leader_id if self.leader else None
        candidates = sorted(
            member_id for member_id in self.compute_appended_state().members if member_id != last_leader
        )
        rank = candidates.index(self.me.seat) if self.me.seat in candidates else len(candidates)
        return rank * timing.CANDIDATE_TURN

    def may_be_candidate(self) -> bool:
        """Whether this member may stand for election: with pre-vote only a member in the log or, while the
        log is empty, a founder on its first start."""
        if not self.policy.pre_vote:
            return True
        if self.head()[1] == 0:
            return self.me.first_start and self.me.addr in (self.me.founders or [])
        return self.me.seat in self.compute_appended_state().members

    def election_timeout(self) -> int:
        """Return the silence of the leader, in milliseconds, after which this member starts an election."""
        if self.policy.pre_vote:
            return timing.ELECTION_TIMEOUT
        if self.cluster_state.members and self.me.seat not in self.compute_appended_state().disk_members:
            return OUTSIDER_TIMEOUT_MS
        return ELECTION_TIMEOUT_MS
