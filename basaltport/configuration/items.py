"""Which items a pattern names: `m` a model, `m/a` an adapter, `m/*` a model's adapters, `*` everything."""

import bisect
import collections.abc
import typing


def items_of(configuration: dict[str, typing.Any]) -> collections.abc.Iterator[str]:
    """All models and adapters of a configuration."""
    for name, model in configuration["models"].items():
        yield name
        for adapter in model.get("adapters") or {}:
            yield f"{name}/{adapter}"


LAST_CHARACTER = chr(0x10FFFF)


class Index:
    """All items of a configuration in order, so that a pattern is answered without a look at each."""

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
        first = bisect.bisect_left(self.sorted, head)
        end = bisect.bisect_left(self.sorted, head + LAST_CHARACTER) if head else len(self.sorted)
        return self.sorted[first:end]
