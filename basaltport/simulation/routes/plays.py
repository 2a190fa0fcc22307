"""A run of a scenario: a ready fleet under traffic, a fault, and what must hold all along."""

import typing

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.checks as checks
import basaltport.simulation.routes.fleet_world as fleet_world
import basaltport.simulation.routes.request_checks as request_checks
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.service_level as service_level

BEFORE_MS = 4000
BEFORE_JUDGED_MS = 3000
BEFORE_SHARE = 0.97
PEACE_MS = 6500
MS_PER_S = 1000

Scenario = typing.Callable[[typing.Any], None]


def registrar(scenarios: dict[str, Scenario]) -> typing.Callable[[Scenario], Scenario]:
    """A decorator that puts a scenario there under its name."""

    def register(scenario: Scenario) -> Scenario:
        """Adds it, and leaves it as it is."""
        scenarios[scenario.__name__.replace("_", "-")] = scenario
        return scenario

    return register


class Play:
    """One run of a scenario with one seed; subclasses know their scenarios.

    `served`: spans and the shares of their requests that must be served; `skip`: numbers of faults of a
    random schedule that are left out; `final`, `evacuated_zones`: what is read back and agreed at the end."""

    WORLD: type[fleet_world.World] = fleet_world.World
    SCENARIOS: typing.ClassVar[dict[str, Scenario]] = {}

    def __init__(
        self,
        name: str,
        seed: int,
        preset: str = "small",
        skip: typing.Collection[int] = (),
        packed: bool = False,
    ) -> None:
        """A fleet that is about to start."""
        self.name, self.seed, self.preset, self.skip = name, seed, preset, skip
        self.world = self.WORLD(seed, preset, packed)
        self.rng = self.world.rng
        self.served: list[service_level.ServedSpan] = []
        self.final: run_facts.Document | None = None
        self.evacuated_zones: list[str] | None = None

    def play(self) -> typing.Self:
        """Starts the fleet and its traffic, plays the scenario, and reads back what is there after peace."""
        world = self.world
        world.ready()
        world.usual()
        start = world.elapsed()
        world.run(BEFORE_MS)
        self.served.append(service_level.ServedSpan(start, start + BEFORE_JUDGED_MS, BEFORE_SHARE))
        self.SCENARIOS[self.name](self)
        world.traffic(0, [])
        world.heal()
        world.run(PEACE_MS)
        self.final = world.read_back()
        leader = world.leader()
        if leader:
            self.evacuated_zones = sorted(world.nodes[leader].member.cluster_state.evacuated_zones)
        return self

    def calm(self, ms: int = 3000, share: float = 0.95) -> None:
        """Requests must be served for this long from now on."""
        start = self.world.elapsed()
        self.served.append(service_level.ServedSpan(start, start + ms, share))
        self.world.run(ms)

    def back(self, share: float = 0.8, span: int = 3000) -> None:
        """Requests must be served again `recover_s` from now on."""
        self.world.run(MS_PER_S * self.world.timings.recover_s)
        self.calm(span, share)

    def facts(self) -> run_facts.RunFacts:
        """What the checks need beside the trace."""
        world = self.world
        return run_facts.RunFacts(
            world.timings,
            self.final,
            self.evacuated_zones,
            self.served,
            world.cold_rate,
            world.loads_per_s,
        )

    def findings(self) -> list[finding.Finding]:
        """The rules that were broken."""
        return checks.run(self.world.trace, self.facts())

    def shares(self) -> list[float]:
        """Of what was sent in each stated span, the share that was served."""
        return [
            request_checks.share_served(self.world.trace, span.start_ms, span.end_ms) for span in self.served
        ]

    def bounds(self) -> list[tuple[str, int | None, int]]:
        """(what, ms that it took or None, ms that are allowed), as measured; none here."""
        return []

    # choices

    def leader(self) -> str:
        """The leader, or some controller where none leads."""
        return self.world.leader() or sorted(self.world.core)[0]

    def replica(self, service: str = "s") -> str:
        """Some replica of a service that takes requests."""
        replicas = self.world.replicas.values()
        ready = [
            replica.id for replica in replicas if replica.service == service and replica.state == "ready"
        ]
        return self.rng.choice(sorted(ready))

    def proxy(self) -> str:
        """Some proxy that runs."""
        return self.rng.choice([node.name for node in self.world.proxies() if node.member])

    def proxies(self, count: int) -> list[str]:
        """So many of the proxies that run, or all where there are fewer."""
        names = [node.name for node in self.world.proxies() if node.member]
        return self.rng.sample(names, min(count, len(names)))

    def controller(self, led: bool = False) -> str:
        """Some controller; the leader only with `led`."""
        names = sorted(self.world.core)
        return self.rng.choice([name for name in names if led or name != self.leader()])
