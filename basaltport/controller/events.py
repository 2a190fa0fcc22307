"""The controller's own events, which report the results of placement's effects."""

import dataclasses
import typing

import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Listed:
    """The platform's list of replicas was read, or could not be read if `ok` is false; `rows` holds all
    replicas in the controller's own format."""

    now: identifiers.Millis
    ok: bool
    rows: list[Document]


@dataclasses.dataclass(slots=True)
class Ordered:
    """An order ended; `outcome` is a `placement.order_types.OrderOutcome` and `took` the duration in ms."""

    now: identifiers.Millis
    order: int
    outcome: str
    took: identifiers.Millis


@dataclasses.dataclass(slots=True)
class Reported:
    """A replica reported its loaded models, or didn't answer if `ok` is false."""

    now: identifiers.Millis
    replica: identifiers.ReplicaId
    ok: bool
    report: Document
