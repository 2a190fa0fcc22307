"""The effects that Placement returns for its owner to carry out.

The owner answers `List` by calling `listed` or `list_failed`, `Order` by `ordered`, and `Report` by
`reported`. It logs `events.Note`, which needs no answer.
"""

import typing

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.placement.order_types as order_types


class List(typing.NamedTuple):
    """Request to read the platform's list of replicas."""


class Order(typing.NamedTuple):
    """Request to order a replica to load or unload a model or adapter."""

    order: int
    """Sequence number of the order."""
    replica: identifiers.ReplicaId
    address: str
    kind: order_types.OrderKind
    model: str
    adapter: str | None
    """Name of the adapter, or None if the order concerns the model itself."""
    holder: str
    """Name of the controller that leads and decided the order."""
    fence: identifiers.Fence
    expected: int | None = None
    """Number of orders that the replica must have accepted so far, else it refuses; None skips the check."""


class Report(typing.NamedTuple):
    """Request to ask a replica for a report of its models."""

    replica: identifiers.ReplicaId
    address: str


Effect = List | Order | Report | events.Note
