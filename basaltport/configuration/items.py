"""Which items a pattern names: `m` a model, `m/a` an adapter, `m/*` a model's adapters, `*` everything."""

import bisect
import collections.abc
import typing


def items_of(m: dict[str, typing.Any]) -> collections.abc.Iterator[str]:
    """All models and adapters of a manifest."""
    for k, v in m["models"].items():
        yield k
        for a in v.get("adapters") or {}:
            yield f"{k}/{a}"


class Index:
    """All items of a manifest in order, so that a pattern is answered without a look at each."""

    __slots__ = ("all", "sorted")

    def __init__(self, items: collections.abc.Iterable[str]) -> None:
        """Sort the items once."""
        self.all = frozenset(items)
        self.sorted = sorted(self.all)

    def match(self, pattern: str) -> list[str]:
        """The items that a pattern names, in order."""
        if not pattern.endswith("*"):
            return [pattern] if pattern in self.all else []
        head = pattern[:-1]
        lo = bisect.bisect_left(self.sorted, head)
        hi = bisect.bisect_left(self.sorted, head + chr(0x10FFFF)) if head else len(self.sorted)
        return self.sorted[lo:hi]
