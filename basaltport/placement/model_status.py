"""The status of an item that is sent to proxies without a replica for it, as defined by ADR 0041."""

import enum
import typing

import basaltport.cold_start.limits as limits
import basaltport.placement.replica_rows as replica_rows
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

IDLE_WINDOW_MS = 60_000
"""The idle window that proxies are told: how long a model counts as loaded after its last use."""
ADAPTER_LOAD_MS = 50
"""Expected duration of an adapter load before one was measured."""
DISK_LOAD_FACTOR = 0.65
"""Expected duration of a load from disk relative to one from the store, before one was measured."""
UNKNOWN_LOAD_MS = 1000
"""Expected duration of a load from the store for a model that is not configured."""
NOT_SERVING = -1
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 1000


class ModelState(enum.StrEnum):
    """Whether an item is loaded, can be loaded, or is unavailable."""

    LOADED = "loaded"
    LOADING = "loading"
    UNAVAILABLE = "unavailable"


class ModelStatus(typing.NamedTuple):
    """The state of an item and the expected duration of its load, as sent to proxies; times in ms."""

    state: ModelState
    retry_after_ms: int
    expected_ms: int
    """90th percentile of recent loads of the same class."""
    kept: bool
    """Whether the model is hot, so that copies of it stay loaded."""
    idle_window_ms: int
    serving_for_ms: int
    """Time since the oldest current copy was loaded; -1 if there is none."""

    def document(self) -> replica_rows.Document:
        """Return the status as the document that is sent to proxies."""
        return {**self._asdict(), "state": self.state.value}


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ModelStatusMixin(Needs):
    """Computes the status of items and the expected duration of loads."""

    now: int

    def load_ms(self, service: str, model: str, from_disk: bool) -> float:
        """Return the expected duration of a load: the median of recent ones, else the configured value."""
        durations = self.load_durations.get((service, "disk" if from_disk else "store"))
        if durations:
            return sorted(durations)[len(durations) // 2]
        known = self.catalog.model(service, model)
        return (known.load_ms if known else UNKNOWN_LOAD_MS) * (DISK_LOAD_FACTOR if from_disk else 1)

    def expected_ms(self, item: str) -> float:
        """Return the expected load time of an item: the 90th percentile of the last 20 loads of its class."""
        model, _, adapter = item.partition("/")
        services = self.catalog.services_of.get(model, ())
        if not services:
            return 0
        service = services[0]
        on_disk = any(self.replicas[i].next_step().from_disk for i in self.loading_on.get(model, ()))
        durations = self.load_durations.get((service.name, "disk" if on_disk else "store"))
        model_ms: float = limits.expected_load_ms(durations, service.models[model].load_ms)
        if not adapter:
            return model_ms
        durations = self.load_durations.get((service.name, "adapter"))
        adapter_ms: float = limits.expected_load_ms(durations, ADAPTER_LOAD_MS)
        return adapter_ms if self.is_served(model) else model_ms + adapter_ms

    def model_status(self, now: int, item: str) -> ModelStatus:
        """Return the status of an item at the time `now`."""
        self.now = now
        expected_ms = int(self.expected_ms(item))
        kept = item.partition("/")[0] in self.hot_models
        copies = self.copies(item)
        if copies:
            serving_for_ms = max(0, now - min(self.held_since(replica, item) for replica in copies))
            return ModelStatus(
                ModelState.LOADED, MIN_RETRY_AFTER_MS, expected_ms, kept, IDLE_WINDOW_MS, serving_for_ms
            )
        found = ModelState.LOADING if self.can_be_served(item) else ModelState.UNAVAILABLE
        retry_ms = int(
            min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, self.remaining_ms(item, expected_ms) / 2))
        )
        return ModelStatus(found, retry_ms, expected_ms, kept, IDLE_WINDOW_MS, NOT_SERVING)

    def held_since(self, replica: replica_state.Replica, item: str) -> int:
        """Return the time at which an item was loaded on a replica."""
        model, _, adapter = item.partition("/")
        loaded = replica.models[model]
        return loaded.adapters[adapter] if adapter else loaded.since

    def remaining_ms(self, item: str, expected_ms: float) -> float:
        """Return the expected time in ms until an item is loaded."""
        model = item.partition("/")[0]
        for replica_id in self.loading_on.get(item, ()) or self.loading_on.get(model, ()):
            for step in self.replicas[replica_id].steps():
                if step.accepted and step.first_sent_at is not None:
                    return expected_ms - (self.now - step.first_sent_at)
            return expected_ms
        engines = max(1, sum(1 for replica in self.replicas.values() if replica.has_engine))
        return expected_ms * (1 + len(self.waiting) / engines)

    def can_be_served(self, item: str) -> bool:
        """Whether some replica could load an item; true for known items until the first list was read."""
        if not self.catalog.knows(item):
            return False
        if not self.list_known:
            return True
        name, _, adapter = item.partition("/")
        for service in self.catalog.services_of[name]:
            model = service.models[name]
            needed_mb = model.weights_mb + (model.adapter_mb if adapter else 0)
            if needed_mb > service.memory_mb or adapter and service.adapter_slots < 1:
                continue
            if any(r.service == service.name and self.may_serve(r) for r in self.replicas.values()):
                return True
        return False

    def may_serve(self, replica: replica_state.Replica) -> bool:
        """Whether a replica is ready, is not about to leave, and is in no evacuated zone."""
        stays = replica.state == replica_rows.READY and replica.leaves_in_ms is None
        return stays and replica.zone not in self.evacuated_zones
