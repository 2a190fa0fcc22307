"""Random schedules of every fault on the path of routes, and the fewest faults that a failing run needs."""

import random

import basaltport.simulation.routes.scenes as routescenes

FAULTS = 10


def schedule(seed, name="mayhem"):
    """(fault, two choices in 0 to 1, how long, pause): drawn alone, so leaving one out moves no other."""
    rng = random.Random(f"routes-{seed}")
    identifiers = sorted(KINDS if name == "mayhem" else OUTSIDE)
    rows = []
    for _ in range(FAULTS):
        x, y = rng.random(), rng.random()
        rows.append((rng.choice(identifiers), x, y, rng.randrange(200, 4000), rng.randrange(100, 2500)))
    return rows


def pick(xs, x):
    xs = sorted(xs)
    return xs[int(x * len(xs))]


def up(w, first="kp"):
    return [n.name for n in w.nodes.values() if n.member and not n.frozen and n.name[0] in first]


def ready(w):
    return [r.id for r in w.replicas.values() if r.state == "ready"]


def kill(w, x, y, ms):
    """A process, or with y under a third a keeper's power; its disk goes only where all others are well."""
    if len(up(w)) < len(w.nodes) - 2:
        return
    name = pick(up(w), x)
    keeper = w.nodes[name].disk is not None
    wiped = keeper and y < 0.2 and len(up(w, "k")) == len(w.core) and w.calm
    w.restart(name, keeper and y < 0.6, wiped, after=ms)


def freeze(w, x, y, ms):
    if len(up(w)) < len(w.nodes) - 2:
        return
    name = pick(up(w), x)
    w.freeze(name)
    w.later(ms, w.freeze, name, False)


def split(w, x, y, ms):
    some = up(w)
    if not some:
        return
    w.split({pick(some, x), pick(some, y)}, x < 0.5)
    w.later(ms, w.heal)


def one_way(w, x, y, ms):
    w.holding = y < 0.5
    if up(w):
        w.cut(pick(up(w), x), pick(up(w), y), both=False)
    w.later(ms, w.heal)


def apart(w, x, y, ms):
    """A process and a replica can't reach each other."""
    if ready(w) and up(w):
        w.cut(pick(up(w), x), pick(ready(w), y))
        w.later(ms, w.heal)


def crash(w, x, y, ms):
    if len(ready(w)) > 5:
        w.crash_replica(pick(ready(w), x), 1000)


def dark(w, x, y, ms):
    if len(ready(w)) > 5:
        r = pick(ready(w), x)
        w.dark(r)
        w.later(ms, w.dark, r, False)


def ill(w, x, y, ms):
    if ready(w):
        r = w.replicas[pick(ready(w), x)]
        r.ill = 0.6
        w.later(ms, setattr, r, "ill", 0.0)


def release(w, x, y, ms):
    if len(ready(w)) > 7:
        w.release(pick(ready(w), x), 2000 if y < 0.4 else None)


def reuse(w, x, y, ms):
    if len(ready(w)) > 7:
        r = w.replicas[pick(ready(w), x)]
        w.crash_replica(r.id, None)
        w.later(2000, w.start_replica, "t" if r.service == "s" else "s", r.zone, (), 0, r.address)


def evacuate(w, x, y, ms):
    z = pick(w.zones, x)
    w.evacuate(z)
    w.later(ms + 3000, w.readmit, z)


def configure(w, x, y, ms):
    w.configure()


def race(w, x, y, ms):
    w.race()


def stall(w, x, y, ms):
    name = pick(w.core, x)
    w.stall(name)
    w.later(ms, unstall, w, name)


def unstall(w, name):
    if name in w.core:
        w.stall(name, False)


def replace(w, x, y, ms):
    if len(up(w, "k")) == len(w.core) and w.calm:
        w.replace(pick(w.core, x))


def roll(w, x, y, ms):
    if up(w, "p"):
        w.stop_proxy(pick(up(w, "p"), x))


def rare(w, x, y, ms):
    for m in list(w.mb)[-8:]:
        w.start_op("safe", m, pick(w.zones, y))


def lossy(w, x, y, ms):
    """Orders are taken and their answers lost."""
    w.lost_answers = 0.4
    w.later(ms, setattr, w, "lost_answers", 0.0)


def unlisted(w, x, y, ms):
    w.unlist()
    w.later(ms, w.unlist, False)


def blackout(w, x, y, ms):
    """All processes end, or with y under a half all machines lose power."""
    for n in list(w.nodes.values()):
        if n.member:
            w.restart(n.name, y < 0.5 and n.disk is not None, after=200 + int(ms * x))


def hand_over(w, x, y, ms):
    """A keeper is stopped in good order."""
    if len(up(w, "k")) == len(w.core):
        w.stop_controller(pick(w.core, x), ms)


def apart_from_proxies(w, x, y, ms):
    if ready(w) and up(w, "p"):
        w.cut(pick(up(w, "p"), x), pick(ready(w), y))
        w.later(ms, w.heal)


def kill_proxy(w, x, y, ms):
    if len(up(w, "p")) > 3:
        w.restart(pick(up(w, "p"), x), after=ms)


def freeze_proxy(w, x, y, ms):
    if len(up(w, "p")) > 3:
        name = pick(up(w, "p"), x)
        w.freeze(name)
        w.later(ms, w.freeze, name, False)


LINKS = (split, one_way, apart)
PROCESSES = (kill, freeze, stall, replace, roll, blackout, hand_over)
REPLICAS = (crash, dark, ill, release, reuse, rare, lossy, unlisted)
OPERATORS = (evacuate, configure, race)
KINDS = {f.__name__: f for f in LINKS + PROCESSES + REPLICAS + OPERATORS}
OUTSIDE = [f.__name__ for f in (*REPLICAS, *OPERATORS, apart_from_proxies, kill_proxy, freeze_proxy, roll)]
KINDS |= {f.__name__: f for f in (apart_from_proxies, kill_proxy, freeze_proxy)}


@routescenes.scenario
def mayhem(p):
    """Faults at random, one on another, then peace."""
    trouble(p)


@routescenes.scenario
def mayhem_outside(p):
    """The same of all but keepers and what is between them, so that every bound in time is in force."""
    trouble(p)


def trouble(p):
    w = p.w
    for i, (kind, x, y, ms, pause) in enumerate(schedule(p.seed, p.name)):
        if i not in p.skip:
            w.log("fault", fault=kind, i=i)
            KINDS[kind](w, x, y, ms)
        w.run(pause)
    w.run(6000)
    w.heal()
    for n in list(w.nodes):
        w.freeze(n, False)
    w.unlist(False)
    w.lost_answers = 0.0
    for r in w.replicas.values():
        r.dark, r.ill = False, 0.0
    for z in w.zones:
        w.must(lambda z=z: w.readmit(z))
    w.must(w.configure)
    p.back(0.9)


def shrink(name, seed, preset, rules):
    """The fewest faults (one by one left out) with which a run still breaks one of the rules."""
    skip = set()
    for i in range(FAULTS):
        got = {f["rule"] for f in routescenes.Play(name, seed, preset, skip | {i}).play().findings()}
        if got & rules:
            skip.add(i)
    return [row for i, row in enumerate(schedule(seed, name)) if i not in skip]
