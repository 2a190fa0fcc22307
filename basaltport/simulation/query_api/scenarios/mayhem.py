"""Random schedules of every fault, one on another; a failing one is shrunk to the faults that it needs."""

import random

import basaltport.simulation.query_api.world.acts as acts

FAULTS = 12


def schedule(seed):
    """(fault, two choices in 0 to 1, how long, pause): drawn alone, so leaving one out moves no other."""
    rng = random.Random(f"mayhem-{seed}")
    rows = []
    for _ in range(FAULTS):
        x, y = rng.random(), rng.random()
        rows.append((rng.choice(sorted(KINDS)), x, y, rng.randrange(200, 5000), rng.randrange(100, 1500)))
    return rows


def pick(xs, x):
    xs = sorted(xs)
    return xs[int(x * len(xs))]


def live(w):
    return [n.name for n in w.live() + w.live("ledger")]


def kill(w, p, x, y, ms):
    names = live(w)
    if len(names) > len(w.nodes) - 2:
        name = pick(names, x)
        w.kill(name, power=True, disk=y < 0.3 and len(names) == len(w.nodes))
        w.later(min(ms, 4000), w.boot, name)


def freeze(w, p, x, y, ms):
    name = pick(live(w), x)
    w.freeze(name)
    w.later(ms, w.wake, name)


def split(w, p, x, y, ms):
    names = live(w)
    w.hold = 60_000 if x < 0.5 else None
    w.split({pick(names, x), pick(names, y)})
    w.later(min(ms, 4000), w.heal)


def one_way(w, p, x, y, ms):
    w.cut(pick(live(w), x), pick(live(w), y), both=False)
    w.later(min(ms, 4000), w.heal)


def crash(w, p, x, y, ms):
    r = pick(w.replicas, x)
    if w.replicas[r].mode == "up":
        w.crash_replica(r)
        w.later(1000, w.start_replica, r)


def ill(w, p, x, y, ms):
    r = w.replicas[pick(w.replicas, x)]
    if r.mode != "up":
        return
    r.mode = pick(("dark", "sick", "torn"), y)
    incarnation = r.incarnation

    def well():
        if r.incarnation == incarnation:
            r.mode = "up"

    w.later(ms, well)


def leave(w, p, x, y, ms):
    r = pick(w.replicas, x)
    w.ask(pick(live(w), y), "leaving", {"replica": r, "change": f"leave-{p.t()}"})

    def listed(all_):
        rows = w.platform_list()
        rows = rows if all_ else {k: v for k, v in rows.items() if k != r}
        w.ask(pick(live(w), y), "platform", {"replicas": rows, "change": f"list-{p.t()}"})

    w.later(3000, listed, False)
    w.later(4000, listed, True)


def empty(w, p, x, y, ms):
    z = pick(w.manifest["zones"], x)
    w.ask(pick(live(w), y), "drain", {"zone": z, "change": f"drain-{p.t()}"})
    w.later(3000, lambda: w.ask(pick(live(w), y), "undrain", {"zone": z, "change": f"undrain-{p.t()}"}))


def stall(w, p, x, y, ms):
    name = pick([n.name for n in w.nodes.values() if n.disk], x)
    w.stall(name, True)
    w.later(2500, w.stall, name, False)


def full(w, p, x, y, ms):
    name = pick([n.name for n in w.nodes.values() if n.disk], x)
    w.fill(name, True)
    w.later(2500, w.fill, name, False)


def wires(w, p, x, y, ms):
    w.bad_wires(0.1 * x, 0.1 * y, 1 + int(8 * x))
    w.later(ms, w.bad_wires, 0, 0, 1)


def change(w, p, x, y, ms):
    p.changes(3, 100)


KINDS = {
    f.__name__: f
    for f in (kill, freeze, split, one_way, crash, ill, leave, empty, stall, full, wires, change)
}


@acts.scenario()
def mayhem(p):
    """Faults at random, one on another, then peace."""
    w = p.w
    for i, (kind, x, y, ms, pause) in enumerate(schedule(p.seed)):
        if i not in p.skip:
            KINDS[kind](w, p, x, y, ms)
        w.run(pause)
    w.run(5000)
    w.bad_wires(0, 0, 1)
    w.heal()
    w.must("platform", {"replicas": w.platform_list()})
    for z in sorted(w.manifest["zones"]):
        w.must("undrain", {"zone": z})
    p.back_after()


def shrink(seed, preset, rules):
    """The fewest faults (one by one left out) with which a run still breaks one of the rules."""
    skip = set()
    for i in range(FAULTS):
        got = {f["rule"] for f in acts.Play("mayhem", seed, preset, skip=skip | {i}).play().findings()}
        if got & rules:
            skip.add(i)
    return [row for i, row in enumerate(schedule(seed)) if i not in skip]
