"""Events that reducers process and effects that they return; both are plain data."""

import dataclasses
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Tick:
    """Event: the periodic timer fired."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Heard:
    """Event: a message from another member was received; `src` is its address."""

    now: identifiers.Millis
    src: str
    msg: object


@dataclasses.dataclass(slots=True)
class Synced:
    """Event: the records of the `Write` with this token are on the disk, or the write failed."""

    now: identifiers.Millis
    token: int
    ok: bool = True


@dataclasses.dataclass(slots=True)
class Asked:
    """Event: an operator or the platform calls this member.

    `sent_after`: the earliest time at which the call can have been sent, None if its age does not matter.
    """

    now: identifiers.Millis
    call: str
    verb: str
    body: Document
    sent_after: identifiers.Millis | None = None


@dataclasses.dataclass(slots=True)
class CallerLeft:
    """Event: the caller of an `Asked` is gone; the call may have been answered already."""

    now: identifiers.Millis
    call: str
    verb: str


@dataclasses.dataclass(slots=True)
class Stop:
    """Event: the process shuts down after finishing the requests that it accepted."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Send:
    """Effect: send a message to the member at an address."""

    addr: str
    msg: object


@dataclasses.dataclass(slots=True)
class Write:
    """Effect: append records to the log on the disk, or replace the log by a snapshot of `whole`, the
    complete replicated state; `Synced` with the same token follows."""

    token: int
    records: list[log.DiskRecord]
    whole: state_machine.ReplicatedState | None = None


@dataclasses.dataclass(slots=True)
class Answer:
    """Effect: answer the `Asked` event with the same call id."""

    call: str
    status: int
    body: Document


@dataclasses.dataclass(slots=True)
class Note:
    """Effect: log an event of `log_events` by its number, with its fields."""

    number: int
    fields: Document
