"""Events of a keeper beside those of every member: what came of Placement's effects."""

import dataclasses

import basaltport.kinds as kinds

_d = dataclasses.dataclass(slots=True)


@_d
class Listed:
    """The whole list of replicas, in the product's words, where it could be read."""

    now: kinds.Millis
    ok: bool
    rows: list


@_d
class Ordered:
    """`outcome`: accepted, done, busy, fenced, failed, unknown or moved; `took` in ms."""

    now: kinds.Millis
    order: int
    outcome: str
    took: kinds.Millis


@_d
class Reported:
    now: kinds.Millis
    replica: kinds.ReplicaId
    ok: bool
    report: dict
