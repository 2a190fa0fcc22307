"""What a scenario is: faults on a ready house under load, and the notes that the checks need."""

import basaltport.simulation.query_api.checks.checks as checks
import basaltport.simulation.query_api.world.senders as senders
import basaltport.simulation.query_api.world.stage as stage

SCENARIOS = {}
OPENS = 12_000


def scenario(preset="mid", opens=OPENS):
    """`opens` is when traffic starts, from the machines' start on."""

    def wrap(f):
        SCENARIOS[f.__name__.replace("_", "-")] = (preset, f, opens)
        return f

    return wrap


class Play:
    """A ready house under load, and the notes that the checks need."""

    def __init__(self, name, seed, preset=None, skip=(), **kw):
        self.name = name
        self.skip = skip
        self.preset, self.act, self.opens = SCENARIOS[name]
        self.preset = preset or self.preset
        self.seed = seed
        self.w = stage.ready(self.preset, seed, **kw)
        self.rng = self.w.rng
        self.crowd = stage.crowd(self.w, self.preset, seed)
        self.served = []
        self.blank = False
        self.faults = []
        self.extra = []
        rates = {k: d["rate"] for k, d in self.crowd.demand["lines"].items()}
        once = [k for k in sorted(rates) if self.w.manifest["lines"][k]["once_only"]]
        self.chief = max(rates, key=rates.get)
        self.once = min(once, key=lambda k: rates[k])

    def t(self):
        return int(self.w.now - self.w.start)

    def play(self):
        self.w.run(max(0, self.opens - self.t()))
        self.crowd.start()
        lo = self.t()
        self.w.run(4000)
        if self.opens:
            self.served.append((lo, lo + 3000, 0.95))
        self.act(self)
        self.crowd.stop()
        self.w.run(6000)
        self.w.heal()
        for n in self.w.nodes:
            self.w.wake(n)
        return self

    def back_after(self, ms=12_000, span=3000, share=0.95):
        """Service must be back this long after now."""
        self.faults.append((self.t(), self.t() + ms + span))
        lo = self.t() + ms
        self.w.run(ms + span)
        self.served.append((lo, lo + span, share))

    def bound(self, n, change, **kw):
        """A small change, and its id."""
        return {"patch": {"lines": {self.chief: {"bound": n + 300}}}, "change": change, **kw}

    def kept_held(self):
        """Every kept item is loaded at a replica that lives."""
        here = {i for r in self.w.replicas.values() if r.mode == "up" for i, h in r.logic.held.items()}
        rules = self.w.live()[0].member.rules.items.values()
        for i in [r.item for r in rules if r.kept and r.item not in here]:
            self.extra.append({"rule": "kept", "t": self.t(), "finding": f"{i} is kept and held nowhere"})

    def all_replicas(self, mode):
        for r in self.w.replicas.values():
            r.mode = mode

    def rostrum(self):
        return self.rng.choice(self.w.live()).name

    def recoveries(self):
        """For each last fault, how long it took until every half second was answered at 95 %."""
        return [checks.recovery(self.w.trace, lo, hi, self.blank) for lo, hi in self.faults]

    def findings(self):
        w = self.w
        pools = w.manifest["pools"].values()
        about = {
            "groups": w.manifest["groups"],
            "loads": w.manifest["store"]["loads"],
            "allowance": sum(p["resend_allowance"] for p in pools),
            "served": self.served,
            "blank": self.blank,
            "pieces": senders.PIECES,
        }
        lead = w.leader()
        if lead is not None:
            about["final"] = lead.member.book
        out = checks.run(w.trace, about) + self.extra
        if lead is None and self.name not in ("no-majority",):
            out.append({"rule": "back", "t": self.t(), "finding": "no leader at the end"})
        return out

    def changes(self, n, gap=300):
        """Operators at random nodes patch the manifest and read it."""
        w = self.w
        for i in range(n):
            live = [x.name for x in w.live() + w.live("ledger")]
            w.ask(self.rng.choice(live), "patch", self.bound(100 + i, f"c{self.t()}-{i}"))
            verb = self.rng.choice(
                ("show", "status", "history", "change", "members", "replicas", "placement")
            )
            for name in self.rng.sample(live, 2):
                w.ask(name, verb, {"change": f"c{self.t()}-{i}"} if verb == "change" else {})
            w.run(gap)
