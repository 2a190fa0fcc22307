"""What each replica holds, of which size, and which of it requests may go to."""

import typing

import basaltport.placement.replica_rows as replica_rows
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class HeldModelsMixin(Needs):
    """Keeps the models and adapters of replicas, the index of those that serve an item, and feed rows."""

    def add_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """A replica holds a model or adapter."""
        loaded = replica.models.get(model)
        if loaded is None:
            loaded = replica_state.LoadedModel(self.now, self.remember_size(replica, model))
            replica.models[model] = loaded
            self.note_weights_on_disk(replica, model)
        self.denied.pop(f"{model}/{adapter}" if adapter else model, None)
        if adapter:
            known = self.catalog.model(replica.service, model)
            loaded.adapter_mb = max(loaded.adapter_mb, known.adapter_mb if known else 0.0)
            loaded.adapters[adapter] = self.now
            loaded.unloading_adapters.discard(adapter)
        self.index_items(replica)

    def remember_size(self, replica: replica_state.Replica, model: str) -> float:
        """The largest size that a model can have there, in MB: that of any configuration under which it was
        ordered or found there. 0.0 where none has told one."""
        known = self.catalog.model(replica.service, model)
        sizes = self.loaded_sizes.setdefault(replica.id, {})
        sizes[model] = max(sizes.get(model, 0.0), known.weights_mb if known else 0.0)
        return sizes[model]

    def forget_size(self, replica: replica_state.Replica, model: str) -> None:
        """A model is surely not there any more."""
        self.loaded_sizes.get(replica.id, {}).pop(model, None)

    def note_weights_on_disk(self, replica: replica_state.Replica, model: str) -> None:
        """A replica has the weights of a model on its disk."""
        replica.disk_models.add(model)
        self.disk_copies.setdefault(model, set()).add(replica.id)

    def remove_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """A replica holds a model or adapter no more."""
        loaded = replica.models.get(model)
        if loaded is None:
            return
        if adapter:
            loaded.adapters.pop(adapter, None)
            loaded.unloading_adapters.discard(adapter)
            self.stop_serving(replica, f"{model}/{adapter}")
            return
        for name in loaded.adapters:
            self.stop_serving(replica, f"{model}/{name}")
        del replica.models[model]
        self.stop_serving(replica, model)

    def index_items(self, replica: replica_state.Replica) -> None:
        """Requests for what a replica serves may go there."""
        for model, adapters in replica.serving().items():
            self.holders.setdefault(model, set()).add(replica.id)
            for adapter in adapters:
                self.holders.setdefault(f"{model}/{adapter}", set()).add(replica.id)

    def stop_serving(self, replica: replica_state.Replica, item: str) -> None:
        """Requests for an item go there no more."""
        replica_ids = self.holders.get(item)
        if replica_ids:
            replica_ids.discard(replica.id)
            if not replica_ids:
                del self.holders[item]

    def update_row(self, replica: replica_state.Replica) -> None:
        """Make the feed's row of a replica anew; times alone do not make it a changed one."""
        row = replica_rows.feed_row(replica.listed, replica.serving(), replica.loading())
        former = self.rows.get(replica.id)
        self.rows[replica.id] = row
        if former is None or not replica_rows.same_but_for_times(former, row):
            self.changed.add(replica.id)

    def hide_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """What is to be unloaded, or may be gone, gets no requests any more."""
        loaded = replica.models[model]
        if adapter:
            loaded.unloading_adapters.add(adapter)
            self.stop_serving(replica, f"{model}/{adapter}")
            return
        loaded.unloading = True
        for name in loaded.adapters:
            self.stop_serving(replica, f"{model}/{name}")
        self.stop_serving(replica, model)

    def show_all(self, replica: replica_state.Replica) -> None:
        """Requests may go to all that the replica holds."""
        replica.doubted.clear()
        for loaded in replica.models.values():
            loaded.unloading = False
            loaded.unloading_adapters.clear()
        self.index_items(replica)

    def show_again(self, replica: replica_state.Replica, model: str, adapter: str) -> None:
        """What was hidden for a doubt gets requests again."""
        replica.doubted.discard((model, adapter))
        loaded = replica.models.get(model)
        if loaded is None:
            return
        loaded.unloading_adapters.discard(adapter)
        loaded.unloading = loaded.unloading and bool(adapter)
        self.index_items(replica)
