"""The reducer's base: one step per event, effects as data, handlers found by name in the mixins."""

import random

import basaltport.events as events
import basaltport.kinds as kinds
import basaltport.text as text


class Me:
    """Who a member is: its place from the settings and its seat, new with every start without memory.
    `voters`: "seats" where all members vote, "ledgers" where those with disks alone do; then `founders` are
    the addresses that may found, and `first_start` is true where nothing can have been agreed before."""

    __slots__ = (
        "house",
        "name",
        "seat",
        "role",
        "zone",
        "addr",
        "http",
        "seeds",
        "expected",
        "ledgers",
        "voters",
        "first_start",
        "founders",
    )

    def __init__(
        self,
        house,
        name,
        seat,
        role,
        zone,
        addr,
        http,
        seeds,
        expected,
        ledgers=3,
        voters="seats",
        first_start=False,
        founders=None,
    ):
        self.house = house
        self.name = kinds.Name(name)
        self.seat = kinds.Seat(seat)
        self.role = role
        self.zone = kinds.Zone(zone)
        self.addr = addr
        self.http = http
        self.seeds = list(seeds)
        self.expected = expected
        self.ledgers = ledgers
        self.voters = voters
        self.first_start = first_start
        self.founders = list(seeds if founders is None else founders)

    def row(self):
        return {k: str(getattr(self, k)) for k in ("name", "seat", "role", "zone", "addr", "http")}


class Member:
    """State is owned by the reducer and changed only inside `step`; no clock, wire, disk or chance here."""

    TICKS = ()
    durable = False

    def __init__(self, me, seed, now):
        self.me = me
        self.now = now
        self.rng = random.Random(seed)
        self.out = []
        self.token = 0
        self.after = {}
        self.stalled = {}
        self.ticks = 0
        self.bad = False

    def step(self, ev):
        self.now = max(self.now, ev.now)
        self.out = []
        getattr(self, "on_" + type(ev).__name__.lower())(ev)
        return self.out

    def emit(self, e):
        self.out.append(e)

    def send(self, addr, msg):
        self.out.append(events.Send(addr, msg))

    def note(self, number, **fields):
        self.out.append(events.Note(int(number), fields))

    def on_tick(self, ev):
        self.ticks += 1
        for t in self.TICKS:
            getattr(self, t)()

    def on_heard(self, ev):
        f = getattr(self, "hear_" + type(ev.msg).__name__.lower(), None)
        if f is None:
            return
        f(ev.src, ev.msg)

    def write(self, records, whole=None, then=()):
        """Ask for records to be synced; `then` are effects held back until they are."""
        if not self.durable:
            self.out.extend(then)
            return
        self.token += 1
        self.after[self.token] = (self.head(), list(then), whole is not None)
        self.stalled[self.token] = (self.now, self.ticks, text.size(records) + text.size(whole or {}))
        self.synced_promise.append(self.promised)
        self.emit(events.Write(self.token, records, whole))

    def on_synced(self, ev):
        """After a failed write only a whole snapshot counts again: what lay between may be lost."""
        head, then, whole = self.after.pop(ev.token)
        promise = self.synced_promise.pop(0)
        self.stalled.pop(ev.token, None)
        if not ev.ok:
            self.bad = True
            self.disk_failed()
            return
        if self.bad and not whole:
            return
        self.bad = False
        self.durable_head(head, promise)
        self.out.extend(then)
