"""How scenarios of the controllers are played: with more operators, closer checks and bounds in time."""

import typing

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.checks as checks
import basaltport.simulation.routes.control_checks as control_checks
import basaltport.simulation.routes.control_world as control_world
import basaltport.simulation.routes.operator as operator
import basaltport.simulation.routes.operator_rows as operator_rows
import basaltport.simulation.routes.plays as plays
import basaltport.simulation.service_level as service_level
import basaltport.simulation.trace as trace

WRITE_EVERY_MS = 500
READ_EVERY_MS = 130
ACK_MS = 4000
STEP_MS = 20
SWEEP_MS = 5000
SWEEP = SWEEP_MS // STEP_MS
LOW_FLOW = 10
FLOW_SHARE = 0.9


class ControlPlay(plays.Play):
    """See `control` for its scenarios."""

    WORLD = control_world.ControlWorld
    world: control_world.ControlWorld

    def findings(self) -> list[finding.Finding]:
        """The rules that were broken, also those of the controllers alone."""
        rows, facts = self.world.trace, self.facts()
        return checks.run(rows, facts) + control_checks.run(rows, facts)

    def bounds(self) -> list[tuple[str, int | None, int]]:
        """(what, ms that it took or None, ms that are allowed), as measured."""
        rows = trace.of_kind(self.world.trace, operator_rows.Bound)
        return [(row.what, row.took, row.most) for row in rows]

    # choices

    def follower(self) -> str:
        """Some controller that does not lead."""
        return self.controller()

    def list_reader(self) -> str:
        """The controller that read the list last."""
        return self.world.list_reader

    def sweep(self) -> tuple[int, int]:
        """(ms into the sweep, number of the variant): one seed after another, all moments of each variant."""
        variant, moment = divmod(self.seed, SWEEP)
        return moment * STEP_MS, variant

    # what must come in time

    def within(self, what: str, test: typing.Callable[[], bool], most: int, patience: int = 10_000) -> None:
        """Runs until the test holds; how long that took is held against `most`."""
        took = self.world.until(test, max(most, patience))
        self.world.record(operator_rows.Bound, what, None if took is None else int(took), most)

    def majority(
        self, what: str = "majority", most: int = ACK_MS, change: operator.Change | None = None
    ) -> None:
        """A change that is sent now, or was sent before, is confirmed in time."""
        sent = change or self.world.configure()
        self.within(what, lambda: sent.status == operator.ACKNOWLEDGED, most)

    def under_operators(self, ms: int, share: float = FLOW_SHARE) -> None:
        """Operators change and read at all controllers for so long; requests are served meanwhile."""
        world, since = self.world, self.world.elapsed()
        world.keep_writing(WRITE_EVERY_MS)
        world.keep_reading(READ_EVERY_MS)
        world.run(ms)
        world.stop_operators()
        self.served.append(service_level.ServedSpan(since, world.elapsed(), share))


Scenario = typing.Callable[[ControlPlay], None]
registrar = plays.registrar
