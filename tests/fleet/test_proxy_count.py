"""The number of proxies divides rates that hold over all of them, so it may be too high but never too low.

A new leader told each proxy how many it had heard of so far, so that a replica in slow start got a multiple
of its rate after a leader was killed.
"""

import pytest

import basaltport.proxy.retry_budget as retry_budget
import tests.support.controllers as controllers

PROXIES = 9
RATE = 60.5
"""Requests per second that all proxies together may send to a replica in slow start."""
SLACK = 58
"""Retries in a window that all proxies together may make beyond their ratio."""
STEP_MS = 20
SETTLED_MS = 4500
MAX_PROXIES = 340
FULL_USE = 0.95
"""Of the rate that is used while nothing happens."""


class World(controllers.World):
    """Controllers and proxies; `highest` is the highest sum of the proxies' shares, as a part of a total."""

    def __init__(self, seed):
        self.highest = 0.0
        self.unused_until = 0
        super().__init__(seed, 3)

    def shares(self, share):
        """Returns the sum of the shares of all proxies that run."""
        nodes = [node for name, node in self.nodes.items() if name.startswith("p") and node.member]
        return sum(share(node.member.proxies or MAX_PROXIES, node.name) for node in nodes)

    def watch(self, ms):
        """Run for `ms`, and record the shares."""
        for _ in range(0, ms, STEP_MS):
            self.run(STEP_MS)
            rate = (
                self.shares(lambda count, name: retry_budget.SlowStart.share(RATE, count, name, "r1")) / RATE
            )
            slack = self.shares(lambda count, name: 1 / count)
            self.highest = max(self.highest, rate, slack)
            if rate < FULL_USE * self.used:
                self.unused_until = self.now

    def calm(self):
        """Begin to record."""
        self.used = (
            self.shares(lambda count, name: retry_budget.SlowStart.share(RATE, count, name, "r1")) / RATE
        )
        assert self.used > retry_budget.SLOW_START_SHARE_USED / 2
        self.began_at = self.unused_until = self.now


def world(seed, proxies=PROXIES):
    """Returns a running fleet whose proxies all know their number."""
    w = World(seed)
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    assert w.must(1, 0) is not None
    for number in range(proxies):
        w.proxy(f"p{number + 1}")
    w.run(SETTLED_MS)
    assert {w.nodes[f"p{n + 1}"].member.proxies for n in range(proxies)} == {proxies}
    w.calm()
    return w


def kill_leader(w):
    w.kill(w.leader())


def stop_leader(w):
    w.stop(w.leader())


def restart_controllers(w):
    names = [node.name for node in w.controllers()]
    for name in names:
        w.kill(name)
    w.watch(300)
    for name in names:
        w.boot(name)


def kill_two_leaders(w):
    leader = w.leader()
    w.kill(leader)
    w.watch(2000)
    w.boot(leader)
    w.watch(1500)
    if w.leader():
        w.kill(w.leader())


def restart_proxies_as_the_leader_is_killed(w):
    w.kill(w.leader())
    for number in (1, 2, 3):
        w.kill(f"p{number}")
    w.watch(300)
    for number in (1, 2, 3):
        w.boot(f"p{number}")


LOSSES = [
    kill_leader,
    stop_leader,
    restart_controllers,
    kill_two_leaders,
    restart_proxies_as_the_leader_is_killed,
]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lose", LOSSES)
def test_all_proxies_together_stay_within_a_rate_over_a_change_of_leader(lose, seed):
    w = world(seed)
    lose(w)
    w.watch(8000)
    assert w.highest <= 1.0 + 1e-9
    assert {node.member.proxies for name, node in w.nodes.items() if name.startswith("p")} == {PROXIES}


@pytest.mark.parametrize("seed", range(6))
def test_after_a_leader_is_killed_nothing_of_the_rate_stays_unused(seed):
    w = world(seed)
    w.kill(w.leader())
    w.watch(8000)
    assert w.unused_until == w.began_at, "not less than FULL_USE of what was used before, at any time"


@pytest.mark.parametrize("seed", range(4))
def test_a_fleet_that_starts_at_once_never_exceeds_a_rate(seed):
    w = World(seed)
    w.used = 0.0
    for number in range(PROXIES):
        w.proxy(f"p{number + 1}")
    w.watch(8000)
    assert w.highest <= 1.0 + 1e-9
    assert {node.member.proxies for name, node in w.nodes.items() if name.startswith("p")} == {PROXIES}


@pytest.mark.parametrize("seed", range(4))
def test_a_proxy_that_comes_is_counted_by_the_others_at_once(seed):
    w = world(seed, 4)
    w.proxy("p5")
    w.run(400)
    assert {w.nodes[f"p{n}"].member.proxies for n in range(1, 6)} == {5}


@pytest.mark.parametrize("seed", range(4))
def test_a_proxy_that_went_is_no_longer_counted(seed):
    w = world(seed, 4)
    w.kill("p4")
    w.run(SETTLED_MS)
    assert {w.nodes[f"p{n}"].member.proxies for n in range(1, 4)} == {3}
