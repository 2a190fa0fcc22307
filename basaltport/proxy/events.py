"""Events and effects of a proxy's reducer, beside those of `basaltport.events`."""

import dataclasses

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers
import basaltport.proxy.attempt_outcome as attempt_outcome

NO_TENANT = identifiers.TenantName("")


@dataclasses.dataclass(slots=True)
class Arrived:
    """A client's request, read and whole. `deadline_ms`: how long the client waits, or -1; `body_ms`: how
    long its body took to read, which counts against all deadlines; `key`: the digest of the client's key."""

    now: identifiers.Millis
    request: int
    host: str
    path: str
    item: identifiers.Item
    deadline_ms: int
    prompt_tokens: int = 0
    prompt_prefix: str = ""
    body_ms: int = 0
    key: identifiers.KeyDigest = credentials.NO_KEY


@dataclasses.dataclass(slots=True)
class Left:
    """The client went away."""

    now: identifiers.Millis
    request: int


@dataclasses.dataclass(slots=True)
class Finish:
    """The process is about to end: every request that is still here gets its end."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Progress:
    """First bytes, or more of them, came from a replica for an attempt. `connect_ms`: how long the attempt
    took to get its connection, -1 where that is not told."""

    now: identifiers.Millis
    attempt: int
    connect_ms: int = -1


@dataclasses.dataclass(slots=True)
class Ended:
    """An attempt ended; see `outcomes.Result` for what is told of it."""

    now: identifiers.Millis
    attempt: int
    result: attempt_outcome.Result


@dataclasses.dataclass(slots=True)
class Attempt:
    """Send a request to a replica. `remaining_ms`: until the client gives up; `tenant`: whose request it is,
    "" where that is not known."""

    request: int
    attempt: int
    replica: str
    address: str
    remaining_ms: int
    priority: int
    repeatable: bool
    tenant: identifiers.TenantName = NO_TENANT


@dataclasses.dataclass(slots=True)
class Close:
    """An answer of our own, which is the last that goes to this client. `retry_after_ms`: when it may come
    back, 0 where that is not told."""

    request: int
    status: int
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class Pass:
    """Pass on the kept answer of failure of an attempt as it is."""

    request: int
    attempt: int


@dataclasses.dataclass(slots=True)
class Cut:
    """End the client's connection: a part of an answer is out and cannot be completed."""

    request: int


@dataclasses.dataclass(slots=True)
class Abort:
    """Stop an attempt; its end is still told."""

    attempt: int
