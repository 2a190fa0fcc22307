"""The simulator: the daemons' own reducers on virtual time, wires and disks. One seed, one run."""

import random

import basaltport.events as events
import basaltport.query_api.events as query_events
import basaltport.frames as frames
import basaltport.identifiers as identifiers
import basaltport.query_api.log_node as log_node
import basaltport.member as member
import basaltport.simulation.query_api.standins.backend as backend
import basaltport.simulation.query_api.world.senders as senders
import basaltport.simulation.processes as processes
import basaltport.simulation.virtual_disk as virtual_disk
import basaltport.query_api.query_node as query_node

TICK = 25


class Node(processes.Process):
    """One process: up, frozen or gone."""

    def __init__(self, name, role, zone, addr):
        super().__init__(name, addr)
        self.role = role
        self.zone = zone
        self.stopping = False
        self.reason = ""


class World(backend.BackendMixin, senders.SenderMixin, processes.Processes[Node]):
    """`packed` sends every message as a frame's bytes; without it, the same messages go unpacked, faster."""

    def __init__(self, seed, preset, loss=0.0, packed=False):
        super().__init__(seed)
        self.packed = packed
        self.start = self.now
        self.preset = preset
        self.loss = loss
        self.twice = 0.0
        self.slow = 1
        self.hold = None
        self.trace = []
        self.calls = {}
        self.verbs = {}
        self.then = {}
        self.call_n = 0
        self.frames = 0
        self.moved = 0
        self.acked = 0
        self.backend_start()
        self.sender_start()

    # time

    def run_until(self, test, ms):
        """True as soon as the test holds, False if it does not in time."""
        end = self.now + ms
        while self.now < end:
            if test():
                return True
            self.run(TICK)
        return test()

    def log(self, k, **f):
        self.trace.append({"t": int(self.now - self.start), "k": k, **f})

    # nodes

    def build(self):
        p = self.preset
        for role, n in (("ledger", p["ledgers"]), ("rostrum", p["rostrums"])):
            for i in range(n):
                self.add_node(f"{role}-{i + 1}", role, f"z{i % p['zones'] + 1}")
        for name in self.nodes:
            self.later(self.rng.randrange(0, 300), self.boot, name)

    def add_node(self, name, role, zone):
        n = Node(name, role, zone, f"10.0.0.{len(self.by_addr) + 1}:1")
        self.nodes[name] = n
        self.by_addr[n.addr] = n
        if role == "ledger":
            n.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random()))
        return n

    def move(self, name):
        n = self.nodes[name]
        del self.by_addr[n.addr]
        self.moved += 1
        n.addr = f"10.9.0.{self.moved}:1"
        self.by_addr[n.addr] = n

    def seeds(self):
        return [self.nodes[n].addr for n in ("ledger-1", "rostrum-1", "rostrum-2") if n in self.nodes]

    def boot(self, name):
        n = self.nodes[name]
        p = self.preset
        seat = f"{name}-{self.rng.getrandbits(32):08x}"
        held, current_term = None, identifiers.Term()
        if n.disk is not None:
            got = n.disk.load()
            if got.is_err():
                n.reason = got.err_value
                self.log("disk-refused", node=name, why=n.reason)
                return
            held, current_term = got.ok_value
            seat = n.seat or seat
            n.seat = seat
        exp = p["ledgers"] + p["rostrums"]
        me = member.Me(
            p["house"], name, seat, n.role, n.zone, n.addr, n.addr, self.seeds(), exp, p["ledgers"]
        )
        seed = self.rng.getrandbits(64)
        if n.role == "ledger":
            n.member = log_node.LogNode(me, seed, self.now, held, current_term)
        else:
            n.member = query_node.QueryNode(me, seed, self.now)
        n.incarnation += 1
        n.frozen = False
        n.stopping = False
        n.held = []
        self.log("boot", node=name, seat=seat)
        self.tick(name, n.incarnation)

    def kill(self, name, power=False, disk=False):
        """The process ends; with power its unsynced bytes go, with disk its whole folder."""
        n = self.nodes[name]
        self.log("kill", node=name, power=power, disk=disk)
        if n.member is not None:
            self.cut_senders(n)
        n.member = None
        n.incarnation += 1
        if n.disk is None:
            return
        if disk:
            n.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random()))
            n.seat = ""
            return
        n.disk.power_loss()

    def stop(self, name):
        """The process ends in good order: what it holds is finished first, within ten seconds."""
        n = self.nodes[name]
        self.log("stop", node=name)
        n.stopping = True
        end = self.now + 10_000
        self.run_until(lambda: not getattr(n.member, "requests", None) or self.now >= end, 10_500)
        self.step(n, events.Stop(self.now))
        self.run(100)
        self.kill(name)

    def freeze(self, name):
        self.log("freeze", node=name)
        self.nodes[name].frozen = True

    def wake(self, name):
        n = self.nodes[name]
        if n.member is None or not n.frozen:
            return
        self.log("wake", node=name)
        n.frozen = False
        held, n.held = n.held, []
        self.deliver_late(n, held)

    def tick(self, name, incarnation):
        n = self.nodes[name]
        if n.incarnation != incarnation or n.member is None:
            return
        if not n.frozen:
            self.step(n, events.Tick(self.now))
            if n.role == "rostrum" and n.member.leased() and n.member.book.configuration_version < self.acked:
                self.log(
                    "stale-lease", node=n.name, serial=n.member.book.configuration_version, acked=self.acked
                )
        self.later(TICK, self.tick, name, incarnation)

    def step(self, n, ev):
        if (
            isinstance(ev, query_events.AttemptEnded)
            and ev.outcome in ("late", "broken")
            and ev.detail != "abandoned"
        ):
            self.log("fate", node=n.name, query=ev.attempt_id.rsplit(".", 1)[0], outcome=ev.outcome)
        self.carry_out(n, n.member.step(ev))

    def leader(self):
        for n in self.nodes.values():
            if n.member is not None and n.role == "ledger" and n.member.leading and n.member.settled():
                return n
        return None

    def live(self, role="rostrum"):
        return [n for n in self.nodes.values() if n.role == role and n.member is not None and not n.frozen]

    # wires

    def cut(self, a, b, both=True):
        """Nothing goes from a to b any more; with both, nor back."""
        self.log("cut", a=a, b=b, both=both)
        super().cut(a, b, both)

    def split(self, left):
        right = [n for n in self.nodes if n not in left]
        self.log("split", left=sorted(left))
        for a in left:
            for b in right:
                self.cuts |= {(a, b), (b, a)}

    def bad_wires(self, loss, twice, slow):
        """Frames lost, doubled and slow, as shares and a factor."""
        self.log("wires", bad=loss > 0 or slow > 1, loss=loss, twice=twice, slow=slow)
        self.loss, self.twice, self.slow = loss, twice, slow

    def heal(self):
        """What wires held through the cut comes now, in its order, as far as they hold that long."""
        self.log("heal")
        self.cuts = set()
        self.release_held((self.hold or 0) + 1)

    def do_send(self, n, e):
        to = self.by_addr.get(e.addr)
        if to is None:
            return
        self.frames += 1
        raw = frames.pack(e.msg) if self.packed else e.msg
        times = 2 if self.rng.random() < self.twice else 1
        for _ in range(times):
            if (n.name, to.name) in self.cuts and self.hold is not None:
                self.held.append((self.now, self.arrive, (n.name, to, raw)))
                continue
            if (n.name, to.name) in self.cuts or self.rng.random() < self.loss:
                continue
            self.at(self.wire(n, to), self.arrive, n.name, to, raw)

    def wire(self, n, to):
        """When a frame arrives: wires keep order, save where frames are lost and doubled."""
        at = self.now + (self.rng.randrange(1, 4) * self.slow if to is not n else 0)
        if self.loss:
            return at
        return self.in_order((n.name, to.name, n.incarnation, to.incarnation), at)

    def arrive(self, src, to, raw):
        if (src, to.name) in self.cuts or to.member is None:
            return
        msg = frames.unpack(raw).ok_value if self.packed else raw
        self.give(to, to.incarnation, events.Heard(self.now, src, msg))

    # disk, log, operators

    def stall(self, name, on):
        self.log("stall", node=name, on=on)
        super().stall(name, on)

    def fill(self, name, on):
        self.log("full", node=name, on=on)
        self.nodes[name].disk.full = on

    def do_note(self, n, e):
        f = {("f_" + k): v for k, v in e.fields.items()}
        if e.number == 42:
            f["leased"] = n.member.leased()
        self.log("note", node=n.name, seat=n.member.me.seat, number=e.number, **f)

    def ask(self, name, verb, body, then=None):
        """An operator's ask at a node; the answer is kept under the call's id."""
        n = self.nodes[name]
        self.call_n += 1
        call = f"call-{self.call_n}"
        self.calls[call] = None
        self.verbs[call] = verb
        tell = {k: body[k] for k in ("change", "zone", "replica", "if_serial") if k in body}
        if verb == "platform":
            tell["listed"] = sorted(body["replicas"])
        self.log("ask", call=call, node=name, verb=verb, **tell)
        if then:
            self.then[call] = then
        self.give(n, n.incarnation, events.Asked(self.now, call, verb, body))
        return call

    def do_answer(self, n, e):
        self.calls[e.call] = (e.status, e.body)
        b = e.body
        if b.get("outcome") == "acknowledged" and self.verbs.get(e.call) in ("apply", "patch"):
            self.acked = max(self.acked, b["serial"])
        tell = {k: b[k] for k in ("outcome", "serial", "change", "changed") if k in b}
        if b.get("history"):
            tell["serial"] = b["history"][-1]["serial"]
        self.log("answer", call=e.call, node=n.name, status=e.status, **tell)
        f = self.then.pop(e.call, None)
        if f:
            f(e.status, e.body)

    def asked(self, name, verb, body=None, ms=8000):
        """Ask and run until the answer is here."""
        call = self.ask(name, verb, body or {})
        self.run_until(lambda: self.calls[call] is not None, ms)
        return self.calls[call]

    def must(self, verb, body, ms=20_000):
        """Repeat a change at live nodes, by its id, until it is acknowledged."""
        body = {"change": f"must-{self.rng.getrandbits(40):x}", **body}
        end = self.now + ms
        while self.now < end:
            live = self.live() or self.live("ledger")
            got = self.asked(self.rng.choice(live).name, verb, dict(body)) if live else None
            if got and got[0] == 200:
                return got
            self.run(100)
        raise AssertionError(f"{verb} not acknowledged in {ms} ms: {got}")
