"""Prints tables and findings on the terminal."""

import collections.abc
import sys
import typing

import basaltport.command_line.exit_codes as exit_codes

Row = collections.abc.Mapping[str, object]
Formatter = collections.abc.Callable[[typing.Any], str]


def table(rows: collections.abc.Iterable[Row], columns: list[str]) -> None:
    """Print rows as a table with a heading line."""
    cells = [columns] + [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def section(
    title: str, rows: list[dict[str, typing.Any]], columns: list[str], **formatters: Formatter
) -> None:
    """Print a titled table, nothing if it has no rows; `formatters` format the cells of some columns."""
    if not rows:
        return
    print(f"\n{title}:")
    table([{column: _cell(row, column, formatters) for column in columns} for row in rows], columns)


def _cell(row: dict[str, typing.Any], column: str, formatters: dict[str, Formatter]) -> str:
    value = row.get(column)
    if value is None:
        return "-"
    return formatters.get(column, str)(value) or "-"


def bad_input(*findings: str) -> int:
    """Print findings about a command's input and return the exit code for bad input."""
    for finding in findings:
        print(finding, file=sys.stderr)
    return exit_codes.BAD_INPUT


def lacks_arguments(arguments: list[str], count: int, expected: str) -> bool:
    """Whether the number of arguments is wrong; if so, prints `expected`, which names them."""
    if len(arguments) == count:
        return False
    print(f"needs {expected}", file=sys.stderr)
    return True
