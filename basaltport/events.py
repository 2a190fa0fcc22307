"""Events that reducers take and effects that they give back; both are plain data."""

import dataclasses

import basaltport.kinds as kinds

_d = dataclasses.dataclass(slots=True)


@_d
class Tick:
    now: kinds.Millis


@_d
class Heard:
    now: kinds.Millis
    src: str
    msg: object


@_d
class Synced:
    now: kinds.Millis
    token: int
    ok: bool = True


@_d
class Asked:
    """An operator, or the platform, asks something of this member."""

    now: kinds.Millis
    call: str
    verb: str
    body: dict


@_d
class Arrived:
    """A sender's query, read and whole."""

    now: kinds.Millis
    query: kinds.QueryId
    line: str
    token: str
    body: dict
    deadline: int = -1
    key: str = ""


@_d
class Gone:
    now: kinds.Millis
    query: kinds.QueryId


@_d
class Replied:
    """A dispatch ended: done, refused (never ran), broken (unknown) or late."""

    now: kinds.Millis
    dispatch: kinds.DispatchId
    outcome: str
    status: int = 0
    detail: str = ""
    serial: int = 0
    reply: dict | None = None


@_d
class Polled:
    now: kinds.Millis
    replica: kinds.ReplicaId
    ok: bool
    state: dict


@_d
class Ordered:
    now: kinds.Millis
    order: int
    ok: bool
    state: dict


@_d
class Stop:
    """The process ends in good order; what it had taken in is finished."""

    now: kinds.Millis


@_d
class Prewarm:
    now: kinds.Millis
    items: list


@_d
class Send:
    addr: str
    msg: object


@_d
class Write:
    """Records for the journal; with `whole`, a fresh snapshot that replaces it."""

    token: int
    records: list
    whole: dict | None = None


@_d
class Answer:
    call: str
    status: int
    body: dict


@_d
class Note:
    number: int
    fields: dict


@_d
class Dispatch:
    dispatch: kinds.DispatchId
    query: kinds.QueryId
    replica: kinds.ReplicaId
    url: str
    body: dict
    serial: int
    timeout: int
    deadline: int
    keep: bool = False


@_d
class Abandon:
    """Stop a dispatch whose sender is gone or whose time is up."""

    dispatch: kinds.DispatchId


@_d
class Close:
    """The final word to a sender."""

    query: kinds.QueryId
    status: int
    body: dict
    retry_after: int = 0


@_d
class Repeat:
    """The kept reply of the first query with the same key."""

    query: kinds.QueryId
    status: int
    reply: dict


@_d
class Poll:
    replica: kinds.ReplicaId
    url: str


@_d
class Order:
    order: int
    replica: kinds.ReplicaId
    url: str
    body: dict
