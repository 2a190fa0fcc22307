"""The whole path of routes on virtual time: keepers, proxies, replicas, clients and operators."""

import random

import basaltport.placement.machine as machine
import basaltport.simulation.routes.attempts as routeattempts
import basaltport.simulation.routes.clients as routeclients
import basaltport.simulation.routes.nodes as routenodes
import basaltport.simulation.routes.operator as routeoperator
import basaltport.simulation.routes.replicas as routereplicas
import basaltport.proxy.node as node

LOOK = 50
TIMINGS = {
    "drain_ms": 3000,
    "apply_ms": 2000,
    "back_ms": 250,
    "grace_s": 8,
    "lease_ms": 3000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "cold_excess": 1.5,
    "cold_slack": 5,
    "ceiling_window_s": 5,
    "ceiling_excess": 1.1,
    "ack_within_ms": 4000,
    "in_touch_ms": 3000,
    "recover_s": 12,
    "thaw_slack_ms": 300,
    "evacuate_ms": 5000,
}
PRESETS = {
    "small": {"keepers": 3, "proxies": 6, "replicas": 9, "plain": 3, "models": 26, "each": 3, "flow": 40},
    "wide": {"keepers": 3, "proxies": 12, "replicas": 18, "plain": 6, "models": 56, "each": 3, "flow": 120},
}
DEPLOYMENTS = {
    "furrow": {"proxies": 8, "replicas": 18, "plain": 3, "models": 56, "each": 3, "flow": 60},
    "tsehay": {"proxies": 9, "replicas": 12, "plain": 3, "models": 39, "each": 3, "flow": 60},
}
PRESETS |= {
    f"{name}-{keepers}": {"keepers": keepers, **machines}
    for name, machines in DEPLOYMENTS.items()
    for keepers in (3, 5)
}


class World(
    routeoperator.OperatorMixin,
    routeclients.ClientMixin,
    routeattempts.AttemptMixin,
    routereplicas.ReplicaMixin,
    routenodes.Nodes,
):
    def __init__(self, seed, preset="small", packed=False):
        p = self.preset = PRESETS[preset]
        self.zones = ["x", "y", "z"]
        self.trace, self.start = [], None
        self.timings = dict(TIMINGS)
        self.lag, self.list_down, self.lost_answers = 800, False, 0.0
        self.mb = {f"m{i}": 70_000.0 for i in range(p["models"])}
        self.adapter_mb, self.room, self.places = 66.0, 220_000.0, 8
        self.load_ms, self.disk_ms, self.rate, self.at_once = 600, 380, 2.0, 7
        self.slots, self.cold_rate = 16, 8.0
        self.core, self.touching, self.ok_since = set(), set(), {}
        self.core_upset, self.calm = 0, False
        self.shown_edition, self.fed = {}, []
        super().__init__(seed, p["keepers"], True, packed)
        self.start = self.now
        self.core = {f"k{i + 1}" for i in range(p["keepers"])}
        self.core_upset = self.now
        self.back_start()
        self.attempts_start()
        self.clients_start()
        self.operator_start()
        models = list(self.mb)
        for i, held in enumerate(routereplicas.spread(models, p["replicas"], p["each"])):
            self.start_replica("s", self.zones[i % 3], held)
        for i in range(p["plain"]):
            self.start_replica("t", self.zones[i % 3])
        for i in range(p["proxies"]):
            self.add(f"p{i + 1}", False)
            self.later(self.rng.randrange(0, 300), self.boot, f"p{i + 1}")
        self.later(0, self.look_round)

    def log(self, k, **f):
        self.trace.append({"t": self.t(), "k": k, **f})

    def t(self, at=None):
        return int((self.now if at is None else at) - (self.start or self.now))

    # nodes

    def zone_of(self, name):
        return self.zones[(int(name[1:]) - 1) % 3]

    def placement(self):
        return machine.Placement(random.Random(self.rng.getrandbits(32)))

    def proxy_of(self, me, seed):
        return node.ProxyNode(me, seed, self.now, self.timings, len(self.zones))

    def proxies(self):
        return [n for n in self.nodes.values() if n.name[0] == "p"]

    def core_nodes(self):
        return [self.nodes[k] for k in sorted(self.core)]

    def disturb(self, name):
        """Trouble at a process: it is not in touch, nor is anyone if it is of the core."""
        self.ok_since.pop(name, None)
        self.touching.discard(name)
        if name in self.core:
            self.core_upset = self.now

    def boot(self, name, first=False):
        super().boot(name, first)
        self.log("boot", node=name, life=self.nodes[name].life)
        self.disturb(name)

    def kill(self, name, power=False, disk=False):
        n = self.nodes[name]
        if n.member is None and not disk:
            return
        self.log("kill", node=name, power=power, disk=disk)
        self.disturb(name)
        if n.disk is None:
            self.cut_clients(n)
            life = n.life
            n.member, n.life, n.held = None, n.life + 1, []
            self.drop_goes(n, life)
            return
        super().kill(name, power, disk)

    def restart(self, name, power=False, disk=False, after=1000):
        if name not in self.nodes:
            return
        self.kill(name, power, disk)
        self.later(after, self.back, name)

    def back(self, name):
        if name in self.nodes and self.nodes[name].member is None:
            self.boot(name)

    def replace(self, name, after=500):
        """A keeper is gone for good; another with its role starts empty at another address."""
        self.kill(name, disk=True)
        n = self.nodes.pop(name)
        self.core.discard(name)
        new = f"k{max(int(k[1:]) for k in self.nodes if k[0] == 'k') + 1 + int(name[1:])}"
        self.by_addr[n.addr].member = None
        self.add(new)
        self.core.add(new)
        self.disturb(new)
        self.later(after, self.boot, new)
        self.later(after + 4000, self.disturb, new)
        return new

    def stop_proxy(self, name, after=500):
        """SIGTERM: it says that it is not ready, finishes what it has, and starts again."""
        n = self.nodes[name]
        if n.member is None:
            return
        life = n.life
        self.disturb(name)
        self.log("stop", node=name)
        self.step(n, routenodes.events.Stop(self.now))

        def done():
            if n.life != life:
                return
            if n.member.requests and self.now < end:
                self.later(50, done)
                return
            self.restart(name, after=after)

        end = self.now + 1000 * self.timings["grace_s"] - 800
        self.later(2600, done)

    def stop_controller(self, name, after=500):
        """SIGTERM: a leader hands over; it ends soon and starts again."""
        n = self.nodes[name]
        if n.member is None or n.frozen:
            return
        self.disturb(name)
        self.log("stop", node=name)
        self.step(n, routenodes.events.Stop(self.now))
        self.later(200, self.restart, name, False, False, after)

    def unlist(self, on=True):
        """The list can't be read."""
        self.log("unlisted", on=on)
        self.list_down = on

    def freeze(self, name, on=True):
        n = self.nodes[name]
        if n.member is None or n.frozen == on:
            return
        self.log("freeze", node=name, on=on)
        self.disturb(name)
        super().freeze(name, on)
        self.disturb(name)

    def stall(self, name, on=True):
        self.log("stall", node=name, on=on)
        self.disturb(name)
        super().stall(name, on)

    def cut(self, a, b, both=True):
        super().cut(a, b, both)
        for x in (a, b):
            self.disturb(x)

    def heal(self):
        for a, b in sorted(self.cuts):
            self.disturb(a)
            self.disturb(b)
        self.log("heal")
        super().heal()

    def split(self, left, hold=True):
        self.holding = hold
        self.log("split", left=sorted(left), hold=hold)
        self.part(set(left))

    def differs(self, n, b):
        self.log("differs", node=n.name, serial=int(b["serial"]))

    def step(self, n, ev):
        super().step(n, ev)
        m = n.member
        if n.name[0] != "p" or m is None:
            return
        doc = m.book["manifest"]
        if doc is not self.shown_edition.get((n.name, n.life)):
            self.shown_edition[n.name, n.life] = doc
            self.log("edition", node=n.name, life=n.life, edition=doc["edition"], change=doc["by"])

    # who is in touch

    def joined(self, a, b):
        return (a, b) not in self.cuts and (b, a) not in self.cuts

    def look_round(self):
        """Which core machines reach most of the core, and who is in touch with all of those."""
        up = [n.name for n in self.core_nodes() if n.member and not n.frozen]
        most = [a for a in up if 2 * sum(1 for b in up if a == b or self.joined(a, b)) > len(self.core)]
        if not most:
            self.core_upset = self.now + self.timings["in_touch_ms"]
        calm = bool(most) and self.now - self.core_upset > self.timings["in_touch_ms"]
        if calm != self.calm:
            self.calm = calm
            self.log("settled", on=calm)
        for n in self.proxies():
            good = (
                n.member
                and not n.frozen
                and not n.member.stopped
                and all(self.joined(n.name, k) for k in most)
            )
            if not good:
                self.ok_since.pop(n.name, None)
                self.touching.discard(n.name)
                continue
            since = self.ok_since.setdefault(n.name, self.now)
            if calm and self.now - since > self.timings["in_touch_ms"]:
                self.touching.add(n.name)
            else:
                self.touching.discard(n.name)
        self.note_touch()
        self.note_stale()
        self.later(LOOK, self.look_round)

    told_touch = frozenset()

    def note_touch(self):
        for p in sorted(self.touching ^ self.told_touch):
            self.log("touch", node=p, on=p in self.touching)
        self.told_touch = frozenset(self.touching)

    def note_stale(self):
        """Proxies in touch that do not have the rows which their leader published `apply_ms` ago."""
        k = self.leader()
        m = k and self.nodes[k].member
        if not m or not m.rows_known:
            self.fed = []
            return
        if self.fed and self.fed[-1][1] != m.current_term:
            self.fed = []
        self.fed.append((self.now, m.current_term, m.feed_n))
        while self.now - self.fed[0][0] > self.timings["apply_ms"]:
            _, gen, n = self.fed.pop(0)
            for p in sorted(self.touching):
                f = self.nodes[p].member
                if f.feed_gen < gen or f.feed_gen == gen and f.feed_n < n:
                    self.log("stale", node=p, n=f.feed_n, published=n)

    # the configuration

    def document(self, edition, by):
        ms = [
            {"name": m, "weights_mb": mb, "load_s": self.load_ms / 1000, "adapters": 2, "adapter_mb": 66.0}
            for m, mb in self.mb.items()
        ]
        engine = {"slots": self.slots, "models": ms, "weights_mb": self.room, "adapter_slots": self.places}
        engine["loads_per_s"] = self.rate
        common = {"health_path": "/health", "connections": 200}
        services = [
            {**common, "name": "s", "cold_s": 3, "cold_rate_s": self.cold_rate, "engine": engine},
            {**common, "name": "t", "cold_s": 0, "cold_rate_s": 0},
        ]
        route = {"host": "desk.example", "target_ms": 500, "urgency": 0, "attempts": 2}
        routes = []
        for name, kind, service in ROUTES:
            long = kind == "stream"
            routes.append(
                {
                    **route,
                    "name": name,
                    "prefix": f"/{name}/",
                    "kind": kind,
                    "service": service,
                    "deadline_ms": 5000 if long else 3000,
                    "pinned": service == "s",
                    "resumable": name == "resume",
                    "gap_target_ms": 600 if long else 0,
                }
            )
        limits = {
            "header_bytes": 16384,
            "body_bytes": 4 << 20,
            "header_wait_ms": 3000,
            "idle_close_ms": 15000,
        }
        return {"edition": edition, "by": by, "routes": routes, "services": services, "limits": limits}

    # begin

    def ready(self):
        """Founded, configured, all proxies ready."""
        self.must(self.configure)
        self.until(lambda: len(self.taken_in) == len(self.proxies()), 10_000)
        self.run(4000)
        return self

    def usual(self, flow=None):
        """The usual traffic: most for two hot models, some for a few others, a little for rare ones."""
        ms = list(self.mb)
        hot, warm, rare = ms[:2], ms[2:8], ms[8:]
        mix = []
        for share, items in ((50, hot), (30, warm), (4, rare)):
            for kind, part in (("safe", 0.5), ("once", 0.2), ("stream", 0.15), ("resume", 0.15)):
                mix.append((share * part, kind, items, "s"))
        mix += [(4, "safe", [f"{ms[0]}/a1", f"{ms[1]}/a2"], "s"), (10, "plain", [""], "t")]
        self.traffic(self.preset["flow"] if flow is None else flow, mix)


ROUTES = (
    ("safe", "safe", "s"),
    ("once", "unsafe", "s"),
    ("stream", "stream", "s"),
    ("resume", "stream", "s"),
    ("plain", "safe", "t"),
)
