"""Editions of configurations: numbers that operators choose, and name in `If-Match` for the next change."""

import collections.abc
import re
import typing

NO_EDITION = 0
"""The base of the first configuration; no configuration may have it, since the base would be ambiguous."""
MAX_DIGITS = 18
MAX_EDITION = 10**MAX_DIGITS - 1
"""The highest edition that `If-Match` can name."""
FINDING = f"not a whole number of {NO_EDITION + 1} to {MAX_EDITION}"

_match_base = re.compile(rf'(?:W/)?"?([0-9]{{1,{MAX_DIGITS}}})"?').fullmatch


def is_edition(value: object) -> typing.TypeGuard[int]:
    """Whether a value may be the edition of a configuration."""
    return type(value) is int and NO_EDITION < value <= MAX_EDITION


def edition_of(document: collections.abc.Mapping[str, object] | None) -> int:
    """Returns the edition of a configuration, `NO_EDITION` if there is none."""
    return typing.cast(int, (document or {}).get("edition", NO_EDITION))


def parse_base(if_match: str) -> int | None:
    """Returns the edition that an `If-Match` header names, None if it names none."""
    found = _match_base(if_match.strip())
    return int(found[1]) if found else None
