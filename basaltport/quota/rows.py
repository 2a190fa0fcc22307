"""The rows of the messages of the count: whole numbers, without the zeros at their end."""

import collections.abc
import typing

Row = list[int]


class Asked(typing.NamedTuple):
    """A row of a `QuotaRequest`; see there."""

    wanted: int = 0
    demand: int = 0
    fraction: int = 0
    lasts_ms: int = 0
    by: int = 0


class Granted(typing.NamedTuple):
    """A row of a `QuotaGrant`; see there."""

    granted: int = 0
    retry_after_ms: int = 0
    fraction: int = 0
    share_ms: int = 0


def pack(row: collections.abc.Iterable[int]) -> Row:
    """A row as it is sent."""
    out = list(row)
    while out and not out[-1]:
        out.pop()
    return out


def read_asked(row: Row) -> Asked:
    """A row of a request; fields that a later release adds are read past."""
    return Asked(*row[: len(Asked._fields)])


def read_granted(row: Row) -> Granted:
    """A row of a grant; fields that a later release adds are read past."""
    return Granted(*row[: len(Granted._fields)])
