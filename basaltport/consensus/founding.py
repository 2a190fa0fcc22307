"""Elections where the log is empty (founding a cluster) or disks were lost (replacing members)."""

import collections.abc
import typing

import basaltport.consensus.candidacies as candidacies
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member

Document = dict[str, typing.Any]

REPLACED_AFTER_MS = 2500
"""Without pre-vote: how long a candidate waits for members before it replaces those with wiped disks."""
CHANGES_KEPT = 2000
"""Number of change ids that a cluster of disk members remembers, as set by its founding entry."""


def without_first_start(row: Document) -> Document:
    """Return a member's row without the key `first` (its first start), which the log does not store."""
    return {key: value for key, value in row.items() if key != "first"}


class FoundingNeeds(typing.Protocol):
    """What `FoundingMixin` needs of its node: the candidacy of `ElectionMixin`."""

    me: member.Me
    now: identifiers.Millis
    policy: voting_policy.VotingPolicy
    candidacy: candidacies.Candidacy | None

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""

    def may_be_candidate(self) -> bool:
        """Whether this member may stand for election."""

    def standing_for_ms(self) -> int:
        """Return for how many milliseconds this member has been standing for election."""

    def win(
        self,
        founding: Document | None = None,
        replacements: collections.abc.Iterable[candidacies.Replacement] = (),
        removed: collections.abc.Iterable[str] = (),
    ) -> None:
        """End the candidacy and become leader."""


if typing.TYPE_CHECKING:
    Needs = FoundingNeeds
else:
    Needs = object


class FoundingMixin(Needs):
    """Founds a cluster, and replaces members whose disks are proven lost."""

    def proven_replacements(self, votes: candidacies.Votes) -> list[candidacies.Replacement] | None:
        """Return the replacements of members with lost disks if they and the votes elect a leader, else
        None."""
        if self.policy.joint_consensus:
            return self.replacements_proven_by_address(votes)
        return self.replacements_proven_by_name(votes)

    def replacements_proven_by_address(
        self, votes: candidacies.Votes
    ) -> list[candidacies.Replacement] | None:
        """Return the members whose disks are proven lost, with the rows of their replacements.

        The proof is a new member id at exactly the address of the former member: no two processes share an
        address, and a member keeps its id on its disk. A name proves nothing, since the former member may be
        alive. If half of the members vote and the others' loss is proven this way, nothing was committed and
        nobody elected without one of the voters: members are added only by a joint change, which needs a
        majority of these members as well.
        """
        state = self.compute_appended_state()
        if state.former_members:
            return None
        members = state.members
        known_voters = members.keys() & votes.keys()
        newcomers = {
            vote.member_row["addr"]: without_first_start(vote.member_row)
            for voter, vote in votes.items()
            if voter not in members
        }
        replacements = [
            [member_id, newcomers[record.address]]
            for member_id, record in members.items()
            if member_id not in known_voters and record.address in newcomers
        ]
        if 2 * len(known_voters) < len(members) or 2 * (len(known_voters) + len(replacements)) <= len(
            members
        ):
            return None
        return replacements if self.standing_for_ms() >= timing.DISK_LOSS_WAIT else None

    def replacements_proven_by_name(self, votes: candidacies.Votes) -> list[candidacies.Replacement] | None:
        """Return the members that voters with the same names replace, with their rows; used after a power
        loss.

        This requires a majority of the disk members, and a majority of all members if replacements are
        counted; their empty logs prove the loss of the members that they replace.
        """
        state = self.compute_appended_state()
        members = state.members
        known_voters = members.keys() & votes.keys()
        newcomers = {
            vote.name: vote.member_row
            for voter, vote in votes.items()
            if voter not in members and vote.last_log_index == 0
        }
        replacements = [
            [member_id, newcomers[identifiers.Name(record.name)]]
            for member_id, record in members.items()
            if member_id not in known_voters and record.name in newcomers
        ]
        if 2 * (len(known_voters) + len(replacements)) <= len(members):
            return None
        if 2 * len(known_voters & set(state.disk_members)) <= len(state.disk_members):
            return None
        return replacements if self.standing_for_ms() >= REPLACED_AFTER_MS else None

    def count_founding_votes(self) -> None:
        """Found the cluster if enough initial members voted; called if no voter has any log entry."""
        if self.policy.disk_members_only:
            self.found_with_founders()
            return
        self.found_with_expected()

    def found_with_founders(self) -> None:
        """Found the cluster with a majority of the founders' addresses, after waiting for the others."""
        candidacy = self.candidacy
        founders = self.me.founders or []
        if candidacy is None:
            return
        votes = {
            vote.member_row["addr"]: vote
            for vote in candidacy.votes.values()
            if vote.member_row.get("first") and vote.member_row["addr"] in founders
        }
        if not self.may_be_candidate() or 2 * len(votes) <= len(founders):
            return
        if len(votes) < len(founders) and self.now - candidacy.started_at < timing.FOUNDERS_WAIT:
            return
        self.note(12, seats=len(votes), expected=len(founders))
        members = {vote.member_id: without_first_start(vote.member_row) for vote in votes.values()}
        self.win({"roster": members, "ledgers": sorted(members), "voters": "ledgers", "keep": CHANGES_KEPT})

    def found_with_expected(self) -> None:
        """Found the cluster with a majority of the expected members and of the expected disk members."""
        if self.candidacy is None:
            return
        votes = self.candidacy.votes
        names = {vote.name for vote in votes.values()}
        if 2 * len(names) <= self.me.expected:
            return
        disk_members = [vote.member_id for vote in votes.values() if vote.member_row["role"] == "ledger"]
        if 2 * len(disk_members) <= self.me.ledgers:
            return
        self.note(12, seats=len(names), expected=self.me.expected)
        members = {vote.member_id: vote.member_row for vote in votes.values()}
        self.win({"roster": members, "ledgers": sorted(disk_members)})
