"""What Placement asks of its owner. Each effect is answered by a call: `List` by `listed` or `list_failed`,
`Order` by `ordered`, `Report` by `reported`; but for `events.Note`, which is logged."""

import typing

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.placement.order_types as order_types


class List(typing.NamedTuple):
    """Read the platform's list of replicas."""


class Order(typing.NamedTuple):
    """Have a replica load or unload a model or adapter."""

    order: int
    """Numbers the orders of one executor."""
    replica: identifiers.ReplicaId
    address: str
    kind: order_types.OrderKind
    model: str
    adapter: str | None
    """None where the order is about the model itself."""
    holder: str
    """The name of the controller that sends the order."""
    fence: identifiers.Fence
    expected: int | None = None
    """How many orders the replica should have taken so far; None where that is not known."""


class Report(typing.NamedTuple):
    """Ask a replica what it holds."""

    replica: identifiers.ReplicaId
    address: str


Effect = List | Order | Report | events.Note
