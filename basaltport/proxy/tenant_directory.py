"""The tenants of a configuration by the digests of their keys, and the order in which their requests go."""

import bisect
import collections.abc
import dataclasses
import itertools
import typing

import basaltport.credentials as credentials
import basaltport.identifiers as identifiers
import basaltport.quota.limits as limits

Document = collections.abc.Mapping[str, typing.Any]
PRIORITIES = 10
"""Replicas tell the priorities 0 to 9 apart."""
LEAST_URGENT = PRIORITIES - 1


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


class KeyedTenant(typing.NamedTuple):
    """A tenant, the digests of its keys, and the row of the configuration that both were made of."""

    row: Document
    tenant: Tenant
    digests: list[identifiers.KeyDigest]


class TenantDirectory:
    """The tenants of a configuration. `is_empty`: it knows no tenants, so that no request needs a key; an
    empty section is another thing, with it no key is known."""

    def __init__(self, document: Document | None, former: "TenantDirectory | None" = None) -> None:
        """`document`: the configuration, or None. Digests of tenants whose rows stand as in `former` are
        taken from there: a change is mostly one of a few among many."""
        document = document or {}
        rows = document.get("tenants")
        self.is_empty = rows is None
        known: dict[str, KeyedTenant] = former._keyed if former else {}
        keyed = [_read_row(row, known.get(row["name"])) for row in rows or ()]
        self._keyed: dict[str, KeyedTenant] = {entry.tenant.name: entry for entry in keyed}
        self.tenants: dict[str, Tenant] = {name: entry.tenant for name, entry in self._keyed.items()}
        self._owners = {digest: entry.tenant for entry in keyed for digest in entry.digests}
        self._least_urgency = max((tenant.urgency for tenant in self.tenants.values()), default=0)
        self._pairs = self._urgency_pairs(document)

    @property
    def key_count(self) -> int:
        """How many keys are known."""
        return len(self._owners)

    def owner_of(self, key: identifiers.KeyDigest) -> Tenant | None:
        """The tenant that has a key, None where nobody has it."""
        return self._owners.get(key)

    def get(self, name: str) -> Tenant | None:
        """The tenant of a name."""
        return self.tenants.get(name)

    def least_urgency(self) -> int:
        """The urgency of requests that are nobody's: that of the least urgent tenant."""
        return self._least_urgency

    def urgency(self, tenant: Tenant | None) -> int:
        """The urgency of a tenant, or of requests that are nobody's."""
        return self._least_urgency if tenant is None else tenant.urgency

    def priority(self, tenant: Tenant | None, route_urgency: int) -> int:
        """The priority at replicas, 0 to 9: the tenant's urgency comes before the route's. Where more pairs
        are configured than there are priorities, neighbours share one. A pair that is not configured, as
        that of a request that came before a change, has the place where it would stand."""
        if self.is_empty:
            return min(LEAST_URGENT, route_urgency)
        rank = bisect.bisect_left(self._pairs, (self.urgency(tenant), route_urgency))
        if len(self._pairs) > PRIORITIES:
            rank = rank * PRIORITIES // len(self._pairs)
        return min(LEAST_URGENT, rank)

    def _urgency_pairs(self, document: Document) -> list[tuple[int, int]]:
        """The pairs of urgencies of tenants and of routes, the most urgent first."""
        of_routes = {int(route.get("urgency", 0)) for route in document.get("routes") or ()}
        of_tenants = {tenant.urgency for tenant in self.tenants.values()} or {0}
        return sorted(itertools.product(of_tenants, of_routes))


def _read_row(row: Document, known: KeyedTenant | None) -> KeyedTenant:
    """A tenant and its digests; those that are `known` under its name where its row is as it was."""
    if known is not None and (known.row is row or known.row == row):
        return known
    digests = [credentials.digest(key) for key in row.get("keys") or ()]
    return KeyedTenant(row, _read_tenant(row), digests)


def _read_tenant(row: Document) -> Tenant:
    limit = limits.limit_of(row)
    name, urgency = identifiers.TenantName(row["name"]), int(row.get("urgency") or 0)
    return Tenant(name, urgency, limit.rate_per_s, limit.burst)
