"""How scenarios of the control machines are played: with more operators, closer checks and bounds in time."""

import typing

import basaltport.simulation.routes.checks as routechecks
import basaltport.simulation.routes.control_checks as control_checks
import basaltport.simulation.routes.control_world as control_world
import basaltport.simulation.routes.scenes as routescenes

Scenario = typing.Callable[["ControlPlay"], None]
WRITE_EVERY = 500
READ_EVERY = 130
ACK_MS = 4000
STEP_MS = 20
SWEEP_MS = 5000
SWEEP = SWEEP_MS // STEP_MS
LOW_FLOW = 10
FLOW_SHARE = 0.9


def registrar(scenarios: dict[str, Scenario]) -> typing.Callable[[Scenario], Scenario]:
    """A decorator that puts a scenario there under its name."""

    def register(f: Scenario) -> Scenario:
        scenarios[f.__name__.replace("_", "-")] = f
        return f

    return register


class ControlPlay(routescenes.Play):
    """See `control` for its scenarios."""

    WORLD = control_world.ControlWorld

    def findings(self):
        return routechecks.run(self.w.trace, self.about()) + control_checks.run(self.w.trace, self.about())

    def bounds(self) -> list[tuple[str, int | None, int]]:
        """(what, ms that it took or None, ms that are allowed), as measured."""
        return [(r["what"], r["took"], r["most"]) for r in self.w.trace if r["k"] == "bound"]

    # choices

    def follower(self) -> str:
        return self.keeper()

    def list_reader(self) -> str:
        return self.w.list_reader

    def sweep(self) -> tuple[int, int]:
        """(ms into the sweep, number of the variant): one seed after another, all moments of each variant."""
        variant, moment = divmod(self.seed, SWEEP)
        return moment * STEP_MS, variant

    # what must come in time

    def within(self, what: str, test: typing.Callable[[], bool], most: int, patience: int = 10_000) -> None:
        """Runs until the test holds; how long that took is held against `most`."""
        took = self.w.until(test, max(most, patience))
        self.w.log("bound", what=what, took=None if took is None else int(took), most=most)

    def majority(self, what: str = "majority", most: int = ACK_MS, change=None) -> None:
        """A change that is sent now, or was sent before, is confirmed in time."""
        change = change or self.w.configure()
        self.within(what, lambda: change.status == 200, most)

    def under_operators(self, ms: int, share: float = FLOW_SHARE) -> None:
        """Operators change and read at all control machines for so long; requests are served meanwhile."""
        w, since = self.w, self.w.t()
        w.keep_writing(WRITE_EVERY)
        w.keep_reading(READ_EVERY)
        w.run(ms)
        w.stop_operators()
        self.served.append((since, w.t(), share))
