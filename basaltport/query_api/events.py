"""Events that a query node's reducer takes, and effects that it gives back, beside those of `events`."""

import dataclasses
import typing

import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]

NO_DEADLINE = -1


@dataclasses.dataclass(slots=True)
class RequestArrived:
    """A client's request, read and complete. `queue`: the queue that its path names; `token_hash`: that of
    its bearer token; `deadline_ms`: for how long the client waits, -1 where it does not say;
    `idempotency_key`: "" for none."""

    now: identifiers.Millis
    request_id: identifiers.RequestId
    queue: str
    token_hash: str
    body: Document
    deadline_ms: int = NO_DEADLINE
    idempotency_key: str = ""


@dataclasses.dataclass(slots=True)
class ClientGone:
    """The client of a request is gone."""

    now: identifiers.Millis
    request_id: identifiers.RequestId


@dataclasses.dataclass(slots=True)
class AttemptEnded:
    """An attempt ended. `outcome`: done, refused (never ran), broken (unknown), late or cut (the answer broke
    off after a part of it went out); `configuration_version`: what a replica that refused has seen;
    `response`: what is kept for the client's key."""

    now: identifiers.Millis
    attempt_id: identifiers.AttemptId
    outcome: str
    status: int = 0
    detail: str = ""
    configuration_version: int = 0
    response: Document | None = None


@dataclasses.dataclass(slots=True)
class ReplicaPolled:
    """A replica reported its state, or did not answer."""

    now: identifiers.Millis
    replica_id: identifiers.ReplicaId
    ok: bool
    state: Document


@dataclasses.dataclass(slots=True)
class OrderAnswered:
    """A replica answered an order, or did not."""

    now: identifiers.Millis
    order_number: int
    ok: bool
    state: Document


@dataclasses.dataclass(slots=True)
class PrewarmRequested:
    """An operator wants items loaded before any request for them."""

    now: identifiers.Millis
    items: list[identifiers.Item]


@dataclasses.dataclass(slots=True)
class StartAttempt:
    """Send a request to a replica; times in milliseconds. `keep_response`: what the replica answers is to be
    kept for the client's key."""

    attempt_id: identifiers.AttemptId
    request_id: identifiers.RequestId
    replica_id: identifiers.ReplicaId
    url: str
    body: Document
    configuration_version: int
    timeout_ms: int
    deadline_ms: int
    keep_response: bool = False


@dataclasses.dataclass(slots=True)
class CancelAttempt:
    """Stop an attempt whose client is gone."""

    attempt_id: identifiers.AttemptId


@dataclasses.dataclass(slots=True)
class FinalAnswer:
    """The node's own final answer to a client: why there is no response, and when to come back."""

    request_id: identifiers.RequestId
    status: int
    body: Document
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class RepeatResponse:
    """Give the response that was kept of the first request with the same key."""

    request_id: identifiers.RequestId
    status: int
    response: Document


@dataclasses.dataclass(slots=True)
class PollReplica:
    """Ask a replica for its state."""

    replica_id: identifiers.ReplicaId
    url: str


@dataclasses.dataclass(slots=True)
class OrderReplica:
    """Have a replica load or unload."""

    order_number: int
    replica_id: identifiers.ReplicaId
    url: str
    body: Document
