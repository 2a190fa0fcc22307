"""A state that is on or off over the time of a trace."""

import bisect
import collections.abc
import typing

import basaltport.simulation.trace as trace


class Switch(typing.Protocol):
    """A row that tells that a state goes on or off."""

    @property
    def at_ms(self) -> int:
        """When it changes."""

    @property
    def on(self) -> bool:
        """The state from then on."""


class Timeline:
    """The changes of one state; it is off before the first."""

    def __init__(self, rows: collections.abc.Iterable[Switch]) -> None:
        """From the rows that tell of it, in order."""
        changes = [(row.at_ms, row.on) for row in rows]
        self.times = [at_ms for at_ms, _ in changes]
        self.states = [on for _, on in changes]

    def is_on(self, at_ms: float) -> bool:
        """The state at a time."""
        index = bisect.bisect_right(self.times, at_ms) - 1
        return index >= 0 and self.states[index]

    def next_on(self, at_ms: float) -> float | None:
        """The first time from then on when the state is on, or None."""
        if self.is_on(at_ms):
            return at_ms
        rest = zip(self.times, self.states, strict=True)
        return next((time for time, on in rest if time >= at_ms and on), None)

    def changes_between(self, start_ms: float, end_ms: float) -> bool:
        """Whether it changes after the one time and before the other."""
        return any(start_ms < time < end_ms for time in self.times)


def of(rows: trace.Trace, kind: type[typing.Any]) -> Timeline:
    """The state that the rows of this kind tell of."""
    return Timeline(trace.of_kind(rows, kind))
