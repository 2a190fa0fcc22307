"""Upper bound on the time until the load of an overdue model starts, checked at run time.

Overdue models are loaded in a fixed order on the share of replicas that is reserved for them. Each of these
replicas loads one after another, so a model's load starts after as many turns as the share needs for the
models ahead of it, plus one. A turn consists of a replica's current plan and the overdue plan itself; the
durations of recent plans are measured. Each load also needs a permit of the store, which earlier plans may
take first. Only time in which orders can be sent and some replica can load the model counts.
"""

import collections
import dataclasses
import typing

import basaltport.placement.order_invariants as order_invariants
import basaltport.placement.overdue_loads as overdue_loads
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

RECENT_PLANS = 100
"""Number of recent plans whose durations are kept; the longest one is used."""
PLANS_PER_TURN = 2
"""The current plan of a replica, and the one for the overdue model."""
MS_PER_S = 1000
CHECK_INTERVAL_MS = 200
CHECK_MARGIN_MS = 2 * CHECK_INTERVAL_MS
"""Time added to each turn; also the most that counts between two checks, as the leader may be paused."""

if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


@dataclasses.dataclass(slots=True)
class OverdueWait:
    """An overdue model that is not being loaded.

    `ahead`: number of overdue models that precede or preceded it; `counted_ms`: time that counts towards its
    bound; `is_on_disk`: whether a replica has its weights on disk, which decides its place in the order.
    """

    ahead: int
    is_on_disk: bool
    counted_ms: int = 0
    counts_from: int | None = None
    """Time of the last check, or None if no replica could have loaded the model then."""
    is_reported: bool = False


class OverdueBoundMixin(Needs):
    """Reports an overdue model whose load does not start within its bound as an invariant violation."""

    def reset_overdue_bound(self) -> None:
        """Reset the overdue waits and plan durations; those of a former leader are not used."""
        self.overdue_waits: dict[str, OverdueWait] = {}
        self.bound_checked_at = self.now - CHECK_INTERVAL_MS
        self.plan_durations: collections.deque[int] = collections.deque(maxlen=RECENT_PLANS)

    def record_plan_duration(self, plan: replica_state.Plan) -> None:
        """Record the duration of a plan that was completed or abandoned."""
        self.plan_durations.append(self.now - plan.created_at)

    def check_overdue_bound(self) -> None:
        """Check the bound of every overdue model after a placement pass, at most every CHECK_INTERVAL_MS."""
        if self.now - self.bound_checked_at < CHECK_INTERVAL_MS:
            return
        self.bound_checked_at = self.now
        overdue = [
            model
            for model in self.awaited_models
            if model in self.catalog.services_of
            and self.is_overdue(model)
            and not self.is_served(model)
            and not self.is_loading(model)
        ]
        self.update_overdue_waits(overdue)
        if not overdue:
            return
        plan_ms = self.longest_plan_ms()
        healthy = [replica for replica in self.replicas.values() if self.can_get_plan(replica)]
        for model in overdue:
            wait = self.overdue_waits[model]
            counts = any(self.may_load(replica, model) for replica in healthy)
            if counts and wait.counts_from is not None and not wait.is_reported:
                wait.counted_ms += min(CHECK_MARGIN_MS, self.now - wait.counts_from)
                self.check_begun(model, wait, self.overdue_bound_ms(model, wait, len(healthy), plan_ms))
            wait.counts_from = self.now if counts else None

    def update_overdue_waits(self, overdue: list[str]) -> None:
        """Add models that became overdue and drop those that no longer are.

        Each new model counts the models ahead of it; of two with equal waits, either may precede the other.
        """
        known = self.overdue_waits
        self.overdue_waits = {model: known[model] for model in overdue if model in known}
        for model, wait in list(self.overdue_waits.items()):
            if wait.is_on_disk is not bool(self.disk_replica_ids(model)):
                del self.overdue_waits[model]
        for model in overdue:
            if model in self.overdue_waits:
                continue
            order, ahead = self.overdue_order(model), 0
            for other, wait in self.overdue_waits.items():
                other_order = self.overdue_order(other)
                ahead += other_order <= order
                wait.ahead += order <= other_order
            self.overdue_waits[model] = OverdueWait(ahead, bool(self.disk_replica_ids(model)))

    def can_get_plan(self, replica: replica_state.Replica) -> bool:
        """Whether a replica can get a plan now, or once its current one has ended."""
        is_known = replica.has_engine and replica.verified and self.usable(replica)
        return is_known and self.now >= replica.no_orders_until and self.may_order(replica.id)

    def may_load(self, replica: replica_state.Replica, model: str) -> bool:
        """Whether a replica's service has a model and the replica is not in backoff for it."""
        is_of_service = any(service.name == replica.service for service in self.catalog.services_of[model])
        return is_of_service and self.now >= replica.backoff_until.get(model, 0)

    def longest_plan_ms(self) -> float:
        """Return the duration in ms of the longest recent or current plan."""
        running_ms = [self.now - r.plan.created_at for r in self.busy_replicas.values() if r.plan is not None]
        return max([0, *self.plan_durations, *running_ms])

    def overdue_bound_ms(self, model: str, wait: OverdueWait, replicas: int, plan_ms: float) -> float:
        """Return the time in ms within which the load of an overdue model must start.

        `replicas`: number of replicas that can get plans; `plan_ms`: duration of the longest recent plan.
        """
        services = self.catalog.services_of[model]
        load_ms = max(self.load_ms(service.name, model, False) for service in services)
        turn_ms = PLANS_PER_TURN * max(load_ms, plan_ms) + CHECK_MARGIN_MS
        turns = wait.ahead // max(1, replicas // overdue_loads.REPLICAS_PER_OVERDUE_PLAN) + 1
        permits_per_s = min((service.loads_per_s for service in services), default=0.0)
        loads = wait.ahead + len(self.replicas) + 1
        permits_ms = loads * MS_PER_S / permits_per_s if permits_per_s else float("inf")
        return turns * turn_ms + permits_ms

    def check_begun(self, model: str, wait: OverdueWait, bound_ms: float) -> None:
        """Count and log, once per wait, a model whose load did not start within its bound."""
        what = f"{model} overdue for {wait.counted_ms} ms, {wait.ahead} models ahead, limit {bound_ms:.0f} ms"
        invariant = order_invariants.OrderInvariant.OVERDUE
        wait.is_reported = not self.check_fleet_invariant(invariant, wait.counted_ms <= bound_ms, what)
