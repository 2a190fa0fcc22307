"""Matches patterns to items: `m` is a model, `m/a` an adapter, `m/*` all adapters of a model, `*`
everything."""

import bisect
import collections.abc
import typing


def items_of(configuration: dict[str, typing.Any]) -> collections.abc.Iterator[str]:
    """Yield the names of all models and adapters of a configuration."""
    for name, model in configuration["models"].items():
        yield name
        for adapter in model.get("adapters") or {}:
            yield f"{name}/{adapter}"


LAST_CHARACTER = chr(0x10FFFF)
"""The highest Unicode character, which ends the range of names with a prefix."""


class Index:
    """A sorted index of all items of a configuration, which finds the items of a pattern by binary search."""

    __slots__ = ("all", "sorted")

    def __init__(self, items: collections.abc.Iterable[str]) -> None:
        """Build the index of these items."""
        self.all = frozenset(items)
        self.sorted = sorted(self.all)

    def match(self, pattern: str) -> list[str]:
        """Returns the items that match a pattern, in sorted order."""
        if not pattern.endswith("*"):
            return [pattern] if pattern in self.all else []
        prefix = pattern[:-1]
        first = bisect.bisect_left(self.sorted, prefix)
        end = bisect.bisect_left(self.sorted, prefix + LAST_CHARACTER) if prefix else len(self.sorted)
        return self.sorted[first:end]
