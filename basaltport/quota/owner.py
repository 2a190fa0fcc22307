"""The owner's side of the count: gives tokens and shares of tenants' limits to proxies that ask."""

import collections.abc
import dataclasses

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes
import basaltport.quota.owned_tenant as owned_tenant
import basaltport.quota.rows as rows
import basaltport.quota.shards as shards


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
        self._limits: dict[str, bounds.TenantLimit] = {}
        self._shards: dict[str, OwnedShard] = {}
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
        self._limits = dict(limits)
        for shard, owned in self._shards.items():
            for name, tenant in owned.tenants.items():
                budget = self._budget(shard, name)
                if budget is not None:
                    tenant.change_budget(budget, now)

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
        """Forget what has ended; each second or so."""
        for owned in self._shards.values():
            for name, tenant in list(owned.tenants.items()):
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

    def _budget(self, shard: str, name: str) -> bounds.Budget | None:
        """The slice of a tenant's limit that a shard has."""
        limit, places = self._limits.get(name), shards.shards_of(name)
        if limit is None or shard not in places:
            return None
        return self._bounds.budget(limit).slices()[places.index(shard)]

    def _tenant(self, shard: str, owned: OwnedShard, name: str, now: int) -> owned_tenant.OwnedTenant | None:
        tenant = owned.tenants.get(name)
        if tenant is not None:
            return tenant if name in self._limits else None
        budget = self._budget(shard, name)
        if budget is not None:
            tenant = owned.tenants[name] = owned_tenant.OwnedTenant(budget, owned.begun_at, now)
        return tenant
