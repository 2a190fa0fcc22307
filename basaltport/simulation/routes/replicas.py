"""Replicas behind proxies: they hold models, run requests in slots, leave, crash, go dark, come back."""

import collections
import enum
import typing
import zlib

import basaltport.controller.events as controller_events
import basaltport.placement.effects as effects
import basaltport.simulation.routes.attempts as attempts
import basaltport.simulation.routes.engine as engine
import basaltport.simulation.routes.fleet_base as fleet_base
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.replica_rows as replica_rows

QUEUE = 8
SLOTS = 16
CALL_TIMEOUT_MS = 1000
LATE_MS = (1000, 8000)
LISTED_AFTER_CRASH_MS = 4000
SNAPSHOT_MS = 50
SNAPSHOTS_KEPT_MS = 1000
REPORT_AGE_MS = 250
REPORT_MS = 3
SUCCESSOR_MS = 2000
COLD_MS = 3000
CHILL_MS = 4000
READ_LIST_MS = 1000
DRAIN_SLACK_MS = 1000
SPEED = (0.8, 1.3)


class Silence(enum.Enum):
    """What comes of a call in place of a replica."""

    TIMED_OUT = "timed out"


events: typing.Any = controller_events


class Id(str):
    """A replica's id whose hash is the same in every process, and with it the order of sets of ids."""

    __slots__ = ()

    def __hash__(self) -> int:
        """A checksum of its bytes."""
        return zlib.crc32(self.encode())


class Replica(engine.Engine):
    """A replica of a service at an address.

    `cold_until`: until when it is slow; `running`: the attempts that it runs, `queue`: those that wait;
    `speed`: a factor on its durations; `failing`, `refusing`: shares of requests that fail or are refused."""

    def __init__(
        self,
        fleet: fleet_base.FleetBase,
        replica_id: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        held: typing.Collection[str] = (),
        cold_ms: int = 0,
    ) -> None:
        """It takes requests at once."""
        super().__init__(fleet, Id(replica_id), zone, held)
        self.world = fleet
        self.service, self.address, self.slots = service, address, slots
        self.cold_until = fleet.now + cold_ms
        self.running: dict[int, attempts.SentAttempt] = {}
        self.queue: collections.deque[attempts.SentAttempt] = collections.deque()
        self.speed = fleet.rng.uniform(*SPEED)
        self.failing, self.refusing = 0.0, 0.0

    def over_room(self, order: effects.Order) -> str:
        """Orders beyond its room are a finding of the checks."""
        self.world.record(replica_rows.OverRoom, self.id, order.model)
        return "accepted"

    def order(self, order: effects.Order) -> str:
        """Takes an order; what it loads from the store is told in the trace."""
        loads = len(self.fleet.store)
        outcome = super().order(order)
        if len(self.fleet.store) > loads:
            self.world.record(replica_rows.Load, self.id, order.model)
        return outcome

    def row(self) -> fleet_base.ListedRow:
        """As the platform lists it."""
        now = self.world.now
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": self.slots,
            "state": self.state,
            "leaves_in_ms": None if self.leaves is None else max(0, self.leaves - now),
            "cold_ms": max(0, self.cold_until - now),
            "models": {model: sorted(adapters) for model, adapters in self.models.items()},
            "busy": self.job is not None,
            "taken": self.taken,
        }

    def verdict(self, attempt: attempts.SentAttempt) -> str:
        """What it says before a request begins: run, wait, refused, absent or moved."""
        if attempt.effect.replica != self.id:
            return "moved"
        self.finish_job()
        if self.refusing and self.world.rng.random() < self.refusing:
            return "refused"
        model, _, adapter = attempt.item.partition("/")
        job = self.job
        if model and job and job.model == model and (not job.adapter or job.adapter == adapter):
            return "refused"
        if model and not self.holds(model, adapter):
            return "absent"
        if len(self.running) < self.slots:
            return "run"
        return "wait" if len(self.queue) < QUEUE else "refused"


Reached = typing.Callable[[Replica | Silence | None], object]


class Snapshot(typing.NamedTuple):
    """The platform's list at a time."""

    time: int
    rows: list[fleet_base.ListedRow]


class ReplicaMixin(fleet_base.FleetBase):
    """The world's replicas, what is listed of them, and the orders of controllers to them."""

    def replicas_start(self) -> None:
        """There are no replicas yet."""
        self.replicas, self.at_place = {}, {}
        self.listing: list[Snapshot] = []
        self.crashed: dict[str, tuple[fleet_base.ListedRow, int]] = {}
        self.loads, self.store, self.under = collections.Counter(), [], []
        self.last_replica, self.last_place = 0, 0
        self.later(0, self.snapshot)

    def place(self) -> str:
        """An address that no replica had."""
        self.last_place += 1
        return f"10.1.0.{self.last_place}:1"

    def start_replica(
        self,
        service: str,
        zone: str,
        held: typing.Collection[str] = (),
        cold_ms: int = 0,
        address: str | None = None,
        slots: int = SLOTS,
        disk: typing.Collection[str] = (),
    ) -> Replica:
        """A replica starts, by default at an address of its own; `disk`: weights that lie there already."""
        self.last_replica += 1
        replica_id, place = f"i-{self.last_replica}", address or self.place()
        replica = Replica(self, replica_id, service, place, zone, slots, held, cold_ms=cold_ms)
        replica.disk |= set(disk)
        self.replicas[replica.id] = self.at_place[replica.address] = replica
        self.record(replica_rows.ReplicaStarted, replica.id, service, zone)
        if cold_ms:
            cold_until = self.elapsed(replica.cold_until)
            self.record(replica_rows.Cold, replica.id, self.elapsed(), cold_until)
        return replica

    # faults

    def end_replica(
        self, replica_id: str, back_ms: int | None = None, service: str | None = None, listed_ms: int = 0
    ) -> None:
        """It is gone, with what it runs; `back_ms` later a successor comes, a cold one of the same service at
        a new address, or one of another `service` at its own. The list shows it for `listed_ms` more."""
        replica = self.replicas.pop(replica_id, None)
        if replica is None:
            return
        self.record(replica_rows.ReplicaGone, replica_id)
        if self.at_place.get(replica.address) is replica:
            del self.at_place[replica.address]
        if listed_ms:
            self.crashed[replica_id] = (replica.row(), self.now + listed_ms)
        for attempt in [*replica.running.values(), *replica.queue]:
            self.lose(attempt, "crashed")
        replica.running, replica.queue, replica.job = {}, collections.deque(), None
        if back_ms is not None:
            self.later(back_ms, self.start_successor, replica, service)

    def start_successor(self, replica: Replica, service: str | None) -> None:
        """What comes after a replica that is gone."""
        slots = replica.slots
        if service is None:
            self.start_replica(replica.service, replica.zone, (), COLD_MS, None, slots, replica.disk)
        else:
            self.start_replica(service, replica.zone, (), 0, replica.address, slots)

    def crash_replica(self, replica_id: str, back_ms: int | None = 1000) -> None:
        """It ends without a word, and the list shows it for a while more."""
        self.end_replica(replica_id, back_ms, None, LISTED_AFTER_CRASH_MS)

    def release(self, replica_id: str, notice_ms: int | None = None, service: str | None = None) -> None:
        """It leaves in order after `drain_ms`, or within the notice; its successor comes cold."""
        replica = self.replicas.get(replica_id)
        if replica is None or replica.state != "ready":
            return
        planned = notice_ms is None
        replica.state = "draining"
        replica.leaves = None if notice_ms is None else self.now + notice_ms
        shown = self.elapsed() + self.lag + 2 * SNAPSHOT_MS
        self.record(replica_rows.Leaving, replica_id, shown)
        last = self.timings.drain_ms + DRAIN_SLACK_MS if planned else notice_ms
        self.later(last or 0, self.end_replica, replica_id, SUCCESSOR_MS, service)

    def chill(self, replica_id: str, ms: int = CHILL_MS) -> None:
        """It becomes cold; whoever sends knows it once the list shows it and was read."""
        replica = self.replicas[replica_id]
        replica.cold_until = self.now + ms
        since = self.elapsed() + self.lag + 2 * SNAPSHOT_MS + READ_LIST_MS
        self.record(replica_rows.Cold, replica_id, since, self.elapsed(replica.cold_until))

    def dark(self, replica_id: str, on: bool = True) -> None:
        """Nobody can reach it, or they can again."""
        replica = self.replicas.get(replica_id)
        if replica:
            replica.dark = on
            self.record(replica_rows.Dark, replica_id, on)

    # the list

    def snapshot(self) -> None:
        """The platform's list as it is now."""
        for replica_id, (_, until) in list(self.crashed.items()):
            if self.now > until:
                del self.crashed[replica_id]
        rows = []
        for replica in self.replicas.values():
            replica.finish_job()
            rows.append(replica.row())
        rows += [row for row, _ in self.crashed.values()]
        oldest = self.now - self.lag - SNAPSHOTS_KEPT_MS
        self.listing = [snapshot for snapshot in self.listing if snapshot.time > oldest]
        self.listing.append(Snapshot(self.now, rows))
        self.later(SNAPSHOT_MS, self.snapshot)

    def listed_before(self, ms: int) -> list[fleet_base.ListedRow]:
        """The list as it was so long ago."""
        time = self.now - ms
        return next((shot.rows for shot in reversed(self.listing) if shot.time <= time), [])

    def do_list(self, node: nodes.Node, effect: effects.List) -> None:
        """A controller reads the list, which is `lag` ms old."""
        rows = [dict(row) for row in self.listed_before(self.lag)]
        ok = not self.list_down
        event = events.Listed(self.now, ok, rows if ok else [])
        self.later(self.rng.randrange(3, 25), self.give, node, node.incarnation, event)

    # orders and reports

    def do_order(self, node: nodes.Node, effect: effects.Order) -> None:
        """Not sent where another may lead by now, as in the shell."""
        node.member.now = max(node.member.now, self.now)
        if not node.member.owns(effect.replica, effect.fence):
            self.order_ended(node, node.incarnation, effect, "failed", self.now)
            return
        sent_at, incarnation = self.now, node.incarnation
        if self.late_orders and self.rng.random() < self.late_orders:
            self.later(self.rng.randrange(*LATE_MS), self.arrive_late, node, effect)
            self.later(CALL_TIMEOUT_MS, self.order_ended, node, incarnation, effect, "unknown", sent_at)
            return
        self.reach(
            node, effect.address, lambda replica: self.ordered(node, incarnation, effect, replica, sent_at)
        )

    def arrive_late(self, node: nodes.Node, order: effects.Order) -> None:
        """An order reaches its replica though nobody waits for its answer any more."""
        replica = self.at_place.get(order.address)
        if replica is None or replica.dark or replica.id != order.replica:
            return
        outcome = replica.order(order)
        self.record(replica_rows.LateOrder, replica.id, node.name, order.kind, order.model, outcome)

    def reach(self, node: nodes.Node, address: str, reached: Reached) -> None:
        """Calls `reached` with the replica there after a link's delay; with None where there is none, and
        with TIMED_OUT where a cut is between."""
        delay = self.rng.randrange(1, 8)
        replica = self.at_place.get(address)
        if replica is not None and (node.name, replica.id) in self.cuts:
            self.keep(self.later, 1, reached, replica)
            self.later(CALL_TIMEOUT_MS, reached, Silence.TIMED_OUT)
            return
        self.later(delay, reached, replica)

    def ordered(
        self,
        node: nodes.Node,
        incarnation: int,
        order: effects.Order,
        replica: Replica | Silence | None,
        sent_at: int,
    ) -> None:
        """An order reaches a replica, or does not."""
        if isinstance(replica, Silence) or replica is not None and replica.dark:
            rest = max(1, CALL_TIMEOUT_MS - (self.now - sent_at))
            self.later(rest, self.order_ended, node, incarnation, order, "unknown", sent_at)
            return
        if replica is None or self.at_place.get(order.address) is not replica:
            self.order_ended(node, incarnation, order, "failed", sent_at)
            return
        if replica.id != order.replica:
            self.later(2, self.order_ended, node, incarnation, order, "moved", sent_at)
            return
        fence = int(order.fence)
        self.record(replica_rows.Order, replica.id, order.holder, fence, order.kind, node.name)
        outcome = replica.order(order)
        if (replica.id, node.name) in self.cuts or self.rng.random() < self.lost_answers:
            self.later(CALL_TIMEOUT_MS, self.order_ended, node, incarnation, order, "unknown", sent_at)
            return
        delay = self.rng.randrange(1, 8)
        self.later(delay, self.order_ended, node, incarnation, order, outcome, sent_at)

    def order_ended(
        self, node: nodes.Node, incarnation: int, order: effects.Order, outcome: str, sent_at: int
    ) -> None:
        """The controller hears what came of its order."""
        event = events.Ordered(self.now, order.order, outcome, self.now - sent_at)
        self.later(0, self.give, node, incarnation, event)

    def do_report(self, node: nodes.Node, effect: effects.Report) -> None:
        """A controller asks a replica what it holds."""
        incarnation = node.incarnation
        self.reach(node, effect.address, lambda replica: self.report(node, incarnation, effect, replica))

    def report(
        self, node: nodes.Node, incarnation: int, effect: effects.Report, replica: Replica | Silence | None
    ) -> None:
        """The replica answers as it was a little earlier, or nobody answers."""
        silent = isinstance(replica, Silence) or replica is not None and replica.dark
        ok = not silent and isinstance(replica, Replica) and replica.id == effect.replica
        rows = self.listed_before(REPORT_AGE_MS) if ok else []
        row = next((row for row in rows if row["id"] == effect.replica), None)
        body = {"models": row["models"], "busy": row["busy"], "orders": row["taken"]} if row else {}
        event = events.Reported(self.now, effect.replica, bool(row), body)
        self.later(CALL_TIMEOUT_MS if silent else REPORT_MS, self.give, node, incarnation, event)


def spread(models: list[str], replicas: int, each: int) -> list[list[str]]:
    """Lists of models for replicas: the first two on many, of the others as many as there is room for."""
    rest = iter(models[2:])
    return [
        [models[i % 2], *[model for model in (next(rest, None) for _ in range(each - 1)) if model]]
        for i in range(replicas)
    ]
