"""A run of a scenario: faults on a ready cluster under load, and the facts that the checks need."""

import typing

import basaltport.simulation.finding as finding
import basaltport.simulation.query_api.checks.check_facts as check_facts
import basaltport.simulation.query_api.checks.checks as checks
import basaltport.simulation.query_api.checks.request_checks as request_checks
import basaltport.simulation.query_api.world.stage as stage
import basaltport.simulation.query_api.world.streams as streams
import basaltport.simulation.query_api.world.world_base as world_base
import basaltport.simulation.service_level as service_level

OPENS_MS = 12_000
BEFORE_MS = 4000
BEFORE_JUDGED_MS = 3000
BEFORE_SHARE = 0.95
PEACE_MS = 6000
BOUND_OFFSET = 300
READS = ("show", "status", "history", "change", "members", "replicas", "placement")
READERS = 2
WITHOUT_LEADER = ("no-majority",)

Document = world_base.Document
Act = typing.Callable[["Play"], None]


class Scenario(typing.NamedTuple):
    """A preset, what happens, and when traffic starts, in ms from the machines' start on."""

    preset: str
    act: Act
    opens_ms: int


SCENARIOS: dict[str, Scenario] = {}


def scenario(preset: str = "mid", opens: int = OPENS_MS) -> typing.Callable[[Act], Act]:
    """A decorator that puts a scenario into SCENARIOS; traffic starts `opens` ms from the machines' start
    on."""

    def register(act: Act) -> Act:
        """Adds it, and leaves it as it is."""
        SCENARIOS[act.__name__.replace("_", "-")] = Scenario(preset, act, opens)
        return act

    return register


class Play:
    """A ready cluster under load, and the facts that the checks need.

    `skip`: numbers of faults of a random schedule that are left out; `chief`: the queue with the highest
    rate, `once`: of those whose requests run once the one with the lowest; `blank`: all members lost their
    memory; `faults`: when faults began and when the last of what they hinder must be over; `extra`: findings
    of the scenario itself."""

    def __init__(
        self,
        name: str,
        seed: int,
        preset: str | None = None,
        skip: typing.Collection[int] = (),
        packed: bool = False,
    ) -> None:
        """The cluster is founded and configured."""
        self.name, self.seed, self.skip = name, seed, skip
        default, self.act, self.opens_ms = SCENARIOS[name]
        self.preset = preset or default
        self.world = stage.ready(self.preset, seed, packed=packed)
        self.rng = self.world.rng
        self.crowd = stage.crowd(self.world, self.preset, seed)
        self.served: list[service_level.ServedSpan] = []
        self.faults: list[tuple[int, int]] = []
        self.extra: list[finding.Finding] = []
        self.blank = False
        rates = {queue: demand["rate"] for queue, demand in self.crowd.demand["lines"].items()}
        queues = self.world.configuration["lines"]
        once = [queue for queue in sorted(rates) if queues[queue]["once_only"]]
        self.chief = max(rates, key=lambda queue: float(rates[queue]))
        self.once = min(once, key=lambda queue: float(rates[queue]))

    def elapsed(self) -> int:
        """Ms since the run began."""
        return self.world.elapsed()

    def play(self) -> typing.Self:
        """Opens the traffic, plays the scenario, and lets peace come."""
        world = self.world
        world.run(max(0, self.opens_ms - self.elapsed()))
        self.crowd.start()
        start = self.elapsed()
        world.run(BEFORE_MS)
        if self.opens_ms:
            self.served.append(service_level.ServedSpan(start, start + BEFORE_JUDGED_MS, BEFORE_SHARE))
        self.act(self)
        self.crowd.stop()
        world.run(PEACE_MS)
        world.heal()
        for name in world.nodes:
            world.wake(name)
        return self

    def back_after(self, ms: int = 12_000, span: int = 3000, share: float = 0.95) -> None:
        """Requests must be served again this long after now."""
        self.faults.append((self.elapsed(), self.elapsed() + ms + span))
        start = self.elapsed() + ms
        self.world.run(ms + span)
        self.served.append(service_level.ServedSpan(start, start + span, share))

    def bound(self, number: int, change: str, **more: object) -> Document:
        """A small change, and its id."""
        patch = {"lines": {self.chief: {"bound": number + BOUND_OFFSET}}}
        return {"patch": patch, "change": change, **more}

    def kept_held(self) -> None:
        """Every kept item is loaded at a replica that lives."""
        up = [replica for replica in self.world.replicas.values() if replica.mode == "up"]
        held = {item for replica in up for item in replica.logic.held}
        rules = self.world.live()[0].member.rules.items.values()
        for item in [rule.item for rule in rules if rule.kept and rule.item not in held]:
            text = f"{item} is kept and held nowhere"
            self.extra.append(finding.Finding("kept", self.elapsed(), text))

    def all_replicas(self, mode: str) -> None:
        """All replicas are in this mode from now on."""
        for replica in self.world.replicas.values():
            replica.mode = mode

    def query_node(self) -> str:
        """Some node that takes requests."""
        return self.rng.choice(self.world.live()).name

    def leader(self) -> str:
        """The leader, which must be there."""
        leader = self.world.leader()
        assert leader is not None
        return leader.name

    def recoveries(self) -> list[int]:
        """For each last fault, ms until every half second was answered at 95 %."""
        rows = self.world.trace
        return [request_checks.recovery(rows, start, end, self.blank) for start, end in self.faults]

    def facts(self) -> check_facts.CheckFacts:
        """What the checks need beside the trace."""
        configuration, leader = self.world.configuration, self.world.leader()
        pools = configuration["pools"].values()
        return check_facts.CheckFacts(
            groups=configuration["groups"],
            loads=configuration["store"]["loads"],
            allowance=sum(pool["resend_allowance"] for pool in pools),
            served=self.served,
            blank=self.blank,
            pieces=streams.PIECES,
            final=None if leader is None else leader.member.cluster_state,
        )

    def findings(self) -> list[finding.Finding]:
        """The rules that were broken."""
        findings = checks.run(self.world.trace, self.facts()) + self.extra
        if self.world.leader() is None and self.name not in WITHOUT_LEADER:
            findings.append(finding.Finding("back", self.elapsed(), "no leader at the end"))
        return findings

    def changes(self, count: int, gap: int = 300) -> None:
        """Operators at random nodes patch the configuration and read it."""
        world = self.world
        for i in range(count):
            live = [node.name for node in world.live() + world.live(world_base.LOG_NODE)]
            change = f"c{self.elapsed()}-{i}"
            world.ask(self.rng.choice(live), "patch", self.bound(100 + i, change))
            verb = self.rng.choice(READS)
            for name in self.rng.sample(live, READERS):
                world.ask(name, verb, {"change": change} if verb == "change" else {})
            world.run(gap)
