"""Events that reducers take and effects that they give back; both are plain data."""

import dataclasses
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Tick:
    """Time has passed."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Heard:
    """A message came from another member."""

    now: identifiers.Millis
    src: str
    msg: object


@dataclasses.dataclass(slots=True)
class Synced:
    """Records of a `Write` are on the disk, or the write failed."""

    now: identifiers.Millis
    token: int
    ok: bool = True


@dataclasses.dataclass(slots=True)
class Asked:
    """An operator, or the platform, asks something of this member. `sent_after`: the earliest time at which
    that can have been sent, None where it is of no matter."""

    now: identifiers.Millis
    call: str
    verb: str
    body: Document
    sent_after: identifiers.Millis | None = None


@dataclasses.dataclass(slots=True)
class CallerLeft:
    """Nobody waits any more for the answer to a call, which may have ended before it was asked."""

    now: identifiers.Millis
    call: str
    verb: str


@dataclasses.dataclass(slots=True)
class Stop:
    """The process ends in good order; what it had taken in is finished."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Send:
    """A message for the member at an address."""

    addr: str
    msg: object


@dataclasses.dataclass(slots=True)
class Write:
    """Records for the log on the disk; with `whole`, all that the member holds, as a snapshot that replaces
    it."""

    token: int
    records: list[log.DiskRecord]
    whole: state_machine.ReplicatedState | None = None


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to an `Asked`."""

    call: str
    status: int
    body: Document


@dataclasses.dataclass(slots=True)
class Note:
    """An event for the log."""

    number: int
    fields: Document
