"""Events of a controller beside those of every member: what came of Placement's effects."""

import dataclasses

import basaltport.identifiers as identifiers

_d = dataclasses.dataclass(slots=True)


@_d
class Listed:
    """The whole list of replicas, in the product's words, where it could be read."""

    now: identifiers.Millis
    ok: bool
    rows: list


@_d
class Ordered:
    """`outcome`: accepted, done, busy, fenced, failed, unknown or moved; `took` in ms."""

    now: identifiers.Millis
    order: int
    outcome: str
    took: identifiers.Millis


@_d
class Reported:
    now: identifiers.Millis
    replica: identifiers.ReplicaId
    ok: bool
    report: dict
