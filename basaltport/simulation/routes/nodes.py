"""Keepers and proxies on virtual time, links and disks: their own reducers in one process."""

import copy
import heapq
import random
import typing

import basaltport.consensus.quorum as quorum
import basaltport.events as events
import basaltport.frames as frames
import basaltport.controller.node as role
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.simulation.virtual_disk as virtual_disk

TICK = 50
HELD = 1500
LAST = 100
STOPPED = 5000


class Node:
    """One process at one address. `member_name`: the name it bears among members, which a replacing machine
    may share with its predecessor; `skew`: how far its steady clock is ahead of the world's."""

    def __init__(self, name: str, addr: str, disk: typing.Any) -> None:
        self.name, self.addr, self.disk = name, addr, disk
        self.member_name, self.skew = name, 0
        self.member: typing.Any = None
        self.life, self.frozen = 0, False
        self.held: list[typing.Any] = []
        self.seat = ""
        self.founders: list[str] | None = None
        self.book: typing.Any = None


class Nodes:
    """Whoever uses it gives `placement()`, `proxy_of(me, seed)` and what effects beside Send and Write do.

    Links keep their order and lose what is under way when the receiver restarts, as one connection does.
    `reordering` gives each message its own delay; `doubling` is the chance that it comes twice; `delay_max`
    the longest delay in ms; `across_lives` delivers to whoever lives at the address when it arrives."""

    def __init__(self, seed: int, keepers: int = 3, boot: bool = True, packed: bool = False) -> None:
        self.rng = random.Random(seed)
        self.now = identifiers.Millis(1_000_000)
        self.heap: list[typing.Any] = []
        self.k, self.packed = 0, packed
        self.nodes: dict[str, Node] = {}
        self.by_addr: dict[str, Node] = {}
        self.last: dict[tuple[str, str], int] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.held: list[typing.Any] = []
        self.lossy = 0.0
        self.reordering, self.doubling, self.delay_max, self.across_lives = False, 0.0, 11, False
        self.agreed: dict[int, typing.Any] = {}
        self.answers: dict[str, typing.Any] = {}
        self.n = 0
        self.notes: list[typing.Any] = []
        self.holding = True
        self.bytes = 0
        for i in range(keepers):
            self.add(f"k{i + 1}")
        self.seeds = [n.addr for n in self.nodes.values()][:3]
        for n in list(self.nodes) if boot else ():
            self.later(self.rng.randrange(0, 300), self.boot, n, True)

    # time

    def later(self, ms: float, f: typing.Callable[..., object], *a: typing.Any) -> None:
        self.k += 1
        heapq.heappush(self.heap, (self.now + ms, self.k, f, a))

    def run(self, ms: float) -> None:
        self.until(bool, ms)

    def until(self, test: typing.Callable[[], object], ms: float) -> float | None:
        """Ms until the test held, or None."""
        start, end = self.now, self.now + ms
        while not test():
            if self.heap[0][0] > end:
                self.now = identifiers.Millis(end)
                return None
            t, _, f, a = heapq.heappop(self.heap)
            self.now = identifiers.Millis(t)
            f(*a)
        return self.now - start

    # nodes

    def add(self, name: str, disk: bool = True) -> Node:
        n = Node(name, self.address(), None)
        n.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random())) if disk else None
        self.nodes[name] = self.by_addr[n.addr] = n
        return n

    def address(self) -> str:
        return f"10.0.0.{len(self.by_addr) + 1}:1"

    def zone_of(self, name: str) -> str:
        return f"z-{name}"

    def boot(self, name: str, first: bool = False) -> None:
        n = self.nodes[name]
        held, current_term = None, identifiers.Term()
        if n.disk:
            held, current_term = n.disk.load().ok_value
            if not n.seat:
                n.seat, n.founders = (
                    f"{n.member_name}-{self.rng.getrandbits(32):08x}",
                    list(self.seeds) if first else None,
                )
        args = (
            "house",
            n.member_name,
            n.seat,
            "ledger" if n.disk else "proxy",
            self.zone_of(name),
            n.addr,
            "",
            self.seeds,
            0,
        )
        if n.disk:
            fs = n.founders
            me = member.Me(*args, voters="ledgers", first_start=fs is not None, founders=fs or [])
            seed = self.rng.getrandbits(32)
            n.member = role.Controller(me, seed, self.clock(n), held, current_term, self.placement())
        else:
            n.member = self.proxy_of(member.Me(*args), self.rng.getrandbits(32))
        n.life, n.frozen, n.held, n.book = n.life + 1, False, [], None
        self.started(n)
        self.tick(n, n.life)

    def started(self, n: Node) -> None:
        """A process was made and has done nothing yet."""

    def clock(self, n: Node) -> identifiers.Millis:
        """The steady clock of a process."""
        return identifiers.Millis(self.now + n.skew)

    def proxy(self, name: str) -> typing.Any:
        self.add(name, False)
        self.boot(name)
        return self.nodes[name].member

    def kill(self, name: str, power: bool = False, disk: bool = False) -> None:
        n = self.nodes[name]
        n.member, n.life = None, n.life + 1
        if n.disk is None:
            return
        if disk:
            n.disk, n.seat, n.founders = virtual_disk.VirtualDisk(random.Random(self.rng.random())), "", None
            return
        if power:
            n.disk.power_loss()
        else:
            n.disk.syncing = n.disk.syncing or len(n.disk.queue)
            n.disk.done()
            n.disk.queue = []

    def stop(self, name: str) -> None:
        """The end that SIGTERM brings: the process goes once its member is released."""
        n = self.nodes[name]
        self.ask_to_stop(n)
        self.run(LAST)
        self.until(lambda: n.member is None or n.member.released(), STOPPED)
        self.kill(name)

    def ask_to_stop(self, n: Node) -> None:
        self.step(n, events.Stop(self.clock(n)))

    def freeze(self, name: str, on: bool = True) -> None:
        n = self.nodes[name]
        n.frozen = on
        if not on:
            held, n.held = n.held, []
            self.step(n, events.Tick(self.clock(n)))
            for ev in held:
                ev.now = self.clock(n)
                self.step(n, ev)

    def tick(self, n: Node, life: int) -> None:
        if n.life != life:
            return
        if not n.frozen:
            self.step(n, events.Tick(self.clock(n)))
        self.later(TICK, self.tick, n, life)

    def give(self, n: Node, life: int, ev: typing.Any) -> None:
        if n.life != life or n.member is None:
            return
        if n.frozen:
            n.held.append(ev)
            return
        ev.now = self.clock(n)
        self.step(n, ev)

    def step(self, n: Node, ev: typing.Any) -> None:
        if n.member is None:
            return
        was = n.member.book["serial"]
        for e in n.member.step(ev):
            getattr(self, "do_" + type(e).__name__.lower())(n, e)
        if n.member is not None:
            self.look(n, was)

    def look(self, n: Node, was: int) -> None:
        """One book for each serial, nothing taken back. A book that was seen here is not looked at again."""
        b = n.member.book
        if b is n.book:
            return
        n.book = b
        key = (tuple(b["gen"]), str(b["manifest"]), sorted(b["drains"]), sorted(b["roster"]))
        if b["serial"] < was or self.agreed.setdefault(b["serial"], key) != key:
            self.differs(n, b)

    def differs(self, n: Node, b: typing.Any) -> None:
        raise AssertionError((n.name, b["serial"]))

    def controllers(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.disk and n.member]

    def up(self) -> list[Node]:
        return [n for n in self.controllers() if not n.frozen]

    def leader(self) -> str | None:
        """The name of the one that holds, or None."""
        ns = [(n.member.current_term, n.name) for n in self.up() if n.member.holds_at(self.clock(n))]
        return max(ns)[1] if ns else None

    def roster(self) -> list[str]:
        """Names of all that vote, while a member takes another's place both."""
        return sorted(r["name"] for r in quorum.voters(self.nodes[self.leader()].member.book).values())

    def settled(self, *names: str) -> bool:
        """Whether there is a leader whose agreed roster is of these names, all of whose seats answer, and no
        former roster decides beside it."""
        k = self.leader()
        m = k and self.nodes[k].member
        seats = {n.seat for n in self.nodes.values()}
        if not m or "former" in m.book:
            return False
        return self.roster() == sorted(names) and m.book["roster"].keys() <= seats

    # wires

    def cut(self, a: str, b: str, both: bool = True) -> None:
        self.cuts |= {(a, b), (b, a)} if both else {(a, b)}

    def part(self, left: typing.Collection[str]) -> None:
        for a in left:
            for b in self.nodes:
                if b not in left:
                    self.cut(a, b)

    def heal(self) -> None:
        self.cuts = set()
        held, self.held = self.held, []
        for at, f, a in held:
            if self.now - at < HELD:
                self.later(1, f, *a)

    def keep(self, f: typing.Callable[..., object], *a: typing.Any) -> None:
        """What a cut holds up comes once it heals, if that is soon; without `holding` it is lost."""
        if self.holding:
            self.held.append((self.now, f, a))

    def do_send(self, n: Node, e: typing.Any) -> None:
        to = self.by_addr.get(e.addr)
        if to is None:
            return
        msg = e.msg
        if self.packed:
            raw = frames.pack(msg)
            self.bytes += len(raw)
            msg = frames.unpack(raw).ok_value
        if (n.name, to.name) in self.cuts:
            self.keep(self.arrive, n, to, to.life, msg)
            return
        if self.rng.random() < self.lossy:
            return
        twice = self.doubling and self.rng.random() < self.doubling
        for m in (msg, copy.copy(msg)) if twice else (msg,):
            self.later(self.delay(n, to), self.arrive, n, to, to.life, m)

    def delay(self, n: Node, to: Node) -> int:
        """Ms that a message is under way."""
        ms = self.rng.randrange(1, self.delay_max + 1)
        if self.reordering:
            return ms
        k = (n.name, to.name)
        at = self.last[k] = max(self.last.get(k, 0), self.now + ms)
        return at - self.now

    def arrive(self, n: Node, to: Node, life: int, msg: typing.Any) -> None:
        if self.across_lives:
            life = to.life
        if (n.name, to.name) in self.cuts:
            self.keep(self.arrive, n, to, life, msg)
            return
        self.give(to, life, events.Heard(self.now, "", msg))

    # disks, notes

    def do_write(self, n: Node, e: typing.Any) -> None:
        whole = None
        if e.whole is not None:
            whole = {"promised": list(n.member.current_term), **e.whole, "tail": list(e.whole["tail"])}
        n.disk.write(e.token, e.records, whole)
        self.sync_next(n)

    def sync_next(self, n: Node) -> None:
        d = n.disk
        if d.queue and not d.syncing and not d.stalled:
            d.begin()
            self.later(d.lapse(self.now) - self.now, self.synced, n, n.life, d)

    def synced(self, n: Node, life: int, disk: typing.Any) -> None:
        if n.life != life or n.disk is not disk:
            return
        if disk.stalled:
            disk.syncing = 0
            return
        for token, ok in disk.done():
            self.give(n, life, events.Synced(self.now, token, ok))
        self.sync_next(n)

    def stall(self, name: str, on: bool = True) -> None:
        n = self.nodes[name]
        n.disk.stalled = on
        if not on:
            self.sync_next(n)

    def do_note(self, n: Node, e: typing.Any) -> None:
        self.notes.append((self.now, n.name, e.number, e.fields))

    # operators

    def ask(self, name: str, verb: str, **body: object) -> str:
        self.n += 1
        c = f"c{self.n}"
        self.answers[c] = None
        n = self.nodes[name]
        self.give(n, n.life, events.Asked(self.now, c, verb, body))
        return c

    def do_answer(self, n: Node, e: typing.Any) -> None:
        self.answers[e.call] = (e.status, e.body, self.now)

    def asked(self, name: str, verb: str, ms: float = 4000, **body: object) -> typing.Any:
        """Status and body of an answer, which comes within `ms`."""
        c = self.ask(name, verb, **body)
        assert self.until(lambda: self.answers[c], ms) is not None, (name, verb)
        return self.answers[c][:2]
