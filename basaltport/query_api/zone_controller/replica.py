"""What a zone's controller knows of a replica, from the replica's own answers."""

import dataclasses
import typing

import basaltport.identifiers as identifiers

LONG_AGO = -(10**9)
LOADED = "loaded"
LOADING = "loading"

Document = dict[str, typing.Any]


class HeldItem(typing.NamedTuple):
    """An item that a replica holds; times in milliseconds.

    `state`: loaded or loading; `for_ms`: how long it has been so; `idle_ms`: since its last request ended
    (0 while one runs); `load_ms`: what its load took."""

    state: str
    size: int
    for_ms: int
    idle_ms: int
    load_ms: int
    running: int
    pool: str

    def is_loaded(self) -> bool:
        """Whether it serves."""
        return self.state == LOADED

    def is_loading(self) -> bool:
        """Whether its load goes on."""
        return self.state == LOADING


def held_item(row: Document) -> HeldItem:
    """An item as a replica reports it."""
    return HeldItem(
        row["state"],
        row["size"],
        row.get("for_ms", 0),
        row.get("idle_ms", 0),
        row.get("took_ms", 0),
        row.get("running", 0),
        row.get("pool", ""),
    )


class ReplicaReport(typing.NamedTuple):
    """A replica's own report of its state. `epoch` names its start, `number` grows with every report since;
    `fence` is the highest fencing token that it has seen."""

    epoch: str
    number: int
    up_ms: int
    fence: int
    room: int
    running: int
    held: dict[str, HeldItem]


def report_of(state: Document) -> ReplicaReport:
    """A report as a replica sends it."""
    held = {item: held_item(row) for item, row in state["held"].items()}
    return ReplicaReport(
        state["epoch"],
        state["n"],
        state["up_ms"],
        state.get("fence", 0),
        state["room"],
        state["running"],
        held,
    )


class OrderedLoad(typing.NamedTuple):
    """A load that was ordered and is not yet reported."""

    ordered_at: int
    size: int
    pool: str


@dataclasses.dataclass(slots=True, eq=False)
class ControlledReplica:
    """A replica of a zone. `fresh_since`: when it started; `unaccounted`: how many runs more than all nodes
    together count it had in each of the last reports."""

    id: identifiers.ReplicaId
    url: str
    group: str
    epoch: str = ""
    report_number: int = 0
    held: dict[str, HeldItem] = dataclasses.field(default_factory=dict)
    ordered: dict[str, OrderedLoad] = dataclasses.field(default_factory=dict)
    running: int = 0
    room: int = 0
    up: bool = False
    heard: bool = False
    reported_at: int = LONG_AGO
    polled_at: int = LONG_AGO
    fresh_since: int = -1
    missed_polls: int = 0
    unaccounted: list[int] = dataclasses.field(default_factory=list)

    def has_loaded(self, item: str) -> bool:
        """Whether an item serves here."""
        held = self.held.get(item)
        return held is not None and held.is_loaded()

    def has_or_gets(self, item: str) -> bool:
        """Whether it holds an item or was ordered to load it."""
        return item in self.held or item in self.ordered

    def loads_under_way(self) -> int:
        """How many loads go on or were ordered."""
        loading = {item for item, held in self.held.items() if held.is_loading()}
        return len(loading | set(self.ordered))

    def surely_unaccounted(self) -> int:
        """Runs that no node counts, seen in each of the last reports; one alone may be a little old."""
        return min(self.unaccounted, default=0)
