"""How many requests of each tenant were admitted or refused at a proxy."""

import collections
import collections.abc
import enum

import basaltport.proxy.tenant_directory as tenant_directory


class Verdict(enum.Enum):
    """What became of a request before it was sent; the values are labels of the counters."""

    ADMITTED = "admitted"
    """It was taken into the queue."""
    REFUSED = "refused"
    """It was refused and never ran, at its arrival or while it waited."""


class TenantCounts(collections.Counter[tuple[str, str]]):
    """Requests by the name of their tenant and the label of a verdict. Those of nobody are not counted here,
    so that there are no more rows than two for each tenant of the configuration."""

    def count(self, tenant: tenant_directory.Tenant | None, verdict: Verdict) -> None:
        """One more request of a tenant."""
        if tenant is not None:
            self[tenant.name, verdict.value] += 1

    def keep(self, names: collections.abc.Container[str]) -> None:
        """Drop the figures of all tenants but these."""
        for key in [key for key in self if key[0] not in names]:
            del self[key]
