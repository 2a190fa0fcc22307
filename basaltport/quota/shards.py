"""Which shard a tenant belongs to; the controller that owns the shard owns the tenant's count."""

import zlib

SHARDS = 12
"""The shards of `controller/shard_ownership.py`, which proxies don't import."""


def shard_of(tenant: str) -> str:
    """The shard of a tenant."""
    return str(zlib.crc32(tenant.encode()) % SHARDS)
