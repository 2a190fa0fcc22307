"""Hollow nodes: followers of the feed over wires of their own, many to a process, without clients."""

import asyncio
import os
import random

import basaltport.events as events
import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.scale.size as size_
import basaltport.wires as wires

TICK = 0.05
WANT = 600


class Hollow(follow.FollowMixin, member.Member):
    """Reports `requests` begun a second and `running` runs, as a node with that traffic would; `loads`: items
    a second that it wants and no replica holds."""

    TICKS = ("tick_follow", "tick_want")

    def __init__(self, me, seed, now, size=None, requests=0.0, running=0, loads=0.0):
        member.Member.__init__(self, me, seed, now)
        self.size = size
        self.requests, self.running, self.loads = requests, running, loads
        self.told_at = now
        self.wants = {}
        self.list, self.near = [], []
        self.wanted_at = now
        self.follow_start()

    def rows_changed(self, ids):
        self.list = [r for r in self.rows.values() if r.get("models")]
        self.near = [r["id"] for r in self.list if r.get("zone") == self.me.zone] or list(self.rows)
        if self.wants:
            held = {m for r in self.list for m in r["models"]}
            self.wants = {i: t for i, t in self.wants.items() if i not in held}

    def usage(self):
        s, self.told_at = (self.now - self.told_at) / 1000, self.now
        use, load = {}, {}
        if not self.list:
            return use, load
        n = s * self.requests
        for _ in range(int(n) + (self.rng.random() < n % 1)):
            m, on = self.rng.choice([*self.rng.choice(self.list)["models"].items()])
            i = f"{m}/{self.rng.choice(on)}" if on else m
            use[i] = use.get(i, 0) + 1
        for i in self.rng.choices(self.near, k=self.running):
            load[i] = load.get(i, 0) + 1
        return use, load

    def tick_want(self):
        """A client that asks for a model that nobody holds, now and then; it waits for some seconds."""
        if not self.rows or not self.led():
            return
        s, self.wanted_at = (self.now - self.wanted_at) / 1000, self.now
        if self.rng.random() < s * self.loads:
            self.wants[f"model-{self.rng.randrange(self.size.models)}"] = self.now
            self.rows_changed(())
        self.wants = {i: t for i, t in self.wants.items() if self.now - t < 10_000}
        if self.wants and self.ticks % (WANT // 50) == 0:
            self.want({i: 1 for i in self.wants})


class Marks:
    """When a follower first had a serial of the book, lost a row, heard of a leader's generation, and knew
    all (`whole`, under 0); and what it did that no follower may: `broken`."""

    def __init__(self):
        self.serial, self.gone, self.gen, self.whole = {}, {}, {}, {}
        self.broken = []
        self.was = (0, identifiers.Term(), -1)
        self.rows = {}
        self.peers = {}

    def look(self, m, now):
        b, g, n = m.book["serial"], m.feed_gen, m.feed_n
        was_b, was_g, was_n = self.was
        if (b, g, n) == self.was and m.proxies in self.peers:
            return
        if b < was_b or g < was_g or g == was_g and n < was_n:
            self.broken.append(f"back from {self.was} to {(b, g, n)}")
        self.was = (b, g, n)
        for s in range(was_b + 1, b + 1) if was_b else (b,):
            self.serial.setdefault(s, now)
        self.gen.setdefault(g.count, now)
        if m.proxies not in self.peers:
            self.peers = {m.proxies: now}
        if m.rows is not self.rows:
            for i in self.rows.keys() - m.rows.keys():
                self.gone.setdefault(i, now)
            self.rows = m.rows
        if b and m.rows:
            self.whole.setdefault(0, now)

    def at(self, what, key):
        return getattr(self, what).get(key)


class Node:
    """A hollow node with its wires."""

    def __init__(self, conf, row):
        self.conf = conf
        self.row = row
        self.marks = Marks()
        self.cut = False
        self.boot()

    def boot(self):
        c, s = self.conf, self.row
        seat = f"{s['name']}-{os.urandom(4).hex()}"
        me = member.Me(c["house"], s["name"], seat, "proxy", s["zone"], s["address"], "", c["seeds"], 0)
        size = size_.Size(**c["size"])
        rates = [c["requests"], c["running"], c["loads"]]
        self.member = Hollow(me, random.getrandbits(64), identifiers.steady(), size, *rates)
        self.wires = wires.Wires(s["address"], self.heard, lambda peer, why: self.marks.broken.append(why))

    async def run(self):
        await self.wires.start()
        await asyncio.sleep(random.random() * TICK)
        while True:
            self.step(events.Tick(identifiers.steady()))
            await asyncio.sleep(TICK)

    async def restart(self):
        """As a new process would: it knows nothing and follows anew."""
        await self.wires.stop()
        self.marks = Marks()
        self.boot()
        await self.wires.start()

    def heard(self, src, msg):
        if self.cut:
            return
        now = identifiers.steady()
        self.step(events.Heard(now, src, msg))
        self.marks.look(self.member, now)

    def step(self, ev):
        for e in self.member.step(ev):
            if isinstance(e, events.Send) and not self.cut:
                self.wires.send(e.addr, e.msg)
