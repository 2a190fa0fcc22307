"""Which shards hold the slices of a tenant's limit; the controller that owns a shard counts its slices."""

import zlib

import basaltport.quota.bounds as bounds

SHARDS = 12
"""The shards of `controller/shard_ownership.py`, which proxies don't import."""


def shard_of(tenant: str) -> str:
    """The shard of a tenant's first slice."""
    return str(zlib.crc32(tenant.encode()) % SHARDS)


def shards_of(tenant: str) -> tuple[str, ...]:
    """The shards of all its slices: neighbours, since those are mostly given to different members."""
    first = int(shard_of(tenant))
    return tuple(str((first + i) % SHARDS) for i in range(bounds.SLICES))
