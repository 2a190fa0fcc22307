"""What operators may request of a controller, and a request that waits for the leader's answer."""

import enum
import typing

import basaltport.identifiers as identifiers

UNAVAILABLE = 503
TIMED_OUT = 504

Document = dict[str, typing.Any]


class Verb(enum.StrEnum):
    """What an operator may request."""

    CONFIGURE = "configure"
    RECONFIGURE = "reconfigure"
    EVACUATE = "evacuate"
    READMIT = "readmit"
    CONFIGURATION = "configuration"


VERBS = frozenset(Verb)
READS = frozenset({Verb.CONFIGURATION})
ZONE_ORDERS = frozenset({Verb.EVACUATE, Verb.READMIT})
"""Each is for the state that a zone is to have, and says nothing of the state that it is made for: a copy
that is applied late takes back what was ordered since."""


class Dropped(enum.StrEnum):
    """Why a zone order was not applied."""

    TOO_OLD = "too-old"
    CALLER_LEFT = "caller-left"


class Answer(typing.NamedTuple):
    """The answer to a request."""

    status: int
    body: Document


def no_leader() -> Answer:
    """Nobody decided the request; nothing was changed."""
    return Answer(UNAVAILABLE, {"error": "no-leader"})


def undecided() -> Answer:
    """Whether the request was taken is not known."""
    return Answer(TIMED_OUT, {"error": "unknown"})


def too_old() -> Answer:
    """The caller may have gone elsewhere by now; nothing was changed."""
    return Answer(UNAVAILABLE, {"error": Dropped.TOO_OLD.value})


class ForwardedRequest:
    """A request that waits for a leader's answer."""

    __slots__ = ("received_at", "verb", "body", "term", "retry_at", "may_be_taken")

    def __init__(
        self, received_at: identifiers.Millis, verb: str, body: Document, may_be_taken: int = 0
    ) -> None:
        """`received_at`: of a zone order, the earliest time at which it can have been sent; `may_be_taken`:
        how many times it was sent to a leader that may have taken it."""
        self.received_at = received_at
        self.verb = verb
        self.body = body
        self.may_be_taken = may_be_taken
        self.term: identifiers.Term | None = None
        """The term of the leader that was asked last."""
        self.retry_at: int = received_at
