"""The rows of replicas as the platform lists and reports them, and as the feed gives them to proxies."""

import collections.abc
import typing

import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
Models = dict[str, list[str]]
"""The names of models, each with those of its adapters."""
READY = "ready"


class ListedReplica(typing.NamedTuple):
    """A row of the platform's list, in the product's words."""

    id: identifiers.ReplicaId
    service: str
    address: str
    zone: str
    slots: int | None
    """Requests that it runs at once; None where the list does not say."""
    state: str
    """`ready`, or `draining` once the platform takes it away."""
    leaves_in_ms: int | None
    """When it goes, in ms from when the list was read; None where it stays."""
    cold_ms: int
    """For how long it is still warming up."""
    models: Models

    @classmethod
    def read(cls, document: Document) -> "ListedReplica":
        """A row of the list; KeyError where it lacks what every row has."""
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
    """What a replica says of itself."""

    models: Models
    busy: bool
    """Whether an order runs there."""
    taken: int
    """How many orders it has taken since its start."""

    @classmethod
    def read(cls, document: Document) -> "ReplicaReport":
        """A report; KeyError where it names no models, or not how many orders were taken."""
        return cls(document["models"], bool(document.get("busy")), int(document["orders"]))


def feed_row(listed: ListedReplica, models: Models, loading: list[str]) -> Document:
    """The row that proxies get: as listed, but with what the replica is believed to hold and load."""
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
    """Whether two rows of the feed differ by no more than how much time is left."""
    return _without_times(old) == _without_times(new)


def _without_times(row: Document) -> collections.abc.Mapping[str, object]:
    return {**row, "leaves_in_ms": row["leaves_in_ms"] is None, "cold_ms": row["cold_ms"] > 0}
