"""The rows of a trace of the JSON API's simulator: what happened, as typed records; and as a trace file has
them."""

import dataclasses
import typing

import basaltport.simulation.trace as trace


@dataclasses.dataclass(frozen=True, slots=True)
class Boot(trace.Row):
    """A process started, as this member."""

    KIND = "boot"
    node: str
    member_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DiskRefused(trace.Row):
    """A process did not start, because its disk can't be read."""

    KIND = "disk-refused"
    node: str
    why: str


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
class Freeze(trace.Row):
    """A process was frozen."""

    KIND = "freeze"
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wake(trace.Row):
    """A frozen process goes on."""

    KIND = "wake"
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stall(trace.Row):
    """A disk stalled, or went on."""

    KIND = "stall"
    node: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Full(trace.Row):
    """A disk is full, or no longer."""

    KIND = "full"
    node: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cut(trace.Row):
    """Nothing passes from one to the other any more; with `both`, nor back."""

    KIND = "cut"
    source: str
    target: str
    both: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Split(trace.Row):
    """These processes were cut off from all others."""

    KIND = "split"
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BadLinks(trace.Row):
    """Links lose and double these shares of messages and are slower by a factor; `bad` unless they are
    well."""

    KIND = "wires"
    bad: bool
    loss: float
    twice: float
    slow: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heal(trace.Row):
    """All links are whole again."""

    KIND = "heal"


@dataclasses.dataclass(frozen=True, slots=True)
class StaleLease(trace.Row):
    """A node is leased at an older configuration than is acknowledged."""

    KIND = "stale-lease"
    node: str
    version: int
    acked: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLost(trace.Row):
    """An attempt ended without an answer: late or broken."""

    KIND = "fate"
    node: str
    request_id: str
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoteLogged(trace.Row):
    """A member logs an event. `leased`: whether it holds a lease, told with some events only."""

    KIND = "note"
    node: str
    member_id: str
    number: int
    fields: dict[str, typing.Any]
    leased: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Asked(trace.Row):
    """An operator's request. `listed`: replicas that a platform's list names."""

    KIND = "ask"
    call: str
    node: str
    verb: str
    change: str | None = None
    zone: str | None = None
    replica: str | None = None
    if_version: int | None = None
    listed: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(trace.Row):
    """The answer to an operator; `changed` is false where a change made no difference."""

    KIND = "answer"
    call: str
    node: str
    status: int
    outcome: str | None = None
    version: int | None = None
    change: str | None = None
    changed: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStart(trace.Row):
    """A replica started."""

    KIND = "replica-start"
    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaCrash(trace.Row):
    """A replica ended."""

    KIND = "replica-crash"
    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaDark(trace.Row):
    """Nobody can reach a replica, or they can again."""

    KIND = "replica-dark"
    replica: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Order(trace.Row):
    """An order reaches a replica, which answers with a status; `body` is the order as sent."""

    KIND = "order"
    node: str
    replica: str
    epoch: str
    status: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OverRoom(trace.Row):
    """A replica holds, or was ordered to hold, more than it has room for."""

    KIND = "over-room"
    replica: str
    used: int
    room: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load(trace.Row):
    """A replica begins to load an item, with so many loads at once by all."""

    KIND = "load"
    replica: str
    item: str
    at_once: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write(trace.Row):
    """A node writes an attempt to a replica, decided by a version of the configuration."""

    KIND = "write"
    node: str
    replica: str
    attempt_id: str
    request_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reach(trace.Row):
    """An attempt reaches a replica."""

    KIND = "reach"
    node: str
    replica: str
    zone: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ran(trace.Row):
    """A replica begins to run a request. `age`: ms since the replica started; `running`: how many run
    there."""

    KIND = "ran"
    replica: str
    attempt_id: str
    prompt: str
    version: int
    age: int
    running: int
    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Piece(trace.Row):
    """A client gets a piece of a stream, of this run."""

    KIND = "piece"
    request_id: str
    prompt: str
    piece_number: int
    piece: str
    run: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sent(trace.Row):
    """A client sends a request."""

    KIND = "query"
    request_id: str
    prompt: str
    line: str
    once: bool
    node: str
    key: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TwiceClosed(trace.Row):
    """A request ended a second time."""

    KIND = "twice-closed"
    request_id: str
    was: str
    now: str


@dataclasses.dataclass(frozen=True, slots=True)
class Closed(trace.Row):
    """A request ended. `reply`, `pieces`: of an answer; `retry`: ms after which to come back."""

    KIND = "end"
    request_id: str
    prompt: str
    outcome: str
    code: str
    status: int
    reply: str | None = None
    pieces: int | None = None
    retry: int | None = None


FILE_NAMES = {
    "attempt_id": "dispatch",
    "request_id": "query",
    "version": "serial",
    "if_version": "if_serial",
    "member_id": "seat",
    "piece_number": "n",
    "source": "a",
    "target": "b",
}


def as_json(row: trace.Row) -> dict[str, typing.Any]:
    """A row as a trace file has it: what is None is left out, and the fields of notes and orders stand beside
    the others."""
    fields = {
        FILE_NAMES.get(name, name): value for name, value in trace.as_json(row).items() if value is not None
    }
    if isinstance(row, NoteLogged):
        fields.update({f"f_{name}": value for name, value in fields.pop("fields").items()})
    elif isinstance(row, Order):
        fields.update(fields.pop("body"))
    return fields
