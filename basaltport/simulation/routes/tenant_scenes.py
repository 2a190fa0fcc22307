"""Scenarios of tenants: a hot tenant, keys that change in series, limits that change, each under each fault
and together."""

import functools

import basaltport.simulation.routes.plays as plays
import basaltport.simulation.routes.tenant_faults as tenant_faults
import basaltport.simulation.routes.tenant_play as tenant_play

SCENARIOS: dict[str, plays.Scenario] = {}
scenario = plays.registrar(SCENARIOS)

Play = tenant_play.TenantPlay
SHARE = 0.9
LARGE_PER_S, LARGE_BURST = 80.0, 40.0
LARGE_FACTOR = 3


@scenario
def keys_and_strangers(play: Play) -> None:
    """Clients with keys that were never given, and without one; keys are taken, passed on and given anew, one
    change at a time."""
    world = play.world
    for _ in range(3):
        world.take_key(world.large_tenant())
        world.pass_key_on(world.large_tenant(), world.coldest())
        world.must(world.configure)
        world.run(2600)
    added = world.add_tenant()
    world.must(world.configure)
    world.run(tenant_play.APPLIED_MS)
    world.drop_tenant(added)
    world.must(world.configure)
    world.run(tenant_play.APPLIED_MS)
    play.calm(3000, SHARE)


@scenario
def limits_change_under_a_hot_tenant(play: Play) -> None:
    """A hot tenant's limit is lowered and raised, also while a proxy reaches no controller."""
    world = play.world
    play.limit_all()
    play.heat()
    hot = world.hottest()
    for factor, cut_off in ((0.3, False), (3.0, False), (0.3, True), (2.0, True)):
        name = play.proxy()
        if cut_off:
            world.isolate_proxy(name)
        world.scale_limit(hot, factor)
        world.must(world.configure)
        world.run(4000)
        world.heal()
        world.run(6500)
    play.heat(False)
    play.calm(3000, SHARE)


def hot_tenant(play: Play, fault: tenant_faults.Fault) -> None:
    """Two tenants send far beyond their limits under a fault."""
    play.limit_all()
    play.world.run(tenant_play.SHARED_MS)
    play.heat()
    play.world.run(3000)
    fault(play)
    play.heat(False)
    play.world.run(2000)
    play.calm(3000, SHARE)


def large_limit(play: Play, fault: tenant_faults.Fault) -> None:
    """A tenant with a limit that is large enough for shares sends three times as much under a fault."""
    world = play.world
    world.limit_all()
    large = world.hottest()
    world.put(world.book[large]._replace(rate_per_s=LARGE_PER_S, burst=LARGE_BURST))
    world.must(world.configure)
    world.run(tenant_play.APPLIED_MS)
    world.heat(large, LARGE_FACTOR * LARGE_PER_S)
    world.run(3000)
    fault(play)
    world.heat(large, 0)
    world.run(2000)
    play.calm(3000, SHARE)


def keys_taken(play: Play, fault: tenant_faults.Fault) -> None:
    """Keys are given, taken and passed on in series under a fault."""
    play.change_keys()
    play.world.run(2000)
    fault(play)
    play.change_keys(False)
    play.calm(3000, SHARE)


def all_together(play: Play, first: tenant_faults.Fault, second: tenant_faults.Fault) -> None:
    """A hot tenant, and keys and limits that change, under one fault, then another, then the first again."""
    world = play.world
    play.limit_all()
    play.world.run(tenant_play.SHARED_MS)
    play.heat()
    play.change_keys()
    for fault in (first, second, first):
        world.scale_limit(world.hottest(), play.rng.choice((0.5, 1.5)))
        fault(play)
    play.heat(False)
    play.change_keys(False)
    play.calm(3000, SHARE)


def register_all() -> None:
    """Every load under every fault, and pairs of faults under all of it."""
    faults = tenant_faults.FAULTS
    for name, fault in faults.items():
        under = name.replace("_", "-")
        SCENARIOS[f"hot-tenant-{under}"] = functools.partial(hot_tenant, fault=fault)
        SCENARIOS[f"large-limit-{under}"] = functools.partial(large_limit, fault=fault)
        SCENARIOS[f"keys-taken-{under}"] = functools.partial(keys_taken, fault=fault)
    pairs = (
        ("leader_cut", "proxies_frozen"),
        ("bridge_cut", "proxies_killed"),
        ("controllers_killed", "proxies_added"),
    )
    for first, second in pairs:
        name = f"tenants-{first}-and-{second}".replace("_", "-")
        SCENARIOS[name] = functools.partial(all_together, first=faults[first], second=faults[second])


register_all()
