"""TEMPORARY: reads typed records by the keys of their stored form, until every package reads attributes."""

import collections.abc
import typing

StoredValue = typing.Any
"""What an old key stands for: a number, a text, or a record, as of the key."""


class OldKeys:
    """A read-only mapping view of a record by its old keys. Absent where the attribute is None or empty and
    the key is optional."""

    __slots__ = ()
    OLD_KEYS: typing.ClassVar[dict[str, str]] = {}
    OPTIONAL_KEYS: typing.ClassVar[frozenset[str]] = frozenset()

    def __getitem__(self, key: str) -> StoredValue:
        """The attribute that an old key stands for."""
        try:
            value = getattr(self, self.OLD_KEYS[key])
        except KeyError:
            value = dict(getattr(self, "unknown", ()))[key]
        if key in self.OPTIONAL_KEYS and not value:
            raise KeyError(key)
        return value

    def get(self, key: str, default: StoredValue = None) -> StoredValue:
        """As of a dict."""
        return self[key] if key in self else default

    def __contains__(self, key: object) -> bool:
        """As of a dict."""
        return key in self.keys()

    def keys(self) -> list[str]:
        """As of a dict."""
        mine = [k for k, name in self.OLD_KEYS.items() if k not in self.OPTIONAL_KEYS or getattr(self, name)]
        return mine + [k for k, _ in getattr(self, "unknown", ())]

    def items(self) -> list[tuple[str, StoredValue]]:
        """As of a dict."""
        return [(k, self[k]) for k in self.keys()]

    def __iter__(self) -> collections.abc.Iterator[str]:
        """As of a dict."""
        return iter(self.keys())
