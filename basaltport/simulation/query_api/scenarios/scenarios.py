"""Named scenarios of the members: kills, freezes, splits, disks, storms."""

import basaltport.simulation.query_api.plays as plays
import basaltport.simulation.query_api.scenarios.mayhem as mayhem
import basaltport.simulation.query_api.scenarios.notice as notice
import basaltport.simulation.query_api.scenarios.replica_scenes as replica_scenes
import basaltport.simulation.query_api.world.world_base as world_base

scenario = plays.scenario
LOG_NODE = world_base.LOG_NODE
HALF = 0.5
MODULES = (mayhem, notice, replica_scenes)
"""Those with further scenarios; all are known once this module is."""

SCENARIOS = plays.SCENARIOS


@scenario()
def calm(play: plays.Play) -> None:
    """Nothing goes wrong while the configuration is changed."""
    play.changes(10)
    play.back_after(0)


@scenario()
def leader_killed(play: plays.Play) -> None:
    """The leader loses power and comes back."""
    play.changes(3)
    leader = play.leader()
    play.world.kill(leader, power=True)
    play.changes(5, 200)
    play.back_after()
    play.world.boot(leader)
    play.world.run(3000)


@scenario()
def leader_frozen(play: plays.Play) -> None:
    """The leader is frozen for some seconds."""
    leader = play.leader()
    play.world.freeze(leader)
    play.changes(12, 300)
    play.world.wake(leader)
    play.changes(6, 200)
    play.back_after(8000)


@scenario()
def rostrum_killed(play: plays.Play) -> None:
    """A query node is killed and comes back."""
    name = play.query_node()
    play.world.kill(name)
    play.changes(4)
    play.back_after(4000)
    play.world.boot(name)
    play.changes(4)
    play.back_after(4000)


@scenario()
def rolling_restart(play: plays.Play) -> None:
    """Every process once, in good order, under load: no query is lost, doubled or broken."""
    for name in list(play.world.nodes):
        play.world.stop(name)
        play.world.boot(name)
        play.world.run(3000)
    fine = ("done", "refused", "gone", "")
    requests = play.world.requests.values()
    bad = [request for request in requests if request.outcome not in fine and request.code != "no-leader"]
    assert not bad, bad[:3]
    play.back_after(1000)


@scenario()
def rostrum_frozen(play: plays.Play) -> None:
    """Frozen longer than every lease, with changes and marks meanwhile, then woken."""
    name = play.query_node()
    play.world.freeze(name)
    play.world.run(600)
    replica = play.rng.choice(sorted(play.world.replicas))
    play.world.must("leaving", {"replica": replica})
    play.changes(8, 500)
    play.world.wake(name)
    play.changes(3)
    play.back_after(6000)


@scenario()
def core_split(play: plays.Play) -> None:
    """The leader with a minority on one side."""
    leader = play.leader()
    side = [leader, play.query_node()]
    play.world.split(side)
    play.changes(10, 400)
    play.world.heal()
    play.changes(5)
    play.back_after(8000)


@scenario()
def core_split_other(play: plays.Play) -> None:
    """The leader with the majority; a ledger and a rostrum alone."""
    leader = play.leader()
    other = [node.name for node in play.world.live(LOG_NODE) if node.name != leader]
    play.world.split([play.rng.choice(other), play.query_node()])
    play.changes(10, 400)
    play.world.heal()
    play.changes(5)
    play.back_after(8000)


@scenario()
def one_way_cuts(play: plays.Play) -> None:
    """Nothing passes from the leader to a query node, then from one to the leader."""
    leader = play.leader()
    first = play.query_node()
    play.world.cut(leader, first, both=False)
    play.changes(5, 400)
    play.world.cut(play.query_node(), leader, both=False)
    play.changes(5, 400)
    play.world.heal()
    play.back_after(8000)


@scenario()
def cuts_held(play: plays.Play) -> None:
    """Wires hold all bytes through cuts, between members and to replicas, and deliver them afterwards."""
    world = play.world
    world.hold = 60_000
    for ms in (300, 900, 1600, 2500, 4000, 8000):
        leader = world.leader()
        first = leader.name if leader and play.rng.random() < HALF else play.query_node()
        second = play.rng.choice([node for node in world.nodes if node != first])
        world.cut(first, second, both=play.rng.random() < HALF)
        for replica in play.rng.sample(sorted(world.replicas), 2):
            world.cut(play.query_node(), replica)
        play.changes(max(1, ms // 400), 400)
        world.heal()
        play.changes(2, 300)
    play.back_after(6000)


@scenario()
def splits_held(play: plays.Play) -> None:
    """The core is split for long, and all that was said meanwhile is delivered at its end."""
    world = play.world
    world.hold = 60_000
    for ms in (2000, 6000, 12_000):
        world.split(
            [play.leader(), play.query_node()] if world.leader() else play.rng.sample(sorted(world.nodes), 2)
        )
        play.changes(ms // 400, 400)
        world.heal()
        play.changes(5, 400)
    play.back_after(8000)


@scenario()
def ledgers_replaced(play: plays.Play) -> None:
    """All ledgers are lost with their disks; empty ones come up at new addresses."""
    play.changes(3)
    for node in list(play.world.live(LOG_NODE)):
        play.world.kill(node.name, disk=True)
    for number in range(3):
        play.world.add_node(f"ledger-{number + 4}", LOG_NODE, f"z{number + 1}")
        play.world.boot(f"ledger-{number + 4}")
    play.back_after()
    play.changes(4)


@scenario()
def ledgers_dying(play: plays.Play) -> None:
    """All ledgers are replaced, and one of the new ones is lost while it is being taken in."""
    for node in list(play.world.live(LOG_NODE)):
        play.world.kill(node.name, disk=True)
    for number in range(3):
        play.world.add_node(f"ledger-{number + 4}", LOG_NODE, f"z{number + 1}")
        play.world.boot(f"ledger-{number + 4}")
    play.world.run_until(lambda: play.world.leader(), 6000)
    play.world.run(play.rng.randrange(0, 120))
    play.world.kill(
        play.rng.choice([node.name for node in play.world.live(LOG_NODE) if not node.member.leading]),
        disk=True,
    )
    play.back_after()
    play.changes(4)


@scenario()
def ledgers_swapped(play: plays.Play) -> None:
    """The same, one by one, with changes throughout."""
    for number, node in enumerate(list(play.world.live(LOG_NODE))):
        play.world.kill(node.name, disk=True)
        play.world.add_node(f"ledger-{number + 4}", LOG_NODE, f"z{number + 1}")
        play.world.boot(f"ledger-{number + 4}")
        play.changes(12, 400)
    play.back_after(4000)


@scenario()
def power_cut(play: plays.Play) -> None:
    """Everything loses power at once right after an acknowledgement; disks keep what was synced."""
    play.blank = True
    play.changes(3)
    play.world.asked(play.query_node(), "patch", play.bound(77, "last-word"))
    names = list(play.world.nodes)
    slow = play.rng.choice((1, 80))
    for node in names:
        play.world.kill(node, power=True)
        if play.world.nodes[node].disk:
            play.world.nodes[node].disk.slow = slow
    play.world.run(500)
    for node in names:
        play.world.later(play.rng.randrange(0, 1500), play.world.boot, node)
    play.back_after()
    play.changes(3)


@scenario()
def house_moved(play: plays.Play) -> None:
    """Everything stops and starts again at new addresses; only the ledgers' disks are the same."""
    play.blank = True
    names = list(play.world.nodes)
    for node in names:
        play.world.kill(node, power=True)
    for node in names:
        play.world.move(node)
        play.world.later(play.rng.randrange(0, 1500), play.world.boot, node)
    play.back_after()
    play.changes(3)


@scenario()
def ledger_disk_lost(play: plays.Play) -> None:
    """A ledger loses its disk right after saying yes and comes back empty under its name."""
    for node in [node.name for node in play.world.live(LOG_NODE)][:2]:
        play.world.asked(play.query_node(), "patch", play.bound(55, f"x-{node}"))
        play.world.kill(node, disk=True)
        play.world.boot(node)
        play.world.run(4000)
    play.changes(3)
    play.back_after(6000)


@scenario()
def disk_stalled(play: plays.Play) -> None:
    """The leader's disk stalls for some seconds."""
    leader = play.leader()
    play.world.stall(leader, True)
    play.changes(10, 400)
    play.world.stall(leader, False)
    play.changes(3)
    play.back_after(6000)


@scenario()
def disk_full(play: plays.Play) -> None:
    """The leader's disk takes nothing any more, and later does again."""
    leader = play.leader()
    play.world.fill(leader, True)
    play.changes(10, 400)
    play.world.fill(leader, False)
    play.changes(5, 400)
    play.back_after(6000)
    node = play.world.nodes[leader]
    play.world.kill(leader, power=True)
    play.world.boot(leader)
    play.world.run(3000)
    assert node.member is not None, node.reason


@scenario()
def disks_slow(play: plays.Play) -> None:
    """All disks are slow."""
    for node in play.world.live(LOG_NODE):
        node.disk.slow = 60
    play.changes(10, 400)
    play.back_after(2000)


@scenario()
def storm(play: plays.Play) -> None:
    """Two operators at once, in quick storms, one of them with compare-and-set."""
    world = play.world
    for number in range(40):
        first, second = play.query_node(), play.query_node()
        version = world.nodes[play.leader()].member.cluster_state.configuration_version
        world.ask(first, "patch", play.bound(100 + number, f"a{number}", if_serial=version))
        world.ask(second, "patch", play.bound(200 + number, f"b{number}", if_serial=version))
        world.ask(play.query_node(), "show", {})
        world.run(40)
    play.back_after(1000)


@scenario()
def lossy(play: plays.Play) -> None:
    """Messages are lost, doubled and late."""
    play.world.bad_links(0.1, 0.05, 8)
    play.changes(12, 500)
    play.world.bad_links(0, 0, 1)
    play.back_after(6000)
