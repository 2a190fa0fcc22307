"""Events of a controller beside those of every member: what came of Placement's effects."""

import dataclasses
import typing

import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Listed:
    """The platform's list was read (`ok`): `rows` are all replicas, in the product's words."""

    now: identifiers.Millis
    ok: bool
    rows: list[Document]


@dataclasses.dataclass(slots=True)
class Ordered:
    """A replica answered an order, or did not; `outcome`: a `placement.order_types.OrderOutcome`."""

    now: identifiers.Millis
    order: int
    outcome: str
    took: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Reported:
    """A replica told what it holds (`ok`), or did not answer."""

    now: identifiers.Millis
    replica: identifiers.ReplicaId
    ok: bool
    report: Document
