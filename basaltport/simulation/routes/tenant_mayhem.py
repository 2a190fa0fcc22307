"""Random schedules of faults, of edits of keys and limits, and of hot tenants."""

import random

import basaltport.simulation.planned_fault as planned_fault
import basaltport.simulation.routes.fleet_world as fleet_world
import basaltport.simulation.routes.mayhem as mayhem
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.tenant_play as tenant_play
import basaltport.simulation.routes.tenant_scenes as tenant_scenes
import basaltport.simulation.routes.tenant_world as tenant_world

FAULTS = 14
LASTS_MS = (200, 5000)
PAUSE_MS = (100, 2500)
LIMIT_FACTORS = (0.3, 0.6, 1.7, 3.0)
MOST_PROXIES = 12
EDITS = 3
LONGER = 4
"""Some faults last so much longer, beyond the time for which a share of a limit holds."""
HOT_PER_S = 80.0

World = tenant_world.TenantWorld


def schedule(seed: int) -> list[planned_fault.PlannedFault]:
    """The faults of a seed; they are drawn alone, so leaving one out moves no other."""
    rng = random.Random(f"tenants-{seed}")
    planned = []
    for _ in range(FAULTS):
        first, second = rng.random(), rng.random()
        kind = rng.choice(KINDS)
        lasts_ms, pause_ms = rng.randrange(*LASTS_MS), rng.randrange(*PAUSE_MS)
        planned.append(planned_fault.PlannedFault(kind, first, second, lasts_ms, pause_ms))
    return planned


def heat(world: World, first: float, second: float, ms: int) -> None:
    """A tenant sends far beyond its limit for a while."""
    name = list(world.book)[int(first * first * len(world.book))]
    world.heat(name, HOT_PER_S * (0.3 + second))
    world.later(ms + 3000, world.heat, name, 0)


def edit_keys(world: World, first: float, second: float, ms: int) -> None:
    """Some edits of keys, and a configuration with them."""
    for _ in range(EDITS):
        world.edit_keys()
    world.configure()


def edit_limits(world: World, first: float, second: float, ms: int) -> None:
    """A limit is lowered or raised."""
    name = world.hottest() if first < mayhem.HALF else planned_fault.pick(world.book, second)
    world.scale_limit(name, LIMIT_FACTORS[int(second * len(LIMIT_FACTORS))])
    world.configure()


def series(world: World, first: float, second: float, ms: int) -> None:
    """Edits of keys in series for a while."""
    world.change_keys(int(200 + 800 * first))
    world.later(ms + 2000, world.change_keys, 0)


def cut_bridge(world: World, first: float, second: float, ms: int) -> None:
    """Two zones can't reach each other for a while."""
    zones = sorted(world.zones)
    left = int(first * len(zones))
    world.holding = second < mayhem.HALF
    world.cut_bridge(zones[left], zones[(left + 1) % len(zones)])
    world.later(ms, world.heal)


def cut_leader(world: World, first: float, second: float, ms: int) -> None:
    """The leader is cut off from all others for a while."""
    world.split([world.leader() or sorted(world.core)[0]], second < mayhem.HALF)
    world.later(ms, world.heal)


def isolate(world: World, first: float, second: float, ms: int) -> None:
    """A proxy reaches no controller for a while."""
    if mayhem.up(world, "p"):
        world.isolate_proxy(planned_fault.pick(mayhem.up(world, "p"), first))
        world.later(LONGER * ms, world.heal)


def freeze_long(world: World, first: float, second: float, ms: int) -> None:
    """A proxy is frozen for long."""
    mayhem.freeze_proxy(world, first, second, LONGER * ms)


def add_proxy(world: World, first: float, second: float, ms: int) -> None:
    """A proxy more."""
    if len(world.proxies()) < MOST_PROXIES:
        world.add_proxy()


OF_TENANTS = {
    fault.__name__: fault
    for fault in (
        heat,
        edit_keys,
        edit_limits,
        series,
        cut_bridge,
        cut_leader,
        isolate,
        add_proxy,
        freeze_long,
    )
}
OF_PROCESSES = {
    fault.__name__: fault
    for fault in (
        mayhem.kill,
        mayhem.freeze,
        mayhem.split,
        mayhem.one_way,
        mayhem.stall,
        mayhem.roll,
        mayhem.hand_over,
        mayhem.blackout,
        mayhem.kill_proxy,
        mayhem.freeze_proxy,
        mayhem.crash,
    )
}
KINDS = sorted(OF_TENANTS) * 2 + sorted(OF_PROCESSES)


def make(world: World, planned: planned_fault.PlannedFault) -> None:
    """One fault of a schedule begins."""
    kind, first, second, lasts_ms, _ = planned
    if kind in OF_TENANTS:
        OF_TENANTS[kind](world, first, second, lasts_ms)
    else:
        OF_PROCESSES[kind](world, first, second, lasts_ms)


@tenant_scenes.scenario
def tenants_mayhem(play: tenant_play.TenantPlay) -> None:
    """Faults, hot tenants and edits at random, one on another, then peace."""
    world = play.world
    play.limit_all()
    world.run(tenant_play.SHARED_MS)
    for index, planned in enumerate(schedule(play.seed)):
        if index not in play.skip:
            world.record(process_rows.Fault, planned.kind, index)
            make(world, planned)
        world.run(planned.pause_ms)
    world.run(mayhem.PEACE_MS)
    make_whole(world)
    play.heat(False)
    play.change_keys(False)
    play.back(tenant_scenes.SHARE)


def make_whole(world: fleet_world.World) -> None:
    """All faults end."""
    world.heal()
    for name in list(world.nodes):
        world.freeze(name, False)
