"""The state that the mixins of Placement share, and the methods that they call on each other. Times in ms."""

import collections
import collections.abc
import random
import typing

import basaltport.log_events as log_events
import basaltport.placement.catalog as catalog
import basaltport.placement.demand as demand
import basaltport.placement.effects as effects
import basaltport.placement.order_invariants as order_invariants
import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state
import basaltport.placement.token_bucket as token_bucket
import basaltport.placement.waiting_items as waiting_items

Effects = list[effects.Effect]
Document = dict[str, typing.Any]
RequestsByZone = collections.abc.Mapping[str, float]


class State(typing.Protocol):
    """The state of Placement, and the methods of one mixin that another calls."""

    rng: random.Random
    now: int
    order_delay_ms: int
    """Time after `start` in which no order is sent."""
    list_interval_ms: int
    catalog: catalog.Catalog
    evacuated_zones: set[str]
    load_durations: dict[tuple[str, str], list[int]]
    """Durations of recent loads in ms, by service and class of load (store, disk, adapter)."""
    last_order: int
    """The number of the last order."""
    may_order: collections.abc.Callable[[str], bool]
    """Returns whether an order to the replica of the given id can be sent now."""
    rows: dict[str, Document]
    """The feed's rows of replicas, by id."""
    changed: set[str]
    """Ids of the rows that changed since the owner last emptied this set."""
    invariants: order_invariants.InvariantChecks
    """Checks the invariants of orders and counts violations."""
    leading: bool
    deposed: bool
    """Whether a replica has refused an order because it knows a higher fencing token."""
    pending_effects: Effects
    replicas: dict[str, replica_state.Replica]
    load_counts: collections.Counter[tuple[str, str]]
    """Loads completed since the start of this process, by source (store, disk, adapter) and reason."""
    wait_counts: collections.Counter[str]
    """Waits that ended since the start of this process, by outcome."""
    serving_ids: dict[str, set[str]]
    """The ids of the replicas that serve each item."""
    loading_on: dict[str, set[str]]
    """The ids of the replicas that load each item."""
    busy_replicas: dict[str, replica_state.Replica]
    """The replicas that have a plan, by id."""
    in_flight: dict[int, str]
    """The id of the replica of each order without an outcome, by order number."""
    removed_at: dict[str, int]
    """When replicas were removed, so that an outdated list does not add them again."""
    loaded_sizes: dict[str, dict[str, float]]
    """The largest size in MB that each model can have on each replica, including removed replicas."""
    waiting: dict[str, waiting_items.WaitingItem]
    awaited_models: dict[str, int]
    """The models of all waiting items, each with the time since which its longest wait has lasted."""
    overdue_cache: dict[str, typing.Any]
    """Results of the last overdue check by model."""
    abandoned_items: dict[str, waiting_items.AbandonedItem]
    """Items by name whose wait was abandoned recently, the oldest first."""
    adapter_loads: dict[str, demand.Rate]
    """Rate of adapter loads by model."""
    usable_zones: set[str]
    known_ids: set[str]
    """The ids of all replicas that this leader has seen in a list."""
    lost_models: dict[str, int]
    """Models in use whose only copy was lost, with the time of the loss."""
    list_pending: bool
    list_requested_at: int
    list_known: bool
    needs_placing: bool
    """Whether something changed that may allow a plan to start."""
    store_buckets: dict[str, token_bucket.TokenBucket]
    permits: dict[str, float]
    """Number of further loads from the store that each service may start now."""
    disk_copies: dict[str, set[str]]
    """The ids of the replicas that have each model's weights on disk."""
    orders_allowed_at: int
    """Time from which orders may be sent."""
    fence: int
    holder: str
    request_rates: dict[str, dict[str, demand.Rate]]
    """Request rates by item and zone."""
    hot_models: dict[str, demand.HotModel]

    def stop(self) -> Effects:
        """Stop sending orders, since this controller is no longer the leader."""

    def log_event(self, event: log_events.Event, replica: replica_state.Replica, **fields: object) -> None:
        """Log an event about a replica, with the items that it is known to hold."""

    def check_invariant(
        self,
        invariant: order_invariants.OrderInvariant,
        holds: bool,
        replica: replica_state.Replica,
        what: str,
    ) -> bool:
        """Return whether an order invariant holds for a replica; count and log a violation."""

    def check_fleet_invariant(
        self, invariant: order_invariants.OrderInvariant, holds: bool, what: str
    ) -> bool:
        """Return whether a fleet-wide order invariant holds; count and log a violation."""

    def overdue_order(self, model: str) -> tuple[bool, int]:
        """Return the sort key of an overdue model: models on no disk first, then by longest wait."""

    def give_back_permit(self, replica: replica_state.Replica, step: replica_state.Step) -> None:
        """Return a refused load's permit to its bucket, unless an earlier send may have been accepted."""

    def record_plan_duration(self, plan: replica_state.Plan) -> None:
        """Record the duration of a plan that was completed or abandoned."""

    def place(self) -> None:
        """Run a placement pass: start plans for waiting items, then check the bound of overdue loads."""

    def update_permits(self) -> None:
        """Update the number of further loads from each store that may start now, after those planned."""

    def idle_replicas(self) -> list[replica_state.Replica]:
        """Return the replicas that can start a plan now."""

    def place_model(
        self,
        model: str,
        requests: RequestsByZone,
        idle: list[replica_state.Replica],
        reason: order_types.LoadReason,
        cost_limit: float | None = None,
    ) -> bool:
        """Start loading a model on the cheapest idle replica; return whether one could take it."""

    def is_loading(self, item: str) -> bool:
        """Whether a responsive replica is loading an item."""

    def is_responsive(self, replica: replica_state.Replica) -> bool:
        """Whether a replica with a plan answers its orders in time."""

    def zone_rates(self, item: str) -> dict[str, float]:
        """Return the requests per second for an item in each zone with demand for it."""

    def usable(self, replica: replica_state.Replica) -> bool:
        """Whether requests may be sent to a replica."""

    def may_serve(self, replica: replica_state.Replica) -> bool:
        """Whether a replica is ready, is not about to leave, and is in no evacuated zone."""

    def is_served(self, item: str) -> bool:
        """Whether a usable replica serves an item."""

    def copies(self, item: str) -> list[replica_state.Replica]:
        """Return the usable replicas that serve an item."""

    def request_rate(self, item: str) -> float:
        """Return the requests per second for an item over all zones."""

    def idle_ms(self, item: str) -> int:
        """Return the time in ms since the last request for an item."""

    def in_use(self, item: str) -> bool:
        """Whether requests for an item are likely to be running still, judged by its last request."""

    def disk_replica_ids(self, model: str) -> set[str]:
        """Return the ids of the replicas that have a model's weights on disk."""

    def awaited_for_ms(self, model: str) -> int:
        """Return how long in ms requests have waited for a model or its adapters, or 0 if none wait."""

    def is_overdue(self, model: str) -> bool:
        """Whether a model has waited so long that shorter loads no longer precede it, lest it starve."""

    def unreserved_permits(self) -> dict[str, float]:
        """Return the permits available to overdue models: all but those reserved by plans for such models."""

    def take_permit(self, replica: replica_state.Replica, step: replica_state.Step) -> bool:
        """Take a store permit for a step if it needs one; return whether its order can be sent."""

    def load_ms(self, service: str, model: str, from_disk: bool) -> float:
        """Return the expected duration of a load: the median of recent ones, else the configured value."""

    def load_class(self, service: str, step: replica_state.Step) -> tuple[str, str]:
        """Return the class of a load: its service, and whether it is from store, from disk or an adapter."""

    def record_load_duration(
        self, replica: replica_state.Replica, step: replica_state.Step, duration_ms: int
    ) -> None:
        """Record the duration of a load, and drop the oldest beyond DURATIONS_KEPT."""

    def first_poll_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> int:
        """Return the time in ms between the start of an order and the first poll for its completion."""

    def poll_interval_ms(self, replica: replica_state.Replica, step: replica_state.Step) -> float:
        """Return the initial interval in ms between polls of a running order."""

    def update_row(self, replica: replica_state.Replica) -> None:
        """Rebuild the feed's row of a replica; changed remaining times alone do not mark it as changed."""

    def drop_plan(self, replica: replica_state.Replica) -> None:
        """Abandon a replica's plan, or end it when all its steps are done."""

    def mark_unverified(self, replica: replica_state.Replica, at_once: bool = False) -> None:
        """Send a replica no orders until a report confirms its items."""

    def remove(self, replica: replica_state.Replica, moved: bool = True) -> None:
        """Remove a replica that is gone or whose address belongs to another one."""

    def add_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """Record that a model or adapter is loaded on a replica."""

    def remove_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """Record that a model or adapter is no longer on a replica."""

    def record_size(self, replica: replica_state.Replica, model: str) -> float:
        """Record and return the largest size in MB that a model can have on a replica."""

    def drop_size(self, replica: replica_state.Replica, model: str) -> None:
        """Drop the recorded size of a model that is certainly no longer on a replica."""

    def hide_item(self, replica: replica_state.Replica, model: str, adapter: str = "") -> None:
        """Stop routing requests to an item that is about to be unloaded or may be missing."""

    def unhide_all(self, replica: replica_state.Replica) -> None:
        """Route requests again to all items on a replica."""

    def unhide_item(self, replica: replica_state.Replica, model: str, adapter: str) -> None:
        """Route requests again to an item that was hidden because lists lacked it."""

    def record_disk_copy(self, replica: replica_state.Replica, model: str) -> None:
        """Record that a replica has the weights of a model on its disk."""

    def update_has_engine(self, replica: replica_state.Replica) -> None:
        """Update whether a replica's service has an engine; if it has gained one, request a report."""

    def unindex_item(self, replica: replica_state.Replica, item: str) -> None:
        """Remove a replica from the index for an item."""

    def index_items(self, replica: replica_state.Replica) -> None:
        """Add a replica to the index for every item that it serves."""
