"""Scenarios of a control machine that is cut off for 20 s, and of operators that race."""

import basaltport.simulation.routes.control_play as control_play

SCENARIOS: dict[str, control_play.Scenario] = {}
scenario = control_play.registrar(SCENARIOS)
CUT_MS = 20_000
RACES = 6
CLEAR_MS = 15_000
LOST = 0.4
FURTHER = 300


# a control machine is cut off for 20 s


def cut_off(p: control_play.ControlPlay, name: str, out: bool = True, into: bool = True) -> None:
    """From all other control machines; two proxies start anew with seeds that name it alone, one of them
    with no path to another control machine."""
    w = p.w
    others = [k for k in sorted(w.core) if k != name]
    proxies = sorted(n.name for n in w.proxies())
    beside, alone = p.rng.sample(proxies, 2)
    seeds = w.seeds
    w.holding = p.rng.random() < 0.5
    for k in others:
        if out:
            w.cut(name, k, both=False)
        if into:
            w.cut(k, name, both=False)
        w.cut(alone, k)
    w.point_seeds_at([name])
    w.later(3000, w.restart, beside)
    w.later(6000, w.restart, alone)
    p.under_operators(CUT_MS)
    w.heal()
    w.seeds = seeds
    p.under_operators(3000)
    p.majority("heals")
    w.run(3000)
    p.calm()


@scenario
def leader_cut_20s(p):
    cut_off(p, p.leader())


@scenario
def follower_cut_20s(p):
    cut_off(p, p.follower())


@scenario
def list_reader_cut_20s(p):
    """Whoever reads the list is cut off from the others, then from the list, for 20 s each. With odd seeds
    it is killed while it is cut off, and comes back."""
    reader = p.list_reader()
    if p.seed % 2:
        p.w.later(8000, p.w.restart, reader)
    cut_off(p, reader)
    p.w.unlist()
    p.under_operators(CUT_MS)
    p.w.unlist(False)
    p.w.run(3000)
    p.calm()


@scenario
def one_way_cut_20s(p):
    """Seeds take turns: of the leader or a follower, of what it sends or of what it is sent."""
    name = p.follower() if p.seed // 2 % 2 else p.leader()
    cut_off(p, name, out=p.seed % 2 == 0, into=p.seed % 2 == 1)


# several operators, one number


def races(p: control_play.ControlPlay, operators: int, kill: bool) -> None:
    """Again and again, with answers lost; the leader is killed within 60 ms of what was sent. What was
    confirmed is sent again to every control machine, at once and once more after the next race."""
    w = p.w
    before = []
    for _ in range(RACES):
        w.lose_replies(LOST)
        changes = w.rivals(operators)
        if kill:
            w.run(p.rng.randrange(60))
            w.restart(p.leader(), power=p.rng.random() < 0.5, after=p.rng.randrange(500, 1500))
        w.until(lambda changes=changes: all(c.status is not None for c in changes), CLEAR_MS)
        w.lose_replies(0.0)
        for change in [*before, *changes]:
            if change.status == 200:
                w.repeat_everywhere(change)
        before = changes
        p.under_operators(1500)
    p.majority()
    p.calm()


@scenario
def two_operators_one_number(p):
    races(p, 2, kill=False)


@scenario
def four_operators_one_number(p):
    races(p, 4, kill=False)


@scenario
def operators_race_while_leaders_die(p):
    """Two or four, by seed; each leader is killed, or loses power, in between."""
    races(p, 2 + 2 * (p.seed % 2), kill=True)


@scenario
def repeats_after_hundreds(p):
    """Changes whose answers were lost are sent again, to every control machine and under every leader, after
    hundreds of other changes."""
    w = p.w
    w.lose_replies(LOST)
    first = [w.must(w.configure) for _ in range(5)]
    w.lose_replies(0.0)
    for _ in range(FURTHER):
        w.must(w.configure)
    for _ in range(3):
        for change in first:
            w.repeat_everywhere(change)
        w.run(500)
        w.restart(p.leader(), after=1000)
        w.run(4000)
        p.majority()
    p.calm()
