"""Reads the limits of tenants from a configuration."""

import collections.abc
import typing

import basaltport.quota.bounds as bounds

MAX_REQUESTS = 10**9
"""Larger rates and bursts are reduced to this many requests, so that sums of them are exact."""

Document = collections.abc.Mapping[str, typing.Any]


def limits_of(document: Document | None) -> dict[str, bounds.TenantLimit]:
    """Returns the limits of a configuration by tenant; a tenant without a rate has no limit."""
    tenant_rows = (document or {}).get("tenants") or ()
    return {
        tenant_row["name"]: limit_of(tenant_row) for tenant_row in tenant_rows if tenant_row.get("rate_per_s")
    }


def limit_of(tenant_row: Document) -> bounds.TenantLimit:
    """Returns the limit in a tenant's row; a rate of 0 means no limit."""
    return bounds.TenantLimit(
        _clamp_requests(tenant_row.get("rate_per_s")), _clamp_requests(tenant_row.get("burst"))
    )


def _clamp_requests(number: float | None) -> float:
    return float(min(number or 0, MAX_REQUESTS))
