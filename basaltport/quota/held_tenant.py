"""One tenant at a proxy: the state of each slice of its limit, and the rate of its requests."""

import dataclasses
import math
import zlib

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.held_slice as held_slice
import basaltport.quota.shards as shards

DEMAND_DECAY_MS = 5000
"""The time constant of the decay of the measured demand, in ms."""
IDLE_AFTER_MS = 10_000
"""The shares of a tenant without a request for this long, in ms, are not renewed; the tenant is dropped once
they have expired."""
MS_PER_S = 1000


class HeldTenant:
    """A tenant's slices at a proxy, in the order in which this proxy requests tokens of their owners."""

    __slots__ = ("name", "slices", "last_request_at", "_demand")

    def __init__(self, name: str, holder: str, budget: bounds.Budget, last_number: int, now: int) -> None:
        """Create a tenant without shares; `last_number` is the number of the last request that was sent."""
        self.name = name
        slice_budgets = zip(shards.shards_of(name), budget.slices(), strict=True)
        slices = [
            held_slice.HeldSlice(name, shard, slice_budget, last_number, now)
            for shard, slice_budget in slice_budgets
        ]
        first = zlib.crc32(f"{holder} {name}".encode()) % len(slices)
        self.slices = slices[first:] + slices[:first]
        self.last_request_at = now
        self._demand = 0.0

    def count_arrival(self, now: int) -> None:
        """Count the arrival of a request."""
        self._demand = (
            self._demand * math.exp((self.last_request_at - now) / DEMAND_DECAY_MS)
            + MS_PER_S / DEMAND_DECAY_MS
        )
        self.last_request_at = now

    def demand(self, now: int) -> int:
        """Returns the recent rate of requests, per 1000 s."""
        return round(self._demand * math.exp((self.last_request_at - now) / DEMAND_DECAY_MS) * MS_PER_S)

    def slice_of(self, shard: str) -> held_slice.HeldSlice | None:
        """Returns the slice that a shard holds, or None."""
        return next((candidate for candidate in self.slices if candidate.shard == shard), None)

    def change_budget(self, budget: bounds.Budget, now: int) -> None:
        """Apply a changed limit to all slices."""
        for shard, slice_budget in zip(shards.shards_of(self.name), budget.slices(), strict=True):
            tenant_slice = self.slice_of(shard)
            if tenant_slice is not None:
                tenant_slice.change_budget(slice_budget, now)

    def is_idle(self, now: int) -> bool:
        """Whether the tenant had no recent requests and none of its slices is in use."""
        return now - self.last_request_at > IDLE_AFTER_MS and all(
            tenant_slice.is_idle(now) for tenant_slice in self.slices
        )


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A client request that waits for tokens of an owner.

    `tried_slices` has one bit for each slice that the request has waited for; `tenant_slice` is the last of
    them."""

    request_id: identifiers.RequestId
    tenant: HeldTenant
    arrived_at: int
    tried_slices: int = 0
    tenant_slice: held_slice.HeldSlice | None = None
