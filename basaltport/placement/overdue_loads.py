"""Starvation protection: a share of the replicas is reserved for the models that have waited longest.

Loads are started by rank, and short ones first, which serves the most requests. Under overload that alone
would starve a model for as long as others have more demand. So an overdue model may use one of a few replicas
that are reserved for overdue models, the longest wait first; the age of a wait is kept when its requests
expire. All other replicas continue to load by rank.
"""

import typing

import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state
import basaltport.placement.state as state

OVERDUE_AFTER_LOADS = 2
"""A model is overdue once it has waited for the duration of this many loads from the store."""
REPLICAS_PER_OVERDUE_PLAN = 8
"""One in this many replicas, and at least one, may load overdue models ahead of all others."""
IDLE_PER_OVERDUE_PLAN = 2
"""In addition, one in this many idle replicas may do so, since no shorter load can use them at present."""
OVERDUE = order_types.LoadReason.OVERDUE


class OverdueCheck(typing.NamedTuple):
    """A cached result of the check whether a model is overdue, and the time of that check."""

    checked_at: int
    is_overdue: bool


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class OverdueLoadsMixin(Needs):
    """Determines which models are overdue and starts their loads."""

    def awaited_for_ms(self, model: str) -> int:
        """Return how long in ms requests have waited for a model or its adapters, or 0 if none wait.

        Earlier waits that were abandoned are included.
        """
        return self.now - self.awaited_models.get(model, self.now)

    def is_overdue(self, model: str) -> bool:
        """Whether a model has waited so long that shorter loads no longer precede it, lest it starve."""
        known = self.overdue_cache.get(model)
        if known is None or known.checked_at != self.now:
            services = self.catalog.services_of.get(model, ())
            store_ms = max((self.load_ms(service.name, model, False) for service in services), default=0)
            known = OverdueCheck(self.now, self.awaited_for_ms(model) >= OVERDUE_AFTER_LOADS * store_ms)
            self.overdue_cache[model] = known
        return known.is_overdue

    def overdue_order(self, model: str) -> tuple[bool, int]:
        """Return the sort key of an overdue model: models on no disk first, then by longest wait.

        A model on no disk cannot be loaded by the quick disk loads, which take place outside this order.
        """
        return bool(self.disk_replica_ids(model)), -self.awaited_for_ms(model)

    def place_overdue(self, awaited: dict[str, dict[str, float]], idle: list[replica_state.Replica]) -> None:
        """Start loads of the longest overdue models on the replicas reserved for them.

        They may use every permit of the store that is available, even if plans that still unload have
        reserved it.
        """
        left = self.overdue_plans_left() + len(idle) // IDLE_PER_OVERDUE_PLAN
        if left < 1:
            return
        overdue = [model for model in awaited if self.is_overdue(model) and not self.is_loading(model)]
        if not overdue:
            return
        self.permits = self.unreserved_permits()
        for model in sorted(overdue, key=self.overdue_order):
            if left < 1 or not idle:
                break
            left -= self.place_model(model, awaited[model], idle, OVERDUE)
        self.update_permits()

    def overdue_plans_left(self) -> int:
        """Return the number of further replicas that may load overdue models ahead of all others."""
        engines = sum(replica.has_engine for replica in self.replicas.values())
        plans = [replica.plan for replica in self.busy_replicas.values()]
        begun = sum(plan is not None and plan.reason is OVERDUE for plan in plans)
        return max(1, engines // REPLICAS_PER_OVERDUE_PLAN) - begun
