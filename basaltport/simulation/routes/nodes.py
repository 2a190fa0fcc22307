"""Keepers and proxies on virtual time, links and disks: their own reducers in one process."""

import copy
import heapq
import random

import basaltport.consensus.quorum as quorum
import basaltport.events as events
import basaltport.frames as frames
import basaltport.keeper.role as role
import basaltport.kinds as kinds
import basaltport.member as member
import basaltport.simulation.world.virtual_disk as simdisk

TICK = 50
HELD = 1500
LAST = 100
STOPPED = 5000


class Node:
    """One process at one address. `member_name`: the name it bears among members, which a replacing machine
    may share with its predecessor; `skew`: how far its steady clock is ahead of the world's."""

    def __init__(self, name, addr, disk):
        self.name, self.addr, self.disk = name, addr, disk
        self.member_name, self.skew = name, 0
        self.member, self.life, self.frozen, self.held = None, 0, False, []
        self.seat, self.founders, self.book = "", None, None


class Nodes:
    """Whoever uses it gives `placement()`, `proxy_of(me, seed)` and what effects beside Send and Write do.

    Links keep their order and lose what is under way when the receiver restarts, as one connection does.
    `reordering` gives each message its own delay; `doubling` is the chance that it comes twice; `delay_max`
    the longest delay in ms; `across_lives` delivers to whoever lives at the address when it arrives."""

    def __init__(self, seed, keepers=3, boot=True, packed=False):
        self.rng = random.Random(seed)
        self.now = kinds.Millis(1_000_000)
        self.heap, self.k, self.packed = [], 0, packed
        self.nodes, self.by_addr, self.last = {}, {}, {}
        self.cuts, self.held, self.lossy = set(), [], 0.0
        self.reordering, self.doubling, self.delay_max, self.across_lives = False, 0.0, 11, False
        self.agreed, self.answers, self.n, self.notes = {}, {}, 0, []
        self.holding = True
        self.bytes = 0
        for i in range(keepers):
            self.add(f"k{i + 1}")
        self.seeds = [n.addr for n in self.nodes.values()][:3]
        for n in list(self.nodes) if boot else ():
            self.later(self.rng.randrange(0, 300), self.boot, n, True)

    # time

    def later(self, ms, f, *a):
        self.k += 1
        heapq.heappush(self.heap, (self.now + ms, self.k, f, a))

    def run(self, ms):
        self.until(bool, ms)

    def until(self, test, ms):
        """Ms until the test held, or None."""
        start, end = self.now, self.now + ms
        while not test():
            if self.heap[0][0] > end:
                self.now = kinds.Millis(end)
                return None
            t, _, f, a = heapq.heappop(self.heap)
            self.now = kinds.Millis(t)
            f(*a)
        return self.now - start

    # nodes

    def add(self, name, disk=True):
        n = Node(name, self.address(), None)
        n.disk = simdisk.SimDisk(random.Random(self.rng.random())) if disk else None
        self.nodes[name] = self.by_addr[n.addr] = n
        return n

    def address(self):
        return f"10.0.0.{len(self.by_addr) + 1}:1"

    def zone_of(self, name):
        return f"z-{name}"

    def boot(self, name, first=False):
        n = self.nodes[name]
        held, promised = None, kinds.Generation()
        if n.disk:
            held, promised = n.disk.load().ok_value
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
            n.member = role.Keeper(me, seed, self.clock(n), held, promised, self.placement())
        else:
            n.member = self.proxy_of(member.Me(*args), self.rng.getrandbits(32))
        n.life, n.frozen, n.held, n.book = n.life + 1, False, [], None
        self.tick(n, n.life)

    def clock(self, n):
        """The steady clock of a process."""
        return kinds.Millis(self.now + n.skew)

    def proxy(self, name):
        self.add(name, False)
        self.boot(name)
        return self.nodes[name].member

    def kill(self, name, power=False, disk=False):
        n = self.nodes[name]
        n.member, n.life = None, n.life + 1
        if n.disk is None:
            return
        if disk:
            n.disk, n.seat, n.founders = simdisk.SimDisk(random.Random(self.rng.random())), "", None
            return
        if power:
            n.disk.power_loss()
        else:
            n.disk.syncing = n.disk.syncing or len(n.disk.queue)
            n.disk.done()

    def stop(self, name):
        """The end that SIGTERM brings: the process goes once its member is released."""
        n = self.nodes[name]
        self.step(n, events.Stop(self.clock(n)))
        self.run(LAST)
        self.until(lambda: n.member is None or n.member.released(), STOPPED)
        self.kill(name)

    def freeze(self, name, on=True):
        n = self.nodes[name]
        n.frozen = on
        if not on:
            held, n.held = n.held, []
            self.step(n, events.Tick(self.clock(n)))
            for ev in held:
                ev.now = self.clock(n)
                self.step(n, ev)

    def tick(self, n, life):
        if n.life != life:
            return
        if not n.frozen:
            self.step(n, events.Tick(self.clock(n)))
        self.later(TICK, self.tick, n, life)

    def give(self, n, life, ev):
        if n.life != life or n.member is None:
            return
        if n.frozen:
            n.held.append(ev)
            return
        ev.now = self.clock(n)
        self.step(n, ev)

    def step(self, n, ev):
        if n.member is None:
            return
        was = n.member.book["serial"]
        for e in n.member.step(ev):
            getattr(self, "do_" + type(e).__name__.lower())(n, e)
        if n.member is not None:
            self.look(n, was)

    def look(self, n, was):
        """One book for each serial, nothing taken back. A book that was seen here is not looked at again."""
        b = n.member.book
        if b is n.book:
            return
        n.book = b
        key = (tuple(b["gen"]), str(b["manifest"]), sorted(b["drains"]), sorted(b["roster"]))
        if b["serial"] < was or self.agreed.setdefault(b["serial"], key) != key:
            self.differs(n, b)

    def differs(self, n, b):
        raise AssertionError((n.name, b["serial"]))

    def keepers(self):
        return [n for n in self.nodes.values() if n.disk and n.member]

    def up(self):
        return [n for n in self.keepers() if not n.frozen]

    def leader(self):
        """The name of the one that holds, or None."""
        ns = [(n.member.promised, n.name) for n in self.up() if n.member.holds_at(self.clock(n))]
        return max(ns)[1] if ns else None

    def roster(self):
        """Names of all that vote, while a member takes another's place both."""
        return sorted(r["name"] for r in quorum.voters(self.nodes[self.leader()].member.book).values())

    def settled(self, *names):
        """Whether there is a leader whose agreed roster is of these names, all of whose seats answer."""
        k = self.leader()
        m = k and self.nodes[k].member
        seats = {n.seat for n in self.nodes.values()}
        return bool(m) and self.roster() == sorted(names) and m.book["roster"].keys() <= seats

    # wires

    def cut(self, a, b, both=True):
        self.cuts |= {(a, b), (b, a)} if both else {(a, b)}

    def part(self, left):
        for a in left:
            for b in self.nodes:
                if b not in left:
                    self.cut(a, b)

    def heal(self):
        self.cuts = set()
        held, self.held = self.held, []
        for at, f, a in held:
            if self.now - at < HELD:
                self.later(1, f, *a)

    def keep(self, f, *a):
        """What a cut holds up comes once it heals, if that is soon; without `holding` it is lost."""
        if self.holding:
            self.held.append((self.now, f, a))

    def do_send(self, n, e):
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

    def delay(self, n, to):
        """Ms that a message is under way."""
        ms = self.rng.randrange(1, self.delay_max + 1)
        if self.reordering:
            return ms
        k = (n.name, to.name)
        at = self.last[k] = max(self.last.get(k, 0), self.now + ms)
        return at - self.now

    def arrive(self, n, to, life, msg):
        if self.across_lives:
            life = to.life
        if (n.name, to.name) in self.cuts:
            self.keep(self.arrive, n, to, life, msg)
            return
        self.give(to, life, events.Heard(self.now, "", msg))

    # disks, notes

    def do_write(self, n, e):
        whole = None
        if e.whole is not None:
            whole = {"promised": list(n.member.promised), **e.whole, "tail": list(e.whole["tail"])}
        n.disk.write(e.token, e.records, whole)
        self.sync_next(n)

    def sync_next(self, n):
        d = n.disk
        if d.queue and not d.syncing and not d.stalled:
            d.begin()
            self.later(d.lapse(self.now) - self.now, self.synced, n, n.life, d)

    def synced(self, n, life, disk):
        if n.life != life or n.disk is not disk:
            return
        if disk.stalled:
            disk.syncing = 0
            return
        for token, ok in disk.done():
            self.give(n, life, events.Synced(self.now, token, ok))
        self.sync_next(n)

    def stall(self, name, on=True):
        n = self.nodes[name]
        n.disk.stalled = on
        if not on:
            self.sync_next(n)

    def do_note(self, n, e):
        self.notes.append((self.now, n.name, e.number, e.fields))

    # operators

    def ask(self, name, verb, **body):
        self.n += 1
        c = f"c{self.n}"
        self.answers[c] = None
        n = self.nodes[name]
        self.give(n, n.life, events.Asked(self.now, c, verb, body))
        return c

    def do_answer(self, n, e):
        self.answers[e.call] = (e.status, e.body, self.now)

    def asked(self, name, verb, ms=4000, **body):
        """Status and body of an answer, which comes within `ms`."""
        c = self.ask(name, verb, **body)
        assert self.until(lambda: self.answers[c], ms) is not None, (name, verb)
        return self.answers[c][:2]
