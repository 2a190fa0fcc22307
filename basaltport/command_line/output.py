"""Tables and findings on the terminal."""

import collections.abc
import sys
import typing

import basaltport.command_line.exit_codes as exit_codes

Row = collections.abc.Mapping[str, object]
Turn = collections.abc.Callable[[typing.Any], str]


def table(rows: collections.abc.Iterable[Row], columns: list[str]) -> None:
    """Print rows as a table with a line of headings."""
    cells = [columns] + [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def section(title: str, rows: list[dict[str, typing.Any]], columns: list[str], **turns: Turn) -> None:
    """Print a table with its title; nothing where there are no rows. `turns`: texts of cells by column."""
    if not rows:
        return
    print(f"\n{title}:")
    table([{column: _cell(row, column, turns) for column in columns} for row in rows], columns)


def _cell(row: dict[str, typing.Any], column: str, turns: dict[str, Turn]) -> str:
    value = row.get(column)
    if value is None:
        return "-"
    return turns.get(column, str)(value) or "-"


def bad_input(*findings: str) -> int:
    """Print findings of a command's input; the exit code for them."""
    for finding in findings:
        print(finding, file=sys.stderr)
    return exit_codes.BAD_INPUT


def lacks_arguments(arguments: list[str], count: int, what: str) -> bool:
    """Whether a command got another count of arguments than it takes; then that was said."""
    if len(arguments) == count:
        return False
    print(f"needs {what}", file=sys.stderr)
    return True
