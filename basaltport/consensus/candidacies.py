"""A candidacy of a member, and the types of votes and replacements."""

import dataclasses
import typing

import basaltport.identifiers as identifiers
import basaltport.messages as messages

NEVER_MS = -(10**9)

Votes = dict[str, messages.Vote]
Replacement = list[typing.Any]
"""The id of a replaced member, and the row of the member that replaces it."""


@dataclasses.dataclass(slots=True, eq=False)
class Candidacy:
    """One term for which this member requests votes. `votes` by member id; when the candidacy started, when
    votes were last requested and when a newer log was last requested, in milliseconds."""

    term: identifiers.Term
    votes: Votes
    started_at: int
    requested_at: int
    fetched_at: int = NEVER_MS
