"""Random schedules of every fault, one on another; a failing one is shrunk to the faults that it needs."""

import random
import typing

import basaltport.simulation.planned_fault as planned_fault
import basaltport.simulation.query_api.plays as plays
import basaltport.simulation.query_api.world.world as worlds
import basaltport.simulation.query_api.world.world_base as world_base

FAULTS = 12
LASTS_MS = (200, 5000)
PAUSE_MS = (100, 1500)
UNTOUCHED_NODES = 2
WIPED_SHARE, HALF = 0.3, 0.5
LINKS_MAX_MS = 4000
HOLD_MS = 60_000
DISK_MS = 2500
PEACE_MS = 5000


Fault = typing.Callable[[worlds.World, plays.Play, float, float, int], None]


def schedule(seed: int) -> list[planned_fault.PlannedFault]:
    """The faults of a seed; they are drawn alone, so leaving one out moves no other."""
    rng = random.Random(f"mayhem-{seed}")
    planned = []
    for _ in range(FAULTS):
        first, second = rng.random(), rng.random()
        kind = rng.choice(sorted(KINDS))
        lasts_ms, pause_ms = rng.randrange(*LASTS_MS), rng.randrange(*PAUSE_MS)
        planned.append(planned_fault.PlannedFault(kind, first, second, lasts_ms, pause_ms))
    return planned


def live(world: worlds.World) -> list[str]:
    """Nodes that run and are not frozen."""
    return [node.name for node in world.live() + world.live(world_base.LOG_NODE)]


def kill(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A node loses power for a while; its disk goes only where all others run."""
    names = live(world)
    if len(names) > len(world.nodes) - UNTOUCHED_NODES:
        name = planned_fault.pick(names, first)
        world.kill(name, power=True, disk=second < WIPED_SHARE and len(names) == len(world.nodes))
        world.later(min(ms, LINKS_MAX_MS), world.boot, name)


def freeze(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A node is frozen for a while."""
    name = planned_fault.pick(live(world), first)
    world.freeze(name)
    world.later(ms, world.wake, name)


def split(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """One or two nodes are cut off from all others; with `first` under a half links hold back what comes."""
    names = live(world)
    world.hold = HOLD_MS if first < HALF else None
    world.split({planned_fault.pick(names, first), planned_fault.pick(names, second)})
    world.later(min(ms, LINKS_MAX_MS), world.heal)


def one_way(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """Nothing passes from one node to another."""
    world.cut(planned_fault.pick(live(world), first), planned_fault.pick(live(world), second), both=False)
    world.later(min(ms, LINKS_MAX_MS), world.heal)


def crash(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A replica ends and starts again."""
    replica = planned_fault.pick(world.replicas, first)
    if world.replicas[replica].mode == "up":
        world.crash_replica(replica)
        world.later(1000, world.start_replica, replica)


def impaired(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A replica is dark, sick or torn for a while."""
    replica = world.replicas[planned_fault.pick(world.replicas, first)]
    if replica.mode != "up":
        return
    replica.mode = planned_fault.pick(("dark", "sick", "torn"), second)
    incarnation = replica.incarnation

    def recover() -> None:
        """It is well again, if it is still the same process."""
        if replica.incarnation == incarnation:
            replica.mode = "up"

    world.later(ms, recover)


def leave(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A replica leaves, and is listed again later."""
    replica = planned_fault.pick(world.replicas, first)
    world.ask(
        planned_fault.pick(live(world), second),
        "leaving",
        {"replica": replica, "change": f"leave-{play.elapsed()}"},
    )

    def listed(whole: bool) -> None:
        """The platform lists all, or all but this one."""
        rows = world.platform_list()
        rows = rows if whole else {name: row for name, row in rows.items() if name != replica}
        world.ask(
            planned_fault.pick(live(world), second),
            "platform",
            {"replicas": rows, "change": f"list-{play.elapsed()}"},
        )

    world.later(3000, listed, False)
    world.later(4000, listed, True)


def empty(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A zone is drained and taken back."""
    zone = planned_fault.pick(world.configuration["zones"], first)
    world.ask(
        planned_fault.pick(live(world), second), "drain", {"zone": zone, "change": f"drain-{play.elapsed()}"}
    )
    world.later(
        3000,
        lambda: world.ask(
            planned_fault.pick(live(world), second),
            "undrain",
            {"zone": zone, "change": f"undrain-{play.elapsed()}"},
        ),
    )


def stall(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A disk stalls for a while."""
    name = planned_fault.pick([node.name for node in world.nodes.values() if node.disk], first)
    world.stall(name, True)
    world.later(DISK_MS, world.stall, name, False)


def full(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """A disk is full for a while."""
    name = planned_fault.pick([node.name for node in world.nodes.values() if node.disk], first)
    world.fill(name, True)
    world.later(DISK_MS, world.fill, name, False)


def unreliable_links(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """Links lose, double and delay messages for a while."""
    world.bad_links(0.1 * first, 0.1 * second, 1 + int(8 * first))
    world.later(ms, world.bad_links, 0, 0, 1)


def change(world: worlds.World, play: plays.Play, first: float, second: float, ms: int) -> None:
    """Operators change the configuration."""
    play.changes(3, 100)


KINDS: dict[str, Fault] = {
    f.__name__: f
    for f in (
        kill,
        freeze,
        split,
        one_way,
        crash,
        impaired,
        leave,
        empty,
        stall,
        full,
        unreliable_links,
        change,
    )
}


@plays.scenario()
def mayhem(play: plays.Play) -> None:
    """Faults at random, one on another, then peace."""
    world = play.world
    for index, (kind, first, second, lasts_ms, pause_ms) in enumerate(schedule(play.seed)):
        if index not in play.skip:
            KINDS[kind](world, play, first, second, lasts_ms)
        world.run(pause_ms)
    world.run(PEACE_MS)
    world.bad_links(0, 0, 1)
    world.heal()
    world.must("platform", {"replicas": world.platform_list()})
    for zone in sorted(world.configuration["zones"]):
        world.must("undrain", {"zone": zone})
    play.back_after()


def shrink(seed: int, preset: str, rules: set[str]) -> list[planned_fault.PlannedFault]:
    """The fewest faults (one by one left out) with which a run still breaks one of the rules."""
    skip: set[int] = set()
    for index in range(FAULTS):
        run = plays.Play("mayhem", seed, preset, skip=skip | {index}).play()
        got = {found.rule for found in run.findings()}
        if got & rules:
            skip.add(index)
    return [row for index, row in enumerate(schedule(seed)) if index not in skip]
