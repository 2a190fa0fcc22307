"""How long requests take, by route and by part of their way: cumulative histograms for the metrics page.

Times are milliseconds on the proxy's clock. A histogram is a fixed row of counters, so that what is measured
costs the same memory however much is served.
"""

import bisect
import collections.abc
import enum

BOUNDS_MS = (5, 10, 20, 50, 100, 150, 200, 300, 500, 800, 1200, 2000, 4000, 8000, 16000)
"""Upper bounds of the buckets; one more bucket takes what is longer."""
MS_PER_SECOND = 1000
UNBOUNDED = "+Inf"


class Part(enum.StrEnum):
    """A part of a request's way."""

    QUEUE = "queue"
    """From its arrival, or its return to the queue, until an attempt begins."""
    CONNECT = "connect"
    """From the beginning of an attempt until it has a connection."""
    FIRST_BYTE = "first_byte"
    """From the beginning of an attempt until the head of an answer."""
    GAP = "gap"
    """Between two parts of a stream."""
    WHOLE = "whole"
    """From the arrival of a request until its whole answer is passed on."""


class Histogram:
    """Counts of durations by bucket, and their sum in ms."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        """Nothing was measured yet."""
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0

    def add(self, duration_ms: int) -> None:
        """Count a duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms

    def buckets(self) -> list[tuple[str, float]]:
        """Upper bounds in seconds, each with the number of durations up to it."""
        total = 0
        rows: list[tuple[str, float]] = []
        for bound_ms, count in zip(BOUNDS_MS, self.counts[:-1], strict=True):
            total += count
            rows.append((str(bound_ms / MS_PER_SECOND), total))
        rows.append((UNBOUNDED, total + self.counts[-1]))
        return rows

    def sum_s(self) -> float:
        """The sum of all durations in seconds."""
        return self.sum_ms / MS_PER_SECOND


class LatencyHistograms(dict[tuple[str, Part], Histogram]):
    """Histograms by the name of a route and the part of the way."""

    def add(self, route: str, part: Part, duration_ms: int) -> None:
        """Count a duration of a route's request."""
        key = (route, part)
        histogram = self.get(key)
        if histogram is None:
            histogram = self[key] = Histogram()
        histogram.add(duration_ms)

    def keep_routes(self, names: collections.abc.Container[str]) -> None:
        """Forget routes that are not among these names."""
        for key in [key for key in self if key[0] not in names]:
            del self[key]
