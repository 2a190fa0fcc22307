"""Named scenarios of machines taken one by one, zones lost whole, and one last fault on top."""

import basaltport.simulation.query_api.world.acts as acts

scenario = acts.scenario


def last_fault(p):
    """The leader dies in the same moment as the rest."""
    lead = p.w.leader()
    if lead:
        p.w.kill(lead.name, power=True)


@scenario()
def each_replica_leaves(p):
    """Each replica is told to leave and is gone 0 to 3 s later; the platform replaces it, under a new name
    or the same."""
    w = p.w
    for n, rid in enumerate(sorted(w.replicas)):
        row = w.replicas[rid].row
        w.ask(p.rostrum(), "leaving", {"replica": rid, "change": f"leave-{n}"})
        w.run(p.rng.randrange(0, 3000))
        w.crash_replica(rid)
        w.run(500)
        if n % 2:
            del w.replicas[rid]
            w.must("platform", {"replicas": w.platform_list()})
            w.add_replica(f"{row['group']}-new-{n}", row["zone"], row["group"])
        else:
            rest = {r: v for r, v in w.platform_list().items() if r != rid}
            w.must("platform", {"replicas": rest})
            w.start_replica(rid)
        w.must("platform", {"replicas": w.platform_list()})
        w.run(4000)
    last_fault(p)
    p.back_after()


@scenario()
def each_rostrum_killed(p):
    for name in [n.name for n in p.w.live()]:
        p.w.kill(name, power=True)
        p.changes(2, 400)
        p.w.boot(name)
        p.changes(4, 500)
    last_fault(p)
    p.back_after()


@scenario("furrow")
def zone_lost(p):
    """All machines of a zone are lost at once and come back empty; what was kept there lives elsewhere."""
    w = p.w
    z = p.rng.choice(["z1", "z2", "z3"])
    names = [n.name for n in w.nodes.values() if n.zone == z]
    reps = [r for r, s in w.replicas.items() if s.row["zone"] == z]
    for n in names:
        w.kill(n, power=True)
    for r in reps:
        w.crash_replica(r)
    p.back_after()
    w.run(8000)
    p.kept_held()
    for n in names:
        w.boot(n)
    for r in reps:
        w.start_replica(r)
    before = sum(r["k"] == "load" for r in w.trace)
    p.back_after()
    p.loads_after = sum(r["k"] == "load" for r in w.trace) - before


@scenario()
def replicas_sick_restarts(p):
    """Sick replicas while rostrums restart and the pools' figures change: resends stay bounded fleet-wide."""
    p.crowd.factor = {p.chief: 2}
    p.all_replicas("sick")
    pools = sorted(p.w.manifest["pools"])
    for i in range(4):
        name = p.rostrum()
        p.w.kill(name)
        p.w.run(700)
        p.w.boot(name)
        q = {k: {"resend_allowance": i % 3, "resend_percent": 20 - 5 * (i % 2)} for k in pools}
        p.w.ask(p.rostrum(), "patch", {"patch": {"pools": q}, "change": f"pool-{i}"})
        p.w.run(2500)
    p.all_replicas("up")
    p.crowd.factor = {}
    p.back_after(8000)


@scenario()
def slots_handed_over(p):
    """Long runs go on at the replicas while their rostrums and stewards die and timeouts are shortened."""
    w = p.w
    p.crowd.factor = {p.chief: 2}
    for r in w.replicas.values():
        r.slow = 40
    w.run(1500)
    for _ in range(3):
        lead = w.leader()
        owners = {d["owner"] for d in lead.member.book.role_owners.values()} if lead else set()
        seats = [n.name for n in w.live() if n.member.me.seat in owners] or [p.rostrum()]
        name = p.rng.choice(seats)
        w.kill(name)
        short = {k: {"timeout_ms": 300} for k in w.manifest["lines"]}
        w.ask(p.rostrum(), "patch", {"patch": {"lines": short}, "change": f"short-{p.t()}"})
        w.run(4000)
        w.boot(name)
        w.run(2500)
    for r in w.replicas.values():
        r.slow = 1
    p.crowd.factor = {}
    p.back_after(8000)


@scenario()
def each_role_frozen(p):
    """Leader, other ledger, each duty's owner and a plain rostrum: frozen longer than every lease, woken."""
    w = p.w

    def owners(lead):
        b = lead.member.book
        return [
            b["roster"][d["owner"]]["name"]
            for _, d in sorted(b["duties"].items())
            if d["owner"] in b["roster"]
        ]

    roles = [
        lambda lead: lead.name,
        lambda lead: next(n.name for n in w.live("ledger") if n is not lead),
        *[lambda lead, i=i: (owners(lead) + [p.rostrum()] * 4)[i] for i in range(4)],
        lambda lead: next((n.name for n in w.live() if n.name not in owners(lead)), p.rostrum()),
    ]
    for role in roles:
        w.run_until(lambda: w.leader() is not None, 6000)
        name = role(w.leader())
        w.freeze(name)
        r = p.rng.choice(sorted(w.replicas))
        w.ask(p.rostrum(), "leaving", {"replica": r, "change": f"leave-{p.t()}"})
        p.changes(8, 400)
        w.wake(name)
        rest = {k: v for k, v in w.platform_list().items() if k != r}
        w.must("platform", {"replicas": rest})
        w.must("platform", {"replicas": w.platform_list()})
        p.changes(4, 400)
    p.back_after(8000)


NAMES = tuple(acts.SCENARIOS)
