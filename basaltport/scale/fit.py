"""A straight line through what was measured at several sizes."""

import collections.abc
import dataclasses
import typing

import result

LEAST = 3
"""Sizes that a slope takes at the least."""

Point = tuple[float, float]
"""A size, and what was measured there."""


class Finding(typing.NamedTuple):
    """What is wrong with flags or figures, and where."""

    place: str
    finding: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """`slope` a unit of size, `start` at size 0, `r2` the part of the variance that the line explains;
    `spread`: the widest difference of figures at one size, None without repeats."""

    slope: float
    start: float
    r2: float
    spread: float | None


def line(points: collections.abc.Sequence[Point]) -> result.Result[Line, Finding]:
    """The line of least squares; Err where there are fewer than three sizes."""
    sizes = {size for size, _ in points}
    if len(sizes) < LEAST:
        return result.Err(Finding("sizes", f"a slope takes {LEAST} sizes, here are {len(sizes)}"))
    mean_size = sum(size for size, _ in points) / len(points)
    mean_figure = sum(figure for _, figure in points) / len(points)
    size_variance = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (figure - mean_figure) for size, figure in points) / size_variance
    start = mean_figure - slope * mean_size
    total = sum((figure - mean_figure) ** 2 for _, figure in points)
    unexplained = sum((figure - start - slope * size) ** 2 for size, figure in points)
    r2 = 1 - unexplained / total if total else 1.0
    return result.Ok(Line(slope, start, r2, widest(points)))


def widest(points: collections.abc.Sequence[Point]) -> float | None:
    """The widest difference between figures of one size, None where no size was repeated."""
    by_size: dict[float, list[float]] = {}
    for size, figure in points:
        by_size.setdefault(size, []).append(figure)
    if all(len(figures) == 1 for figures in by_size.values()):
        return None
    return max(max(figures) - min(figures) for figures in by_size.values())


def reaches(fitted: Line, limit: float) -> float | None:
    """The size at which the line meets a limit, or None where it never does."""
    return (limit - fitted.start) / fitted.slope if fitted.slope > 0 else None
