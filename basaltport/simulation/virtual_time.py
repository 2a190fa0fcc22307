"""The clock and the scheduler of a simulation: calls at virtual times, in one order for one seed."""

import heapq
import random
import typing

import basaltport.identifiers as identifiers

START_MS = 1_000_000

Callback = typing.Callable[..., object]
Scheduled = tuple[float, int, Callback, tuple[object, ...]]


class VirtualTime:
    """Calls made at virtual times; calls at the same time are made in the order they were scheduled in.

    `now` is the present in ms since an arbitrary point; `rng` gives every random choice of the run."""

    def __init__(self, seed: int) -> None:
        """Nothing is scheduled."""
        self.rng = random.Random(seed)
        self.now = identifiers.Millis(START_MS)
        self.scheduled: list[Scheduled] = []
        self.scheduled_count = 0

    def at(self, time: float, callback: Callback, *args: object) -> None:
        """Schedules a call for a time in ms."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (time, self.scheduled_count, callback, args))

    def later(self, ms: float, callback: Callback, *args: object) -> None:
        """Schedules a call for so many ms from now."""
        self.at(self.now + ms, callback, *args)

    def run(self, ms: float) -> None:
        """Makes all calls of the next `ms`, and moves the clock on by as much."""
        self.until(bool, ms)

    def until(self, test: typing.Callable[[], object], ms: float) -> float | None:
        """Runs until the test holds: the ms that took, or None where it did not hold within `ms`."""
        start, end = self.now, self.now + ms
        while not test():
            if not self.scheduled or self.scheduled[0][0] > end:
                self.now = identifiers.Millis(end)
                return None
            time, _, callback, args = heapq.heappop(self.scheduled)
            self.now = identifiers.Millis(time)
            callback(*args)
        return self.now - start
