"""The replicas of the feed as typed rows, and which of them hold an item."""

import collections.abc
import dataclasses
import typing

FeedRow = dict[str, typing.Any]
"""A replica's row as the feed has it; `ReplicaRow.read` alone knows its keys."""
READY = "ready"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRow:
    """A replica as the leader last told of it. `slots`: how many requests it works on at once, 0 if it did
    not say. `models`: adapters by model, as held now. `loading`: items that it loads."""

    replica_id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int
    models: collections.abc.Mapping[str, collections.abc.Sequence[str]]
    loading: collections.abc.Sequence[str]
    source: FeedRow
    """The feed's own row, which is replaced and never changed."""

    @classmethod
    def read(cls, replica_id: str, row: FeedRow) -> "ReplicaRow":
        """A row of the feed."""
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
        """What it holds: models and `model/adapter`; "" stands for the whole service."""
        yield ""
        for model, adapters in self.models.items():
            yield model
            for adapter in adapters:
                yield f"{model}/{adapter}"


class ReplicaTable:
    """Replicas by id, and by service and item. Made anew only where the feed's rows are other ones."""

    def __init__(self) -> None:
        """No replicas yet."""
        self.replicas: dict[str, ReplicaRow] = {}
        self._source: dict[str, FeedRow] | None = None
        self._by_item: dict[tuple[str, str], list[str]] = {}

    def refresh(self, rows: dict[str, FeedRow]) -> None:
        """Take the feed's rows as they are now. Their order is kept: it decides between equals."""
        if rows is self._source:
            return
        before, replicas = self.replicas, {}
        by_item: dict[tuple[str, str], list[str]] = {}
        for replica_id, row in rows.items():
            known = before.get(replica_id)
            replica = known if known and known.source is row else ReplicaRow.read(replica_id, row)
            replicas[replica_id] = replica
            for item in replica.items():
                by_item.setdefault((replica.service, item), []).append(replica_id)
        self.replicas, self._source, self._by_item = replicas, rows, by_item

    def holders(self, service: str, item: str) -> collections.abc.Sequence[str]:
        """Ids of the replicas of a service that hold an item."""
        return self._by_item.get((service, item), ())
