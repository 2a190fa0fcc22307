"""The owner's side of rate limiting: grants tokens and shares of tenants' limits to proxies."""

import collections.abc
import dataclasses

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.limit_history as limit_history
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes
import basaltport.quota.owned_tenant as owned_tenant
import basaltport.quota.rows as rows
import basaltport.quota.shards as shards

EXPIRE_BATCH_SIZE = 200
"""The most tenants that one call of `expire` checks."""


@dataclasses.dataclass(slots=True)
class OwnedShard:
    """One ownership of a shard, identified by its fencing token."""

    fence: int
    begun_at: int
    tenants: dict[str, owned_tenant.OwnedTenant] = dataclasses.field(default_factory=dict)


class QuotaOwner:
    """The token buckets and shares of all shards that a controller owns.

    `now` is monotonic time in ms that includes suspension, read after the request has arrived and while the
    ownership is certainly held."""

    def __init__(self, quota_bounds: bounds.QuotaBounds) -> None:
        """Create an owner of no shard."""
        self._bounds = quota_bounds
        self._limits = limit_history.LimitHistory(quota_bounds)
        self._shards: dict[str, OwnedShard] = {}
        self._to_expire: list[tuple[str, str]] = []
        self._asked = self._granted = self._requests = 0

    def begin(self, shard: str, fence: int, now: int) -> None:
        """Begin an ownership of a shard, whose former grants are unknown; the caller ensures that no other
        owner exists. Does nothing if the fencing token is unchanged."""
        owned = self._shards.get(shard)
        if owned is None or owned.fence != fence:
            self._shards[shard] = OwnedShard(fence, now)

    def end(self, shard: str) -> None:
        """End the ownership of a shard."""
        self._shards.pop(shard, None)

    def configure(self, limits: collections.abc.Mapping[str, bounds.TenantLimit], now: int) -> None:
        """Apply the limits now in force; the state of tenants without a limit is kept until it expires."""
        self._change_budgets(self._limits.configure(limits, now), now)

    def answer(self, request: messages.QuotaRequest, now: int) -> messages.QuotaGrant | None:
        """Returns the grant for a proxy's request; None if the shard isn't owned."""
        owned = self._shards.get(request.shard)
        if owned is None:
            return None
        self._requests += 1
        key = request.name, request.incarnation
        granted_rows = {}
        for name, row in request.rows.items():
            tenant = self._tenant(request.shard, owned, name, now)
            if tenant is None:
                continue
            requested = rows.parse_request_row(row)
            granted = tenant.answer(key, request.number, requested, now)
            if granted is None:
                continue
            self._asked += requested.wanted
            self._granted += granted.granted
            granted_rows[name] = rows.pack(granted)
        return messages.QuotaGrant(
            request.incarnation, request.shard, request.number, request.sent_at, granted_rows
        )

    def expire(self, now: int) -> None:
        """Drop expired state, a limited number of tenants per call; call it about every 100 ms."""
        self._change_budgets(self._limits.drop_expired(now), now)
        if not self._to_expire:
            self._to_expire = [
                (shard, name) for shard, owned in self._shards.items() for name in owned.tenants
            ]
        for _ in range(min(EXPIRE_BATCH_SIZE, len(self._to_expire))):
            shard, name = self._to_expire.pop()
            owned = self._shards.get(shard)
            tenant = owned.tenants.get(name) if owned is not None else None
            if owned is None or tenant is None:
                continue
            tenant.sweep(now)
            if tenant.is_droppable(self._bounds.window_ms, now):
                del owned.tenants[name]

    def counts(self) -> outcomes.OwnerCounts:
        """Returns the counts for metrics."""
        tracked = sum(len(owned.tenants) for owned in self._shards.values())
        return outcomes.OwnerCounts(self._asked, self._granted, self._requests, tracked)

    def tenants(self, now: int) -> list[outcomes.OwnedTenant]:
        """Returns the state of each recently used slice, for operators."""
        return [
            outcomes.OwnedTenant(
                identifiers.TenantName(name),
                shard,
                tenant.counted_fraction,
                tenant.unknown_shares(now),
                len(tenant.rows),
                tenant.bucket.refill(now),
                tenant.bucket.capacity,
            )
            for shard, owned in self._shards.items()
            for name, tenant in owned.tenants.items()
        ]

    def _change_budgets(self, names: collections.abc.Iterable[str], now: int) -> None:
        """Apply the current budgets of tenants to their slices."""
        for name in names:
            for shard in shards.shards_of(name):
                owned = self._shards.get(shard)
                tenant = owned.tenants.get(name) if owned is not None else None
                budget = self._budget(shard, name, now)
                if tenant is not None and budget is not None:
                    tenant.change_budget(budget, now)

    def _budget(self, shard: str, name: str, now: int) -> bounds.Budget | None:
        """Returns the budget of a tenant's slice in a shard, None if the shard has none."""
        budget, slice_shards = self._limits.budget(name, now), shards.shards_of(name)
        if budget is None or shard not in slice_shards:
            return None
        return budget.slices()[slice_shards.index(shard)]

    def _tenant(self, shard: str, owned: OwnedShard, name: str, now: int) -> owned_tenant.OwnedTenant | None:
        tenant = owned.tenants.get(name)
        if tenant is not None:
            return tenant if name in self._limits else None
        budget = self._budget(shard, name, now)
        if budget is not None:
            tenant = owned.tenants[name] = owned_tenant.OwnedTenant(budget, owned.begun_at, now)
        return tenant
