"""Scenarios of a controller that is cut off for 20 s, and of operators that race."""

import basaltport.simulation.routes.control_play as control_play
import basaltport.simulation.routes.operator as operator

SCENARIOS: dict[str, control_play.Scenario] = {}
scenario = control_play.registrar(SCENARIOS)
CUT_MS = 20_000
RACES = 6
CLEAR_MS = 15_000
LOST = 0.4
FURTHER = 300
REPEATED = 5
KILL_WITHIN_MS = 60
AWAY_MS = (500, 1500)
HALF = 0.5


# a controller is cut off for 20 s


def cut_off(play: control_play.ControlPlay, name: str, out: bool = True, into: bool = True) -> None:
    """From all other controllers; two proxies start anew with seeds that name it alone, one of them
    with no path to another controller."""
    world = play.world
    others = [other for other in sorted(world.core) if other != name]
    proxies = sorted(node.name for node in world.proxies())
    beside, alone = play.rng.sample(proxies, 2)
    seeds = world.seeds
    world.holding = play.rng.random() < HALF
    for other in others:
        if out:
            world.cut(name, other, both=False)
        if into:
            world.cut(other, name, both=False)
        world.cut(alone, other)
    world.point_seeds_at([name])
    world.later(3000, world.restart, beside)
    world.later(6000, world.restart, alone)
    play.under_operators(CUT_MS)
    world.heal()
    world.seeds = seeds
    play.under_operators(3000)
    play.majority("heals")
    world.run(3000)
    play.calm()


@scenario
def leader_cut_20s(play: control_play.ControlPlay) -> None:
    """The leader is cut off."""
    cut_off(play, play.leader())


@scenario
def follower_cut_20s(play: control_play.ControlPlay) -> None:
    """Another controller than the leader is cut off."""
    cut_off(play, play.follower())


@scenario
def list_reader_cut_20s(play: control_play.ControlPlay) -> None:
    """Whoever reads the list is cut off from the others, then from the list, for 20 s each. With odd seeds
    it is killed while it is cut off, and comes back."""
    reader = play.list_reader()
    if play.seed % 2:
        play.world.later(8000, play.world.restart, reader)
    cut_off(play, reader)
    play.world.unlist()
    play.under_operators(CUT_MS)
    play.world.unlist(False)
    play.world.run(3000)
    play.calm()


@scenario
def one_way_cut_20s(play: control_play.ControlPlay) -> None:
    """Seeds take turns: of the leader or a follower, of what it sends or of what it is sent."""
    name = play.follower() if play.seed // 2 % 2 else play.leader()
    cut_off(play, name, out=play.seed % 2 == 0, into=play.seed % 2 == 1)


# several operators, one number


def races(play: control_play.ControlPlay, operators: int, kill: bool) -> None:
    """Again and again, with answers lost; the leader is killed within 60 ms of what was sent. What was
    confirmed is sent again to every controller, at once and once more after the next race."""
    world = play.world
    before: list[operator.Change] = []
    for _ in range(RACES):
        world.lose_replies(LOST)
        changes = world.rivals(operators)
        if kill:
            world.run(play.rng.randrange(KILL_WITHIN_MS))
            world.restart(play.leader(), power=play.rng.random() < HALF, after=play.rng.randrange(*AWAY_MS))
        world.until_answered(changes, CLEAR_MS)
        world.lose_replies(0.0)
        for change in [*before, *changes]:
            if change.status == operator.ACKNOWLEDGED:
                world.repeat_everywhere(change)
        before = changes
        play.under_operators(1500)
    play.majority()
    play.calm()


@scenario
def two_operators_one_number(play: control_play.ControlPlay) -> None:
    """Two operators race."""
    races(play, 2, kill=False)


@scenario
def four_operators_one_number(play: control_play.ControlPlay) -> None:
    """Four operators race."""
    races(play, 4, kill=False)


@scenario
def operators_race_while_leaders_die(play: control_play.ControlPlay) -> None:
    """Two or four, by seed; each leader is killed, or loses power, in between."""
    races(play, 2 + 2 * (play.seed % 2), kill=True)


@scenario
def repeats_after_hundreds(play: control_play.ControlPlay) -> None:
    """Changes whose answers were lost are sent again, to every controller and under every leader, after
    hundreds of other changes."""
    world = play.world
    world.lose_replies(LOST)
    first = [world.must(world.configure) for _ in range(REPEATED)]
    world.lose_replies(0.0)
    for _ in range(FURTHER):
        world.must(world.configure)
    for _ in range(3):
        for change in first:
            world.repeat_everywhere(change)
        world.run(500)
        world.restart(play.leader(), after=1000)
        world.run(4000)
        play.majority()
    play.calm()
