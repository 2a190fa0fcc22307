"""The tenants of a configuration by the digests of their keys, and the priority order of their requests."""

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
"""Replicas distinguish the priorities 0 to 9."""
LEAST_URGENT = PRIORITIES - 1
"""The lowest priority at replicas."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A configured sender of requests.

    Urgency 0 is served first. `rate_per_s` and `burst` limit its requests over all proxies; a rate of 0 means
    no limit.
    """

    name: identifiers.TenantName
    urgency: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a request limit."""
        return self.rate_per_s > 0


class KeyedTenant(typing.NamedTuple):
    """A tenant, the digests of its keys, and the configuration row that both were made from."""

    row: Document
    tenant: Tenant
    digests: list[identifiers.KeyDigest]


class TenantDirectory:
    """The tenants of a configuration.

    `is_empty` says that the configuration has no tenants section, so that no request needs a key; with an
    empty section, every key is unknown.
    """

    def __init__(self, document: Document | None, former: "TenantDirectory | None" = None) -> None:
        """`document` is the configuration or None.

        Digests of tenants whose rows did not change since `former` are reused, since most changes affect few
        of many tenants.
        """
        document = document or {}
        rows = document.get("tenants")
        self.is_empty = rows is None
        former_entries: dict[str, KeyedTenant] = former._keyed if former else {}
        keyed_tenants = [_read_row(row, former_entries.get(row["name"])) for row in rows or ()]
        self._keyed: dict[str, KeyedTenant] = {entry.tenant.name: entry for entry in keyed_tenants}
        self.tenants: dict[str, Tenant] = {name: entry.tenant for name, entry in self._keyed.items()}
        self._owners = {digest: entry.tenant for entry in keyed_tenants for digest in entry.digests}
        self._least_urgency = max((tenant.urgency for tenant in self.tenants.values()), default=0)
        self._pairs = self._urgency_pairs(document)

    @property
    def key_count(self) -> int:
        """Returns the number of known keys."""
        return len(self._owners)

    def owner_of(self, key: identifiers.KeyDigest) -> Tenant | None:
        """Returns the tenant that owns a key, or None."""
        return self._owners.get(key)

    def get(self, name: str) -> Tenant | None:
        """Returns the tenant with a name, or None."""
        return self.tenants.get(name)

    def least_urgency(self) -> int:
        """Returns the urgency of requests without a tenant: that of the least urgent tenant."""
        return self._least_urgency

    def urgency(self, tenant: Tenant | None) -> int:
        """Returns the urgency of a tenant, or of requests without one."""
        return self._least_urgency if tenant is None else tenant.urgency

    def priority(self, tenant: Tenant | None, route_urgency: int) -> int:
        """Returns the priority at replicas, 0 to 9; the urgency of the tenant sorts before that of the route.

        If more pairs of urgencies are configured than there are priorities, neighbouring pairs share one. A
        pair that is not configured, for example of a request that arrived before a change, gets the position
        where it would sort.
        """
        if self.is_empty:
            return min(LEAST_URGENT, route_urgency)
        rank = bisect.bisect_left(self._pairs, (self.urgency(tenant), route_urgency))
        if len(self._pairs) > PRIORITIES:
            rank = rank * PRIORITIES // len(self._pairs)
        return min(LEAST_URGENT, rank)

    def _urgency_pairs(self, document: Document) -> list[tuple[int, int]]:
        """Returns the pairs of tenant and route urgencies, the most urgent first."""
        route_urgencies = {int(route.get("urgency", 0)) for route in document.get("routes") or ()}
        tenant_urgencies = {tenant.urgency for tenant in self.tenants.values()} or {0}
        return sorted(itertools.product(tenant_urgencies, route_urgencies))


def _read_row(row: Document, former_entry: KeyedTenant | None) -> KeyedTenant:
    """Returns a tenant and its digests, reusing `former_entry` of the same name if its row did not change."""
    if former_entry is not None and (former_entry.row is row or former_entry.row == row):
        return former_entry
    digests = [credentials.digest(key) for key in row.get("keys") or ()]
    return KeyedTenant(row, _read_tenant(row), digests)


def _read_tenant(row: Document) -> Tenant:
    limit = limits.limit_of(row)
    name, urgency = identifiers.TenantName(row["name"]), int(row.get("urgency") or 0)
    return Tenant(name, urgency, limit.rate_per_s, limit.burst)
