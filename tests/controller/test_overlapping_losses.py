"""Troubles beyond what is to be borne: halves cut apart, losses that overlap, all power lost.

No disk more than is to be borne is lost, so nothing acknowledged goes, no read is old, and service is back
once all are."""

import pytest

import tests.support.controllers as controllers

CATCH_UP_MS = 4000
CUT_MS = 7000
IN_TOUCH_MS = 3000
RECOVER_MS = 12_000
EVERY_MS = 100
LONGEST_MS = 4000
SEEDS = range(6)
DISKS = {3: 1, 4: 1, 5: 2}
"""How many disks may be lost at once, by the number of controllers."""


class Operator:
    """Sends one change after another to any controller until each is acknowledged, and reads at every one.

    `read_back`: for each read, the edition acknowledged before it was sent, and the one that it gave."""

    def __init__(self, w, edition):
        self.w = w
        self.acknowledged = edition
        self.calls = []
        self.reads = []
        self.read_back = []
        self.statuses = set()

    def run(self, ms):
        for _ in range(0, ms, EVERY_MS):
            self.act()
            self.w.run(EVERY_MS)
            self.take()

    def act(self):
        w = self.w
        names = [n.name for n in w.controllers()]
        for name in names:
            self.reads.append((w.ask(name, "configuration"), self.acknowledged))
        if names:
            edition = self.acknowledged + 1
            body = {"change": f"e{edition}", "base": edition - 1, "document": controllers.document(edition)}
            self.calls.append((w.ask(w.rng.choice(names), "configure", **body), edition))

    def take(self):
        answers, waiting = self.w.answers, []
        for call, edition in self.calls:
            if answers[call] is None:
                waiting.append((call, edition))
                continue
            assert answers[call][0] in (200, 503, 504), "one that was taken is never refused"
            if answers[call][0] == 200:
                self.acknowledged = max(self.acknowledged, edition)
        self.calls, waiting = waiting, []
        for call, least in self.reads:
            if answers[call] is None:
                waiting.append((call, least))
                continue
            status, body, _ = answers[call]
            self.statuses.add(status)
            if status == 200:
                self.read_back.append((least, (body["document"] or {}).get("edition", 0)))
        self.reads = waiting

    def finish(self):
        """What is still under way has its answer, unless its process ended."""
        self.w.run(LONGEST_MS)
        self.take()
        assert [(least, got) for least, got in self.read_back if got < least] == []
        assert self.statuses <= {200, 503}


def served_again(w, operator, ms=RECOVER_MS):
    """One more change is acknowledged within `ms`, and read back everywhere."""
    before = operator.acknowledged
    for _ in range(0, ms, EVERY_MS):
        operator.run(EVERY_MS)
        if operator.acknowledged > before:
            break
    assert operator.acknowledged > before
    operator.finish()
    for n in w.controllers():
        status, body = w.asked(n.name, "configuration")
        assert status == 200 and body["document"]["edition"] >= operator.acknowledged, n.name


def halve(w, left):
    """Cuts controllers into two halves; all other machines reach both."""
    names = [n.name for n in w.nodes.values() if n.disk]
    for a in left:
        for b in names:
            if b not in left:
                w.cut(a, b)


def edition(p):
    return (p.cluster_state.configuration or {}).get("edition")


@pytest.mark.parametrize("leads", [True, False], ids=["leader in the small half", "leader in the large half"])
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("n", [2, 3, 4, 5])
def test_controllers_cut_into_two_halves_lose_nothing_and_read_back_nothing_old(n, seed, leads):
    w = controllers.founded(seed, n, editions=1)
    p = w.proxy("p1")
    w.run(1000)
    operator = Operator(w, 1)
    leader = w.leader()
    rest = [k.name for k in w.controllers() if k.name != leader]
    small = [leader, *rest][: n // 2] if leads else rest[: n // 2]
    halve(w, small)
    operator.run(CUT_MS)
    if n % 2:
        assert operator.acknowledged > 1, "the larger half goes on"
    else:
        assert (operator.acknowledged, operator.read_back) == (1, []), "neither half goes on"
    w.heal()
    served_again(w, operator, IN_TOUCH_MS)
    w.run(1000)
    assert edition(p) == operator.acknowledged


@pytest.mark.parametrize("n", [4, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_halves_that_are_cut_apart_again_and_again_in_other_ways_lose_nothing(n, seed):
    w = controllers.founded(seed, n, editions=1)
    operator = Operator(w, 1)
    names = [k.name for k in w.controllers()]
    for _ in range(6):
        halve(w, w.rng.sample(names, n // 2))
        operator.run(w.rng.randrange(3, 30) * EVERY_MS)
        w.heal()
        operator.run(w.rng.randrange(0, 4) * EVERY_MS)
    served_again(w, operator)


def strike(w, k, what, after):
    """One trouble of one controller, which is over after a while."""
    if what in ("kill", "power", "wipe"):
        w.kill(k, power=what == "power", disk=what == "wipe")
        w.later(after, w.boot, k)
    elif what == "freeze":
        w.freeze(k)
        w.later(after, thaw, w, k)
    elif what == "stall":
        w.stall(k)
        w.later(after, w.stall, k, False)
    else:
        halve(w, [k])
        w.later(after, w.heal)


def thaw(w, k):
    if w.nodes[k].member is not None:
        w.freeze(k, False)


@pytest.mark.parametrize("n", [3, 4, 5])
@pytest.mark.parametrize("seed", range(12))
def test_losses_that_overlap_take_nothing_back_and_service_returns_once_all_are_back(n, seed):
    """Every controller meets a trouble, all at nearly one time; as many disks are lost as is to be borne."""
    w = controllers.founded(seed, n, editions=1)
    operator = Operator(w, 1)
    for _ in range(3):
        names = [k.name for k in w.controllers()]
        w.rng.shuffle(names)
        wiped = w.rng.randrange(0, DISKS[n] + 1)
        last = 0
        for i, k in enumerate(names):
            what = "wipe" if i < wiped else w.rng.choice(["kill", "power", "freeze", "cut", "stall"])
            start, after = w.rng.randrange(0, 600), w.rng.randrange(300, 4000)
            w.later(start, strike, w, k, what, after)
            last = max(last, start + after)
        operator.run(last + EVERY_MS)
        w.heal()
        served_again(w, operator)
        operator.run(CATCH_UP_MS)
    assert w.settled(*[k.name for k in w.controllers()])


@pytest.mark.parametrize("disks", [False, True], ids=["disks kept", "disks lost"])
@pytest.mark.parametrize("n", [3, 4, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_all_power_is_lost_also_of_what_does_not_count_and_what_was_acknowledged_is_read_everywhere(
    n, seed, disks
):
    """Right after an acknowledgement all lose power; then every controller is asked again and again."""
    w = controllers.founded(seed, n, editions=1)
    proxies = ["p1", "p2"]
    for name in proxies:
        w.proxy(name)
    w.run(600)
    assert w.must(2, 1) is not None
    gone = w.rng.sample([k.name for k in w.controllers()], DISKS[n] if disks else 0)
    for name in list(w.nodes):
        w.kill(name, power=True, disk=name in gone)
    for name in list(w.nodes):
        w.later(w.rng.randrange(0, 300), w.boot, name)
    operator = Operator(w, 2)
    operator.act = lambda: reads_everywhere(operator)
    operator.run(RECOVER_MS)
    operator.read_back.clear()
    operator.run(IN_TOUCH_MS)
    operator.finish()
    assert {got for _, got in operator.read_back} == {2}
    assert len(operator.read_back) == n * IN_TOUCH_MS // EVERY_MS
    assert [edition(w.nodes[name].member) for name in proxies] == [2, 2]


def reads_everywhere(operator):
    w = operator.w
    operator.reads += [(w.ask(n.name, "configuration"), operator.acknowledged) for n in w.controllers()]
