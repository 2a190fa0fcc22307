"""Documents about replicas: the platform's list, the replicas' reports, and the rows of the proxies' feed."""

import collections.abc
import typing

import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
Models = dict[str, list[str]]
"""The names of the adapters of each model, by model name."""
READY = "ready"
COLD_TOLERANCE_MS = 100
"""Ends of a warm-up that differ by less, as lists arrive sooner or later, count as the same."""


class ListedReplica(typing.NamedTuple):
    """A row of the platform's list of replicas."""

    id: identifiers.ReplicaId
    service: str
    address: str
    zone: str
    slots: int | None
    """Number of concurrent requests; None if the list does not contain it."""
    state: str
    """`ready`, or `draining` once the platform is about to remove the replica."""
    leaves_in_ms: int | None
    """Time in ms from the reading of the list until the replica leaves; None if it stays."""
    cold_ms: int
    """Remaining warm-up time in ms."""
    models: Models

    @classmethod
    def read(cls, document: Document) -> "ListedReplica":
        """Read a row of the list; raises KeyError if a mandatory field is missing."""
        return cls(
            document["id"],
            document["service"],
            document["address"],
            document["zone"],
            document.get("slots"),
            document["state"],
            document.get("leaves_in_ms"),
            document.get("cold_ms") or 0,
            document.get("models") or {},
        )


class ReplicaReport(typing.NamedTuple):
    """A replica's report about itself."""

    models: Models
    busy: bool
    """Whether the replica is executing an order."""
    orders_taken: int
    """Number of orders that the replica has accepted since its start."""

    @classmethod
    def read(cls, document: Document) -> "ReplicaReport":
        """Read a report; raises KeyError if the models or the number of accepted orders are missing."""
        return cls(document["models"], bool(document.get("busy")), int(document["orders"]))


def feed_row(listed: ListedReplica, models: Models, loading: list[str]) -> Document:
    """Return the row that proxies get: the listed fields, the known models, and the items being loaded."""
    return {
        "id": listed.id,
        "service": listed.service,
        "address": listed.address,
        "zone": listed.zone,
        "slots": listed.slots,
        "state": listed.state,
        "leaves_in_ms": listed.leaves_in_ms,
        "cold_ms": listed.cold_ms,
        "models": models,
        "loading": loading,
    }


def same_but_for_times(old: Document, new: Document) -> bool:
    """Whether two rows of the feed are equal apart from the values of remaining times."""
    return _without_times(old) == _without_times(new)


def _without_times(row: Document) -> collections.abc.Mapping[str, object]:
    return {**row, "leaves_in_ms": row["leaves_in_ms"] is None, "cold_ms": row["cold_ms"] > 0}
