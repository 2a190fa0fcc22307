"""What a replica of many models holds and does as ordered, with durations, on virtual time."""

import collections
import typing

import basaltport.placement.effects as effects

UNLOAD_MS = 2
ADAPTER_MS = 8


class Fleet(typing.Protocol):
    """What an engine needs of its fleet.

    `mb`: sizes of models; `room`: MB that one replica holds; `places`: adapters that one replica holds;
    `load_ms`, `disk_ms`: durations of a load from the store and from the replica's disk; `at_once`: loads
    that the store bears without getting slower; `loads`: how many there were, by origin; `store`: when loads
    from the store began; `under`: when those that are under way end."""

    now: typing.Any
    mb: dict[str, float]
    adapter_mb: float
    room: float
    places: int
    load_ms: int
    disk_ms: int
    at_once: int
    loads: collections.Counter[str]
    store: list[int]
    under: list[int]


class Job(typing.NamedTuple):
    """A load or an unload that is under way; `adapter` is None for a model."""

    kind: str
    model: str
    adapter: str | None
    ends_at: int

    def is_of(self, order: effects.Order) -> bool:
        """Whether this is what an order asks for."""
        return (self.kind, self.model, self.adapter) == (order.kind, order.model, order.adapter)


class Engine:
    """Holds models and adapters and takes orders, one job at a time.

    `models`: adapters by model that is held; `disk`: models whose weights are on the replica's disk; `runs`:
    requests that run, by model; `taken`: jobs that were begun; `leaves`: when it ends, if that is known;
    `dark`: nobody can reach it."""

    def __init__(self, fleet: Fleet, replica_id: str, zone: str, held: typing.Collection[str] = ()) -> None:
        """It holds these models from the start."""
        self.fleet, self.id, self.zone = fleet, replica_id, zone
        self.models: dict[str, set[str]] = {model: set() for model in held}
        self.disk = set(held)
        self.job: Job | None = None
        self.runs: collections.Counter[str] = collections.Counter()
        self.fence = self.taken = 0
        self.state = "ready"
        self.leaves: int | None = None
        self.dark = False

    def size(self) -> float:
        """MB that is held."""
        fleet = self.fleet
        return sum(
            fleet.mb[model] + len(adapters) * fleet.adapter_mb for model, adapters in self.models.items()
        )

    def finish_job(self) -> None:
        """Ends the job if its time has come; a model is not unloaded while requests run on it."""
        if self.job is None:
            return
        kind, model, adapter, ends_at = self.job
        in_use = kind == "unload" and not adapter and self.runs[model] > 0
        if in_use or self.fleet.now < ends_at:
            return
        self.job = None
        if kind == "load":
            self.disk.add(model)
            held = self.models.setdefault(model, set())
            if adapter:
                held.add(adapter)
        elif adapter:
            self.models.get(model, set()).discard(adapter)
        else:
            self.models.pop(model, None)

    def order(self, order: effects.Order) -> str:
        """Takes an order, and says what comes of it: accepted, done, busy, fenced or moved."""
        self.finish_job()
        if order.fence < self.fence:
            return "fenced"
        self.fence = order.fence
        if self.job:
            return "accepted" if self.job.is_of(order) else "busy"
        if order.expected is not None and order.expected != self.taken:
            return "busy"
        there = self.holds(order.model, order.adapter)
        if there == (order.kind == "load"):
            return "done"
        if order.kind == "load" and order.adapter and order.model not in self.models:
            return "moved"
        self.taken += 1
        if order.kind == "load" and not self.fits(order):
            return self.over_room(order)
        self.job = Job(order.kind, order.model, order.adapter, self.fleet.now + self.duration(order))
        return "accepted"

    def holds(self, model: str, adapter: str | None) -> bool:
        """Whether it holds a model, or a model with an adapter."""
        return model in self.models and (not adapter or adapter in self.models[model])

    def fits(self, order: effects.Order) -> bool:
        """Whether there is room for what it is ordered to load."""
        fleet = self.fleet
        if order.adapter:
            adapters = sum(map(len, self.models.values()))
            return self.size() + fleet.adapter_mb <= fleet.room and adapters < fleet.places
        return self.size() + fleet.mb[order.model] <= fleet.room

    def over_room(self, order: effects.Order) -> str:
        """It is ordered to hold more than it has room for."""
        raise AssertionError(f"{self.id} is told to hold too much: {order}")

    def duration(self, order: effects.Order) -> int:
        """Ms that a job takes; loads from the store take longer while more than `at_once` are under way."""
        fleet = self.fleet
        if order.kind == "unload":
            return UNLOAD_MS
        if order.adapter:
            return ADAPTER_MS
        if order.model in self.disk:
            fleet.loads["disk"] += 1
            return fleet.disk_ms
        fleet.loads["store"] += 1
        fleet.store.append(fleet.now)
        fleet.under = [ends_at for ends_at in fleet.under if ends_at > fleet.now]
        duration = int(fleet.load_ms * max(1, (len(fleet.under) + 1) / fleet.at_once))
        fleet.under.append(fleet.now + duration)
        return duration
