"""How an attempt at a replica ends, and what that proves of the request."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """The end of an attempt. The values are also the labels of the outcome counters."""

    DONE = "done"
    """The whole answer is with the client."""
    REFUSED = "refused"
    """The replica says that it never ran the request."""
    ABSENT = "absent"
    """The replica says that it does not hold the item; it never ran the request."""
    MOVED = "moved"
    """Another replica has the address; it never ran the request."""
    UNSENT = "unsent"
    """No connection was taken, so no byte of the request went out."""
    FAILED = "failed"
    """A whole answer of failure, kept by the shell and not passed on."""
    BROKEN = "broken"
    """Lost after it may have been sent; nothing of an answer was passed on."""
    CUT = "cut"
    """Lost after a part of its answer was passed on."""
    LATE = "late"
    """The time ended after it may have been sent; nothing of an answer was passed on."""
    GONE = "gone"
    """The client takes no more."""

    @property
    def may_have_run(self) -> bool:
        """Whether the replica may have begun to work on the request."""
        return self not in NEVER_RAN


NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.ABSENT, Outcome.MOVED, Outcome.UNSENT})


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What the shell tells of an attempt's end. `resumes`: a stream that was cut can go on elsewhere."""

    outcome: Outcome
    status: int = 0
    detail: str = ""
    resumes: bool = False
