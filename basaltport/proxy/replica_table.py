"""The replicas of the feed as typed rows, with an index of the replicas that hold an item."""

import collections.abc
import dataclasses
import typing

FeedRow = dict[str, typing.Any]
"""A replica's row as received from the feed; only `ReplicaRow.read` accesses its keys."""
READY = "ready"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRow:
    """A replica as last reported by the leader.

    `slots` is how many requests it runs concurrently, 0 if not reported. `models` maps loaded models to their
    loaded adapters. `loading` lists the items that it is loading.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int
    models: collections.abc.Mapping[str, collections.abc.Sequence[str]]
    loading: collections.abc.Sequence[str]
    source: FeedRow
    """The original row of the feed, which is replaced and never modified."""

    @classmethod
    def read(cls, replica_id: str, row: FeedRow) -> "ReplicaRow":
        """Create the typed row from a row of the feed."""
        return cls(
            replica_id,
            row["service"],
            row["address"],
            row["zone"],
            row["state"],
            row.get("slots") or 0,
            row["models"],
            row.get("loading", ()),
            row,
        )

    def items(self) -> collections.abc.Iterator[str]:
        """Yield the items it holds: models and `model/adapter`; "" stands for the whole service."""
        yield ""
        for model, adapters in self.models.items():
            yield model
            for adapter in adapters:
                yield f"{model}/{adapter}"


class ReplicaTable:
    """Replicas by id, and by service and item; rebuilt only if the rows of the feed changed."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.replicas: dict[str, ReplicaRow] = {}
        self._source: dict[str, FeedRow] | None = None
        self._by_item: dict[tuple[str, str], list[str]] = {}

    def refresh(self, rows: dict[str, FeedRow]) -> None:
        """Update the table to the current rows of the feed, keeping their order, which decides between
        equal scores."""
        if rows is self._source:
            return
        former_replicas, replicas = self.replicas, {}
        by_item: dict[tuple[str, str], list[str]] = {}
        for replica_id, row in rows.items():
            previous = former_replicas.get(replica_id)
            replica = previous if previous and previous.source is row else ReplicaRow.read(replica_id, row)
            replicas[replica_id] = replica
            for item in replica.items():
                by_item.setdefault((replica.service, item), []).append(replica_id)
        self.replicas, self._source, self._by_item = replicas, rows, by_item

    def holders(self, service: str, item: str) -> collections.abc.Sequence[str]:
        """Returns the ids of the replicas of a service that hold an item."""
        return self._by_item.get((service, item), ())
