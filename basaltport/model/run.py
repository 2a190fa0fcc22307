"""One run of the model: founding, the actions of a schedule, a calm end, the checks of the history."""

import collections
import dataclasses

import basaltport.model.finding as finding
import basaltport.model.schedule as schedule
import basaltport.model.faults as faults
import basaltport.model.world as model_world

FOUNDING_MS = 5000
CALM_MS = 12_000


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a run did; `broken` is None where every check held."""

    schedule: schedule.Schedule
    broken: finding.BrokenError | None
    virtual_ms: int
    worst_gap: int
    counts: collections.Counter[str]
    done: dict[str, int]


def founded(plan: schedule.Schedule, rough: bool = True) -> model_world.World:
    """A fleet with its members, one proxy and a first configuration."""
    world = model_world.World(plan.seed, plan.members, plan.bearable, rough)
    names = [m.node for m in world.machines.rows]
    if world.until(lambda: world.settled(*names), FOUNDING_MS) is None:
        raise finding.BrokenError(finding.Rule.MAJORITY, world.now, founding=True)
    world.proxy("p0")
    world.operators[0].make(1)
    world.run(200)
    return world


def play(plan: schedule.Schedule) -> Outcome:
    """Runs a schedule with all checks."""
    world: model_world.World | None = None
    player, broken = None, None
    try:
        world = founded(plan)
        player = faults.Player(world)
        for action in plan.actions:
            player.play(action)
        calm(world)
        world.finish()
    except finding.BrokenError as e:
        broken = e
    counts: collections.Counter[str] = world.checks.counts if world else collections.Counter()
    gap = world.checks.worst_gap if world else 0
    done = player.done if player else {}
    return Outcome(plan, broken, world.now - 1_000_000 if world else 0, gap, counts, done)


def calm(world: model_world.World) -> None:
    """All faults end; then every operator calls once more."""
    world.until(lambda: not any(m.faults for m in world.machines.rows), 60_000)
    world.run(CALM_MS)
    world.bearable = True
    world.checks.no_leader_since = None
    for operator in world.operators:
        operator.make(1)
    world.run(CALM_MS)
