"""A ring of names ordered by hash; the same in every process."""

import bisect
import collections.abc
import functools
import hashlib

_DIGEST_BYTES = 8


@functools.cache
def position(name: str) -> bytes:
    """The position of a name on the ring."""
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()


def successors(point: str, names: collections.abc.Iterable[str], count: int) -> list[str]:
    """At most `count` names that follow a point on the ring, the nearest first."""
    ring = sorted(names, key=position)
    first = bisect.bisect([position(name) for name in ring], position(point))
    return [ring[(first + i) % len(ring)] for i in range(min(count, len(ring)))]
