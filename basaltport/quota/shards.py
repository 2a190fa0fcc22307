"""Maps the slices of tenants' limits to shards; the owner of a shard grants the tokens of its slices."""

import zlib

import basaltport.quota.bounds as bounds

SHARDS = 12
"""The number of shards; the same as in `controller/shard_ownership.py`, which proxies don't import."""


def shard_of(tenant: str) -> str:
    """Returns the shard of a tenant's first slice."""
    return str(zlib.crc32(tenant.encode()) % SHARDS)


def shards_of(tenant: str) -> tuple[str, ...]:
    """Returns the shards of all slices of a tenant: consecutive ones, which mostly have different owners."""
    first = int(shard_of(tenant))
    return tuple(str((first + i) % SHARDS) for i in range(bounds.SLICES))
