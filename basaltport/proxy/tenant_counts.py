"""Counters of admitted and refused requests by tenant."""

import collections
import collections.abc
import enum

import basaltport.proxy.tenant_directory as tenant_directory


class Verdict(enum.Enum):
    """The result of admission; the values are labels of the counters."""

    ADMITTED = "admitted"
    """The request was added to the queue."""
    REFUSED = "refused"
    """The request was refused on arrival or while it waited, and never ran."""


class TenantCounts(collections.Counter[tuple[str, str]]):
    """Requests by tenant name and verdict label.

    Requests without a tenant are not counted, so that there are at most two rows for each configured tenant.
    """

    def count(self, tenant: tenant_directory.Tenant | None, verdict: Verdict) -> None:
        """Count one request of a tenant."""
        if tenant is not None:
            self[tenant.name, verdict.value] += 1

    def retain(self, tenant_names: collections.abc.Container[str]) -> None:
        """Drop the counters of all tenants except the given ones."""
        for key in [key for key in self if key[0] not in tenant_names]:
            del self[key]
