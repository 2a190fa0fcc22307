"""Choice of the replica that loads an item, and of the items that are evicted there.

Costs are expected waits of requests in ms: for the load itself, for requests that run beside it, and for
evicted items that are requested again. The replica with the lowest cost is chosen.
"""

import typing

import basaltport.placement.catalog as catalog
import basaltport.placement.order_types as order_types
import basaltport.placement.replica_rows as replica_rows
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

MIN_RESIDENCY_MS = 1000
"""An item that was loaded less than this ago is not evicted."""
SPARE_MIN_RESIDENCY_MS = 3000
"""A model that was loaded less than this ago is not evicted for a spare copy."""
OTHER_ZONE_COST = 80
"""Cost of serving all requests from another zone; scaled by the share that waits elsewhere."""
NO_EVICTION_BONUS = 150
"""Cost reduction for a replica that has enough free memory and need not evict anything."""
STORE_COST = 100
"""Cost of a load from the store, since it takes a permit that other loads need."""
EVICTION_COST = 40
"""Cost of each eviction, besides that of the evicted item."""
IN_USE_COST = 1500
"""Cost of evicting an item that requests are likely to be using."""
LAST_HOT_COPY_COST = 3000
"""Cost of evicting the only copy of a hot model in one of its hot zones."""
AWAITED_COST = 6000
"""Cost of evicting the only copy of an item that requests wait for, or of the model of such an adapter."""
SPARE_COST_LIMIT = 1200
"""Models whose eviction costs this much or more are not evicted for a spare copy."""
HOT_COST_LIMIT = 5900
"""Models whose eviction costs this much or more are not evicted for a copy that a hot model lacks."""
OTHER_COPIES_FACTOR = 0.3
"""Factor of the eviction cost of an item that other replicas also have."""
UNANSWERED_LIMIT = 2
"""A replica with this many consecutive unanswered orders or reports gets no requests and no plans."""
MAX_ADAPTER_LOADS_COST = 300

Unloaded = typing.TypeVar("Unloaded")


class Choice(typing.NamedTuple, typing.Generic[Unloaded]):
    """The replica chosen for a load, the total cost, and the unloads that make room there."""

    cost: float
    replica: replica_state.Replica
    unloads: list[Unloaded]


class Eviction(typing.NamedTuple, typing.Generic[Unloaded]):
    """The items to evict to make room on a replica, and the total cost."""

    cost: float
    unloads: list[Unloaded]


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ReplicaChoiceMixin(Needs):
    """Chooses replicas and evictions by cost; it reads the state of Placement and does not change it."""

    def usable(self, replica: replica_state.Replica) -> bool:
        """Whether requests may be sent to a replica."""
        return (
            replica.state == replica_rows.READY
            and replica.leaves_in_ms is None
            and replica.zone not in self.evacuated_zones
            and replica.unanswered < UNANSWERED_LIMIT
        )

    def idle_replicas(self) -> list[replica_state.Replica]:
        """Return the replicas that can start a plan now."""
        if self.now < self.orders_allowed_at:
            return []
        fit = [
            replica
            for replica in self.replicas.values()
            if replica.plan is None and replica.verified and replica.has_engine and self.usable(replica)
        ]
        return [r for r in fit if self.now >= r.no_orders_until and self.may_order(r.id)]

    def is_served(self, item: str) -> bool:
        """Whether a usable replica serves an item."""
        return any(self.usable(self.replicas[i]) for i in self.serving_ids.get(item, ()))

    def copies(self, item: str) -> list[replica_state.Replica]:
        """Return the usable replicas that serve an item."""
        return [self.replicas[i] for i in self.serving_ids.get(item, ()) if self.usable(self.replicas[i])]

    # models

    def choose_for_model(
        self,
        model: str,
        requests: state.RequestsByZone,
        idle: list[replica_state.Replica],
        cost_limit: float | None = None,
    ) -> Choice[str] | None:
        """Return the cheapest idle replica for a model, with the models to unload there, or None.

        `cost_limit`: models whose eviction costs this much or more are not evicted.
        """
        best: Choice[str] | None = None
        total, with_weights = sum(requests.values()), self.disk_copies.get(model, set())
        for replica in idle:
            from_disk = replica.id in with_weights
            if not from_disk and self.permits.get(replica.service, 0) < 1:
                continue
            known = self.catalog.model(replica.service, model)
            barred = replica.backoff_until.get(model, 0) > self.now
            if known is None or model in replica.models or barred:
                continue
            cost = self.load_ms(replica.service, model, from_disk) + (0 if from_disk else STORE_COST)
            cost += OTHER_ZONE_COST * (1 - requests.get(replica.zone, 0) / total) if total else 0
            busy_cost = 100 * replica.running / replica.slots + self.adapter_loads_cost(replica)
            cost += busy_cost + self.rng.random()
            if best and cost - NO_EVICTION_BONUS >= best.cost:
                continue
            eviction = self.plan_eviction(replica, known.weights_mb, cost_limit)
            if eviction is None:
                continue
            cost += eviction.cost if eviction.unloads else -NO_EVICTION_BONUS
            if best is None or cost < best.cost:
                best = Choice(cost, replica, eviction.unloads)
        return best

    def adapter_loads_cost(self, replica: replica_state.Replica) -> float:
        """Return the cost of a load for the adapter loads that it would delay on a replica."""
        rates = [self.adapter_loads[m].read(self.now) for m in replica.models if m in self.adapter_loads]
        return min(MAX_ADAPTER_LOADS_COST, 100 * sum(rates))

    def plan_eviction(
        self,
        replica: replica_state.Replica,
        needed_mb: float,
        cost_limit: float | None = None,
        keep: str = "",
    ) -> Eviction[str] | None:
        """Return the cheapest models to evict for `needed_mb` of free memory, or None if that is impossible.

        The model `keep`, recently loaded models, and models whose eviction costs `cost_limit` or more are not
        evicted.
        """
        room_mb = self.catalog.services[replica.service].memory_mb - replica.used_mb(self.catalog)
        if room_mb >= needed_mb:
            return Eviction(0.0, [])
        fresh_ms = SPARE_MIN_RESIDENCY_MS if cost_limit == SPARE_COST_LIMIT else MIN_RESIDENCY_MS
        candidates = []
        for model, loaded in replica.models.items():
            stays = loaded.unloading or model == keep or self.now - loaded.since < fresh_ms
            cost = None if stays else self.model_eviction_cost(replica, model)
            if cost is not None and (cost_limit is None or cost < cost_limit):
                candidates.append((cost, self.now - self.idle_ms(model), model))
        candidates.sort()
        total = 0.0
        unloads: list[str] = []
        for cost, _, model in candidates:
            room_mb += replica.model_mb(self.catalog, model)
            total += cost + EVICTION_COST
            unloads.append(model)
            if room_mb >= needed_mb:
                return Eviction(total, unloads)
        return None

    def model_eviction_cost(self, replica: replica_state.Replica, model: str) -> float | None:
        """Return the cost of evicting a model from a replica, or None if a hot model would have too few
        copies.

        A model that is no longer configured costs nothing.
        """
        if self.catalog.model(replica.service, model) is None:
            return 0.0
        others = len(self.serving_ids.get(model, ())) - (replica.id in self.serving_ids.get(model, ()))
        reload_ms = self.load_ms(replica.service, model, True)
        cost = reload_ms * min(1.0, 3 * self.request_rate(model)) + 100 / (1 + self.idle_ms(model) / 1000)
        if others > 0:
            cost *= OTHER_COPIES_FACTOR
        if self.in_use(model):
            cost += IN_USE_COST
        hot = self.hot_models.get(model)
        if hot and others < hot.target_copies:
            return None
        if hot and self.only_copy_in_zone(replica, model, hot.zones):
            cost += LAST_HOT_COPY_COST + 10 * hot.rate
        if model in self.awaited_models and not others:
            cost += AWAITED_COST
        return cost

    def only_copy_in_zone(self, replica: replica_state.Replica, model: str, zones: set[str]) -> bool:
        """Whether a replica is in one of `zones` and is the only one of its zone that serves a model."""
        if replica.zone not in zones:
            return False
        others = [i for i in self.serving_ids.get(model, ()) if i != replica.id]
        return not any(self.replicas[i].zone == replica.zone for i in others)

    # adapters

    def choose_for_adapter(
        self, item: str, requests: state.RequestsByZone, idle: list[replica_state.Replica]
    ) -> Choice[replica_state.Step] | None:
        """Return the cheapest idle replica that has the adapter's model, with the unloads there, or None."""
        model, _, adapter = item.partition("/")
        best: Choice[replica_state.Step] | None = None
        total = sum(requests.values())
        with_model = self.serving_ids.get(model, set())
        for replica in idle:
            barred = replica.backoff_until.get(item, 0) > self.now
            if replica.id not in with_model or barred or adapter in replica.models[model].adapters:
                continue
            known = self.catalog.model(replica.service, model)
            if known is None or not known.has_adapter(adapter):
                continue
            cost = OTHER_ZONE_COST * (1 - requests.get(replica.zone, 0) / total) if total else 0.0
            cost += 100 * replica.running / replica.slots
            eviction = self.plan_adapter_eviction(replica, known)
            if eviction is None:
                continue
            cost += eviction.cost
            if best is None or cost < best.cost:
                best = Choice(cost, replica, eviction.unloads)
        return best

    def plan_adapter_eviction(
        self, replica: replica_state.Replica, model: catalog.Model
    ) -> Eviction[replica_state.Step] | None:
        """Return the cheapest unloads that make room for an adapter of a model, or None if that is
        impossible.

        Adapters are evicted first, and models only if that does not free enough memory.
        """
        service = self.catalog.services[replica.service]
        room_mb = service.memory_mb - replica.used_mb(self.catalog)
        open_slots = service.adapter_slots - replica.adapter_count()
        total = 0.0
        unloads: list[replica_state.Step] = []
        if room_mb >= model.adapter_mb and open_slots >= 1:
            return Eviction(total, unloads)
        for cost, name, adapter in self.adapter_eviction_costs(replica):
            if room_mb >= model.adapter_mb and open_slots >= 1:
                break
            room_mb += replica.adapter_mb(self.catalog, name)
            open_slots += 1
            total += cost + EVICTION_COST
            unloads.append(replica_state.Step(order_types.OrderKind.UNLOAD, name, adapter))
        if room_mb >= model.adapter_mb and open_slots >= 1:
            return Eviction(total, unloads)
        if open_slots < 1:
            return None
        eviction = self.plan_eviction(replica, model.adapter_mb, None, model.name)
        if eviction is None:
            return None
        unload = order_types.OrderKind.UNLOAD
        return Eviction(eviction.cost, [replica_state.Step(unload, name) for name in eviction.unloads])

    def adapter_eviction_costs(self, replica: replica_state.Replica) -> list[tuple[float, str, str]]:
        """Return the eviction cost, model and name of each evictable adapter, the cheapest first."""
        losses = []
        for model, loaded in replica.models.items():
            for adapter, since in loaded.adapters.items():
                if not loaded.unloading and self.now - since >= MIN_RESIDENCY_MS:
                    losses.append((self.adapter_eviction_cost(f"{model}/{adapter}"), model, adapter))
        return sorted(losses)

    def adapter_eviction_cost(self, item: str) -> float:
        """Return the cost of evicting an adapter."""
        cost = 1000 / (1 + self.idle_ms(item) / 1000)
        if len(self.serving_ids.get(item, ())) > 1:
            cost *= OTHER_COPIES_FACTOR
        if self.in_use(item):
            cost += IN_USE_COST
        return cost + (AWAITED_COST if item in self.waiting else 0)
