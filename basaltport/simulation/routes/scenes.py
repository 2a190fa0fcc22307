"""Scenarios on the routed path: a ready fleet under traffic, a fault, and what must hold all along."""

import typing

import basaltport.simulation.routes.clients as clients
import basaltport.simulation.routes.plays as plays

SCENARIOS: dict[str, plays.Scenario] = {}
scenario = plays.registrar(SCENARIOS)


class Play(plays.Play):
    """A run of one of the scenarios of the routed path."""

    SCENARIOS = SCENARIOS


@scenario
def quiet(play: Play) -> None:
    """Nothing goes wrong while configurations are taken."""
    for _ in range(3):
        play.world.must(play.world.configure)
        play.world.run(2500)
    play.calm(4000, 0.99)


@scenario
def hot_model_moves(play: Play) -> None:
    """What few asked for is asked for by most, at once."""
    world = play.world
    models = list(world.mb)
    hot = models[10:12]
    world.traffic(
        world.size.flow,
        [
            clients.Mix(70, "safe", hot, "s"),
            clients.Mix(20, "stream", hot, "s"),
            clients.Mix(10, "safe", models[:8], "s"),
        ],
    )
    world.run(6000)
    play.calm(4000)


@scenario
def rare_models_at_once(play: Play) -> None:
    """Many models that nobody holds are asked for in one breath, and again later."""
    world = play.world
    rare = list(world.mb)[-12:]
    for _ in range(5):
        for model in rare:
            for zone in world.zones:
                world.start_operation("safe" if zone == "x" else "once", model, zone)
        world.run(2500)
    world.run(2000)
    play.calm(3000, 0.9)


@scenario
def orders_late(play: Play) -> None:
    """Orders reach their replicas long after their senders gave up; models that nobody holds are wanted all
    the time, while a controller is killed, a replica crashes, and a controller stops in good order."""
    world = play.world
    rare, core = list(world.mb)[-12:], sorted(world.core)
    world.late_orders, world.lost_answers = 0.15, 0.05
    troubles: list[typing.Callable[[], object]] = [
        lambda: None,
        lambda: world.restart(core[0], after=1500),
        lambda: None,
        lambda: world.crash_replica(play.replica()),
        lambda: world.stop_controller(core[1], 1500),
        lambda: None,
    ]
    for number, trouble in enumerate(troubles):
        for model in rare[number::2]:
            for zone in world.zones:
                world.start_operation("safe", model, zone)
        trouble()
        world.run(2500)
    world.late_orders, world.lost_answers = 0.0, 0.0
    world.run(9000)
    play.calm(3000, 0.9)


@scenario
def replicas_crash(play: Play) -> None:
    """Replicas end without a word, one after another."""
    for _ in range(3):
        play.world.crash_replica(play.replica())
        play.world.run(2500)
    play.calm(3000, 0.9)


@scenario
def replicas_dark(play: Play) -> None:
    """Replicas can't be reached for a while."""
    for _ in range(2):
        replica = play.replica()
        play.world.dark(replica)
        play.world.run(3000)
        play.world.dark(replica, False)
        play.world.run(1000)
    play.calm(3000, 0.9)


@scenario
def replicas_ill(play: Play) -> None:
    """Some answer with failures or break off."""
    bad = [play.world.replicas[play.replica()] for _ in range(3)]
    for replica in bad:
        replica.failing = 0.5
    play.world.run(8000)
    for replica in bad:
        replica.failing = 0.0
    play.world.run(2000)
    play.calm()


@scenario
def replicas_refuse(play: Play) -> None:
    """They turn away half of what comes, with more traffic than usual."""
    replicas = [replica for replica in play.world.replicas.values() if replica.service == "s"]
    for replica in replicas:
        replica.refusing = 0.5
    play.world.usual(3 * play.world.size.flow)
    play.world.run(8000)
    for replica in replicas:
        replica.refusing = 0.0
    play.world.usual()
    play.world.run(2000)
    play.calm()


@scenario
def replicas_cold(play: Play) -> None:
    """Most become cold at once under traffic, then some start anew and are cold and empty."""
    world = play.world
    world.usual(4 * world.size.flow)
    world.run(2000)
    replicas = sorted(replica.id for replica in world.replicas.values() if replica.service == "s")
    for replica in replicas[:6]:
        world.chill(replica)
    world.run(6000)
    for replica in replicas[6:]:
        world.crash_replica(replica, 500)
    world.run(5000)
    world.usual()
    world.run(3000)
    play.calm(3000, 0.9)


@scenario
def spot_notice(play: Play) -> None:
    """Replicas leave at short notice."""
    for _ in range(2):
        play.world.release(play.replica(), 2500)
        play.world.run(4000)
    play.calm(3000, 0.9)


@scenario
def released_one_by_one(play: Play) -> None:
    """Every replica of the service is replaced, one after another."""
    ids = [replica.id for replica in play.world.replicas.values() if replica.service == "s"]
    for replica in ids:
        play.world.release(replica)
        play.world.run(2500)
    play.world.run(6000)
    play.calm(3000, 0.9)


@scenario
def address_reused(play: Play) -> None:
    """A replica goes, and its address is soon that of another service's."""
    for _ in range(2):
        replica = play.replica()
        place = play.world.replicas[replica].address
        play.world.crash_replica(replica, None)
        play.world.later(800, play.world.start_replica, "t", "x", (), 0, place)
        play.world.later(1500, play.world.start_replica, "s", "y", (), 3000)
        play.world.run(4000)
    play.calm(3000, 0.9)


@scenario
def leader_killed(play: Play) -> None:
    """The leader is killed and comes back."""
    play.world.restart(play.leader(), after=3000)
    play.world.run(1000)
    play.world.configure()
    play.world.run(9000)
    play.calm()


@scenario
def leader_frozen(play: Play) -> None:
    """It is frozen while it loads what is rare, and wakes when another leads."""
    world, name = play.world, play.leader()
    for model in list(world.mb)[-8:]:
        world.start_operation("safe", model, "x")
    world.run(150)
    world.freeze(name)
    world.run(500)
    world.configure()
    for _ in range(4):
        for model in list(world.mb)[-8:]:
            world.start_operation("safe", model, "y")
        world.run(1500)
    world.freeze(name, False)
    world.run(6000)
    play.calm(3000, 0.9)


@scenario
def leader_disk_stalled(play: Play) -> None:
    """The leader's disk stalls for some seconds."""
    name = play.leader()
    play.world.stall(name)
    play.world.run(300)
    play.world.configure()
    play.world.run(6000)
    play.world.stall(name, False)
    play.world.run(5000)
    play.calm()


@scenario
def core_cut(play: Play) -> None:
    """The leader is cut off from all others, with bytes held; then another controller, with bytes lost."""
    for name, hold in ((play.leader(), True), (play.controller(), False)):
        play.world.split([name], hold)
        play.world.run(500)
        play.world.configure()
        play.world.run(5000)
        play.world.heal()
        play.world.run(4000)
    play.calm()


@scenario
def proxy_cut_off(play: Play) -> None:
    """A proxy can't reach the controllers while an edition and an evacuation are taken."""
    world, proxy = play.world, play.proxy()
    for name in sorted(world.core):
        world.cut(proxy, name)
    world.run(500)
    world.must(world.configure)
    world.must(lambda: world.evacuate("z"))
    world.run(6000)
    world.heal()
    world.run(6000)
    world.must(lambda: world.readmit("z"))
    world.run(5000)
    play.calm()


@scenario
def proxies_rolled(play: Play) -> None:
    """All proxies are stopped in order and started again, one by one."""
    for name in [name.name for name in play.world.proxies()]:
        play.world.stop_proxy(name)
        play.world.run(3500)
    play.world.run(6000)
    play.calm()


@scenario
def keepers_rolled(play: Play) -> None:
    """Each controller is stopped in order, a leader hands over, and started again."""
    for name in sorted(play.world.core):
        play.world.stop_controller(name, 1000)
        play.world.run(500)
        play.world.must(play.world.configure)
        play.world.run(4000)
    play.calm()


@scenario
def proxy_killed_while_models_move(play: Play) -> None:
    """A proxy is killed and soon back, while what replicas hold changes all the time."""
    world = play.world
    rare = list(world.mb)[-12:]
    name = play.proxy()
    for turn in range(40):
        if turn in (10, 25):
            world.restart(name, after=600)
        for model in play.rng.sample(rare, 6):
            world.start_operation("safe", model, play.rng.choice(world.zones))
        world.run(200)
    world.run(5000)
    play.calm()


@scenario
def proxies_frozen(play: Play) -> None:
    """Proxies are frozen for a while, one after another."""
    for _ in range(2):
        name = play.proxy()
        play.world.freeze(name)
        play.world.run(2500)
        play.world.freeze(name, False)
        play.world.run(2500)
    play.world.run(3000)
    play.calm()


@scenario
def all_killed(play: Play) -> None:
    """All processes are killed at once and come back."""
    play.world.must(play.world.configure)
    for name in list(play.world.nodes):
        play.world.restart(name, after=play.rng.randrange(300, 1200))
    play.back()


@scenario
def power_loss(play: Play) -> None:
    """Right after an acknowledgement all lose power, and one controller its disk."""
    world = play.world
    world.must(lambda: world.evacuate("y"))
    world.must(world.configure)
    wiped = play.controller(True)
    for name in list(world.nodes):
        disk = world.nodes[name].disk is not None
        world.restart(name, disk, name == wiped, after=play.rng.randrange(300, 1200))
    play.back()


@scenario
def keeper_replaced(play: Play) -> None:
    """One after another, each controller is replaced by an empty one at another address."""
    for name in sorted(play.world.core):
        play.world.replace(name)
        play.world.run(7000)
        play.world.must(play.world.configure)
    play.world.run(3000)
    play.calm()


@scenario
def operators_race(play: Play) -> None:
    """Operators build on the same edition, once while the leader dies."""
    world = play.world
    for _ in range(3):
        world.until_answered(world.race(), 8000)
        world.run(1500)
    world.restart(play.leader(), after=1500)
    world.race()
    world.run(9000)
    play.calm()


@scenario
def evacuation_while_a_keeper_dies(play: Play) -> None:
    """The leader is killed right after an evacuation was sent."""
    world = play.world
    world.evacuate("x")
    world.run(play.rng.randrange(0, 60))
    world.restart(play.leader(), after=4000)
    world.run(9000)
    play.calm(2000, 0.9)
    world.must(lambda: world.readmit("x"))
    world.run(4000)
    play.calm()


@scenario
def zone_orders_read_late(play: Play) -> None:
    """One controller after another is frozen with an order in its socket that was acknowledged elsewhere
    meanwhile, and the opposite of it after that."""
    world = play.world
    world.must(lambda: world.evacuate("x"))
    for name in sorted(world.core):
        world.freeze(name)
        world.ask(name, "readmit", change=f"late-{name}", zone="x")
        world.run(1000)
        world.must(lambda: world.readmit("x"))
        world.must(lambda: world.evacuate("x"))
        world.freeze(name, False)
        world.run(7000)
    world.must(lambda: world.readmit("x"))
    world.run(4000)
    play.calm()
