"""Events that reducers take and effects that they give back; both are plain data."""

import dataclasses
import typing

import basaltport.kinds as kinds

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Tick:
    """Time has passed."""

    now: kinds.Millis


@dataclasses.dataclass(slots=True)
class Heard:
    """A message came from another member."""

    now: kinds.Millis
    src: str
    msg: object


@dataclasses.dataclass(slots=True)
class Synced:
    """Records of a `Write` are on the disk, or the write failed."""

    now: kinds.Millis
    token: int
    ok: bool = True


@dataclasses.dataclass(slots=True)
class Asked:
    """An operator, or the platform, asks something of this member."""

    now: kinds.Millis
    call: str
    verb: str
    body: Document


@dataclasses.dataclass(slots=True)
class Arrived:
    """A sender's query, read and whole."""

    now: kinds.Millis
    query: kinds.QueryId
    line: str
    token: str
    body: Document
    deadline: int = -1
    key: str = ""


@dataclasses.dataclass(slots=True)
class Gone:
    """The client of a request is gone."""

    now: kinds.Millis
    query: kinds.QueryId


@dataclasses.dataclass(slots=True)
class Replied:
    """A dispatch ended: done, refused (never ran), broken (unknown) or late."""

    now: kinds.Millis
    dispatch: kinds.DispatchId
    outcome: str
    status: int = 0
    detail: str = ""
    serial: int = 0
    reply: Document | None = None


@dataclasses.dataclass(slots=True)
class Polled:
    """A replica told its state, or did not answer."""

    now: kinds.Millis
    replica: kinds.ReplicaId
    ok: bool
    state: Document


@dataclasses.dataclass(slots=True)
class Ordered:
    """A replica answered an order, or did not."""

    now: kinds.Millis
    order: int
    ok: bool
    state: Document


@dataclasses.dataclass(slots=True)
class Stop:
    """The process ends in good order; what it had taken in is finished."""

    now: kinds.Millis


@dataclasses.dataclass(slots=True)
class Prewarm:
    """An operator wants items loaded before anyone asks for them."""

    now: kinds.Millis
    items: list[str]


@dataclasses.dataclass(slots=True)
class Send:
    """A message for the member at an address."""

    addr: str
    msg: object


@dataclasses.dataclass(slots=True)
class Write:
    """Records for the journal; with `whole`, a fresh snapshot that replaces it."""

    token: int
    records: list[typing.Any]
    whole: Document | None = None


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

    dispatch: kinds.DispatchId
    query: kinds.QueryId
    replica: kinds.ReplicaId
    url: str
    body: Document
    serial: int
    timeout: int
    deadline: int
    keep: bool = False


@dataclasses.dataclass(slots=True)
class Abandon:
    """Stop a dispatch whose sender is gone or whose time is up."""

    dispatch: kinds.DispatchId


@dataclasses.dataclass(slots=True)
class Close:
    """The final word to a sender."""

    query: kinds.QueryId
    status: int
    body: Document
    retry_after: int = 0


@dataclasses.dataclass(slots=True)
class Repeat:
    """The kept reply of the first query with the same key."""

    query: kinds.QueryId
    status: int
    reply: Document


@dataclasses.dataclass(slots=True)
class Poll:
    """Ask a replica for its state."""

    replica: kinds.ReplicaId
    url: str


@dataclasses.dataclass(slots=True)
class Order:
    """Have a replica load or unload."""

    order: int
    replica: kinds.ReplicaId
    url: str
    body: Document
