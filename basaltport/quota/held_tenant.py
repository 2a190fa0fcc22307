"""One tenant at a proxy: what is held of each slice of its limit, and how much is asked for."""

import dataclasses
import math
import zlib

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.held_slice as held_slice
import basaltport.quota.shards as shards

DEMAND_MS = 5000
"""Arrivals weigh e times less after so long."""
USED_MS = 10_000
"""The shares of a tenant without a request for so long are not renewed; it is forgotten once they ended."""
MS = 1000


class HeldTenant:
    """A tenant's slices, the one first that this proxy asks first."""

    __slots__ = ("name", "slices", "used_at", "_demand")

    def __init__(self, name: str, holder: str, budget: bounds.Budget, by: int, now: int) -> None:
        """`by`: the last number that was sent."""
        self.name = name
        parts = zip(shards.shards_of(name), budget.slices(), strict=True)
        slices = [held_slice.HeldSlice(name, shard, part, by, now) for shard, part in parts]
        first = zlib.crc32(f"{holder} {name}".encode()) % len(slices)
        self.slices = slices[first:] + slices[:first]
        self.used_at = now
        self._demand = 0.0

    def arrive(self, now: int) -> None:
        """Count a request's arrival."""
        self._demand = self._demand * math.exp((self.used_at - now) / DEMAND_MS) + MS / DEMAND_MS
        self.used_at = now

    def demand(self, now: int) -> int:
        """Requests per 1000 s, by those of the last seconds."""
        return round(self._demand * math.exp((self.used_at - now) / DEMAND_MS) * MS)

    def slice_of(self, shard: str) -> held_slice.HeldSlice | None:
        """The slice of a shard."""
        return next((part for part in self.slices if part.shard == shard), None)

    def change_budget(self, budget: bounds.Budget, now: int) -> None:
        """Another limit."""
        for shard, part in zip(shards.shards_of(self.name), budget.slices(), strict=True):
            held = self.slice_of(shard)
            if held is not None:
                held.change_budget(part, now)

    def is_idle(self, now: int) -> bool:
        """Whether it may be forgotten."""
        return now - self.used_at > USED_MS and all(part.is_idle(now) for part in self.slices)


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for the owner of a slice; `tried`: the slices that it waited for, one bit each;
    `part`: the last of them."""

    request_id: identifiers.RequestId
    tenant: HeldTenant
    came_at: int
    tried: int = 0
    part: held_slice.HeldSlice | None = None
