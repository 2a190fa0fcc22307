"""Scenarios of a further loss at every moment of a replacement, and of hundreds of changes missed."""

import typing

import basaltport.simulation.routes.control_play as control_play

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


def victims(p: control_play.ControlPlay, first: str, new: str, gone: str) -> list[str]:
    """One of three or two of five that are lost: `first` says which one must be among them."""
    w, leader = p.w, p.leader()
    others = [k for k in sorted(w.core) if k not in (leader, new, gone)]
    chosen = {"leader": leader, "follower": others[0], "new": new}[first]
    if chosen == gone:
        chosen = others[0]
    rest = [k for k in (*others, leader, new) if k not in (chosen, gone)]
    return [chosen, *p.rng.sample(rest, w.preset["keepers"] // 2 - 1)]


def lose(p: control_play.ControlPlay, first: str, new: str, gone: str) -> list[str]:
    lost = victims(p, first, new, gone)
    for name in lost:
        p.w.lose_controller(name)
    return lost


@scenario
def loss_in_planned_replacement(p):
    """A new one starts; `catch_up_ms` later the old one gets SIGTERM. From 0.5 s before that on, all that may
    be lost are lost at once and stay away. Variants: the leader or a follower leaves, and who is lost."""
    w = p.w
    w.traffic(control_play.LOW_FLOW, w.mix)
    moment, variant = p.sweep()
    old = p.leader() if variant % 2 else p.follower()
    new = w.new_name()
    w.add_controller(new)
    w.run(w.catch_up_ms - (BEFORE_STOP_MS if moment < BEFORE_STOP_MS else 0))
    since = w.now
    if moment >= BEFORE_STOP_MS:
        w.retire_controller(old)
    w.run(max(0, moment - BEFORE_STOP_MS) if moment >= BEFORE_STOP_MS else moment)
    lose(p, VICTIMS[variant // 2 % len(VICTIMS)], new, old)
    if moment < BEFORE_STOP_MS:
        w.later(since + BEFORE_STOP_MS - w.now, w.retire_controller, old)
    p.majority()
    w.run(BEFORE_STOP_MS)
    p.majority("majority-after-stop")
    p.back(0.8)


def replace_unplanned(p: control_play.ControlPlay, old: str, own_name: bool) -> str:
    """The old one is gone; a second later another starts, under its own name or the former one."""
    w = p.w
    name = w.new_name() if own_name else old
    w.remove_controller(old)
    w.run(GONE_MS)
    w.add_controller(name)
    return name


@scenario
def loss_in_unplanned_replacement(p):
    """From `catch_up_ms` after the new one's start on, all that may be lost are lost at once and stay away.
    Variants: the leader or a follower was replaced, under which name, and who is lost."""
    w = p.w
    w.traffic(control_play.LOW_FLOW, w.mix)
    moment, variant = p.sweep()
    old = p.leader() if variant % 2 else p.follower()
    new = replace_unplanned(p, old, own_name=variant // 2 % 2 == 0)
    w.run(w.catch_up_ms + moment)
    lose(p, VICTIMS[variant // 4 % len(VICTIMS)], new, "")
    p.majority()
    p.back(0.8)


@scenario
def loss_before_catch_up(p):
    """At any moment from the start of an unplanned replacement on, before the new one has caught up, more is
    lost than is borne, and comes back 3 s later: then there is a majority with all that was acknowledged."""
    w = p.w
    w.traffic(control_play.LOW_FLOW, w.mix)
    moment, variant = p.sweep()
    old = p.leader() if variant % 2 else p.follower()
    new = w.new_name() if variant // 2 % 2 == 0 else old
    w.remove_controller(old)
    w.later(GONE_MS, w.add_controller, new)
    w.run(moment)
    first = VICTIMS[variant // 4 % len(VICTIMS)]
    lost = lose(p, first, new if new in w.nodes else p.leader(), old)
    change = w.configure()
    w.run(BACK_AFTER_MS)
    for name in lost:
        w.back(name)
    p.majority("majority-when-back", change=change)
    p.back(0.8)


@scenario
def leaver_with_newest_entry(p):
    """A leader whose successor runs already gets SIGTERM 0 to 60 ms after a change was sent to it, while the
    disks of others are slow. What it confirmed is there without it."""
    w = p.w
    w.traffic(control_play.LOW_FLOW, w.mix)
    moment, variant = p.sweep()
    new = w.new_name()
    w.add_controller(new)
    w.run(w.catch_up_ms)
    old = p.leader()
    for name in sorted(w.core - {old})[: 1 + variant % 2]:
        w.nodes[name].disk.slow = 40
    change = w.configure()
    for name in w.up_members():
        w.repeat(change, name)
    w.run(moment // STEPS_A_MS)
    w.retire_controller(old)
    w.run(1000)
    for node in w.core_nodes():
        node.disk.slow = 1
    p.within("confirmed", lambda: change.status == 200, control_play.ACK_MS)
    w.repeat_everywhere(change)
    p.under_operators(3000)
    p.calm()


# hundreds of changes that one missed


def miss_changes(p: control_play.ControlPlay, come_back: typing.Callable[[str], str]) -> None:
    """One is away during 500 changes and comes back; the leader is killed at once and is back 3 s later. The
    one that came back has caught up in time, and leads with all that is acknowledged."""
    w = p.w
    w.traffic(control_play.LOW_FLOW, w.mix)
    name = p.follower()
    w.kill(name, power=True)
    for _ in range(CHANGES):
        w.must(w.configure)
    name = come_back(name)
    w.run(1)
    killed = p.leader()
    w.restart(killed, after=BACK_AFTER_MS)
    w.until(lambda: w.nodes[killed].member is not None, 2 * BACK_AFTER_MS)
    p.within("caught-up", lambda: w.caught_up(name), w.catch_up_ms)
    p.majority()
    let_lead(p, name)
    p.under_operators(3000)
    p.calm()


def let_lead(p: control_play.ControlPlay, name: str) -> None:
    """Whoever leads is killed, and back a second later, with the others frozen for as long, until this one
    leads and is read from."""
    w = p.w
    for _ in range(LEADERS_KILLED):
        leader = p.leader()
        if leader == name:
            break
        w.restart(leader, after=1000)
        for other in sorted(w.core - {leader, name}):
            w.freeze(other)
            w.later(1000, w.freeze, other, False)
        w.run(1000)
        w.until(lambda: w.leader() is not None, control_play.ACK_MS)
        w.run(w.catch_up_ms)
    p.within("leads", lambda: w.leader() == name, 0, 0)
    w.read_at(name)
    w.run(1000)


@scenario
def back_after_500_changes(p):
    def restart(name: str) -> str:
        p.w.boot(name)
        return name

    miss_changes(p, restart)


@scenario
def wiped_after_500_changes(p):
    def wipe(name: str) -> str:
        p.w.kill(name, disk=True)
        p.w.boot(name)
        return name

    miss_changes(p, wipe)


@scenario
def replaced_after_500_changes(p):
    """With odd seeds under the former name."""

    def replace(name: str) -> str:
        new = name if p.seed % 2 else p.w.new_name()
        p.w.remove_controller(name)
        p.w.add_controller(new)
        p.w.run(1)
        return new

    miss_changes(p, replace)


@scenario
def two_megabytes_over_a_slow_link(p):
    """One is away while a configuration of 2 MB is taken, and comes back restarted, wiped or replaced, by
    seed, over a link of 5 Mbit/s; it has caught up in time, and then the leader is killed."""
    w = p.w
    w.traffic(control_play.LOW_FLOW, w.mix)
    name = p.follower()
    w.kill(name, power=True, disk=p.seed % 3 == 1)
    w.padding = PADDING
    for _ in range(3):
        w.must(w.configure)
    if p.seed % 3 == 2:
        w.remove_controller(name)
        name = w.new_name()
        w.add_controller(name)
    w.link_mbps[name] = SLOW_MBPS
    if w.nodes[name].member is None:
        w.back(name)
    p.within("caught-up", lambda: w.caught_up(name), TRANSFER_MS + w.catch_up_ms, 60_000)
    w.restart(p.leader(), after=1000)
    p.majority(most=control_play.ACK_MS + TRANSFER_MS)
    w.run(w.catch_up_ms)
    p.calm()
