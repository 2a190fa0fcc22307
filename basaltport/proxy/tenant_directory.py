"""The tenants of a configuration by the digests of their keys, and the order in which their requests go."""

import collections.abc
import dataclasses
import typing

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers

Document = collections.abc.Mapping[str, typing.Any]
LEAST_URGENT = 9
"""Replicas tell the priorities 0 to 9 apart."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """Who sends requests. `urgency`: 0 goes first; `rate_per_s` and `burst`: requests that it may make over
    all proxies, a rate of 0 for no limit."""

    name: identifiers.TenantName
    urgency: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit on its requests."""
        return self.rate_per_s > 0


class TenantDirectory:
    """The tenants of a configuration. `is_empty`: it knows no tenants, so that no request needs a key."""

    def __init__(self, document: Document | None) -> None:
        """`document`: the configuration, or None."""
        rows = (document or {}).get("tenants")
        self.is_empty = rows is None
        self.tenants: dict[str, Tenant] = {}
        self._owners: dict[identifiers.KeyDigest, Tenant] = {}
        for row in rows or ():
            tenant = _read_tenant(row)
            self.tenants[tenant.name] = tenant
            for key in row.get("keys") or ():
                self._owners[credentials.digest(key)] = tenant
        routes = (document or {}).get("routes") or ()
        self._ranks = self._rank_priorities({int(route.get("urgency", 0)) for route in routes})

    def owner_of(self, key: identifiers.KeyDigest) -> Tenant | None:
        """The tenant that has a key, None where nobody has it."""
        return self._owners.get(key)

    def get(self, name: str) -> Tenant | None:
        """The tenant of a name."""
        return self.tenants.get(name)

    def least_urgency(self) -> int:
        """The urgency of requests that are nobody's: that of the least urgent tenant."""
        return max((tenant.urgency for tenant in self.tenants.values()), default=0)

    def urgency(self, tenant: Tenant | None) -> int:
        """The urgency of a tenant, or of requests that are nobody's."""
        return self.least_urgency() if tenant is None else tenant.urgency

    def priority(self, tenant: Tenant | None, route_urgency: int) -> int:
        """The priority at replicas, 0 to 9: the tenant's urgency comes before the route's."""
        if self.is_empty:
            return min(LEAST_URGENT, route_urgency)
        rank = self._ranks.get((self.urgency(tenant), route_urgency), LEAST_URGENT)
        return min(LEAST_URGENT, rank)

    def _rank_priorities(self, route_urgencies: set[int]) -> dict[tuple[int, int], int]:
        """The place of each pair of urgencies among those that are configured."""
        tenant_urgencies = {tenant.urgency for tenant in self.tenants.values()} or {0}
        pairs = sorted(
            (of_tenant, of_route) for of_tenant in tenant_urgencies for of_route in route_urgencies
        )
        return {pair: rank for rank, pair in enumerate(pairs)}


def _read_tenant(row: Document) -> Tenant:
    return Tenant(
        identifiers.TenantName(row["name"]),
        int(row.get("urgency") or 0),
        float(row.get("rate_per_s") or 0),
        float(row.get("burst") or 0),
    )
