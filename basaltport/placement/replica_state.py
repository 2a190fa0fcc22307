"""A replica as the holder of the orders knows it, and the plan of orders it is working on."""

import typing

import basaltport.identifiers as identifiers
import basaltport.placement.catalog as catalog

LOAD = "load"
UNLOAD = "unload"
ASK_WAIT = 250


class Held:
    """A model on a replica; `adapters` by name and when each came. `leaving`: an unload of it was begun."""

    __slots__ = ("since", "adapters", "leaving", "off")

    def __init__(self, since: int) -> None:
        """It came at a time."""
        self.since = since
        self.adapters: dict[str, int] = {}
        self.leaving = False
        self.off: set[str] = set()


class Step:
    """One order, sent again until it is done. `taken`: it was accepted; `unsure`: it may have been."""

    __slots__ = "kind model adapter disk sent at wait taken unsure order out paid tries".split()

    def __init__(self, kind: str, model: str, adapter: str = "", disk: bool = False) -> None:
        """`disk`: the weights are on the replica's own disk."""
        self.kind = kind
        self.model = model
        self.adapter = adapter
        self.disk = disk
        self.sent: int | None = None
        self.at = 0
        self.wait = 0.0
        self.taken = False
        self.unsure = False
        self.order = 0
        self.out = 0
        self.paid: int | None = None
        self.tries = 0

    @property
    def item(self) -> str:
        """`MODEL` or `MODEL/ADAPTER`."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @property
    def store(self) -> bool:
        """Whether it loads from the store of weights."""
        return self.kind == LOAD and not self.adapter and not self.disk


class Plan:
    """Steps in their order towards `goal`; `asked`: for a want, dropped when nobody wants it any more."""

    __slots__ = ("goal", "steps", "asked", "made")

    def __init__(self, goal: str, steps: list[Step], asked: bool, made: int) -> None:
        """Made at a time."""
        self.goal = goal
        self.steps = steps
        self.asked = asked
        self.made = made


class Replica:
    """What is known of a replica: its row, what it holds, its plan, and how far it is believed."""

    __slots__ = (
        *"id service address zone state leaves slots engine held touched missing disk synced plan".split(),
        *"dark ask_at ask_wait asked bars running running_at row".split(),
    )

    def __init__(self, rid: identifiers.ReplicaId) -> None:
        """Nothing is known of it but its id."""
        self.id = rid
        self.service = self.address = self.zone = self.state = ""
        self.leaves: int | None = None
        self.slots = 1
        self.engine = False
        self.held: dict[str, Held] = {}
        self.touched: dict[str, int] = {}
        self.missing: dict[tuple[str, str], int] = {}
        self.disk: set[str] = set()
        self.synced = False
        self.plan: Plan | None = None
        self.dark = 0
        self.ask_at = 0
        self.ask_wait = ASK_WAIT
        self.asked: int | None = None
        self.bars: dict[str, int] = {}
        self.running = 0.0
        self.running_at = 0
        self.row: dict[str, typing.Any] = {}

    def steps(self) -> list[Step]:
        """The steps of its plan that are not done."""
        return self.plan.steps if self.plan else []

    def next_step(self) -> Step:
        """The step that is due; there must be one."""
        return self.steps()[0]

    def places(self) -> int:
        """How many adapters it holds."""
        return sum(len(h.adapters) for h in self.held.values())

    def used(self, cat: catalog.Catalog) -> float:
        """MB of weights and adapters, with what is on its way out."""
        n = 0.0
        for m, h in self.held.items():
            n += cat.size(self.service, m)
            n += len(h.adapters) * cat.size(self.service, m, "*") if h.adapters else 0
        return n

    def shown(self) -> dict[str, list[str]]:
        """The models and adapters that requests may go to."""
        out = {}
        for m, h in self.held.items():
            if not h.leaving:
                out[m] = sorted(a for a in h.adapters if a not in h.off)
        return out

    def coming(self) -> list[str]:
        """The items that its plan loads."""
        return [s.item for s in self.steps() if s.kind == LOAD]
