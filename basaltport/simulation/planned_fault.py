"""A fault of a random schedule, as both simulators plan it."""

import typing


class PlannedFault(typing.NamedTuple):
    """A fault of a random schedule: two choices in 0 to 1, how long it lasts, and the pause after its
    begin."""

    kind: str
    first: float
    second: float
    lasts_ms: int
    pause_ms: int


def pick(names: typing.Iterable[str], point: float) -> str:
    """The name at this point, from 0 to 1, of all in order."""
    names = sorted(names)
    return names[int(point * len(names))]
