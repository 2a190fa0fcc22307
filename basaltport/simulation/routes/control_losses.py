"""Scenarios of a further loss at every moment of a replacement, and of hundreds of changes missed."""

import typing

import basaltport.simulation.routes.control_play as control_play
import basaltport.simulation.routes.operator as operator

SCENARIOS: dict[str, control_play.Scenario] = {}
scenario = control_play.registrar(SCENARIOS)
BEFORE_STOP_MS = 500
BACK_AFTER_MS = 3000
GONE_MS = 1000
VICTIMS = ("leader", "follower", "new")
CHANGES = 500
PADDING = 1000
SLOW_MBPS = 5.0
TRANSFER_MS = 3600
STEPS_A_MS = 80
LEADERS_KILLED = 12
WAYS_BACK, WIPED, REPLACED = 3, 1, 2


def victims(play: control_play.ControlPlay, first: str, new: str, gone: str) -> list[str]:
    """One of three or two of five that are lost: `first` says which one must be among them."""
    world, leader = play.world, play.leader()
    others = [name for name in sorted(world.core) if name not in (leader, new, gone)]
    chosen = {"leader": leader, "follower": others[0], "new": new}[first]
    if chosen == gone:
        chosen = others[0]
    rest = [name for name in (*others, leader, new) if name not in (chosen, gone)]
    return [chosen, *play.rng.sample(rest, world.size.controllers // 2 - 1)]


def lose(play: control_play.ControlPlay, first: str, new: str, gone: str) -> list[str]:
    """They lose power and stay away; gives who it is."""
    lost = victims(play, first, new, gone)
    for name in lost:
        play.world.lose_controller(name)
    return lost


@scenario
def loss_in_planned_replacement(play: control_play.ControlPlay) -> None:
    """A new one starts; `catch_up_ms` later the old one gets SIGTERM. From 0.5 s before that on, all that may
    be lost are lost at once and stay away. Variants: the leader or a follower leaves, and who is lost."""
    world = play.world
    world.traffic(control_play.LOW_FLOW, world.mix)
    moment, variant = play.sweep()
    old = play.leader() if variant % 2 else play.follower()
    new = world.new_name()
    world.add_controller(new)
    world.run(world.catch_up_ms - (BEFORE_STOP_MS if moment < BEFORE_STOP_MS else 0))
    since = world.now
    if moment >= BEFORE_STOP_MS:
        world.retire_controller(old)
    world.run(max(0, moment - BEFORE_STOP_MS) if moment >= BEFORE_STOP_MS else moment)
    lose(play, VICTIMS[variant // 2 % len(VICTIMS)], new, old)
    if moment < BEFORE_STOP_MS:
        world.later(since + BEFORE_STOP_MS - world.now, world.retire_controller, old)
    play.majority()
    world.run(BEFORE_STOP_MS)
    play.majority("majority-after-stop")
    play.back(0.8)


def replace_unplanned(play: control_play.ControlPlay, old: str, own_name: bool) -> str:
    """The old one is gone; a second later another starts, under its own name or the former one."""
    world = play.world
    name = world.new_name() if own_name else old
    world.remove_controller(old)
    world.run(GONE_MS)
    world.add_controller(name)
    return name


@scenario
def loss_in_unplanned_replacement(play: control_play.ControlPlay) -> None:
    """From `catch_up_ms` after the new one's start on, all that may be lost are lost at once and stay away.
    Variants: the leader or a follower was replaced, under which name, and who is lost."""
    world = play.world
    world.traffic(control_play.LOW_FLOW, world.mix)
    moment, variant = play.sweep()
    old = play.leader() if variant % 2 else play.follower()
    new = replace_unplanned(play, old, own_name=variant // 2 % 2 == 0)
    world.run(world.catch_up_ms + moment)
    lose(play, VICTIMS[variant // 4 % len(VICTIMS)], new, "")
    play.majority()
    play.back(0.8)


@scenario
def loss_before_catch_up(play: control_play.ControlPlay) -> None:
    """At any moment from the start of an unplanned replacement on, before the new one has caught up, more is
    lost than is borne, and comes back 3 s later: then there is a majority with all that was acknowledged."""
    world = play.world
    world.traffic(control_play.LOW_FLOW, world.mix)
    moment, variant = play.sweep()
    old = play.leader() if variant % 2 else play.follower()
    new = world.new_name() if variant // 2 % 2 == 0 else old
    world.remove_controller(old)
    world.later(GONE_MS, world.add_controller, new)
    world.run(moment)
    first = VICTIMS[variant // 4 % len(VICTIMS)]
    lost = lose(play, first, new if new in world.nodes else play.leader(), old)
    change = world.configure()
    world.run(BACK_AFTER_MS)
    for name in lost:
        world.back(name)
    play.majority("majority-when-back", change=change)
    play.back(0.8)


@scenario
def leaver_with_newest_entry(play: control_play.ControlPlay) -> None:
    """A leader whose successor runs already gets SIGTERM 0 to 60 ms after a change was sent to it, while the
    disks of others are slow. What it confirmed is there without it."""
    world = play.world
    world.traffic(control_play.LOW_FLOW, world.mix)
    moment, variant = play.sweep()
    new = world.new_name()
    world.add_controller(new)
    world.run(world.catch_up_ms)
    old = play.leader()
    for name in sorted(world.core - {old})[: 1 + variant % 2]:
        world.nodes[name].disk.slow = 40
    change = world.configure()
    for name in world.up_members():
        world.repeat(change, name)
    world.run(moment // STEPS_A_MS)
    world.retire_controller(old)
    world.run(1000)
    for node in world.core_nodes():
        node.disk.slow = 1
    play.within("confirmed", lambda: change.status == operator.ACKNOWLEDGED, control_play.ACK_MS)
    world.repeat_everywhere(change)
    play.under_operators(3000)
    play.calm()


# hundreds of changes that one missed


def miss_changes(play: control_play.ControlPlay, come_back: typing.Callable[[str], str]) -> None:
    """One is away during 500 changes and comes back; the leader is killed at once and is back 3 s later. The
    one that came back has caught up in time, and leads with all that is acknowledged."""
    world = play.world
    world.traffic(control_play.LOW_FLOW, world.mix)
    name = play.follower()
    world.kill(name, power=True)
    for _ in range(CHANGES):
        world.must(world.configure)
    name = come_back(name)
    world.run(1)
    killed = play.leader()
    world.restart(killed, after=BACK_AFTER_MS)
    world.until(lambda: world.nodes[killed].member is not None, 2 * BACK_AFTER_MS)
    play.within("caught-up", lambda: world.caught_up(name), world.catch_up_ms)
    play.majority()
    let_lead(play, name)
    play.under_operators(3000)
    play.calm()


def let_lead(play: control_play.ControlPlay, name: str) -> None:
    """Whoever leads is killed, and back a second later, with the others frozen for as long, until this one
    leads and is read from."""
    world = play.world
    for _ in range(LEADERS_KILLED):
        leader = play.leader()
        if leader == name:
            break
        world.restart(leader, after=1000)
        for other in sorted(world.core - {leader, name}):
            world.freeze(other)
            world.later(1000, world.freeze, other, False)
        world.run(1000)
        world.until(lambda: world.leader() is not None, control_play.ACK_MS)
        world.run(world.catch_up_ms)
    play.within("leads", lambda: world.leader() == name, 0, 0)
    world.read_at(name)
    world.run(1000)


@scenario
def back_after_500_changes(play: control_play.ControlPlay) -> None:
    """It is restarted."""

    def restart(name: str) -> str:
        """With all that it had."""
        play.world.boot(name)
        return name

    miss_changes(play, restart)


@scenario
def wiped_after_500_changes(play: control_play.ControlPlay) -> None:
    """It is restarted with an empty disk."""

    def wipe(name: str) -> str:
        """With an empty disk."""
        play.world.kill(name, disk=True)
        play.world.boot(name)
        return name

    miss_changes(play, wipe)


@scenario
def replaced_after_500_changes(play: control_play.ControlPlay) -> None:
    """With odd seeds under the former name."""

    def replace(name: str) -> str:
        """By another machine."""
        new = name if play.seed % 2 else play.world.new_name()
        play.world.remove_controller(name)
        play.world.add_controller(new)
        play.world.run(1)
        return new

    miss_changes(play, replace)


@scenario
def two_megabytes_over_a_slow_link(play: control_play.ControlPlay) -> None:
    """One is away while a configuration of 2 MB is taken, and comes back restarted, wiped or replaced, by
    seed, over a link of 5 Mbit/s; it has caught up in time, and then the leader is killed."""
    world = play.world
    world.traffic(control_play.LOW_FLOW, world.mix)
    name = play.follower()
    world.kill(name, power=True, disk=play.seed % WAYS_BACK == WIPED)
    world.padding = PADDING
    for _ in range(3):
        world.must(world.configure)
    if play.seed % WAYS_BACK == REPLACED:
        world.remove_controller(name)
        name = world.new_name()
        world.add_controller(name)
    world.link_mbps[name] = SLOW_MBPS
    if world.nodes[name].member is None:
        world.back(name)
    play.within("caught-up", lambda: world.caught_up(name), TRANSFER_MS + world.catch_up_ms, 60_000)
    world.restart(play.leader(), after=1000)
    play.majority(most=control_play.ACK_MS + TRANSFER_MS)
    world.run(world.catch_up_ms)
    play.calm()
