"""Placement of models on replicas: a state machine owned by the leading controller.

Items that requests wait for are placed first, ranked by waiting time and number of requests; an adapter is
loaded on a replica that has its model. Hot models get copies in the zones with demand for them, and models
with little demand are evicted to make room. Each replica executes one plan at a time: the unloads that free
memory, then one load.
"""

import collections
import collections.abc
import random
import typing

import basaltport.placement.catalog as catalog
import basaltport.placement.demand as demand
import basaltport.placement.disk_loads as disk_loads
import basaltport.placement.held_models as held_models
import basaltport.placement.load_durations as load_durations
import basaltport.placement.model_copies as model_copies
import basaltport.placement.model_status as model_status
import basaltport.placement.order_invariants as order_invariants
import basaltport.placement.order_types as order_types
import basaltport.placement.overdue_bound as overdue_bound
import basaltport.placement.overdue_loads as overdue_loads
import basaltport.placement.plan_execution as plan_execution
import basaltport.placement.replica_choice as replica_choice
import basaltport.placement.replica_inventory as replica_inventory
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state
import basaltport.placement.store_permits as store_permits
import basaltport.placement.token_bucket as token_bucket
import basaltport.placement.wait_outcomes as wait_outcomes
import basaltport.placement.waiting_items as waiting_items

ORDER_DELAY_MS = 3700
"""Time without orders after a leader change, so that no order of the former leader is under way."""
WAIT_TIMEOUT_MS = 1500
"""The wait for an item ends when no proxy has reported it for this long."""
ORDER_SILENCE_MS = 600
"""A replica that leaves an order unanswered for this long counts as unresponsive."""
MAX_WAIT_AGE_MS = 600_000
"""Upper limit on the age of a wait as reported by a proxy."""
COPY_CHECK_INTERVAL_MS = 200
ITEMS_PER_INTERVAL_MS = 5
"""A placement pass looks at every waiting item, so the interval between passes that new demand triggers grows
by 1 ms for each group of this many waiting items."""
NEVER = -(10**9)
AWAITED = order_types.LoadReason.AWAITED
SERVED = wait_outcomes.WaitOutcome.SERVED
ABANDONED = wait_outcomes.WaitOutcome.ABANDONED


class AwaitedItems(typing.NamedTuple):
    """The models and adapters that requests wait for and that still need a plan, each sorted by rank."""

    models: dict[str, dict[str, float]]
    """Number of waiting requests by model and zone, including those for adapters of an unloaded model."""
    adapters: list[str]
    """Adapters whose model is already loaded on a usable replica."""


class Placement(
    plan_execution.PlanExecutionMixin,
    load_durations.LoadDurationsMixin,
    replica_inventory.ReplicaInventoryMixin,
    held_models.HeldModelsMixin,
    replica_choice.ReplicaChoiceMixin,
    model_copies.ModelCopiesMixin,
    disk_loads.DiskLoadsMixin,
    overdue_loads.OverdueLoadsMixin,
    overdue_bound.OverdueBoundMixin,
    store_permits.StorePermitsMixin,
    demand.DemandMixin,
    model_status.ModelStatusMixin,
    wait_outcomes.WaitOutcomesMixin,
):
    """Decides which replica loads and unloads which models, while its controller is the leader.

    Every call returns the effects to carry out (`effects`). `rows` holds the feed's rows by replica id, and
    `changed` the ids of rows that changed since the owner last emptied it. The owner sets `may_order(replica
    id)`, which returns whether an order to that replica can be sent now. Times are in ms.
    """

    def __init__(
        self,
        rng: random.Random,
        order_delay_ms: int = ORDER_DELAY_MS,
        list_ms: int = replica_inventory.LIST_INTERVAL_MS,
    ) -> None:
        """Create an idle state machine, which `start` activates.

        `order_delay_ms`: time after `start` in which no order is sent; `list_ms`: interval between list
        requests.
        """
        self.rng = rng
        self.order_delay_ms = order_delay_ms
        self.list_interval_ms = list_ms
        self.catalog = catalog.Catalog()
        self.evacuated_zones: set[str] = set()
        self.invariants = order_invariants.InvariantChecks()
        self.load_durations: dict[tuple[str, str], list[int]] = {}
        self.load_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.wait_counts: collections.Counter[str] = collections.Counter()
        self.last_order = 0
        self.now = 0
        self.may_order: collections.abc.Callable[[str], bool] = lambda replica_id: True
        self.rows: dict[str, state.Document] = {}
        self.changed: set[str] = set()
        self.clear()

    def clear(self) -> None:
        """Reset all state but the configuration, the measured load durations and the counters."""
        self.leading = self.deposed = False
        self.pending_effects: state.Effects = []
        self.changed |= set(self.rows)
        self.rows = {}
        self.orders_allowed_at = 0
        self.clear_replicas()
        self.clear_waiting()
        self.reset_demand()

    def clear_replicas(self) -> None:
        """Reset the replicas, their models and the orders in flight."""
        self.replicas: dict[str, replica_state.Replica] = {}
        self.serving_ids: dict[str, set[str]] = {}
        self.disk_copies: dict[str, set[str]] = {}
        self.loading_on: dict[str, set[str]] = {}
        self.busy_replicas: dict[str, replica_state.Replica] = {}
        self.in_flight: dict[int, str] = {}
        self.removed_at: dict[str, int] = {}
        self.loaded_sizes: dict[str, dict[str, float]] = {}
        self.known_ids: set[str] = set()
        self.usable_zones: set[str] = set()
        self.list_pending, self.list_requested_at = False, NEVER
        self.list_wanted_at = NEVER
        """A list is requested at this time even if the interval has not passed."""
        self.list_known = self.needs_placing = False

    def clear_waiting(self) -> None:
        """Reset the waiting items and the load permits of the stores."""
        self.waiting: dict[str, waiting_items.WaitingItem] = {}
        self.awaited_models: dict[str, int] = {}
        self.overdue_cache: dict[str, overdue_loads.OverdueCheck] = {}
        self.last_pass_at = self.demand_reported_at = NEVER
        self.adapter_loads: dict[str, demand.Rate] = {}
        self.lost_models: dict[str, int] = {}
        self.store_buckets: dict[str, token_bucket.TokenBucket] = {}
        self.permits: dict[str, float] = {}
        self.reset_wait_outcomes()
        self.reset_overdue_bound()

    def start(self, now: int, fence: int, holder: str, order_delay_ms: int | None = None) -> state.Effects:
        """Start as the leader, named `holder`, under the fencing token `fence`."""
        self.clear()
        self.now, self.leading = now, True
        self.fence, self.holder = fence, holder
        self.orders_allowed_at = now + (self.order_delay_ms if order_delay_ms is None else order_delay_ms)
        self.update_buckets()
        self.request_list()
        return self.pending_effects

    def stop(self) -> state.Effects:
        """Stop sending orders, since this controller is no longer the leader."""
        self.leading = False
        self.pending_effects = []
        return []

    def configure(
        self, now: int, document: state.Document | None, evacuated_zones: collections.abc.Iterable[str]
    ) -> state.Effects:
        """Apply a new configuration or a new set of evacuated zones."""
        self.now, self.pending_effects = now, []
        self.catalog, self.evacuated_zones = catalog.Catalog(document), set(evacuated_zones)
        self.update_buckets()
        for replica in self.replicas.values():
            self.update_has_engine(replica)
            self.update_row(replica)
        self.find_usable_zones()
        self.needs_placing = True
        if self.leading:
            self.place()
        return self.pending_effects

    def tick(self, now: int) -> state.Effects:
        """Perform all periodic and scheduled work that is due at `now`."""
        self.now, self.pending_effects = now, []
        if not self.leading:
            return []
        self.request_list()
        self.request_reports()
        self.continue_plans()
        if now - self.copies_checked_at >= COPY_CHECK_INTERVAL_MS:
            self.copies_checked_at = now
            self.find_hot_models()
            self.place()
            self.add_copies()
        elif self.needs_placing or self.waiting and now >= self.next_pass_at():
            self.place()
        return self.pending_effects

    def next_tick_at(self) -> int:
        """Return the time in ms at which the next tick has work to do.

        Orders are resent on schedule only if the owner ticks at that time.
        """
        list_ms = replica_inventory.ANSWER_TIMEOUT_MS if self.list_pending else self.list_interval_ms
        list_due = self.list_requested_at + list_ms
        if not self.list_pending and self.list_requested_at < self.list_wanted_at:
            list_due = min(list_due, self.list_wanted_at)
        if self.now < self.orders_allowed_at:
            return min(list_due, self.orders_allowed_at)
        times = [list_due]
        times += [s.next_send_at for r in self.busy_replicas.values() for s in r.steps()[:1] if not s.order]
        for replica in self.replicas.values():
            needs_no_report = replica.verified or replica.report_requested_at is not None
            if replica.has_engine and not needs_no_report and self.may_order(replica.id):
                times.append(replica.report_at)
            if self.waiting and replica.no_orders_until > self.now:
                times.append(replica.no_orders_until)
        if self.waiting and self.idle_replicas():
            ready = [bucket.ready_at(self.now) for bucket in self.store_buckets.values()]
            times += [time for time in ready if time and time > self.now]
        if self.demand_reported_at > self.last_pass_at:
            times.append(self.next_pass_at())
        return min(times)

    # waiting requests

    def requests_waiting(
        self,
        now: int,
        zone: str,
        items: dict[str, int],
        waited_ms: collections.abc.Mapping[str, int] | None = None,
    ) -> state.Effects:
        """Record how many requests in a zone wait for each of `items`, and place them if a pass is due.

        `waited_ms`: how long a proxy has had requests for each item, including time under former leaders and
        requests that have ended since.
        """
        self.now, self.pending_effects = now, []
        if not self.leading:
            return []
        for item, requests in items.items():
            if requests <= 0 or not self.catalog.knows(item):
                continue
            waiting = self.waiting.get(item)
            if waiting is None:
                waiting = self.start_wait(item)
            waiting.record_requests(now, zone, requests)
            if waited_ms and not self.is_served(item):
                waiting.extend_wait(now - min(MAX_WAIT_AGE_MS, waited_ms.get(item, 0)))
        self.demand_reported_at = now
        if now >= self.next_pass_at():
            self.place()
        return self.pending_effects

    def next_pass_at(self) -> int:
        """Return the earliest time of the next placement pass that new demand may trigger."""
        return self.last_pass_at + len(self.waiting) // ITEMS_PER_INTERVAL_MS

    def end_finished_waits(self) -> None:
        """End the waits for items that are no longer reported by proxies or that are loaded by now."""
        for item, waiting in list(self.waiting.items()):
            if self.now - waiting.last_requested_at > WAIT_TIMEOUT_MS:
                self.end_wait(item, SERVED if self.is_served(item) else ABANDONED)
                continue
            if len(waiting.zones) > 1:
                waiting.forget_before(self.now - WAIT_TIMEOUT_MS)
            copies = self.copies(item)
            if not copies:
                waiting.extra_copy_at = self.now
            elif waiting.needs_extra_copy(self.now) and waiting.last_requested_at > waiting.extra_copy_at:
                continue
            elif waiting.last_requested_at <= max(self.held_since(replica, item) for replica in copies):
                self.end_wait(item, SERVED)
        self.awaited_models, self.overdue_cache = {}, {}
        for item, waiting in self.waiting.items():
            model = item.partition("/")[0]
            self.awaited_models[model] = min(waiting.since, self.awaited_models.get(model, waiting.since))

    def place(self) -> None:
        """Run a placement pass: start plans for waiting items, then check the bound of overdue loads."""
        self.needs_placing = False
        self.last_pass_at = self.now
        if self.now < self.orders_allowed_at:
            return
        self.place_awaited()
        self.check_overdue_bound()

    def place_awaited(self) -> None:
        """Start plans for waiting items: first adapters, which load in milliseconds, then models by rank."""
        self.add_hot_copies()
        if not self.waiting:
            self.awaited_models, self.overdue_cache = {}, {}
            return
        self.end_finished_waits()
        idle = self.idle_replicas()
        if not idle:
            return
        self.update_permits()
        awaited = self.awaited_by_rank()
        for item in awaited.adapters:
            self.place_adapter(item, self.waiting[item], idle)
        self.place_overdue(awaited.models, idle)
        for model, requests in self.disk_loads_first(awaited.models, idle):
            if not idle:
                return
            if not self.is_loading(model) and not self.waits_for_disk_copy(model):
                self.place_model(model, requests, idle, AWAITED)

    def awaited_by_rank(self) -> AwaitedItems:
        """Return the waiting items that need a plan, highest rank first."""
        models: dict[str, dict[str, float]] = {}
        adapters = []
        for item, waiting in sorted(self.waiting.items(), key=lambda entry: -entry[1].rank(self.now)):
            held = self.is_served(item)
            if held and not waiting.needs_extra_copy(self.now) or self.is_loading(item):
                continue
            model = item.partition("/")[0]
            if model != item and self.is_served(model):
                adapters.append(item)
                continue
            if held:
                waiting.record_extra_copy(self.now)
            by_zone = models.setdefault(model, {})
            for zone, requests in waiting.requests_by_zone().items():
                by_zone[zone] = by_zone.get(zone, 0) + requests
        return AwaitedItems(models, adapters)

    def place_adapter(
        self, item: str, waiting: waiting_items.WaitingItem, idle: list[replica_state.Replica]
    ) -> None:
        """Start loading an adapter on an idle replica that has its model, if there is one."""
        choice = self.choose_for_adapter(item, waiting.requests_by_zone(), idle)
        if choice is None:
            return
        model = item.partition("/")[0]
        waiting.record_extra_copy(self.now)
        self.adapter_loads.setdefault(model, demand.Rate(self.now)).add(1, self.now)
        idle.remove(choice.replica)
        self.start_plan(
            choice.replica, item, [*choice.unloads, self.make_load_step(choice.replica, item)], AWAITED
        )

    def place_model(
        self,
        model: str,
        requests: state.RequestsByZone,
        idle: list[replica_state.Replica],
        reason: order_types.LoadReason,
        cost_limit: float | None = None,
    ) -> bool:
        """Start loading a model on the cheapest idle replica; return whether one could take it."""
        choice = self.choose_for_model(model, requests, idle, cost_limit)
        if choice is None:
            return False
        replica = choice.replica
        idle.remove(replica)
        load = self.make_load_step(replica, model)
        self.permits[replica.service] -= load.from_store
        unloads = [replica_state.Step(order_types.OrderKind.UNLOAD, name) for name in choice.unloads]
        self.count_overtaking(model, wait_outcomes.overtaking_load(reason, load.from_disk))
        self.start_plan(replica, model, [*unloads, load], reason)
        return True

    def make_load_step(self, replica: replica_state.Replica, item: str) -> replica_state.Step:
        """Return the step that loads an item on a replica."""
        model, _, adapter = item.partition("/")
        return replica_state.Step(order_types.OrderKind.LOAD, model, adapter, model in replica.disk_models)

    def is_loading(self, item: str) -> bool:
        """Whether a responsive replica is loading an item."""
        return any(self.is_responsive(self.replicas[i]) for i in self.loading_on.get(item, ()))

    def is_responsive(self, replica: replica_state.Replica) -> bool:
        """Whether a replica with a plan answers its orders in time."""
        step = replica.next_step()
        return (
            replica.unanswered == 0
            and self.usable(replica)
            and self.may_order(replica.id)
            and not (step.order and self.now - step.sent_at > ORDER_SILENCE_MS)
        )
