"""One candidacy of a member, and the types of what elects it."""

import dataclasses
import typing

import basaltport.identifiers as identifiers
import basaltport.messages as messages

NEVER_MS = -(10**9)

Votes = dict[str, messages.Vote]
Replacement = list[typing.Any]
"""The id of a member that is replaced, and the row of the one that takes its place."""


@dataclasses.dataclass(slots=True, eq=False)
class Candidacy:
    """One term that this member asks votes for: the votes by member id, since when, when it last asked for
    votes and for a newer log, in milliseconds."""

    term: identifiers.Term
    votes: Votes
    started_at: int
    requested_at: int
    fetched_at: int = NEVER_MS
