"""The troubles of one seed: what goes wrong, when, for how long and where."""

import enum
import random
import typing


class Kind(enum.StrEnum):
    """What goes wrong."""

    KILL = "kill"  # a controller is killed or asked to stop, and started again with the data it had
    PAUSE = "pause"  # a controller is stopped by a signal, and goes on
    CUT = "cut"  # what a controller and some replicas, or the list, say to each other is held
    LATE = "late"  # some orders reach their replica seconds later
    LOST = "lost"  # some orders are taken and not answered
    RESTART = "restart"  # a replica starts again, empty and under another id
    LEAVE = "leave"  # a replica drains and ends, and another one comes
    CONFIGURE = "configure"  # the operator changes the configuration
    STOP = "stop"  # a proxy is asked to stop, and started again once it has ended
    RELOAD = "reload"  # some processes are told that their settings changed
    CHANGES = "changes"  # the operator sends changes in quick succession
    FREEZE = "freeze"  # a proxy is stopped by a signal, and goes on


class Trouble(typing.NamedTuple):
    """One trouble; times in seconds from the first moment of the soak."""

    kind: Kind
    starts_at: float
    length: float
    target: int
    """Which controller, or which of the replicas that live then."""
    chance: float
    """How many of the orders, or of the replicas, it concerns."""


class Lane(typing.NamedTuple):
    """Troubles that come one after another; those of different lanes overlap. Seconds are from and to."""

    weights: dict[Kind, int]
    between_s: tuple[float, float]
    length_s: tuple[float, float]


STOPPED_ABOVE = 0.4
"""A controller is asked to stop in place of being killed where the drawn chance is above this."""
CHANGES_IN_SERIES = 4

LANES = (
    Lane({Kind.KILL: 3, Kind.PAUSE: 4}, (2.0, 6.0), (1.0, 6.0)),
    Lane({Kind.CUT: 3, Kind.LATE: 5}, (0.2, 1.0), (1.5, 6.0)),
    Lane({Kind.LOST: 4, Kind.RESTART: 2, Kind.LEAVE: 1, Kind.CONFIGURE: 2}, (0.2, 1.0), (0.5, 4.0)),
    Lane({Kind.STOP: 4, Kind.RELOAD: 3, Kind.CHANGES: 3}, (0.2, 1.0), (0.5, 2.0)),
    Lane({Kind.FREEZE: 1}, (1.0, 4.0), (0.5, 3.5)),
)


def draw(seed: int, seconds: float, controllers: int) -> list[Trouble]:
    """The troubles of a seed, by lanes; they all end before `seconds`."""
    chance = random.Random(f"troubles {seed}")
    drawn: list[Trouble] = []
    for lane in LANES:
        starts_at, length = chance.uniform(*lane.between_s), chance.uniform(*lane.length_s)
        while starts_at + length <= seconds:
            kind = chance.choices(list(lane.weights), list(lane.weights.values()))[0]
            concerned = chance.randrange(controllers), chance.uniform(0.15, 0.6)
            drawn.append(Trouble(kind, starts_at, length, *concerned))
            starts_at += length + chance.uniform(*lane.between_s)
            length = chance.uniform(*lane.length_s)
    return drawn
