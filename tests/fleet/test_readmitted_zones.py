"""After a zone is readmitted, its replicas count as possibly cold until a list that is newer was read.

Replicas of an evacuated zone may have become cold shortly before the evacuation is withdrawn, which the
platform's list shows only later: they got their whole load at once, and fell over.
"""

import collections

import pytest

import basaltport.controller.events as controller_events
import basaltport.fleet.readmitted_zones as readmitted_zones
import basaltport.proxy.node as proxy_node
import tests.support.fleet_stand as fleet_stand
import tests.support.proxy_stand as stand

LAG_MS = 800
STEP_MS = 10
COLD_MS = 3000
COLD_BEFORE_MS = 200
"""So long before the withdrawal the replica becomes cold."""
WARM_WITHIN_MS = LAG_MS + 300
ANSWER_MS = 20


class World(fleet_stand.FleetSimulation):
    """A fleet whose list of replicas shows the state of LAG_MS ago."""

    def __init__(self, seed):
        self.cold_until = -1
        self.shown = collections.deque()
        self.list_is_down = False
        super().__init__(seed, 3, packed=True)
        self.later(0, self.remember)

    def started(self, node):
        super().started(node)
        if node.name.startswith("k"):
            node.member.list_lag_ms = LAG_MS

    def proxy_of(self, me, seed):
        return proxy_node.ProxyNode(me, seed, self.now, {"retry_slack": 100, "cold_slack": 5}, 2)

    def remember(self):
        """Keep the state of now for later lists."""
        rows = [dict(row) for row in self.listing]
        rows[-1]["cold_ms"] = max(0, int(self.cold_until - self.now))
        self.shown.append((self.now, rows))
        self.later(STEP_MS, self.remember)

    def list(self, node, incarnation):
        if self.list_is_down:
            self.give(node, incarnation, controller_events.Listed(self.now, False, []))
            return
        while len(self.shown) > 1 and self.shown[1][0] <= self.now - LAG_MS:
            self.shown.popleft()
        rows = [dict(row) for row in self.shown[0][1]]
        self.give(node, incarnation, controller_events.Listed(self.now, True, rows))

    def do_order(self, node, effect):
        """Orders get no answer."""

    def proxies(self):
        return [node.member for name, node in self.nodes.items() if name.startswith("p") and node.member]

    def is_limited(self, proxy):
        """Whether a proxy keeps the replica of zone z2 to its cold rate, or sends it nothing."""
        if "r2" not in proxy.rows or "z2" in proxy.cluster_state.evacuated_zones:
            return True
        replica = proxy.balancer.replicas()["r2"]
        is_slow = proxy.now < proxy.health.for_replica("r2").slow_start_until
        return is_slow or proxy.balancer.may_be_cold(replica)


def order(w, verb):
    """Send an order for zone z2 to one controller after another until it is acknowledged."""
    for _ in range(20):
        for node in w.up():
            call = w.ask(node.name, verb, zone="z2")
            if w.until(lambda call=call: w.answers[call], 1500) is not None and w.answers[call][0] == 200:
                return
    raise AssertionError("not acknowledged")


def world(seed=1):
    """Returns a fleet of two replicas, whose zone z2 is evacuated."""
    w = World(seed)
    w.listing = [
        fleet_stand.row("r1", "z1", {"birch": ["a1"]}),
        fleet_stand.row("r2", "z2", {"birch": ["a1"]}),
    ]
    assert w.until(lambda: w.settled(*w.nodes), 3000) is not None
    assert w.asked(w.leader(), "configure", change="e", base=0, document=stand.document())[0] == 200
    for name in ("p1", "p2"):
        w.proxy(name)
    w.run(4000)
    order(w, "evacuate")
    w.run(5000 - COLD_BEFORE_MS)
    return w


def become_cold(w):
    w.cold_until = w.now + COLD_MS
    w.run(COLD_BEFORE_MS)


def watch_cold(w):
    """Run until the replica is warm; every proxy must keep to its cold rate all the time."""
    while w.now < w.cold_until:
        w.run(STEP_MS)
        assert all(w.is_limited(proxy) for proxy in w.proxies()), w.cold_until - w.now


@pytest.mark.parametrize("seed", range(6))
def test_a_replica_that_became_cold_before_the_withdrawal_is_limited_all_the_time(seed):
    w = world(seed)
    become_cold(w)
    order(w, "readmit")
    watch_cold(w)


@pytest.mark.parametrize("after_ms", [0, 20, 200, 900])
@pytest.mark.parametrize("seed", range(4))
def test_it_is_limited_although_the_leader_is_killed(seed, after_ms):
    w = world(seed)
    become_cold(w)
    order(w, "readmit")
    w.run(after_ms)
    w.kill(w.leader())
    watch_cold(w)


@pytest.mark.parametrize("after_ms", [0, 20, 200, 900])
@pytest.mark.parametrize("seed", range(4))
def test_it_is_limited_by_a_proxy_that_starts_meanwhile(seed, after_ms):
    w = world(seed)
    become_cold(w)
    order(w, "readmit")
    w.run(after_ms)
    w.kill("p1")
    w.boot("p1")
    w.proxy("p3")
    watch_cold(w)


@pytest.mark.parametrize("seed", range(4))
def test_it_is_limited_while_the_list_cannot_be_read(seed):
    w = world(seed)
    become_cold(w)
    w.list_is_down = True
    order(w, "readmit")
    watch_cold(w)


@pytest.mark.parametrize("seed", range(4))
def test_it_is_limited_although_updates_are_lost(seed):
    w = world(seed)
    become_cold(w)
    order(w, "readmit")
    w.lossy = 0.3
    watch_cold(w)


@pytest.mark.parametrize("seed", range(6))
def test_a_warm_replica_gets_its_full_share_as_soon_as_a_newer_list_was_read(seed):
    w = world(seed)
    w.run(COLD_BEFORE_MS)
    order(w, "readmit")
    began_at = w.now
    assert w.until(lambda: not any(w.is_limited(proxy) for proxy in w.proxies()), WARM_WITHIN_MS) is not None
    print(f"full share after {w.now - began_at:.0f} ms")
    w.run(2000)
    assert not any(w.is_limited(proxy) for proxy in w.proxies())


def test_without_a_list_a_zone_counts_as_confirmed_after_a_while():
    zones = readmitted_zones.ReadmittedZones(0)
    zones.observe({"z1": 5}, 1000)
    assert zones.observe({}, 2000)
    assert zones.unconfirmed(2000) == [readmitted_zones.ALL_ZONES, "z1"]
    zones.confirm(1500)
    assert zones.unconfirmed(2000) == ["z1"]
    assert zones.unconfirmed(2000 + readmitted_zones.MAX_UNCONFIRMED_MS) == []


def test_a_zone_that_is_evacuated_again_is_observed_again():
    zones = readmitted_zones.ReadmittedZones(0)
    zones.confirm(0)
    for at, evacuated, unconfirmed in (
        (1, {"z": 1}, []),
        (2, {}, ["z"]),
        (3, {"z": 3}, ["z"]),
        (4, {}, ["z"]),
    ):
        zones.observe(evacuated, at)
        assert zones.unconfirmed(at) == unconfirmed
    zones.confirm(3)
    assert zones.unconfirmed(5) == ["z"]


# A replica that becomes cold again while it is cold was taken for warm once the first time was over.

LIST_INTERVAL_MS = 700


@pytest.mark.parametrize("again_ms", [500, 1500, 2500, 2950])
@pytest.mark.parametrize("seed", range(3))
def test_a_replica_that_becomes_cold_again_is_limited_until_it_is_warm(seed, again_ms):
    w = world(seed)
    order(w, "readmit")
    w.run(WARM_WITHIN_MS + 500)
    w.cold_until = w.now + COLD_MS
    w.run(LAG_MS + LIST_INTERVAL_MS + 100)
    assert all(w.is_limited(proxy) for proxy in w.proxies()), "the list has told it"
    w.run(max(0, again_ms - LAG_MS - LIST_INTERVAL_MS - 100))
    w.cold_until = w.now + COLD_MS
    watch_cold(w)
    warm_within_ms = LAG_MS + LIST_INTERVAL_MS + 300
    assert w.until(lambda: not any(w.is_limited(proxy) for proxy in w.proxies()), warm_within_ms) is not None


@pytest.mark.parametrize("seed", range(3))
def test_a_replica_counts_as_warm_some_time_after_its_warm_up_although_no_row_comes(seed):
    w = world(seed)
    order(w, "readmit")
    w.run(WARM_WITHIN_MS + 500)
    w.cold_until = w.now + COLD_MS
    w.run(LAG_MS + LIST_INTERVAL_MS + 100)
    w.list_is_down = True
    w.run(COLD_MS + 2000)
    assert not any(w.is_limited(proxy) for proxy in w.proxies())


def test_a_cold_replica_whose_time_only_passes_is_no_change():
    w = world()
    order(w, "readmit")
    w.run(WARM_WITHIN_MS + 500)
    w.cold_until = w.now + 60_000
    w.run(2000)
    leader = w.nodes[w.leader()].member
    version = leader.rows_version
    w.run(10_000)
    assert leader.rows_version == version
