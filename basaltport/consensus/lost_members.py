"""Elections without members that are gone for good: which votes are missing, and an operator's override."""

import collections.abc
import typing

import basaltport.consensus.candidacies as candidacies
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

OVERRIDE_AFTER_SILENCE_MS = 5000
"""How long no leader, and none of the members given up, must have been heard for an operator's override."""


class LostMembersNeeds(typing.Protocol):
    """What `LostMembersMixin` needs of the node it is part of: its candidacy, and whom it heard of when."""

    now: identifiers.Millis
    members: dict[str, dict[str, typing.Any]]
    leading: bool
    heard_at: int
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
    """`lost_names`: names of the members that an operator gave up for lost, until the next leader."""

    lost_names: set[str]

    def missing(self) -> list[str]:
        """Return the names, sorted, of the members whose vote is not there."""
        got = self.candidacy.votes if self.candidacy else {}
        members = self.compute_appended_state().members
        return sorted(record.name for member_id, record in members.items() if member_id not in got)

    def members_declared_lost(self, got: candidacies.Votes) -> list[str] | None:
        """Return the members given up by an operator if most of the others vote; else None."""
        members = self.compute_appended_state().members
        drops = [
            member_id
            for member_id, record in members.items()
            if record.name in self.lost_names and member_id not in got
        ]
        left = members.keys() - set(drops)
        return drops if quorum.is_majority(got.keys(), left) else None

    def override(self, names: collections.abc.Collection[str]) -> str | None:
        """Give members up for lost on an operator's word; return None, or why the word is not taken."""
        if self.leading or self.now - self.heard_at < OVERRIDE_AFTER_SILENCE_MS:
            return "there is a leader, or was within five seconds"
        known = {record.name for record in self.compute_appended_state().members.values()}
        if set(names) - known:
            return f"not in the roster: {sorted(set(names) - known)}"
        heard = [name for name in names if self.was_heard_of(name)]
        if heard:
            return f"heard of within five seconds: {heard}"
        self.note(24, lost=sorted(names))
        self.lost_names = set(names)
        return None

    def was_heard_of(self, name: str) -> bool:
        """Whether a member was heard of so lately that it can't be given up."""
        row = self.members.get(name)
        return row is not None and self.now - row["at"] < OVERRIDE_AFTER_SILENCE_MS
