"""The owner's side of the count: gives tokens and shares of tenants' limits to proxies that ask."""

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

EXPIRED_AT_ONCE = 200


@dataclasses.dataclass(slots=True)
class OwnedShard:
    """An ownership of a shard."""

    fence: int
    begun_at: int
    tenants: dict[str, owned_tenant.OwnedTenant] = dataclasses.field(default_factory=dict)


class QuotaOwner:
    """The counts of the shards that a controller owns. `now` is steady time in ms that counts suspension,
    read after the request has come and while the ownership is surely held."""

    def __init__(self, quota_bounds: bounds.QuotaBounds) -> None:
        """It owns nothing."""
        self._bounds = quota_bounds
        self._limits = limit_history.LimitHistory(quota_bounds)
        self._shards: dict[str, OwnedShard] = {}
        self._to_expire: list[tuple[str, str]] = []
        self._asked = self._granted = self._requests = 0

    def begin(self, shard: str, fence: int, now: int) -> None:
        """The ownership of a shard begins: nobody else owns it from now on, and what its tenants had is not
        known. Nothing is done with the fence that it has already."""
        owned = self._shards.get(shard)
        if owned is None or owned.fence != fence:
            self._shards[shard] = OwnedShard(fence, now)

    def end(self, shard: str) -> None:
        """The shard is owned no more."""
        self._shards.pop(shard, None)

    def configure(self, limits: collections.abc.Mapping[str, bounds.TenantLimit], now: int) -> None:
        """The limits now in force. What tenants without a limit had is kept until it has ended."""
        self._change_budgets(self._limits.configure(limits, now), now)

    def answer(self, request: messages.QuotaRequest, now: int) -> messages.QuotaGrant | None:
        """The answer to a proxy; None if the shard isn't owned."""
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
            asked = rows.read_asked(row)
            granted = tenant.answer(key, request.number, asked, now)
            if granted is None:
                continue
            self._asked += asked.wanted
            self._granted += granted.granted
            granted_rows[name] = rows.pack(granted)
        return messages.QuotaGrant(
            request.incarnation, request.shard, request.number, request.sent_at, granted_rows
        )

    def expire(self, now: int) -> None:
        """Forget what has ended, a few tenants at a time; each 100 ms or so."""
        self._change_budgets(self._limits.take_ended(now), now)
        if not self._to_expire:
            self._to_expire = [
                (shard, name) for shard, owned in self._shards.items() for name in owned.tenants
            ]
        for _ in range(min(EXPIRED_AT_ONCE, len(self._to_expire))):
            shard, name = self._to_expire.pop()
            owned = self._shards.get(shard)
            tenant = owned.tenants.get(name) if owned is not None else None
            if owned is None or tenant is None:
                continue
            tenant.sweep(now)
            if tenant.is_like_new(self._bounds.window_ms, now):
                del owned.tenants[name]

    def counts(self) -> outcomes.OwnerCounts:
        """For metrics."""
        kept = sum(len(owned.tenants) for owned in self._shards.values())
        return outcomes.OwnerCounts(self._asked, self._granted, self._requests, kept)

    def tenants(self, now: int) -> list[outcomes.OwnedTenant]:
        """How each tenant that was asked for lately stands, for operators."""
        return [
            outcomes.OwnedTenant(
                identifiers.TenantName(name),
                shard,
                tenant.counted,
                tenant.unknown(now),
                len(tenant.rows),
                tenant.bucket.fill(now),
                tenant.bucket.capacity,
            )
            for shard, owned in self._shards.items()
            for name, tenant in owned.tenants.items()
        ]

    def _change_budgets(self, names: collections.abc.Iterable[str], now: int) -> None:
        """Bring the slices of tenants that are kept here to what their limits allow now."""
        for name in names:
            for shard in shards.shards_of(name):
                owned = self._shards.get(shard)
                tenant = owned.tenants.get(name) if owned is not None else None
                budget = self._budget(shard, name, now)
                if tenant is not None and budget is not None:
                    tenant.change_budget(budget, now)

    def _budget(self, shard: str, name: str, now: int) -> bounds.Budget | None:
        """The slice of a tenant's limit that a shard has."""
        whole, places = self._limits.budget(name, now), shards.shards_of(name)
        if whole is None or shard not in places:
            return None
        return whole.slices()[places.index(shard)]

    def _tenant(self, shard: str, owned: OwnedShard, name: str, now: int) -> owned_tenant.OwnedTenant | None:
        tenant = owned.tenants.get(name)
        if tenant is not None:
            return tenant if name in self._limits else None
        budget = self._budget(shard, name, now)
        if budget is not None:
            tenant = owned.tenants[name] = owned_tenant.OwnedTenant(budget, owned.begun_at, now)
        return tenant
