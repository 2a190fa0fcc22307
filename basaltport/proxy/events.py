"""Events and effects of the proxy's reducer, in addition to those of `basaltport.events`."""

import dataclasses

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers
import basaltport.proxy.attempt_outcome as attempt_outcome

NO_TENANT = identifiers.TenantName("")


@dataclasses.dataclass(slots=True)
class Arrived:
    """A client's request was read completely.

    `deadline_ms` is how long the client waits, or -1; `body_ms` is how long the body took to read, which
    counts against all deadlines; `key` is the digest of the client's key.
    """

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
    """The client disconnected."""

    now: identifiers.Millis
    request: int


@dataclasses.dataclass(slots=True)
class Finish:
    """The process is about to end; every request that is left must be ended."""

    now: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Progress:
    """First or further response bytes of an attempt arrived.

    `connect_ms` is how long the attempt took to get its connection, or -1 if it is not reported.
    """

    now: identifiers.Millis
    attempt: int
    connect_ms: int = -1


@dataclasses.dataclass(slots=True)
class Ended:
    """An attempt ended with a result, see `attempt_outcome.Result`."""

    now: identifiers.Millis
    attempt: int
    result: attempt_outcome.Result


@dataclasses.dataclass(slots=True)
class Attempt:
    """Send a request to a replica.

    `remaining_ms` is the time until the client gives up; `tenant` is the name of the request's tenant, "" if
    unknown.
    """

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
    """Answer a request with a response of the proxy, the last one that the client gets.

    `retry_after_ms` is when the client may retry, 0 if that is not stated.
    """

    request: int
    status: int
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class Pass:
    """Pass on the stored error response of an attempt unchanged."""

    request: int
    attempt: int


@dataclasses.dataclass(slots=True)
class Cut:
    """Close the client's connection because a response was started and cannot be completed."""

    request: int


@dataclasses.dataclass(slots=True)
class Abort:
    """Cancel an attempt; its end is still reported."""

    attempt: int
