"""Named scenarios of the members: kills, freezes, splits, disks, storms."""

import basaltport.simulation.query_api.world.acts as acts
import basaltport.simulation.query_api.scenarios.mayhem as mayhem
import basaltport.simulation.query_api.drills.notice as notice
import basaltport.simulation.query_api.scenarios.scenes as scenes

scenario = acts.scenario
Play = acts.Play
SCENARIOS = acts.SCENARIOS
BACKENDS = scenes.NAMES + notice.NAMES
shrink = mayhem.shrink


@scenario()
def calm(p):
    p.changes(10)
    p.back_after(0)


@scenario()
def leader_killed(p):
    p.changes(3)
    lead = p.w.leader().name
    p.w.kill(lead, power=True)
    p.changes(5, 200)
    p.back_after()
    p.w.boot(lead)
    p.w.run(3000)


@scenario()
def leader_frozen(p):
    lead = p.w.leader().name
    p.w.freeze(lead)
    p.changes(12, 300)
    p.w.wake(lead)
    p.changes(6, 200)
    p.back_after(8000)


@scenario()
def rostrum_killed(p):
    name = p.rostrum()
    p.w.kill(name)
    p.changes(4)
    p.back_after(4000)
    p.w.boot(name)
    p.changes(4)
    p.back_after(4000)


@scenario()
def rolling_restart(p):
    """Every process once, in good order, under load: no query is lost, doubled or broken."""
    for name in list(p.w.nodes):
        p.w.stop(name)
        p.w.boot(name)
        p.w.run(3000)
    fine = ("done", "refused", "gone", "")
    qs = p.w.queries.values()
    bad = [q for q in qs if q["outcome"] not in fine and q["code"] != "no-leader"]
    assert not bad, bad[:3]
    p.back_after(1000)


@scenario()
def rostrum_frozen(p):
    """Frozen longer than every lease, with changes and marks meanwhile, then woken."""
    name = p.rostrum()
    p.w.freeze(name)
    p.w.run(600)
    r = p.rng.choice(sorted(p.w.replicas))
    p.w.must("leaving", {"replica": r})
    p.changes(8, 500)
    p.w.wake(name)
    p.changes(3)
    p.back_after(6000)


@scenario()
def core_split(p):
    """The leader with a minority on one side."""
    lead = p.w.leader().name
    side = [lead, p.rostrum()]
    p.w.split(side)
    p.changes(10, 400)
    p.w.heal()
    p.changes(5)
    p.back_after(8000)


@scenario()
def core_split_other(p):
    """The leader with the majority; a ledger and a rostrum alone."""
    lead = p.w.leader().name
    other = [n.name for n in p.w.live("ledger") if n.name != lead]
    p.w.split([p.rng.choice(other), p.rostrum()])
    p.changes(10, 400)
    p.w.heal()
    p.changes(5)
    p.back_after(8000)


@scenario()
def one_way_cuts(p):
    lead = p.w.leader().name
    a = p.rostrum()
    p.w.cut(lead, a, both=False)
    p.changes(5, 400)
    p.w.cut(p.rostrum(), lead, both=False)
    p.changes(5, 400)
    p.w.heal()
    p.back_after(8000)


@scenario()
def cuts_held(p):
    """Wires hold all bytes through cuts, between members and to replicas, and deliver them afterwards."""
    w = p.w
    w.hold = 60_000
    for ms in (300, 900, 1600, 2500, 4000, 8000):
        lead = w.leader()
        a = lead.name if lead and p.rng.random() < 0.5 else p.rostrum()
        b = p.rng.choice([n for n in w.nodes if n != a])
        w.cut(a, b, both=p.rng.random() < 0.5)
        for r in p.rng.sample(sorted(w.replicas), 2):
            w.cut(p.rostrum(), r)
        p.changes(max(1, ms // 400), 400)
        w.heal()
        p.changes(2, 300)
    p.back_after(6000)


@scenario()
def splits_held(p):
    """The core is split for long, and all that was said meanwhile is delivered at its end."""
    w = p.w
    w.hold = 60_000
    for ms in (2000, 6000, 12_000):
        w.split([w.leader().name, p.rostrum()] if w.leader() else p.rng.sample(sorted(w.nodes), 2))
        p.changes(ms // 400, 400)
        w.heal()
        p.changes(5, 400)
    p.back_after(8000)


@scenario()
def ledgers_replaced(p):
    """All ledgers are lost with their disks; empty ones come up at new addresses."""
    p.changes(3)
    for n in list(p.w.live("ledger")):
        p.w.kill(n.name, disk=True)
    for i in range(3):
        p.w.add_node(f"ledger-{i + 4}", "ledger", f"z{i + 1}")
        p.w.boot(f"ledger-{i + 4}")
    p.back_after()
    p.changes(4)


@scenario()
def ledgers_dying(p):
    """All ledgers are replaced, and one of the new ones is lost while it is being taken in."""
    for n in list(p.w.live("ledger")):
        p.w.kill(n.name, disk=True)
    for i in range(3):
        p.w.add_node(f"ledger-{i + 4}", "ledger", f"z{i + 1}")
        p.w.boot(f"ledger-{i + 4}")
    p.w.run_until(lambda: p.w.leader(), 6000)
    p.w.run(p.rng.randrange(0, 120))
    p.w.kill(p.rng.choice([n.name for n in p.w.live("ledger") if not n.member.leading]), disk=True)
    p.back_after()
    p.changes(4)


@scenario()
def ledgers_swapped(p):
    """The same, one by one, with changes throughout."""
    for i, n in enumerate(list(p.w.live("ledger"))):
        p.w.kill(n.name, disk=True)
        p.w.add_node(f"ledger-{i + 4}", "ledger", f"z{i + 1}")
        p.w.boot(f"ledger-{i + 4}")
        p.changes(12, 400)
    p.back_after(4000)


@scenario()
def power_cut(p):
    """Everything loses power at once right after an acknowledgement; disks keep what was synced."""
    p.blank = True
    p.changes(3)
    p.w.asked(p.rostrum(), "patch", p.bound(77, "last-word"))
    names = list(p.w.nodes)
    slow = p.rng.choice((1, 80))
    for n in names:
        p.w.kill(n, power=True)
        if p.w.nodes[n].disk:
            p.w.nodes[n].disk.slow = slow
    p.w.run(500)
    for n in names:
        p.w.later(p.rng.randrange(0, 1500), p.w.boot, n)
    p.back_after()
    p.changes(3)


@scenario()
def house_moved(p):
    """Everything stops and starts again at new addresses; only the ledgers' disks are the same."""
    p.blank = True
    names = list(p.w.nodes)
    for n in names:
        p.w.kill(n, power=True)
    for n in names:
        p.w.move(n)
        p.w.later(p.rng.randrange(0, 1500), p.w.boot, n)
    p.back_after()
    p.changes(3)


@scenario()
def ledger_disk_lost(p):
    """A ledger loses its disk right after saying yes and comes back empty under its name."""
    for n in [x.name for x in p.w.live("ledger")][:2]:
        p.w.asked(p.rostrum(), "patch", p.bound(55, f"x-{n}"))
        p.w.kill(n, disk=True)
        p.w.boot(n)
        p.w.run(4000)
    p.changes(3)
    p.back_after(6000)


@scenario()
def disk_stalled(p):
    lead = p.w.leader().name
    p.w.stall(lead, True)
    p.changes(10, 400)
    p.w.stall(lead, False)
    p.changes(3)
    p.back_after(6000)


@scenario()
def disk_full(p):
    """The leader's disk takes nothing any more, and later does again."""
    lead = p.w.leader().name
    p.w.fill(lead, True)
    p.changes(10, 400)
    p.w.fill(lead, False)
    p.changes(5, 400)
    p.back_after(6000)
    n = p.w.nodes[lead]
    p.w.kill(lead, power=True)
    p.w.boot(lead)
    p.w.run(3000)
    assert n.member is not None, n.reason


@scenario()
def disks_slow(p):
    for n in p.w.live("ledger"):
        n.disk.slow = 60
    p.changes(10, 400)
    p.back_after(2000)


@scenario()
def storm(p):
    """Two operators at once, in quick storms, one of them with compare-and-set."""
    w = p.w
    for i in range(40):
        a, b = p.rostrum(), p.rostrum()
        s = w.leader().member.book.configuration_version
        w.ask(a, "patch", p.bound(100 + i, f"a{i}", if_serial=s))
        w.ask(b, "patch", p.bound(200 + i, f"b{i}", if_serial=s))
        w.ask(p.rostrum(), "show", {})
        w.run(40)
    p.back_after(1000)


@scenario()
def lossy(p):
    p.w.bad_wires(0.1, 0.05, 8)
    p.changes(12, 500)
    p.w.bad_wires(0, 0, 1)
    p.back_after(6000)
