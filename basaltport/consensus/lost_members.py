"""Elections without members that are permanently lost: which votes are missing, and an operator's
override."""

import collections.abc
import typing

import basaltport.consensus.candidacies as candidacies
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

OVERRIDE_AFTER_SILENCE_MS = 5000
"""An override is refused if a leader or one of the lost members was heard within this time."""


class LostMembersNeeds(typing.Protocol):
    """What `LostMembersMixin` needs of its node: its candidacy, and when other members were last heard of."""

    now: identifiers.Millis
    members: dict[str, dict[str, typing.Any]]
    leading: bool
    leader_heard_at_ms: int
    candidacy: candidacies.Candidacy | None

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""


if typing.TYPE_CHECKING:
    Needs = LostMembersNeeds
else:
    Needs = object


class LostMembersMixin(Needs):
    """Members that an operator declared lost; `lost_names` are kept until the next leader is elected."""

    lost_names: set[str]

    def missing_voters(self) -> list[str]:
        """Return the sorted names of the members that have not granted their vote."""
        votes = self.candidacy.votes if self.candidacy else {}
        members = self.compute_appended_state().members
        return sorted(record.name for member_id, record in members.items() if member_id not in votes)

    def members_declared_lost(self, votes: candidacies.Votes) -> list[str] | None:
        """Return the ids of the members declared lost if a majority of the other members voted, else None."""
        members = self.compute_appended_state().members
        lost_ids = [
            member_id
            for member_id, record in members.items()
            if record.name in self.lost_names and member_id not in votes
        ]
        remaining = members.keys() - set(lost_ids)
        return lost_ids if quorum.is_majority(votes.keys(), remaining) else None

    def override(self, names: collections.abc.Collection[str]) -> str | None:
        """Declare members lost on an operator's request; return None, or the reason why it is refused."""
        if self.leading or self.now - self.leader_heard_at_ms < OVERRIDE_AFTER_SILENCE_MS:
            return "there is a leader, or was within five seconds"
        member_names = {record.name for record in self.compute_appended_state().members.values()}
        if set(names) - member_names:
            return f"not in the roster: {sorted(set(names) - member_names)}"
        recently_heard = [name for name in names if self.was_heard_recently(name)]
        if recently_heard:
            return f"heard of within five seconds: {recently_heard}"
        self.note(24, lost=sorted(names))
        self.lost_names = set(names)
        return None

    def was_heard_recently(self, name: str) -> bool:
        """Whether a member was heard of too recently to be declared lost."""
        row = self.members.get(name)
        return row is not None and self.now - row["at"] < OVERRIDE_AFTER_SILENCE_MS
