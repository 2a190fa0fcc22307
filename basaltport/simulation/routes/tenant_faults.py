"""Faults that scenarios of tenants are played under; each ends by itself."""

import typing

import basaltport.simulation.routes.tenant_play as tenant_play

Play = tenant_play.TenantPlay
Fault = typing.Callable[[Play], None]

AFTER_MS = 2500
LONG_MS = 12_000
"""Longer than a share of a limit holds."""


def nothing(play: Play) -> None:
    """Nothing goes wrong."""
    play.world.run(8000)


def leader_cut(play: Play) -> None:
    """The leader is cut off from all others, then another controller, with what was on its way lost."""
    for name, hold in ((play.leader(), True), (play.controller(), False)):
        play.world.split([name], hold)
        play.world.run(4500)
        play.world.heal()
        play.world.run(AFTER_MS)


def bridge_cut(play: Play) -> None:
    """Two zones can't reach each other while the third reaches both, and then another two."""
    world = play.world
    for zone, other in (("x", "y"), ("z", "x")):
        world.holding = play.rng.choice((True, False))
        world.cut_bridge(zone, other)
        world.run(4500)
        world.heal()
        world.run(AFTER_MS)


def proxies_cut_off(play: Play) -> None:
    """Two proxies reach no controller and are reached by clients for a while."""
    for name in play.proxies(2):
        play.world.isolate_proxy(name)
    play.world.run(LONG_MS)
    play.world.heal()
    play.world.run(AFTER_MS)


def proxies_frozen(play: Play) -> None:
    """Proxies are frozen for a while, some at once."""
    world = play.world
    for lasts_ms in (600, 2500, LONG_MS):
        for name in play.proxies(2):
            world.freeze(name)
            world.later(lasts_ms, world.freeze, name, False)
        world.run(lasts_ms + 1500)


def proxies_killed(play: Play) -> None:
    """Proxies are killed in series, and come back at once or later."""
    world = play.world
    for after_ms in (50, 300, 50, 1500, 300, 50):
        for name in play.proxies(2):
            world.restart(name, after=after_ms)
        world.run(1300)
    world.run(AFTER_MS)


def controllers_killed(play: Play) -> None:
    """The leader is killed and comes back; then the next one."""
    world = play.world
    for after_ms in (300, 2500):
        world.restart(play.leader(), after=after_ms)
        world.run(5000)
    world.run(AFTER_MS)


def proxies_added(play: Play) -> None:
    """Half as many proxies more, one after another."""
    for _ in range(play.world.size.proxies // 2):
        play.world.add_proxy()
        play.world.run(1500)
    play.world.run(AFTER_MS)


def proxies_cut_off_and_added(play: Play) -> None:
    """All proxies reach no controller for long; as many others are added, which reach them."""
    world = play.world
    cut_off = play.proxies(world.size.proxies)
    for name in cut_off:
        world.isolate_proxy(name)
    for _ in cut_off:
        world.add_proxy()
    world.run(LONG_MS + LONG_MS // 2)
    world.heal()
    world.run(AFTER_MS)


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        nothing,
        leader_cut,
        bridge_cut,
        proxies_cut_off,
        proxies_frozen,
        proxies_killed,
        controllers_killed,
        proxies_added,
        proxies_cut_off_and_added,
    )
}
