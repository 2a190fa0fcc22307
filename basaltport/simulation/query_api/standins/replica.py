"""A stand-in replica's logic, pure: the same for the simulator and for the HTTP stand-in."""

import dataclasses
import typing

import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
OK = 200
CONFLICT = 409
TOO_MANY_REQUESTS = 429


@dataclasses.dataclass(slots=True)
class HeldItem:
    """`state`: loading, loaded or lost; `size` in the configuration's units; `since`: when the state began,
    `last`: when a run on it ended last, both in ms; `took`: ms that the load took; `pool`: which holds it."""

    state: str
    size: int
    since: int
    last: int
    pool: str
    took: int = 0


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a request; `end` is None while it lasts."""

    dispatch: str
    prompt: str
    item: str
    at: int
    end: int | None = None


class Replica:
    """`fence`, `version`: the highest fence of an order and version of the configuration that it has seen;
    `held`: items by name; `running`: runs by attempt; `runs`: all runs; `most`: how many ran at once;
    `broken`: rules that its orders broke; `answers`: how often it told its state."""

    def __init__(self, replica_id: str, room: int, slots: int, epoch: str, now: int) -> None:
        """It holds nothing; `epoch` names this start of it."""
        self.id = identifiers.ReplicaId(replica_id)
        self.room, self.slots = room, slots
        self.epoch, self.born = epoch, now
        self.fence = self.version = 0
        self.held: dict[str, HeldItem] = {}
        self.running: dict[str, Run] = {}
        self.runs: list[Run] = []
        self.most = self.answers = 0
        self.broken: list[Document] = []

    def used(self) -> int:
        """The room that is taken."""
        return sum(held.size for held in self.held.values())

    def running_on(self, item: str) -> int:
        """How many runs there are on an item."""
        return sum(1 for run in self.running.values() if run.item == item)

    def state(self, now: int, fence: int = 0) -> Document:
        """What it tells whoever asks, who shows its fence."""
        self.fence = max(self.fence, fence)
        self.answers += 1
        return {
            "replica": self.id,
            "epoch": self.epoch,
            "n": self.answers,
            "up_ms": now - self.born,
            "fence": self.fence,
            "serial": self.version,
            "room": self.room,
            "slots": self.slots,
            "running": len(self.running),
            "held": {item: self.held_row(item, held, now) for item, held in self.held.items()},
        }

    def held_row(self, item: str, held: HeldItem, now: int) -> Document:
        """What it tells of an item that it holds."""
        running = self.running_on(item)
        return {
            "state": held.state,
            "size": held.size,
            "for_ms": now - held.since,
            "pool": held.pool,
            "running": running,
            "idle_ms": 0 if running else now - held.last,
            "took_ms": held.took,
        }

    def order(self, now: int, body: Document) -> tuple[int, Document, str | None]:
        """(status, answer, item to load or None)."""
        if body["fence"] < self.fence:
            return CONFLICT, {"error": "stale-fence", "ran": "no", "fence": self.fence}, None
        self.fence = body["fence"]
        item = body["item"]
        held = self.held.get(item)
        if body["do"] == "unload":
            return self.unload(now, item, held)
        if held is not None:
            return OK, self.state(now), None
        if self.used() + body["size"] > self.room:
            self.broken.append({"rule": "room", "at": now, "item": item})
            return CONFLICT, {"error": "no-room", "ran": "no", **self.state(now)}, None
        self.held[item] = HeldItem("loading", body["size"], now, now, body["pool"])
        return OK, self.state(now), item

    def unload(self, now: int, item: str, held: HeldItem | None) -> tuple[int, Document, None]:
        """Drops an item that is not in use."""
        if held is None or held.state != "loaded" or self.running_on(item):
            error = "in-use" if held else "not-held"
            return CONFLICT, {"error": error, "ran": "no", **self.state(now)}, None
        del self.held[item]
        return OK, self.state(now), None

    def loaded(self, now: int, item: str) -> None:
        """A load ends."""
        held = self.held.get(item)
        if held is None or held.state != "loading":
            return
        held.state, held.took = "loaded", now - held.since
        held.since = held.last = now

    def admit(self, now: int, attempt_id: str, version: int, body: Document) -> tuple[int, str] | None:
        """None, or (status, error) of a refusal: it never ran and never will."""
        if version < self.version:
            return CONFLICT, "stale-serial"
        self.version = version
        item = f"{body['model']}/{body['adapter']}" if body.get("adapter") else body["model"]
        held = self.held.get(item)
        if held is None:
            return CONFLICT, "not-held"
        if held.state != "loaded":
            return CONFLICT, "starting"
        if len(self.running) >= self.slots:
            return TOO_MANY_REQUESTS, "busy"
        run = Run(attempt_id, body["prompt"], item, now)
        self.running[attempt_id] = run
        self.most = max(self.most, len(self.running))
        self.runs.append(run)
        return None

    def finish(self, now: int, attempt_id: str) -> None:
        """A run ends."""
        run = self.running.pop(attempt_id, None)
        if run is None:
            return
        if run.item in self.held:
            self.held[run.item].last = now
        for recorded in reversed(self.runs):
            if recorded.dispatch == attempt_id:
                recorded.end = now
                break


class Store:
    """The weight store's own count of loads at once. `loads`: how many it bears; `most`: how many there
    were."""

    def __init__(self, loads: int) -> None:
        """Nothing loads."""
        self.loads = loads
        self.now_loading = self.most = self.total = 0

    def begin(self) -> None:
        """A load begins."""
        self.now_loading += 1
        self.total += 1
        self.most = max(self.most, self.now_loading)

    def end(self) -> None:
        """A load ends."""
        self.now_loading -= 1
