"""Rows of quota messages: lists of integers without trailing zeros."""

import collections.abc
import typing

Row = list[int]


class RequestRow(typing.NamedTuple):
    """A row of a `messages.QuotaRequest`, which describes the fields."""

    wanted: int = 0
    demand: int = 0
    fraction: int = 0
    lasts_ms: int = 0
    ignored_up_to: int = 0


class GrantRow(typing.NamedTuple):
    """A row of a `messages.QuotaGrant`, which describes the fields."""

    granted: int = 0
    retry_after_ms: int = 0
    fraction: int = 0
    share_ms: int = 0


def pack(row: collections.abc.Iterable[int]) -> Row:
    """Returns a row in the form that is sent, without trailing zeros."""
    trimmed = list(row)
    while trimmed and not trimmed[-1]:
        trimmed.pop()
    return trimmed


def parse_request_row(row: Row) -> RequestRow:
    """Parse a row of a request; extra fields of later releases are ignored."""
    return RequestRow(*row[: len(RequestRow._fields)])


def parse_grant_row(row: Row) -> GrantRow:
    """Parse a row of a grant; extra fields of later releases are ignored."""
    return GrantRow(*row[: len(GrantRow._fields)])
