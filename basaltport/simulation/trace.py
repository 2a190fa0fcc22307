"""Traces of simulated runs: what happened, row by row, as typed records. Times are in ms since the run
began."""

import collections.abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Something that happened at a time; `KIND` names it in a trace file."""

    KIND: typing.ClassVar[str] = ""
    at_ms: int


Trace = collections.abc.Sequence[Row]
RowKind = typing.TypeVar("RowKind", bound=Row)


def of_kind(trace: Trace, kind: type[RowKind]) -> list[RowKind]:
    """The rows of one kind, in order."""
    return [row for row in trace if isinstance(row, kind)]


FILE_NAMES = {
    "try_id": "try",
    "index": "i",
    "rows_seen": "n",
    "log_index": "serial",
    "incarnation": "life",
    "operation": "op",
}


def as_json(row: Row) -> dict[str, typing.Any]:
    """A row as a trace file has it."""
    fields = {field.name: getattr(row, field.name) for field in dataclasses.fields(row)}
    at_ms = fields.pop("at_ms")
    named = {FILE_NAMES.get(name, name): value for name, value in fields.items()}
    return {"t": at_ms, "k": row.KIND, **named}
