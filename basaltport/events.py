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
    """An operator, or the platform, asks something of this member."""

    now: identifiers.Millis
    call: str
    verb: str
    body: Document


@dataclasses.dataclass(slots=True)
class Arrived:
    """A sender's query, read and whole."""

    now: identifiers.Millis
    query: identifiers.RequestId
    line: str
    token: str
    body: Document
    deadline: int = -1
    key: str = ""


@dataclasses.dataclass(slots=True)
class Gone:
    """The client of a request is gone."""

    now: identifiers.Millis
    query: identifiers.RequestId


@dataclasses.dataclass(slots=True)
class Replied:
    """A dispatch ended: done, refused (never ran), broken (unknown) or late."""

    now: identifiers.Millis
    dispatch: identifiers.AttemptId
    outcome: str
    status: int = 0
    detail: str = ""
    serial: int = 0
    reply: Document | None = None


@dataclasses.dataclass(slots=True)
class Polled:
    """A replica told its state, or did not answer."""

    now: identifiers.Millis
    replica: identifiers.ReplicaId
    ok: bool
    state: Document


@dataclasses.dataclass(slots=True)
class Ordered:
    """A replica answered an order, or did not."""

    now: identifiers.Millis
    order: int
    ok: bool
    state: Document


@dataclasses.dataclass(slots=True)
class Stop:
    """The process ends in good order; what it had taken in is finished."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Prewarm:
    """An operator wants items loaded before anyone asks for them."""

    now: identifiers.Millis
    items: list[str]


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


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Send a request to a replica."""

    dispatch: identifiers.AttemptId
    query: identifiers.RequestId
    replica: identifiers.ReplicaId
    url: str
    body: Document
    serial: int
    timeout: int
    deadline: int
    keep: bool = False


@dataclasses.dataclass(slots=True)
class Abandon:
    """Stop a dispatch whose sender is gone or whose time is up."""

    dispatch: identifiers.AttemptId


@dataclasses.dataclass(slots=True)
class Close:
    """The final word to a sender."""

    query: identifiers.RequestId
    status: int
    body: Document
    retry_after: int = 0


@dataclasses.dataclass(slots=True)
class Repeat:
    """The kept reply of the first query with the same key."""

    query: identifiers.RequestId
    status: int
    reply: Document


@dataclasses.dataclass(slots=True)
class Poll:
    """Ask a replica for its state."""

    replica: identifiers.ReplicaId
    url: str


@dataclasses.dataclass(slots=True)
class Order:
    """Have a replica load or unload."""

    order: int
    replica: identifiers.ReplicaId
    url: str
    body: Document
