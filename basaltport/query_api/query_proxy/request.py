"""A client's request from its arrival to its final answer, and one attempt of it at a replica."""

import dataclasses
import enum
import typing

import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.query_api.query_proxy.key_claim as key_claim

NEVER = -1


class RequestState(enum.Enum):
    """Where a request stands."""

    QUEUED = "queued"
    RUNNING = "running"
    CHECKING_TIMEOUT = "checking-timeout"
    CLAIMING_KEY = "claiming-key"


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request that has no final answer yet; all times in milliseconds on the node's clock.

    `client` and `queue` name its sender and its queue; `deadline`: until when the client waits; `ready`:
    its item is known to serve; `waiting_since`: when it began to wait for that; `retried`: an attempt that
    may have run was followed by another; `avoided_replica`: the one that failed it last."""

    id: identifiers.RequestId
    queue: str
    client: str
    item: identifiers.Item
    body: dict[str, typing.Any]
    arrived_at: int
    deadline: int
    rule: rules.LineRule
    state: RequestState = RequestState.QUEUED
    ready: bool = False
    waiting_since: int = NEVER
    attempts: int = 0
    retried: bool = False
    attempt_id: str = ""
    replica_id: str = ""
    sent_at: int = NEVER
    avoided_replica: str = ""
    claim: key_claim.KeyClaim | None = None
    client_gone: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A request at a replica, under way or being cancelled."""

    id: identifiers.AttemptId
    request_id: identifiers.RequestId
    replica_id: str
    item: identifiers.Item
    sent_at: int
    timeout_at: int
