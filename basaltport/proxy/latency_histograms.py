"""Cumulative histograms of request latencies by route and phase, for the metrics page.

Times are ms on the proxy's clock. A histogram has a fixed number of counters, so memory use does not depend
on the number of requests.
"""

import bisect
import collections.abc
import enum

BOUNDS_MS = (5, 10, 20, 50, 100, 150, 200, 300, 500, 800, 1200, 2000, 4000, 8000, 16000)
"""Upper bounds of the buckets in ms; one more bucket counts longer durations."""
MS_PER_SECOND = 1000
UNBOUNDED = "+Inf"


class Phase(enum.StrEnum):
    """A phase of a request."""

    QUEUE = "queue"
    """From entering the queue until an attempt starts."""
    CONNECT = "connect"
    """From the start of an attempt until it has a connection."""
    FIRST_BYTE = "first_byte"
    """From the start of an attempt until the head of the response arrives."""
    GAP = "gap"
    """Between two consecutive parts of a stream."""
    TOTAL = "whole"
    """From the arrival of a request until its complete response was passed on."""


class Histogram:
    """Counts of durations by bucket, and their sum in ms."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        """Start without durations."""
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0

    def add(self, duration_ms: int) -> None:
        """Count a duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms

    def buckets(self) -> list[tuple[str, float]]:
        """Returns the bucket bounds in seconds, each with the number of durations up to it."""
        total = 0
        rows: list[tuple[str, float]] = []
        for bound_ms, count in zip(BOUNDS_MS, self.counts[:-1], strict=True):
            total += count
            rows.append((str(bound_ms / MS_PER_SECOND), total))
        rows.append((UNBOUNDED, total + self.counts[-1]))
        return rows

    def sum_s(self) -> float:
        """Returns the sum of all durations in seconds."""
        return self.sum_ms / MS_PER_SECOND


class LatencyHistograms(dict[tuple[str, Phase], Histogram]):
    """Histograms by route name and phase."""

    def add(self, route: str, phase: Phase, duration_ms: int) -> None:
        """Count the duration of one phase of a request."""
        key = (route, phase)
        histogram = self.get(key)
        if histogram is None:
            histogram = self[key] = Histogram()
        histogram.add(duration_ms)

    def keep_routes(self, names: collections.abc.Container[str]) -> None:
        """Drop the histograms of all routes except the given ones."""
        for key in [key for key in self if key[0] not in names]:
            del self[key]
