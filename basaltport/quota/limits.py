"""The limits of tenants as a configuration has them."""

import collections.abc
import typing

import basaltport.quota.bounds as bounds

Document = collections.abc.Mapping[str, typing.Any]


def limits_of(document: Document | None) -> dict[str, bounds.TenantLimit]:
    """The limits of a configuration by tenant; a tenant without a rate has none."""
    rows = (document or {}).get("tenants") or ()
    return {row["name"]: _limit_of(row) for row in rows if row.get("rate_per_s")}


def _limit_of(row: Document) -> bounds.TenantLimit:
    return bounds.TenantLimit(float(row["rate_per_s"]), float(row.get("burst") or 0))
