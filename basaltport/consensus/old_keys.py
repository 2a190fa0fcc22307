"""TEMPORARY: reads typed records by the keys of their stored form, until every package reads attributes."""

import collections.abc
import typing

StoredValue = typing.Any
"""The value of an old key: a number, a string or a record."""


class OldKeys:
    """A read-only mapping view of a record by its old keys. An optional key is absent if its attribute is
    None or empty."""

    __slots__ = ()
    OLD_KEYS: typing.ClassVar[dict[str, str]] = {}
    OPTIONAL_KEYS: typing.ClassVar[frozenset[str]] = frozenset()

    def __getitem__(self, key: str) -> StoredValue:
        """Return the value of the attribute that an old key stands for."""
        try:
            value = getattr(self, self.OLD_KEYS[key])
        except KeyError:
            value = dict(getattr(self, "unknown", ()))[key]
        if key in self.OPTIONAL_KEYS and not value:
            raise KeyError(key)
        return value

    def get(self, key: str, default: StoredValue = None) -> StoredValue:
        """Return the value of an old key, or the default if it is absent."""
        return self[key] if key in self else default

    def __contains__(self, key: object) -> bool:
        """Whether an old key is present."""
        return key in self.keys()

    def keys(self) -> list[str]:
        """Return the old keys that are present."""
        own_keys = [
            key for key, name in self.OLD_KEYS.items() if key not in self.OPTIONAL_KEYS or getattr(self, name)
        ]
        return own_keys + [key for key, _ in getattr(self, "unknown", ())]

    def items(self) -> list[tuple[str, StoredValue]]:
        """Return pairs of the present old keys and their values."""
        return [(key, self[key]) for key in self.keys()]

    def __iter__(self) -> collections.abc.Iterator[str]:
        """Iterate over the old keys that are present."""
        return iter(self.keys())
