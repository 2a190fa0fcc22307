"""The rows of a trace that tell of operators: their changes and reads, and the answers."""

import dataclasses

import basaltport.simulation.trace as trace


@dataclasses.dataclass(frozen=True, slots=True)
class Change(trace.Row):
    """An operator begins to send a change; `base` and `edition` are those of a configuration."""

    KIND = "change"
    change: str
    verb: str
    zone: str | None
    base: int | None
    edition: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswered(trace.Row):
    """A change has its clear answer."""

    KIND = "answer"
    change: str
    verb: str
    status: int
    zone: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unclear(trace.Row):
    """An operator gave up on a change; whether it was made is not known."""

    KIND = "unclear"
    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotAcked(trace.Row):
    """A change that had to be acknowledged was not."""

    KIND = "not-acked"
    change: str
    verb: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost(trace.Row):
    """An answer to an operator was lost."""

    KIND = "reply-lost"
    call: str


@dataclasses.dataclass(frozen=True, slots=True)
class RepliesLost(trace.Row):
    """From now on answers to operators are lost, or no longer."""

    KIND = "replies-lost"
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Read(trace.Row):
    """An operator begins to read the configuration at a controller."""

    KIND = "read"
    read: str
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEnd(trace.Row):
    """A read has its answer."""

    KIND = "read-end"
    read: str
    status: int
    edition: int
    change: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Repeat(trace.Row):
    """The answer to a change that was sent again as it was."""

    KIND = "repeat"
    change: str
    status: int
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Bound(trace.Row):
    """What was to be there within `most` ms took `took` ms; None where it never was."""

    KIND = "bound"
    what: str
    took: int | None
    most: int
