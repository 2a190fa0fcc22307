"""Replicas behind relays: they hold models, run requests in slots, leave, crash, go dark, come back."""

import collections
import random
import zlib

import basaltport.controller.events as controller_events
import basaltport.simulation.routes.engine as routeengine

QUEUE = 8
CALL = 1000
LISTED = 4000
SNAP = 50


class Id(str):
    """A replica's id whose hash is the same in every process, and with it the order of sets of ids."""

    __slots__ = ()

    def __hash__(self):
        return zlib.crc32(self.encode())


class Replica(routeengine.Engine):
    def __init__(self, w, rid, service, address, zone, slots, held=(), cold_ms=0):
        super().__init__(w, Id(rid), zone, held)
        self.service, self.address, self.slots = service, address, slots
        self.cold_until = w.now + cold_ms
        self.works, self.queue = {}, collections.deque()
        self.speed, self.ill, self.full = w.rng.uniform(0.8, 1.3), 0.0, 0.0

    def over(self, e):
        self.fleet.log("over-room", replica=self.id, model=e.model)
        return "accepted"

    def order(self, e):
        """A restart forgets fences; holders are told in the trace as they arrive."""
        was = len(self.fleet.store)
        got = super().order(e)
        if len(self.fleet.store) > was:
            self.fleet.log("load", replica=self.id, model=e.model)
        return got

    def row(self):
        w = self.fleet
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": self.slots,
            "state": self.state,
            "leaves_in_ms": None if self.leaves is None else max(0, self.leaves - w.now),
            "cold_ms": max(0, self.cold_until - w.now),
            "models": {m: sorted(a) for m, a in self.models.items()},
            "busy": self.job is not None,
            "taken": self.taken,
        }

    def verdict(self, go):
        """What it says before a request begins: run, wait, refused, absent or moved."""
        if go.e.replica != self.id:
            return "moved"
        self.settle()
        if self.full and self.fleet.rng.random() < self.full:
            return "refused"
        m, _, a = go.item.partition("/")
        if m and self.job and self.job[1] == m and (not self.job[2] or self.job[2] == a):
            return "refused"
        if m and (m not in self.models or a and a not in self.models[m]):
            return "absent"
        if len(self.works) < self.slots:
            return "run"
        return "wait" if len(self.queue) < QUEUE else "refused"


class ReplicaMixin:
    """The world's replicas, what is listed of them, and the orders of keepers to them."""

    def back_start(self):
        self.replicas, self.at_place, self.listing, self.fallen = {}, {}, [], {}
        self.loads, self.store, self.under = collections.Counter(), [], []
        self.last_id, self.places_n = 0, 0
        self.later(0, self.snap)

    def place(self):
        self.places_n += 1
        return f"10.1.0.{self.places_n}:1"

    def start_replica(self, service, zone, held=(), cold_ms=0, address=None, slots=16, disk=()):
        self.last_id += 1
        r = Replica(
            self, f"i-{self.last_id}", service, address or self.place(), zone, slots, held, cold_ms=cold_ms
        )
        r.disk |= set(disk)
        self.replicas[r.id] = self.at_place[r.address] = r
        self.log("replica", replica=r.id, service=service, zone=zone)
        if cold_ms:
            self.log("cold", replica=r.id, since=self.t(), until=self.t(r.cold_until))
        return r

    # faults

    def end_replica(self, rid, back_ms=None, service=None, listed=0):
        """It is gone, with what it runs; `back_ms` later a cold one comes at its address."""
        r = self.replicas.pop(rid, None)
        if r is None:
            return
        self.log("replica-gone", replica=rid)
        if self.at_place.get(r.address) is r:
            del self.at_place[r.address]
        if listed:
            self.fallen[rid] = (r.row(), self.now + listed)
        for go in [*r.works.values(), *r.queue]:
            self.lose(go, "crashed")
        r.works, r.queue, r.job = {}, collections.deque(), None
        if back_ms is not None:
            cold, disk = (3000, r.disk) if service is None else (0, ())
            self.later(
                back_ms,
                self.start_replica,
                service or r.service,
                r.zone,
                (),
                cold,
                r.address if service else None,
                r.slots,
                disk,
            )

    def crash_replica(self, rid, back_ms=1000):
        self.end_replica(rid, back_ms, None, LISTED)

    def release(self, rid, notice_ms=None, service=None):
        """It leaves in order after `drain_ms`, or within the notice; its successor comes cold."""
        r = self.replicas.get(rid)
        if r is None or r.state != "ready":
            return
        last = self.timings["drain_ms"] + 1000 if notice_ms is None else notice_ms
        r.state, r.leaves = "draining", None if notice_ms is None else self.now + notice_ms
        self.log("leaving", replica=rid, shown=self.t() + self.lag + 2 * SNAP)
        self.later(last, self.end_replica, rid, 2000, service)

    def chill(self, rid, ms=4000):
        """It becomes cold; whoever sends knows it once the list shows it and was read."""
        r = self.replicas[rid]
        r.cold_until = self.now + ms
        since = self.t() + self.lag + 2 * SNAP + 1000
        self.log("cold", replica=rid, since=since, until=self.t(r.cold_until))

    def dark(self, rid, on=True):
        r = self.replicas.get(rid)
        if r:
            r.dark = on
            self.log("dark", replica=rid, on=on)

    # the list, orders and reports

    def snap(self):
        for rid, (_, until) in list(self.fallen.items()):
            if self.now > until:
                del self.fallen[rid]
        rows = []
        for r in self.replicas.values():
            r.settle()
            rows.append(r.row())
        rows += [row for row, _ in self.fallen.values()]
        old = self.now - self.lag - 1000
        self.listing = [x for x in self.listing if x[0] > old] + [(self.now, rows)]
        self.later(SNAP, self.snap)

    def seen(self, ago):
        return next((x[1] for x in reversed(self.listing) if x[0] <= self.now - ago), [])

    def do_list(self, n, e):
        rows = [dict(r) for r in self.seen(self.lag)]
        ok = not self.list_down
        ev = controller_events.Listed(self.now, ok, rows if ok else [])
        self.later(self.rng.randrange(3, 25), self.give, n, n.incarnation, ev)

    def do_order(self, n, e):
        """Not sent where another may lead by now, as in the shell."""
        n.member.now = max(n.member.now, self.now)
        if not n.member.owns(e.replica, e.fence):
            self.told(n, n.incarnation, e, "failed", self.now)
            return
        at, incarnation = self.now, n.incarnation
        self.reach(n, e.address, lambda r: self.ordered(n, incarnation, e, r, at))

    def reach(self, n, address, f, lost=None):
        """Calls f(replica) after a link's delay; None where nobody answers (at once or by silence)."""
        ms = self.rng.randrange(1, 8)
        r = self.at_place.get(address)
        if r is not None and (n.name, r.id) in self.cuts:
            self.keep(self.later, 1, f, r)
            self.later(CALL, f, "silent")
            return
        self.later(ms, f, r)

    def ordered(self, n, incarnation, e, r, at):
        took = self.now - at
        if r == "silent" or r is not None and r.dark:
            self.later(max(1, CALL - took), self.told, n, incarnation, e, "unknown", at)
            return
        if r is None or self.at_place.get(e.address) is not r:
            self.told(n, incarnation, e, "failed", at)
            return
        if r.id != e.replica:
            self.later(2, self.told, n, incarnation, e, "moved", at)
            return
        self.log("order", replica=r.id, holder=e.holder, fence=int(e.fence), kind=e.kind, node=n.name)
        got = r.order(e)
        if (r.id, n.name) in self.cuts or self.rng.random() < self.lost_answers:
            self.later(CALL, self.told, n, incarnation, e, "unknown", at)
            return
        self.later(self.rng.randrange(1, 8), self.told, n, incarnation, e, got, at)

    def told(self, n, incarnation, e, got, at):
        self.later(
            0, self.give, n, incarnation, controller_events.Ordered(self.now, e.order, got, self.now - at)
        )

    def do_report(self, n, e):
        incarnation = n.incarnation

        def reached(r):
            ok = r not in (None, "silent") and not r.dark and r.id == e.replica
            rows = self.seen(250) if ok else []
            row = next((x for x in rows if x["id"] == e.replica), None)
            body = {"models": row["models"], "busy": row["busy"], "orders": row["taken"]} if row else {}
            ms = CALL if r == "silent" or r is not None and r != "silent" and r.dark else 3
            ev = controller_events.Reported(self.now, e.replica, bool(row), body)
            self.later(ms, self.give, n, incarnation, ev)

        self.reach(n, e.address, reached)


def spread(models, replicas, each, rng=None):
    """Lists of models for replicas: the first two on many, of the others as many as there is room for."""
    rest = iter(models[2:])
    rng = rng or random.Random(1)
    return [
        [models[i % 2], *[m for m in (next(rest, None) for _ in range(each - 1)) if m]]
        for i in range(replicas)
    ]
