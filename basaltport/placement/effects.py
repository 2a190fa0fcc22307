"""What Placement asks of its shell. Every one is answered by a call: `listed` or `list_failed`, `ordered`,
`reported`."""

import typing

import basaltport.identifiers as identifiers


class List(typing.NamedTuple):
    """Read the platform's list of replicas."""


class Order(typing.NamedTuple):
    """`order` numbers it; `kind` is load or unload; `adapter` is None for a model; `expected` is the count of
    orders the replica should have taken so far, None where that is not known."""

    order: int
    replica: identifiers.ReplicaId
    address: str
    kind: str
    model: str
    adapter: str | None
    holder: str
    fence: identifiers.Fence
    expected: int | None = None


class Report(typing.NamedTuple):
    """Ask a replica what it holds."""

    replica: identifiers.ReplicaId
    address: str
