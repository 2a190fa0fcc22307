"""Random schedules of every fault on the path of routes, and the fewest faults that a failing run needs."""

import functools
import random
import typing

import basaltport.simulation.planned_fault as planned_fault
import basaltport.simulation.routes.fleet_world as fleet_world
import basaltport.simulation.routes.plays as plays
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.scenes as scenes

FAULTS = 10
LASTS_MS = (200, 4000)
PAUSE_MS = (100, 2500)
WIPED_SHARE, POWER_SHARE = 0.2, 0.6
HALF = 0.5
SHORT_NOTICE_SHARE, NOTICE_MS = 0.4, 2000
UNTOUCHED_PROCESSES = 2
LEAST_REPLICAS, LEAST_REPLICAS_TO_LEAVE, LEAST_PROXIES = 5, 7, 3
RARE_MODELS = 8
PEACE_MS = 6000


Fault = typing.Callable[[fleet_world.World, float, float, int], None]


def schedule(seed: int, name: str = "mayhem") -> list[planned_fault.PlannedFault]:
    """The faults of a seed; they are drawn alone, so leaving one out moves no other."""
    rng = random.Random(f"routes-{seed}")
    kinds = sorted(KINDS if name == "mayhem" else OUTSIDE)
    planned = []
    for _ in range(FAULTS):
        first, second = rng.random(), rng.random()
        kind = rng.choice(kinds)
        lasts_ms, pause_ms = rng.randrange(*LASTS_MS), rng.randrange(*PAUSE_MS)
        planned.append(planned_fault.PlannedFault(kind, first, second, lasts_ms, pause_ms))
    return planned


def up(world: fleet_world.World, letters: str = "kp") -> list[str]:
    """Processes that run, by the first letters of their names: controllers `k`, proxies `p`."""
    return [
        node.name
        for node in world.nodes.values()
        if node.member and not node.frozen and node.name[0] in letters
    ]


def ready(world: fleet_world.World) -> list[str]:
    """Replicas that take requests."""
    return [replica.id for replica in world.replicas.values() if replica.state == "ready"]


def kill(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A process is killed, or with `second` under a half a controller loses power; its disk goes only where
    all others run."""
    if len(up(world)) < len(world.nodes) - UNTOUCHED_PROCESSES:
        return
    name = planned_fault.pick(up(world), first)
    controller = world.nodes[name].disk is not None
    wiped = controller and second < WIPED_SHARE and len(up(world, "k")) == len(world.core) and world.calm
    world.restart(name, controller and second < POWER_SHARE, wiped, after=ms)


def freeze(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A process is frozen for a while."""
    if len(up(world)) < len(world.nodes) - UNTOUCHED_PROCESSES:
        return
    name = planned_fault.pick(up(world), first)
    world.freeze(name)
    world.later(ms, world.freeze, name, False)


def split(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """One or two processes are cut off from all others."""
    running = up(world)
    if not running:
        return
    world.split({planned_fault.pick(running, first), planned_fault.pick(running, second)}, first < HALF)
    world.later(ms, world.heal)


def one_way(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """Nothing passes from one process to another; with the second under a half it is held back."""
    world.holding = second < HALF
    if up(world):
        world.cut(planned_fault.pick(up(world), first), planned_fault.pick(up(world), second), both=False)
    world.later(ms, world.heal)


def apart(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A process and a replica can't reach each other."""
    if ready(world) and up(world):
        world.cut(planned_fault.pick(up(world), first), planned_fault.pick(ready(world), second))
        world.later(ms, world.heal)


def crash(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A replica ends without a word."""
    if len(ready(world)) > LEAST_REPLICAS:
        world.crash_replica(planned_fault.pick(ready(world), first), 1000)


def dark(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """Nobody can reach a replica for a while."""
    if len(ready(world)) > LEAST_REPLICAS:
        replica = planned_fault.pick(ready(world), first)
        world.dark(replica)
        world.later(ms, world.dark, replica, False)


def internal_errors(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A replica fails on most requests for a while."""
    if ready(world):
        replica = world.replicas[planned_fault.pick(ready(world), first)]
        replica.failing = 0.6
        world.later(ms, setattr, replica, "failing", 0.0)


def release(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A replica leaves in order, or with `second` under 0.4 at short notice."""
    if len(ready(world)) > LEAST_REPLICAS_TO_LEAVE:
        world.release(
            planned_fault.pick(ready(world), first), NOTICE_MS if second < SHORT_NOTICE_SHARE else None
        )


def reuse(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A replica's address is soon that of another service's."""
    if len(ready(world)) > LEAST_REPLICAS_TO_LEAVE:
        replica = world.replicas[planned_fault.pick(ready(world), first)]
        world.crash_replica(replica.id, None)
        world.later(
            2000,
            world.start_replica,
            "t" if replica.service == "s" else "s",
            replica.zone,
            (),
            0,
            replica.address,
        )


def evacuate(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A zone is evacuated for a while."""
    zone = planned_fault.pick(world.zones, first)
    world.evacuate(zone)
    world.later(ms + 3000, world.readmit, zone)


def configure(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A configuration is taken."""
    world.configure()


def race(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """Two operators build on the same edition."""
    world.race()


def stall(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A controller's disk stalls for a while."""
    name = planned_fault.pick(world.core, first)
    world.stall(name)
    world.later(ms, unstall, world, name)


def unstall(world: fleet_world.World, name: str) -> None:
    """It goes on, if it is still there."""
    if name in world.core:
        world.stall(name, False)


def replace(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A controller is replaced by an empty one."""
    if len(up(world, "k")) == len(world.core) and world.calm:
        world.replace(planned_fault.pick(world.core, first))


def roll(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A proxy is restarted in order."""
    if up(world, "p"):
        world.stop_proxy(planned_fault.pick(up(world, "p"), first))


def rare(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """What is rarely wanted is requested."""
    for model in list(world.mb)[-RARE_MODELS:]:
        world.start_operation("safe", model, planned_fault.pick(world.zones, second))


def lossy(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """Orders are taken and their answers lost."""
    world.lost_answers = 0.4
    world.later(ms, setattr, world, "lost_answers", 0.0)


def unlisted(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """The list of replicas can't be read for a while."""
    world.unlist()
    world.later(ms, world.unlist, False)


def blackout(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """All processes end, or with `second` under a half all machines lose power."""
    for node in list(world.nodes.values()):
        if node.member:
            world.restart(node.name, second < HALF and node.disk is not None, after=200 + int(ms * first))


def hand_over(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A controller is stopped in good order."""
    if len(up(world, "k")) == len(world.core):
        world.stop_controller(planned_fault.pick(world.core, first), ms)


def apart_from_proxies(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A proxy and a replica can't reach each other."""
    if ready(world) and up(world, "p"):
        world.cut(planned_fault.pick(up(world, "p"), first), planned_fault.pick(ready(world), second))
        world.later(ms, world.heal)


def kill_proxy(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A proxy is killed and comes back."""
    if len(up(world, "p")) > LEAST_PROXIES:
        world.restart(planned_fault.pick(up(world, "p"), first), after=ms)


def freeze_proxy(world: fleet_world.World, first: float, second: float, ms: int) -> None:
    """A proxy is frozen for a while."""
    if len(up(world, "p")) > LEAST_PROXIES:
        name = planned_fault.pick(up(world, "p"), first)
        world.freeze(name)
        world.later(ms, world.freeze, name, False)


LINKS = (split, one_way, apart)
PROCESSES = (kill, freeze, stall, replace, roll, blackout, hand_over)
REPLICAS = (crash, dark, internal_errors, release, reuse, rare, lossy, unlisted)
OPERATORS = (evacuate, configure, race)
KINDS: dict[str, Fault] = {f.__name__: f for f in LINKS + PROCESSES + REPLICAS + OPERATORS}
OUTSIDE = [f.__name__ for f in (*REPLICAS, *OPERATORS, apart_from_proxies, kill_proxy, freeze_proxy, roll)]
KINDS |= {f.__name__: f for f in (apart_from_proxies, kill_proxy, freeze_proxy)}


@scenes.scenario
def mayhem(play: plays.Play) -> None:
    """Faults at random, one on another, then peace."""
    make_faults(play)


@scenes.scenario
def mayhem_outside(play: plays.Play) -> None:
    """The same of all but controllers and what is between them, so that every bound in time is in force."""
    make_faults(play)


def make_faults(play: plays.Play) -> None:
    """The random schedule, then peace; afterwards requests are served."""
    world = play.world
    for index, (kind, first, second, ms, pause) in enumerate(schedule(play.seed, play.name)):
        if index not in play.skip:
            world.record(process_rows.Fault, kind, index)
            KINDS[kind](world, first, second, ms)
        world.run(pause)
    world.run(PEACE_MS)
    world.heal()
    for name in list(world.nodes):
        world.freeze(name, False)
    world.unlist(False)
    world.lost_answers = 0.0
    for replica in world.replicas.values():
        replica.dark, replica.failing = False, 0.0
    for zone in world.zones:
        world.must(functools.partial(world.readmit, zone))
    world.must(world.configure)
    play.back(0.9)


def shrink(name: str, seed: int, preset: str, rules: set[str]) -> list[planned_fault.PlannedFault]:
    """The fewest faults (one by one left out) with which a run still breaks one of the rules."""
    skip: set[int] = set()
    for index in range(FAULTS):
        run = scenes.Play(name, seed, preset, skip | {index}).play()
        broken = {found.rule for found in run.findings()}
        if broken & rules:
            skip.add(index)
    return [row for index, row in enumerate(schedule(seed, name)) if index not in skip]
