"""Named scenarios of machines taken one by one, zones lost whole, and one last fault on top."""

import typing

import basaltport.simulation.query_api.plays as plays
import basaltport.simulation.query_api.world.world as worlds
import basaltport.simulation.query_api.world.world_base as world_base

scenario = plays.scenario
LOG_NODE = world_base.LOG_NODE
NOTICE_MS = 3000
LEADER_MS = 6000
OWNERS_FROZEN = 4


def last_fault(play: plays.Play) -> None:
    """The leader dies in the same moment as the rest."""
    leader = play.world.leader()
    if leader:
        play.world.kill(leader.name, power=True)


@scenario()
def each_replica_leaves(play: plays.Play) -> None:
    """Each replica is told to leave and is gone 0 to 3 s later; the platform replaces it, under a new name or
    the same."""
    world = play.world
    for number, replica_id in enumerate(sorted(world.replicas)):
        row = world.replicas[replica_id].row
        body = {"replica": replica_id, "change": f"leave-{number}"}
        world.ask(play.query_node(), "leaving", body)
        world.run(play.rng.randrange(0, NOTICE_MS))
        world.crash_replica(replica_id)
        world.run(500)
        if number % 2:
            del world.replicas[replica_id]
            world.must("platform", {"replicas": world.platform_list()})
            world.add_replica(f"{row['group']}-new-{number}", row["zone"], row["group"])
        else:
            world.must("platform", {"replicas": listed_without(world, replica_id)})
            world.start_replica(replica_id)
        world.must("platform", {"replicas": world.platform_list()})
        world.run(4000)
    last_fault(play)
    play.back_after()


def listed_without(world: worlds.World, gone: str) -> dict[str, dict[str, str]]:
    """The platform's list without this replica."""
    return {name: row for name, row in world.platform_list().items() if name != gone}


@scenario()
def each_rostrum_killed(play: plays.Play) -> None:
    """Each query node loses power and comes back, one by one."""
    for name in [node.name for node in play.world.live()]:
        play.world.kill(name, power=True)
        play.changes(2, 400)
        play.world.boot(name)
        play.changes(4, 500)
    last_fault(play)
    play.back_after()


@scenario("furrow")
def zone_lost(play: plays.Play) -> None:
    """All machines of a zone are lost at once and come back empty; what was kept there lives elsewhere."""
    world = play.world
    zone = play.rng.choice(["z1", "z2", "z3"])
    names = [node.name for node in world.nodes.values() if node.zone == zone]
    replicas = [name for name, replica in world.replicas.items() if replica.row["zone"] == zone]
    for name in names:
        world.kill(name, power=True)
    for name in replicas:
        world.crash_replica(name)
    play.back_after()
    world.run(8000)
    play.kept_held()
    for name in names:
        world.boot(name)
    for name in replicas:
        world.start_replica(name)
    play.back_after()


@scenario()
def replicas_sick_restarts(play: plays.Play) -> None:
    """Sick replicas while query nodes restart and the pools' figures change: resends stay bounded
    fleet-wide."""
    world = play.world
    play.crowd.factor = {play.chief: 2}
    play.all_replicas("sick")
    pools = sorted(world.configuration["pools"])
    for number in range(4):
        name = play.query_node()
        world.kill(name)
        world.run(700)
        world.boot(name)
        figures = {"resend_allowance": number % 3, "resend_percent": 20 - 5 * (number % 2)}
        patch = {"pools": {pool: dict(figures) for pool in pools}}
        world.ask(play.query_node(), "patch", {"patch": patch, "change": f"pool-{number}"})
        world.run(2500)
    play.all_replicas("up")
    play.crowd.factor = {}
    play.back_after(8000)


def zone_owners(leader: world_base.Node) -> list[str]:
    """The members that own a zone, in the order of the zones."""
    state = leader.member.cluster_state
    return [role.owner for _, role in sorted(state.role_owners.items())]


@scenario()
def slots_handed_over(play: plays.Play) -> None:
    """Long runs go on at the replicas while their query nodes and zone controllers die and timeouts are
    shortened."""
    world = play.world
    play.crowd.factor = {play.chief: 2}
    for replica in world.replicas.values():
        replica.slow = 40
    world.run(1500)
    for _ in range(3):
        leader = world.leader()
        owners = set(zone_owners(leader)) if leader else set()
        owning = [node.name for node in world.live() if node.member.me.seat in owners]
        name = play.rng.choice(owning or [play.query_node()])
        world.kill(name)
        short = {queue: {"timeout_ms": 300} for queue in world.configuration["lines"]}
        change = f"short-{play.elapsed()}"
        world.ask(play.query_node(), "patch", {"patch": {"lines": short}, "change": change})
        world.run(4000)
        world.boot(name)
        world.run(2500)
    for replica in world.replicas.values():
        replica.slow = 1
    play.crowd.factor = {}
    play.back_after(8000)


def owner_names(leader: world_base.Node) -> list[str]:
    """The names of the members that own a zone."""
    members = leader.member.cluster_state.members
    return [members[owner].name for owner in zone_owners(leader) if owner in members]


class RoleChoice(typing.NamedTuple):
    """Which node is frozen next: the leader, another log node, the owner of a zone, or a plain query node."""

    kind: str
    number: int = 0

    def name(self, play: plays.Play, leader: world_base.Node) -> str:
        """The node's name, as things are now."""
        world = play.world
        if self.kind == "leader":
            return leader.name
        if self.kind == "follower":
            return next(node.name for node in world.live(LOG_NODE) if node is not leader)
        if self.kind == "owner":
            spare = play.query_node()
            return [*owner_names(leader), *[spare] * OWNERS_FROZEN][self.number]
        plain = [node.name for node in world.live() if node.name not in owner_names(leader)]
        return next(iter(plain), play.query_node())


ROLES = (
    RoleChoice("leader"),
    RoleChoice("follower"),
    *(RoleChoice("owner", number) for number in range(OWNERS_FROZEN)),
    RoleChoice("plain"),
)


@scenario()
def each_role_frozen(play: plays.Play) -> None:
    """Leader, other log node, each zone's owner and a plain query node: frozen longer than every lease,
    woken."""
    world = play.world
    for role in ROLES:
        world.run_until(lambda: world.leader() is not None, LEADER_MS)
        leader = world.leader()
        assert leader is not None
        name = role.name(play, leader)
        world.freeze(name)
        replica_id = play.rng.choice(sorted(world.replicas))
        body = {"replica": replica_id, "change": f"leave-{play.elapsed()}"}
        world.ask(play.query_node(), "leaving", body)
        play.changes(8, 400)
        world.wake(name)
        world.must("platform", {"replicas": listed_without(world, replica_id)})
        world.must("platform", {"replicas": world.platform_list()})
        play.changes(4, 400)
    play.back_after(8000)
