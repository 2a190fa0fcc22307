"""The requests that operators may send to a controller, their standard answers, and forwarded requests."""

import enum
import typing

import basaltport.identifiers as identifiers

UNAVAILABLE = 503
TIMED_OUT = 504

Document = dict[str, typing.Any]


class Verb(enum.StrEnum):
    """The operations that an operator may request."""

    CONFIGURE = "configure"
    RECONFIGURE = "reconfigure"
    EVACUATE = "evacuate"
    READMIT = "readmit"
    CONFIGURATION = "configuration"


VERBS = frozenset(Verb)
READS = frozenset({Verb.CONFIGURATION})
ZONE_ORDERS = frozenset({Verb.EVACUATE, Verb.READMIT})
"""Verbs that set the state of a zone regardless of its current state: a copy that is applied late would undo
a later order."""


class Dropped(enum.StrEnum):
    """The reasons for which a zone order is not applied."""

    TOO_OLD = "too-old"
    CALLER_LEFT = "caller-left"


class Answer(typing.NamedTuple):
    """The HTTP status and the JSON document that answer a request."""

    status: int
    body: Document


def no_leader() -> Answer:
    """Returns the answer to a request that no leader accepted; nothing was changed."""
    return Answer(UNAVAILABLE, {"error": "no-leader"})


def undecided() -> Answer:
    """Returns the answer to a request that may or may not have been accepted."""
    return Answer(TIMED_OUT, {"error": "unknown"})


def too_old() -> Answer:
    """Returns the answer to a zone order whose caller may have gone to another controller; nothing was
    changed."""
    return Answer(UNAVAILABLE, {"error": Dropped.TOO_OLD.value})


class ForwardedRequest:
    """A request that was accepted here and waits for the leader's answer."""

    __slots__ = ("received_at", "verb", "body", "term", "retry_at", "undecided_sends")

    def __init__(
        self, received_at: identifiers.Millis, verb: str, body: Document, undecided_sends: int = 0
    ) -> None:
        """Create a request that was not forwarded yet.

        `received_at`: when the request arrived, in ms; for a zone order, the earliest time at which it can
        have been sent. `undecided_sends`: how many times it was sent to a leader that may have accepted
        it."""
        self.received_at = received_at
        self.verb = verb
        self.body = body
        self.undecided_sends = undecided_sends
        self.term: identifiers.Term | None = None
        """The term of the leader to which the request was last sent, None if it is to be sent again."""
        self.retry_at: int = received_at
