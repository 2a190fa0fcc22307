"""The rows of a trace that tell of controllers, proxies, their disks and links."""

import dataclasses

import basaltport.simulation.trace as trace


@dataclasses.dataclass(frozen=True, slots=True)
class Boot(trace.Row):
    """A process started; `incarnation` tells its processes apart."""

    KIND = "boot"
    node: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Kill(trace.Row):
    """A process ended at once; with `power` its machine lost power, with `disk` its disk went too."""

    KIND = "kill"
    node: str
    power: bool
    disk: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stop(trace.Row):
    """A process was asked to end in good order."""

    KIND = "stop"
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Released(trace.Row):
    """A controller that was asked to stop is needed no more."""

    KIND = "released"
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze(trace.Row):
    """A process was frozen, or went on."""

    KIND = "freeze"
    node: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stall(trace.Row):
    """A disk stalled, or went on."""

    KIND = "stall"
    node: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Split(trace.Row):
    """These processes were cut off from all others; with `hold` the cut holds messages back."""

    KIND = "split"
    left: tuple[str, ...]
    hold: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Heal(trace.Row):
    """All links are whole again."""

    KIND = "heal"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault(trace.Row):
    """A random schedule makes its fault of this number."""

    KIND = "fault"
    fault: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CoreInTouch(trace.Row):
    """Most controllers reach each other and have done so for a while, or no longer."""

    KIND = "settled"
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Touch(trace.Row):
    """A proxy has been in touch with most controllers for a while, or is no longer."""

    KIND = "touch"
    node: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Differs(trace.Row):
    """A process agreed to another state for a log index than others did."""

    KIND = "differs"
    node: str
    log_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stale(trace.Row):
    """A proxy in touch has the replicas' rows up to `rows_seen`, `published` were sent long ago."""

    KIND = "stale"
    node: str
    rows_seen: int
    published: int


@dataclasses.dataclass(frozen=True, slots=True)
class Edition(trace.Row):
    """A proxy took up a configuration."""

    KIND = "edition"
    node: str
    incarnation: int
    edition: int
    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class Kept(trace.Row):
    """A configuration came in force at a controller."""

    KIND = "kept"
    node: str
    incarnation: int
    edition: int
    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class Holders(trace.Row):
    """Controllers that hold the leader's lease, and those of them without the newest acknowledged
    edition `acked`."""

    KIND = "holders"
    nodes: tuple[str, ...]
    behind: tuple[str, ...]
    acked: int
