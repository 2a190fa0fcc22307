"""How an attempt at a replica ends, and what each outcome proves about the request."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """How an attempt ended. The values are also the labels of the outcome counters."""

    DONE = "done"
    """The complete response was sent to the client."""
    REFUSED = "refused"
    """The replica states that it did not run the request."""
    ABSENT = "absent"
    """The replica states that it does not hold the item, so it did not run the request."""
    MOVED = "moved"
    """A different replica answers at the address, so the request was not run."""
    UNSENT = "unsent"
    """The attempt got no connection, so no byte of the request was sent."""
    FAILED = "failed"
    """The replica sent a complete error response, which is stored and not yet passed on."""
    BROKEN = "broken"
    """The connection was lost after the request may have been sent; no part of a response was passed on."""
    CUT = "cut"
    """The connection was lost after part of the response was passed on."""
    TIMED_OUT = "late"
    """The deadline passed after the request may have been sent; no part of a response was passed on."""
    CLIENT_GONE = "gone"
    """The client stopped reading its response."""

    @property
    def may_have_run(self) -> bool:
        """Whether the replica may have started to run the request."""
        return self not in NEVER_RAN


NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.ABSENT, Outcome.MOVED, Outcome.UNSENT})


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The end of an attempt as the network side reports it to the reducer.

    `resumes` says that an interrupted stream can continue at another replica.
    """

    outcome: Outcome
    status: int = 0
    detail: str = ""
    resumes: bool = False
