"""Named scenarios of the replicas and zones: crashes, darkness, notice, crowds of cold models."""

import basaltport.simulation.query_api.world.acts as acts
import basaltport.simulation.query_api.world.stage as stage

scenario = acts.scenario


@scenario()
def replicas_crash(p):
    p.crowd.factor = {p.once: 8}
    for _ in range(3):
        r = p.rng.choice(sorted(p.w.replicas))
        p.w.crash_replica(r)
        p.w.run(1500)
        p.w.start_replica(r)
        p.w.run(2500)
    p.back_after(8000)


@scenario()
def replicas_sick(p):
    """Every replica takes queries and breaks its wires; repeatable ones must not be resent without bound."""
    p.crowd.factor = {p.chief: 3}
    p.all_replicas("sick")
    p.w.run(6000)
    p.all_replicas("up")
    p.crowd.factor = {}
    p.back_after(4000)


@scenario()
def replicas_torn(p):
    """Every replica breaks whole replies off and tears streams: lines lost, doubled, of other runs."""
    for line in p.crowd.demand["lines"].values():
        line["stream"] = True
    p.all_replicas("torn")
    p.w.run(6000)
    p.all_replicas("up")
    p.back_after(4000)


@scenario()
def streams_cut(p):
    """Streams meet the end of their replica, of their rostrum, and of their sender."""
    for line in p.crowd.demand["lines"].values():
        line["stream"] = True
    p.crowd.leave = 0.2
    p.crowd.factor = {p.chief: 3}
    p.w.run(1000)
    for _ in range(3):
        rs = p.rng.sample(sorted(p.w.replicas), 3)
        for r in rs:
            p.w.crash_replica(r)
        p.w.run(500)
        for r in rs:
            p.w.start_replica(r)
        name = p.rostrum()
        p.w.kill(name)
        p.w.run(1000)
        p.w.boot(name)
        p.w.run(1500)
    p.back_after(8000)


@scenario()
def replicas_dark(p):
    p.crowd.factor = {p.once: 8}
    p.w.run(2000)
    r = p.rng.choice(sorted(p.w.replicas))
    p.w.dark_replica(r)
    p.w.run(6000)
    p.w.dark_replica(r, False)
    p.back_after(6000)


@scenario()
def replica_leaves(p):
    """Short notice: told at one node, gone a second later."""
    item = p.crowd.demand["lines"][p.chief]["items"][0]
    r = p.w.live()[0].member.usable(item)[0]
    p.w.ask(p.rostrum(), "leaving", {"replica": r, "change": f"leave-{r}"})
    p.w.run(4000)
    p.w.crash_replica(r)
    p.back_after(8000)


@scenario()
def zone_emptied(p):
    p.w.must("drain", {"zone": "z1"})
    p.w.run(8000)
    p.w.must("undrain", {"zone": "z1"})
    p.back_after(8000)


@scenario()
def replicas_restart(p):
    """Every replica is replaced by a fresh start, one after another, under a crowd."""
    p.crowd.factor = {p.chief: 4}
    for r in sorted(p.w.replicas):
        p.w.crash_replica(r)
        p.w.run(200)
        p.w.start_replica(r)
        p.w.run(1500)
    p.crowd.factor = {}
    p.back_after(8000)


@scenario("furrow", opens=0)
def cold_storm(p):
    """Every model and adapter of the house is asked for in one breath, at every rostrum."""
    breath(p)
    p.back_after(6000, share=0.9)


@scenario("furrow", opens=0)
def power_cut_loading(p):
    """The same, and all members lose power while the replicas load on."""
    w = p.w
    p.blank = True
    for _ in range(2):
        breath(p)
        w.run(p.rng.randrange(200, 1500))
        for n in list(w.nodes):
            w.kill(n, power=True)
        w.run(500)
        for n in list(w.nodes):
            w.later(p.rng.randrange(0, 1500), w.boot, n)
        w.run(3000)
    p.back_after(share=0.9)


def crowd(factor):
    @scenario("furrow")
    def act(p):
        """Every line at so many times its peak for six seconds, then its peak again."""
        p.crowd.factor = dict.fromkeys(p.crowd.demand["lines"], factor)
        p.w.run(6000)
        p.crowd.factor = {}
        p.back_after(3000)

    return act


for n in (1, 2, 4):
    acts.SCENARIOS[f"crowd-{n}"] = ("furrow", crowd(n), acts.OPENS)
acts.SCENARIOS.pop("act")


def breath(p):
    w = p.w
    for line, d in sorted(p.crowd.demand["lines"].items()):
        once = w.manifest["lines"][line]["once_only"]
        for item in d["items"]:
            model, _, adapter = item.partition("/")
            for n in w.live():
                s = sorted(d["senders"])[0]
                w.send_query(line, model, adapter, stage.hashed(d["senders"][s]), once, node=n.name)


NAMES = tuple(acts.SCENARIOS)
