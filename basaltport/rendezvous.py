"""Rendezvous hashing: the name with the highest weight for a key owns the key."""

import functools
import hashlib

_CACHED_WEIGHTS = 100_000
_DIGEST_BYTES = 8


@functools.lru_cache(_CACHED_WEIGHTS)
def weight(key: str, name: str) -> int:
    """Returns the weight of a name for a key; it is the same in every process."""
    digest = hashlib.blake2b(f"{key}|{name}".encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
