"""What a proxy is told about an item that it has no replica for: ADR 0041's facts."""

import enum
import typing

import basaltport.cold_start.limits as limits
import basaltport.placement.replica_rows as replica_rows
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

IDLE_WINDOW_MS = 60_000
ADAPTER_LOAD_MS = 50
"""What a load of an adapter takes, as long as none was measured."""
DISK_FACTOR = 0.65
"""A load from a replica's own disk takes this much of one from the store."""
UNKNOWN_LOAD_MS = 1000
NOT_SERVING = -1
RETRY_LEAST_MS = 100
RETRY_MOST_MS = 1000


class ModelState(enum.StrEnum):
    """How an item stands."""

    LOADED = "loaded"
    LOADING = "loading"
    UNAVAILABLE = "unavailable"


class ModelStatus(typing.NamedTuple):
    """How an item stands, and how long what requests for it wait for may take; times in ms."""

    state: ModelState
    retry_after_ms: int
    expected_ms: int
    """The 90th percentile of the last loads of its kind."""
    kept: bool
    """Whether it is hot, so that copies of it stay."""
    idle_window_ms: int
    serving_for_ms: int
    """For how long a replica has held it; -1 where none does."""

    def document(self) -> replica_rows.Document:
        """The form in which proxies are told."""
        return {**self._asdict(), "state": self.state.value}


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ModelStatusMixin(Needs):
    """Answers what becomes of requests for an item."""

    now: int

    def load_ms(self, service: str, model: str, from_disk: bool) -> float:
        """What a load is likely to take: the median of the last ones, else as configured."""
        durations = self.load_durations.get((service, "disk" if from_disk else "store"))
        if durations:
            return sorted(durations)[len(durations) // 2]
        known = self.catalog.model(service, model)
        return (known.load_ms if known else UNKNOWN_LOAD_MS) * (DISK_FACTOR if from_disk else 1)

    def expected_ms(self, item: str) -> float:
        """The 90th percentile of the last 20 loads of that kind."""
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
        return adapter_ms if self.is_held(model) else model_ms + adapter_ms

    def model_status(self, now: int, item: str) -> ModelStatus:
        """How one item stands."""
        self.now = now
        expected_ms = int(self.expected_ms(item))
        kept = item.partition("/")[0] in self.hot_models
        copies = self.copies(item)
        if copies:
            serving_for_ms = max(0, now - min(self.held_since(replica, item) for replica in copies))
            return ModelStatus(
                ModelState.LOADED, RETRY_LEAST_MS, expected_ms, kept, IDLE_WINDOW_MS, serving_for_ms
            )
        found = ModelState.LOADING if self.can_be_held(item) else ModelState.UNAVAILABLE
        retry_ms = int(min(RETRY_MOST_MS, max(RETRY_LEAST_MS, self.remaining_ms(item, expected_ms) / 2)))
        return ModelStatus(found, retry_ms, expected_ms, kept, IDLE_WINDOW_MS, NOT_SERVING)

    def held_since(self, replica: replica_state.Replica, item: str) -> int:
        """When an item came to a replica."""
        model, _, adapter = item.partition("/")
        loaded = replica.models[model]
        return loaded.adapters[adapter] if adapter else loaded.since

    def remaining_ms(self, item: str, expected_ms: float) -> float:
        """How long a load of it is likely to take from now on."""
        model = item.partition("/")[0]
        for replica_id in self.loading_on.get(item, ()) or self.loading_on.get(model, ()):
            for step in self.replicas[replica_id].steps():
                if step.accepted and step.first_sent_at is not None:
                    return expected_ms - (self.now - step.first_sent_at)
            return expected_ms
        engines = max(1, sum(1 for replica in self.replicas.values() if replica.has_engine))
        return expected_ms * (1 + len(self.waiting) / engines)

    def can_be_held(self, item: str) -> bool:
        """Whether some replica could hold it; true as long as no list was read."""
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
        """Whether a replica is ready, stays, and is in no evacuated zone."""
        stays = replica.state == replica_rows.READY and replica.leaves_in_ms is None
        return stays and replica.zone not in self.evacuated_zones
