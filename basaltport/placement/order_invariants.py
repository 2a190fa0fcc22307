"""Invariants of orders, which are checked at run time; violations are counted."""

import collections
import enum

import basaltport.errors as errors
import basaltport.placement.catalog as catalog
import basaltport.placement.order_types as order_types
import basaltport.placement.replica_state as replica_state


ROUNDING_MB = 1e-3
"""Tolerance for sums of the same sizes in a different order."""


class OrderInvariant(enum.StrEnum):
    """The invariants of orders; the values are labels of a metric."""

    VERIFIED = "verified"
    """An order is sent only to a replica whose models are known for an order count."""
    ROOM = "room"
    """A load is ordered only if it fits into memory beside everything on the replica."""
    OVERDUE = "overdue"
    """The load of an overdue model starts within the bound of `overdue_bound.py`."""
    HELD = "held"
    """A report with the known order count contains no item that was not known."""


class InvariantViolationError(errors.BasaltportError):
    """Raised in tests when an invariant of orders is violated."""


class InvariantChecks:
    """Counts the violations in this process; if `strict`, each one also raises InvariantViolationError."""

    strict = False

    def __init__(self) -> None:
        """Start with no violations."""
        self.violations: collections.Counter[OrderInvariant] = collections.Counter()

    def check(self, invariant: OrderInvariant, holds: bool, what: str) -> bool:
        """Return `holds`, and count a violation if it is false; `what` describes the replica and order."""
        if holds:
            return True
        self.violations[invariant] += 1
        if self.strict:
            raise InvariantViolationError(f"{invariant}: {what}")
        return False


def fits(replica: replica_state.Replica, step: replica_state.Step, models: catalog.Catalog) -> bool:
    """Whether a step's load fits into a replica's memory, summed up from its items anew."""
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
