"""The models and adapters on each replica, their sizes, and the index of replicas that serve an item."""

import typing

import basaltport.placement.replica_rows as replica_rows
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class HeldModelsMixin(Needs):
    """Updates the models and adapters of replicas, the index of serving replicas, and the feed's rows."""

    def add_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """Record that a model or adapter is loaded on a replica."""
        loaded = replica.models.get(model)
        if loaded is None:
            loaded = replica_state.LoadedModel(self.now, self.record_size(replica, model))
            replica.models[model] = loaded
            self.record_disk_copy(replica, model)
        self.abandoned_items.pop(f"{model}/{adapter}" if adapter else model, None)
        if adapter:
            known = self.catalog.model(replica.service, model)
            loaded.adapter_mb = max(loaded.adapter_mb, known.adapter_mb if known else 0.0)
            loaded.adapters[adapter] = self.now
            loaded.unloading_adapters.discard(adapter)
        self.index_items(replica)

    def record_size(self, replica: replica_state.Replica, model: str) -> float:
        """Record and return the largest size in MB that a model can have on a replica.

        It is the largest size in any configuration under which the model was ordered or found there; 0.0 if
        none named a size.
        """
        known = self.catalog.model(replica.service, model)
        sizes = self.loaded_sizes.setdefault(replica.id, {})
        sizes[model] = max(sizes.get(model, 0.0), known.weights_mb if known else 0.0)
        return sizes[model]

    def drop_size(self, replica: replica_state.Replica, model: str) -> None:
        """Drop the recorded size of a model that is certainly no longer on a replica."""
        self.loaded_sizes.get(replica.id, {}).pop(model, None)

    def record_disk_copy(self, replica: replica_state.Replica, model: str) -> None:
        """Record that a replica has the weights of a model on its disk."""
        replica.disk_models.add(model)
        self.disk_copies.setdefault(model, set()).add(replica.id)

    def remove_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """Record that a model or adapter is no longer on a replica."""
        loaded = replica.models.get(model)
        if loaded is None:
            return
        if adapter:
            loaded.adapters.pop(adapter, None)
            loaded.unloading_adapters.discard(adapter)
            self.unindex_item(replica, f"{model}/{adapter}")
            return
        for name in loaded.adapters:
            self.unindex_item(replica, f"{model}/{name}")
        del replica.models[model]
        self.unindex_item(replica, model)

    def index_items(self, replica: replica_state.Replica) -> None:
        """Add a replica to the index for every item that it serves."""
        for model, adapters in replica.serving().items():
            self.serving_ids.setdefault(model, set()).add(replica.id)
            for adapter in adapters:
                self.serving_ids.setdefault(f"{model}/{adapter}", set()).add(replica.id)

    def unindex_item(self, replica: replica_state.Replica, item: str) -> None:
        """Remove a replica from the index for an item."""
        replica_ids = self.serving_ids.get(item)
        if replica_ids:
            replica_ids.discard(replica.id)
            if not replica_ids:
                del self.serving_ids[item]

    def update_row(self, replica: replica_state.Replica) -> None:
        """Rebuild the feed's row of a replica.

        Remaining times that only pass do not mark it as changed; a replica that became cold again does.
        """
        row = replica_rows.feed_row(replica.listed, replica.serving(), replica.loading())
        former = self.rows.get(replica.id)
        self.rows[replica.id] = row
        is_cold_again = replica.cold_until > replica.fed_cold_until + replica_rows.COLD_TOLERANCE_MS
        if former is None or is_cold_again or not replica_rows.same_but_for_times(former, row):
            self.changed.add(replica.id)
            replica.fed_cold_until = replica.cold_until

    def hide_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """Stop routing requests to an item that is about to be unloaded or may be missing."""
        loaded = replica.models[model]
        if adapter:
            loaded.unloading_adapters.add(adapter)
            self.unindex_item(replica, f"{model}/{adapter}")
            return
        loaded.unloading = True
        for name in loaded.adapters:
            self.unindex_item(replica, f"{model}/{name}")
        self.unindex_item(replica, model)

    def unhide_all(self, replica: replica_state.Replica) -> None:
        """Route requests again to all items on a replica."""
        replica.hidden_items.clear()
        for loaded in replica.models.values():
            loaded.unloading = False
            loaded.unloading_adapters.clear()
        self.index_items(replica)

    def unhide_item(self, replica: replica_state.Replica, model: str, adapter: str) -> None:
        """Route requests again to an item that was hidden because lists lacked it."""
        replica.hidden_items.discard((model, adapter))
        loaded = replica.models.get(model)
        if loaded is None:
            return
        loaded.unloading_adapters.discard(adapter)
        loaded.unloading = loaded.unloading and bool(adapter)
        self.index_items(replica)
