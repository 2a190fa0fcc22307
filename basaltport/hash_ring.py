"""Consistent hashing: names ordered on a ring by their hash, which is the same in every process."""

import bisect
import collections.abc
import functools
import hashlib

_DIGEST_BYTES = 8


@functools.cache
def position(name: str) -> bytes:
    """Returns the position of a name on the ring."""
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()


def successors(point: str, names: collections.abc.Iterable[str], count: int) -> list[str]:
    """Returns up to `count` names that follow the position of `point` on the ring, the nearest first."""
    ring = sorted(names, key=position)
    first = bisect.bisect([position(name) for name in ring], position(point))
    return [ring[(first + i) % len(ring)] for i in range(min(count, len(ring)))]
