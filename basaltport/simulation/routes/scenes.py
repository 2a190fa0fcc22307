"""Scenarios on the path of routes: a ready fleet under traffic, a fault, and what must hold all along."""

import basaltport.simulation.routes.fleet_world as fleetworld
import basaltport.simulation.routes.checks as routechecks

SCENARIOS = {}


def scenario(f):
    SCENARIOS[f.__name__.replace("_", "-")] = f
    return f


class Play:
    """One run: `served` are spans and shares of requests that must be served; `skip` leaves faults out."""

    WORLD = fleetworld.World
    SCENARIOS = SCENARIOS

    def __init__(self, name, seed, preset="small", skip=(), packed=False):
        self.name, self.seed, self.preset, self.skip = name, seed, preset, skip
        self.w = self.WORLD(seed, preset, packed)
        self.rng = self.w.rng
        self.served = []

    def play(self):
        w = self.w
        w.ready()
        w.usual()
        lo = w.t()
        w.run(4000)
        self.served.append((lo, lo + 3000, 0.97))
        self.SCENARIOS[self.name](self)
        w.traffic(0, [])
        w.heal()
        w.run(6500)
        self.final = w.read_back()
        lead = w.leader()
        self.drains = sorted(w.nodes[lead].member.book["drains"]) if lead else None
        return self

    def calm(self, ms=3000, share=0.95):
        """Service must be whole for this long from now on."""
        lo = self.w.t()
        self.served.append((lo, lo + ms, share))
        self.w.run(ms)

    def back(self, share=0.8, span=3000):
        """Service must be back `recover_s` from now on."""
        self.w.run(1000 * self.w.timings["recover_s"])
        self.calm(span, share)

    def about(self):
        w = self.w
        return {
            **w.timings,
            "final": self.final,
            "drains": self.drains,
            "served": self.served,
            "cold_rate": w.cold_rate,
            "loads_per_s": w.rate,
        }

    def findings(self):
        return routechecks.run(self.w.trace, self.about())

    def shares(self):
        """Of what was sent in each stated span, the share that was served."""
        return [routechecks.share_served(self.w.trace, lo, hi) for lo, hi, _ in self.served]

    # choices

    def leader(self):
        return self.w.leader() or sorted(self.w.core)[0]

    def replica(self, service="s"):
        rs = [r.id for r in self.w.replicas.values() if r.service == service and r.state == "ready"]
        return self.rng.choice(sorted(rs))

    def proxy(self):
        return self.rng.choice([n.name for n in self.w.proxies() if n.member])

    def keeper(self, led=False):
        return self.rng.choice([k for k in sorted(self.w.core) if led or k != self.leader()])


@scenario
def quiet(p):
    for _ in range(3):
        p.w.must(p.w.configure)
        p.w.run(2500)
    p.calm(4000, 0.99)


@scenario
def hot_model_moves(p):
    """What few asked for is asked for by most, at once."""
    w = p.w
    ms = list(w.mb)
    hot = ms[10:12]
    w.traffic(w.preset["flow"], [(70, "safe", hot, "s"), (20, "stream", hot, "s"), (10, "safe", ms[:8], "s")])
    w.run(6000)
    p.calm(4000)


@scenario
def rare_models_at_once(p):
    """Many models that nobody holds are asked for in one breath, and again later."""
    w = p.w
    rare = list(w.mb)[-12:]
    for _ in range(5):
        for m in rare:
            for z in w.zones:
                w.start_op("safe" if z == "x" else "once", m, z)
        w.run(2500)
    w.run(2000)
    p.calm(3000, 0.9)


@scenario
def replicas_crash(p):
    for _ in range(3):
        p.w.crash_replica(p.replica())
        p.w.run(2500)
    p.calm(3000, 0.9)


@scenario
def replicas_dark(p):
    for _ in range(2):
        r = p.replica()
        p.w.dark(r)
        p.w.run(3000)
        p.w.dark(r, False)
        p.w.run(1000)
    p.calm(3000, 0.9)


@scenario
def replicas_ill(p):
    """Some answer with failures or break off."""
    bad = [p.w.replicas[p.replica()] for _ in range(3)]
    for r in bad:
        r.ill = 0.5
    p.w.run(8000)
    for r in bad:
        r.ill = 0.0
    p.w.run(2000)
    p.calm()


@scenario
def replicas_refuse(p):
    """They turn away half of what comes, with more traffic than usual."""
    rs = [r for r in p.w.replicas.values() if r.service == "s"]
    for r in rs:
        r.full = 0.5
    p.w.usual(3 * p.w.preset["flow"])
    p.w.run(8000)
    for r in rs:
        r.full = 0.0
    p.w.usual()
    p.w.run(2000)
    p.calm()


@scenario
def replicas_cold(p):
    """Most become cold at once under traffic, then some start anew and are cold and empty."""
    w = p.w
    w.usual(4 * w.preset["flow"])
    w.run(2000)
    rs = sorted(r.id for r in w.replicas.values() if r.service == "s")
    for r in rs[:6]:
        w.chill(r)
    w.run(6000)
    for r in rs[6:]:
        w.crash_replica(r, 500)
    w.run(5000)
    w.usual()
    w.run(3000)
    p.calm(3000, 0.9)


@scenario
def spot_notice(p):
    for _ in range(2):
        p.w.release(p.replica(), 2500)
        p.w.run(4000)
    p.calm(3000, 0.9)


@scenario
def released_one_by_one(p):
    """Every replica of the service is replaced, one after another."""
    ids = [r.id for r in p.w.replicas.values() if r.service == "s"]
    for r in ids:
        p.w.release(r)
        p.w.run(2500)
    p.w.run(6000)
    p.calm(3000, 0.9)


@scenario
def address_reused(p):
    """A replica goes, and its address is soon that of another service's."""
    for _ in range(2):
        r = p.replica()
        place = p.w.replicas[r].address
        p.w.crash_replica(r, None)
        p.w.later(800, p.w.start_replica, "t", "x", (), 0, place)
        p.w.later(1500, p.w.start_replica, "s", "y", (), 3000)
        p.w.run(4000)
    p.calm(3000, 0.9)


@scenario
def leader_killed(p):
    p.w.restart(p.leader(), after=3000)
    p.w.run(1000)
    p.w.configure()
    p.w.run(9000)
    p.calm()


@scenario
def leader_frozen(p):
    """It is frozen while it loads what is rare, and wakes when another leads."""
    w, k = p.w, p.leader()
    for m in list(w.mb)[-8:]:
        w.start_op("safe", m, "x")
    w.run(150)
    w.freeze(k)
    w.run(500)
    w.configure()
    for _ in range(4):
        for m in list(w.mb)[-8:]:
            w.start_op("safe", m, "y")
        w.run(1500)
    w.freeze(k, False)
    w.run(6000)
    p.calm(3000, 0.9)


@scenario
def leader_disk_stalled(p):
    k = p.leader()
    p.w.stall(k)
    p.w.run(300)
    p.w.configure()
    p.w.run(6000)
    p.w.stall(k, False)
    p.w.run(5000)
    p.calm()


@scenario
def core_cut(p):
    """The leader is cut off from all others, with bytes held; then another keeper, with bytes lost."""
    for k, hold in ((p.leader(), True), (p.keeper(), False)):
        p.w.split([k], hold)
        p.w.run(500)
        p.w.configure()
        p.w.run(5000)
        p.w.heal()
        p.w.run(4000)
    p.calm()


@scenario
def proxy_cut_off(p):
    """A proxy can't reach the keepers, while an edition and an evacuation are taken."""
    w, x = p.w, p.proxy()
    for k in sorted(w.core):
        w.cut(x, k)
    w.run(500)
    w.must(w.configure)
    w.must(lambda: w.evacuate("z"))
    w.run(6000)
    w.heal()
    w.run(6000)
    w.must(lambda: w.readmit("z"))
    w.run(5000)
    p.calm()


@scenario
def proxies_rolled(p):
    """All proxies are stopped in order and started again, one by one."""
    for n in [n.name for n in p.w.proxies()]:
        p.w.stop_proxy(n)
        p.w.run(3500)
    p.w.run(6000)
    p.calm()


@scenario
def keepers_rolled(p):
    """Each keeper is stopped in order, a leader hands over, and started again."""
    for k in sorted(p.w.core):
        p.w.stop_controller(k, 1000)
        p.w.run(500)
        p.w.must(p.w.configure)
        p.w.run(4000)
    p.calm()


@scenario
def proxy_killed_while_models_move(p):
    """A proxy is killed and soon back, while what replicas hold changes all the time."""
    w = p.w
    rare = list(w.mb)[-12:]
    x = p.proxy()
    for i in range(40):
        if i in (10, 25):
            w.restart(x, after=600)
        for m in p.rng.sample(rare, 6):
            w.start_op("safe", m, p.rng.choice(w.zones))
        w.run(200)
    w.run(5000)
    p.calm()


@scenario
def proxies_frozen(p):
    for _ in range(2):
        x = p.proxy()
        p.w.freeze(x)
        p.w.run(2500)
        p.w.freeze(x, False)
        p.w.run(2500)
    p.w.run(3000)
    p.calm()


@scenario
def all_killed(p):
    p.w.must(p.w.configure)
    for n in list(p.w.nodes):
        p.w.restart(n, after=p.rng.randrange(300, 1200))
    p.back()


@scenario
def power_loss(p):
    """Right after an acknowledgement all lose power, and one keeper its disk."""
    w = p.w
    w.must(lambda: w.evacuate("y"))
    w.must(w.configure)
    wiped = p.keeper(True)
    for n in list(w.nodes):
        disk = w.nodes[n].disk is not None
        w.restart(n, disk, n == wiped, after=p.rng.randrange(300, 1200))
    p.back()


@scenario
def keeper_replaced(p):
    """One after another, each keeper is replaced by an empty one at another address."""
    for k in sorted(p.w.core):
        p.w.replace(k)
        p.w.run(7000)
        p.w.must(p.w.configure)
    p.w.run(3000)
    p.calm()


@scenario
def operators_race(p):
    w = p.w
    for _ in range(3):
        a, b = w.race()
        w.until(lambda a=a, b=b: a.status is not None and b.status is not None, 8000)
        w.run(1500)
    w.restart(p.leader(), after=1500)
    w.race()
    w.run(9000)
    p.calm()


@scenario
def evacuation_while_a_keeper_dies(p):
    w = p.w
    w.evacuate("x")
    w.run(p.rng.randrange(0, 60))
    w.restart(p.leader(), after=4000)
    w.run(9000)
    p.calm(2000, 0.9)
    w.must(lambda: w.readmit("x"))
    w.run(4000)
    p.calm()
