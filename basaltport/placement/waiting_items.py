"""Requests that wait for an item that no replica in reach holds."""

import collections.abc

AGAIN = 800
HEAD_START = 200
MOST = 100


class Want:
    """Requests that wait for an item, by zone, since `first`, as last told at `last`."""

    __slots__ = ("first", "last", "zones", "extra", "again")

    def __init__(self, now: int) -> None:
        """Asked for from now on; `zones` holds how many wait, and when that was told."""
        self.first = self.last = self.extra = now
        self.zones: dict[str, tuple[int, int]] = {}
        self.again = AGAIN

    def another(self, now: int) -> bool:
        """Whether it is still asked for though it is held: its holders may be out of reach."""
        return now - self.extra > self.again

    def more(self, now: int) -> None:
        """One more copy was begun."""
        self.extra, self.again = now, self.again * 2

    def rank(self, now: int) -> int:
        """The product of how long and how many have waited; the highest goes first."""
        return (now - self.first + HEAD_START) * min(MOST, sum(n for n, _ in self.zones.values()))

    def waiting(self) -> collections.abc.Mapping[str, int]:
        """How many wait, by zone."""
        return {z: n for z, (n, _) in self.zones.items()}
