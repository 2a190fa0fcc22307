"""What must hold of every order that leaves: checked as it leaves, and counted where it does not."""

import collections
import enum

import basaltport.errors as errors
import basaltport.placement.catalog as catalog
import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state


ROUNDING_MB = 1e-3
"""By so much sums of the same sizes in another order may differ."""


class OrderInvariant(enum.StrEnum):
    """The invariants; the values are labels of the metric."""

    VERIFIED = "verified"
    """An order goes only to a replica of which it is known, at a count of orders, what it holds."""
    ROOM = "room"
    """A load goes only where there is room for it beside all that the replica holds."""
    OVERDUE = "overdue"
    """An overdue model is begun within the bound of `overdue_bound.py`."""
    HELD = "held"
    """A report of the count that is known tells of nothing that the replica was not known to hold."""


class InvariantViolationError(errors.BasaltportError):
    """An invariant of orders does not hold; raised in tests only."""


class InvariantChecks:
    """Counts violations over the life of a process. `strict`: raise InvariantViolationError as well."""

    strict = False

    def __init__(self) -> None:
        """None was seen."""
        self.violations: collections.Counter[OrderInvariant] = collections.Counter()

    def require(self, invariant: OrderInvariant, holds: bool, what: str) -> bool:
        """Whether an invariant holds; `what` says of what replica and order."""
        if holds:
            return True
        self.violations[invariant] += 1
        if self.strict:
            raise InvariantViolationError(f"{invariant}: {what}")
        return False


def fits(replica: replica_state.Replica, step: replica_state.Step, models: catalog.Catalog) -> bool:
    """Whether there is room for what a step loads, counted anew from each thing that the replica holds."""
    if step.kind is not order_types.OrderKind.LOAD:
        return True
    service = models.services.get(replica.service)
    if service is None:
        return False
    sizes = [models.size_mb(replica.service, step.model, step.adapter)]
    adapters = int(bool(step.adapter))
    for name, loaded in replica.models.items():
        sizes.append(replica.weights_mb(models, name))
        sizes += [replica.adapter_mb(models, name) for _ in loaded.adapters]
        adapters += len(loaded.adapters)
    return sum(sizes) <= service.memory_mb + ROUNDING_MB and (
        not step.adapter or adapters <= service.adapter_slots
    )
