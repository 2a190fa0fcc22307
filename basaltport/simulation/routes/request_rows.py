"""The rows of a trace that tell of clients' requests, from a client to the replica that runs them."""

import dataclasses

import basaltport.simulation.trace as trace


@dataclasses.dataclass(frozen=True, slots=True)
class Operation(trace.Row):
    """A client wants something; `kind` says what may be repeated."""

    KIND = "op"
    operation: str
    kind: str
    item: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Try(trace.Row):
    """A client sends a request of an operation to a proxy."""

    KIND = "try"
    operation: str
    node: str
    try_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TryEnd(trace.Row):
    """The end of a client's request. `retry`: ms after which to come back; `running`: an attempt of it ran
    just before; `touch`: its proxy is in touch; `left`: ms until the client gives up."""

    KIND = "end"
    operation: str
    try_id: str
    node: str
    outcome: str
    status: int
    retry: int
    running: bool
    touch: bool
    left: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperationEnd(trace.Row):
    """What came of an operation, after `ms`."""

    KIND = "op-end"
    operation: str
    outcome: str
    item: str
    kind: str
    ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arrive(trace.Row):
    """An attempt reaches a replica, which says `said`. `sent`: when it left the proxy; `touch`: the proxy was
    in touch then; `meant`: the service that it was for."""

    KIND = "arrive"
    replica: str
    zone: str
    service: str
    try_id: str
    proxy: str
    sent: int
    touch: bool
    said: str
    item: str
    meant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ran(trace.Row):
    """A replica begins to run a request."""

    KIND = "ran"
    replica: str
    try_id: str
    operation: str
    kind: str
