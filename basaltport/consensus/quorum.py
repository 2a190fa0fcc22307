"""Majorities of the agreed roster.

While a joint change is under way there are two rosters, the former and the next, and whatever is decided
needs a majority of each (joint consensus); else there is one."""

import collections.abc
import typing

Book = collections.abc.Mapping[str, typing.Any]
Seats = collections.abc.Set[str]


def is_majority(some: Seats, of: Seats) -> bool:
    """Whether more than half of `of` are among `some`."""
    return 2 * len(some & of) > len(of)


def voter_sets(book: Book) -> list[Seats]:
    """The sets of seats that each must give a majority."""
    former = book.get("former")
    if former is None:
        return [book["roster"].keys()]
    return [book["roster"].keys(), former.keys()]


def voters(book: Book) -> dict[str, dict[str, str]]:
    """Rows by seat of all that vote now."""
    return {**(book.get("former") or {}), **book["roster"]}


def has_majority(book: Book, seats: Seats) -> bool:
    """Whether `seats` hold a majority of every set of voters."""
    return all(is_majority(seats, of) for of in voter_sets(book))


def majority_value(book: Book, value_of: collections.abc.Callable[[str], int]) -> int:
    """The highest value that a majority of every set of voters has reached; 0 without voters."""
    return min(_median_low(sorted(map(value_of, of), reverse=True)) for of in voter_sets(book))


def _median_low(values: list[int]) -> int:
    return values[len(values) // 2] if values else 0
