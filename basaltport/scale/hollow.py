"""Hollow nodes: followers of the feed over connections of their own, many to a process, without clients."""

import asyncio
import collections.abc
import os
import random
import typing

import basaltport.events as events
import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.scale.size as size_
import basaltport.wires as wires

TICK_S = 0.05
TICK_MS = 50
WANT_MS = 600
"""How often a node tells what its clients wait for."""
WAIT_MS = 10_000
"""How long a client waits for a model that nobody holds."""
MS = 1000

Settings = dict[str, typing.Any]
Counts = dict[str, int]


class Hollow(follow.FollowMixin, member.Member):
    """Reports what a node with traffic would, and never sends a request."""

    TICKS = ("tick_follow", "tick_want")
    me: member.Me
    now: identifiers.Millis
    rng: random.Random

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        size: size_.Size,
        requests: float = 0.0,
        running: int = 0,
        loads: float = 0.0,
    ) -> None:
        """`requests` begun a second; `running`: runs in each report; `loads`: items a second that it wants
        and no replica holds."""
        member.Member.__init__(self, me, seed, now)
        self.size = size
        self.requests, self.running, self.loads = requests, running, loads
        self.reported_at = now
        self.wants: dict[str, identifiers.Millis] = {}
        self.holding: list[dict[str, typing.Any]] = []
        self.near: list[str] = []
        self.asked_at = now
        self.follow_start()

    def rows_changed(self, ids: collections.abc.Iterable[str]) -> None:
        """Replicas came, went or hold something else."""
        self.holding = [row for row in self.rows.values() if row.get("models")]
        self.near = [row["id"] for row in self.holding if row.get("zone") == self.me.zone] or list(self.rows)
        if self.wants:
            held = {model for row in self.holding for model in row["models"]}
            self.wants = {item: since for item, since in self.wants.items() if item not in held}

    def usage(self) -> tuple[Counts, Counts]:
        """Requests since the last report, by item, and runs now, by replica."""
        seconds, self.reported_at = (self.now - self.reported_at) / MS, self.now
        used: Counts = {}
        running: Counts = {}
        if not self.holding:
            return used, running
        count = seconds * self.requests
        for _ in range(int(count) + (self.rng.random() < count % 1)):
            item = self.drawn()
            used[item] = used.get(item, 0) + 1
        for replica_id in self.rng.choices(self.near, k=self.running):
            running[replica_id] = running.get(replica_id, 0) + 1
        return used, running

    def drawn(self) -> str:
        """A model that some replica holds, with one of its adapters there if it has any."""
        model, adapters = self.rng.choice([*self.rng.choice(self.holding)["models"].items()])
        return f"{model}/{self.rng.choice(adapters)}" if adapters else str(model)

    def tick_want(self) -> None:
        """A client that asks for a model that nobody holds, now and then; it waits for some seconds."""
        if not self.rows or not self.has_leader():
            return
        seconds, self.asked_at = (self.now - self.asked_at) / MS, self.now
        if self.rng.random() < seconds * self.loads:
            self.wants[f"model-{self.rng.randrange(self.size.models)}"] = self.now
            self.rows_changed(())
        self.wants = {item: since for item, since in self.wants.items() if self.now - since < WAIT_MS}
        if self.wants and self.ticks % (WANT_MS // TICK_MS) == 0:
            self.report_demand(dict.fromkeys(self.wants, 1))


class Follower(typing.Protocol):
    """What marks are read from."""

    cluster_state: typing.Any
    feed_term: identifiers.Term
    rows_version: int
    proxies: int
    rows: typing.Any


class Marks:
    """When a follower first had a log index in force (`log_index`), lost a row (`gone`), heard of a leader's
    term (`term`), and knew all (`whole`, under 0); and what it did that no follower may: `broken`."""

    def __init__(self) -> None:
        """It knows nothing yet."""
        self.log_index: dict[int, float] = {}
        self.gone: dict[str, float] = {}
        self.term: dict[int, float] = {}
        self.whole: dict[int, float] = {}
        self.broken: list[str] = []
        self.was = (0, identifiers.Term(), -1)
        self.rows: typing.Any = {}
        self.peers: dict[int, float] = {}

    def look(self, follower: Follower, now: float) -> None:
        """Notes what is new since the last look; `now` in ms."""
        index, term, number = follower.cluster_state.log_index, follower.feed_term, follower.rows_version
        if (index, term, number) == self.was and follower.proxies in self.peers:
            return
        was_index, was_term, was_number = self.was
        if index < was_index or term < was_term or term == was_term and number < was_number:
            self.broken.append(f"back from {self.was} to {(index, term, number)}")
        self.was = (index, term, number)
        for reached in range(was_index + 1, index + 1) if was_index else (index,):
            self.log_index.setdefault(reached, now)
        self.term.setdefault(term.count, now)
        if follower.proxies not in self.peers:
            self.peers = {follower.proxies: now}
        self.look_at_rows(follower, now)

    def look_at_rows(self, follower: Follower, now: float) -> None:
        """Notes which replicas are gone, and whether it knows all that it needs."""
        if follower.rows is not self.rows:
            for replica_id in self.rows.keys() - follower.rows.keys():
                self.gone.setdefault(replica_id, now)
            self.rows = follower.rows
        if self.was[0] and follower.rows:
            self.whole.setdefault(0, now)

    def at(self, what: str, key: int | str) -> float | None:
        """When it first had a mark, in ms, or None."""
        return typing.cast("float | None", getattr(self, what).get(key))


class Node:
    """A hollow node with its connections."""

    def __init__(self, conf: Settings, row: dict[str, str]) -> None:
        """`conf`: the file of its process; `row`: its name, zone and address."""
        self.conf = conf
        self.row = row
        self.marks = Marks()
        self.cut = False
        self.boot()

    def boot(self) -> None:
        """A follower that knows nothing."""
        conf, row = self.conf, self.row
        member_id = identifiers.MemberId(f"{row['name']}-{os.urandom(4).hex()}")
        name, place = identifiers.Name(row["name"]), (identifiers.Zone(row["zone"]), row["address"])
        me = member.Me(conf["house"], name, member_id, "proxy", *place, "", conf["seeds"], 0)
        size = size_.Size(**conf["size"])
        traffic = conf["requests"], conf["running"], conf["loads"]
        self.member = Hollow(me, random.getrandbits(64), identifiers.steady(), size, *traffic)
        self.wires = wires.PeerConnections(row["address"], self.heard, self.refused)

    def refused(self, peer: str, why: str) -> None:
        """A connection of a peer was not taken."""
        self.marks.broken.append(why)

    async def run(self) -> None:
        """Follow until it is cancelled."""
        await self.wires.start()
        await asyncio.sleep(random.random() * TICK_S)
        while True:
            self.step(events.Tick(identifiers.steady()))
            await asyncio.sleep(TICK_S)

    async def restart(self) -> None:
        """As a new process would: it knows nothing and follows anew."""
        await self.wires.stop()
        self.marks = Marks()
        self.boot()
        await self.wires.start()

    def heard(self, sender: str, message: object) -> None:
        """A message came."""
        if self.cut:
            return
        now = identifiers.steady()
        self.step(events.Heard(now, sender, message))
        self.marks.look(self.member, now)

    def step(self, event: member.Event) -> None:
        """One step of the follower, and what it sends."""
        for effect in self.member.step(event):
            if isinstance(effect, events.Send) and not self.cut:
                self.wires.send(effect.addr, effect.msg)
