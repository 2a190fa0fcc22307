"""A proxy that says that it lacks entries is fed at once, whatever was lost on its way and however large.

A proxy that was frozen in a storm of large configurations was fed nothing for six seconds after it woke: the
leader went by an estimate of when all that it had sent must have arrived.
"""

import collections
import itertools

import pytest

import basaltport.events as events
import basaltport.fleet.in_flight as in_flight
import basaltport.fleet.messages as messages
import tests.support.controllers as controllers

SECOND_MS = 1000
CHANGE_INTERVAL_MS = 80
FREEZES_MS = range(500, 3600, 100)
STORMS = (1, 10, 40)
SIZES = (1_000, 100_000, 500_000)
KEPT = (0.0, 0.5, 1.0)
"""The part of the updates to a frozen proxy, the first of them, that its socket keeps for it."""
LINK_BYTES_PER_MS = 300


def document(edition, size):
    """Returns a configuration of about a size in bytes."""
    return {**controllers.document(edition), "padding": "x" * size}


class LossyFeed(controllers.World):
    """A world in which updates to a frozen proxy are kept by its socket in part, in their order."""

    def __init__(self, kept):
        self.kept, self.updates, self.sent = kept, [], []
        super().__init__(1, 3)

    def do_send(self, node, effect):
        if isinstance(effect.msg, messages.Update):
            self.sent.append(effect.msg)
            receiver = self.by_addr[effect.addr]
            if receiver.frozen:
                self.updates.append((node, effect))
                return
        super().do_send(node, effect)

    def thaw(self, name):
        """Wake a proxy; what its socket kept arrives, the rest is lost."""
        kept = self.updates[: int(len(self.updates) * self.kept)]
        self.updates = []
        self.freeze(name, False)
        for node, effect in kept:
            super().do_send(node, effect)


def world(kept=1.0):
    """Returns controllers with a first configuration, and a proxy that has it."""
    w = LossyFeed(kept)
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    assert w.must(1, 0) is not None
    proxy = w.proxy("p1")
    w.run(600)
    return w, proxy


def begin_storm(w, changes, size):
    """Send configurations to the leader in quick succession; returns the edition of the last one."""
    for number in range(changes):
        edition = number + 2
        w.later(number * CHANGE_INTERVAL_MS, change, w, edition, size)
    return changes + 1


def change(w, edition, size):
    w.ask(w.leader(), "configure", change=f"e{edition}", base=edition - 1, document=document(edition, size))


def edition_of(proxy):
    return (proxy.cluster_state.configuration or {}).get("edition")


CASES = list(itertools.product(FREEZES_MS, STORMS, SIZES, KEPT))


@pytest.mark.sweep(every=23)
@pytest.mark.parametrize("freeze_ms, changes, size, kept", CASES)
def test_a_proxy_that_wakes_after_a_storm_has_the_newest_at_once(freeze_ms, changes, size, kept):
    w, proxy = world(kept)
    last = begin_storm(w, changes, size)
    w.run(100)
    w.freeze("p1")
    w.run(freeze_ms)
    w.thaw("p1")
    w.run(max(0, changes * CHANGE_INTERVAL_MS - freeze_ms - 100) + SECOND_MS)
    assert edition_of(proxy) == last and proxy.is_up_to_date()


@pytest.mark.parametrize("freeze_ms", [700, 2400, 3400])
def test_a_proxy_that_is_restarted_in_a_storm_has_the_newest_at_once(freeze_ms):
    w, _ = world(0.0)
    last = begin_storm(w, 40, 500_000)
    w.run(100)
    w.freeze("p1")
    w.run(freeze_ms)
    w.kill("p1")
    w.run(40 * CHANGE_INTERVAL_MS)
    w.boot("p1")
    w.run(SECOND_MS)
    assert edition_of(w.nodes["p1"].member) == last


@pytest.mark.parametrize("kept", KEPT)
def test_an_evacuation_after_a_storm_reaches_a_proxy_that_wakes_at_once(kept):
    w, proxy = world(kept)
    begin_storm(w, 25, 100_000)
    w.run(100)
    w.freeze("p1")
    w.run(2400)
    call = w.ask(w.leader(), "evacuate", zone="z1")
    w.run(300)
    assert w.answers[call][0] == 200
    w.thaw("p1")
    w.run(500)
    assert "z1" in proxy.cluster_state.evacuated_zones


class SlowFeed(controllers.World):
    """A world with a slow connection to a proxy: updates arrive one after another, each after its bytes."""

    def __init__(self):
        self.arrives_at, self.on_way, self.most_on_way, self.copies = 0.0, collections.deque(), 0, 0
        super().__init__(1, 3)

    def do_send(self, node, effect):
        if not isinstance(effect.msg, messages.Update):
            super().do_send(node, effect)
            return
        size = sum(len(str(entry)) for entry in effect.msg.entries)
        size += len(str(effect.msg.state_copy)) if effect.msg.state_copy else 0
        self.copies += size > in_flight.MAX_BYTES
        self.arrives_at = max(self.arrives_at, self.now) + size / LINK_BYTES_PER_MS
        self.on_way.append(size)
        self.most_on_way = max(self.most_on_way, sum(self.on_way))
        self.later(self.arrives_at - self.now + 1, self.arrive_update, effect)

    def arrive_update(self, effect):
        self.on_way.popleft()
        receiver = self.by_addr[effect.addr]
        self.give(receiver, receiver.incarnation, events.Heard(self.now, "", effect.msg))


def test_over_a_slow_link_no_more_than_the_bound_and_one_update_is_on_its_way():
    w = SlowFeed()
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    assert w.must(1, 0) is not None
    proxy = w.proxy("p1")
    w.run(600)
    size = 500_000
    last = begin_storm(w, 20, size)
    transfer_ms = size / LINK_BYTES_PER_MS
    w.run(20 * CHANGE_INTERVAL_MS + 2 * transfer_ms + SECOND_MS)
    assert edition_of(proxy) == last
    assert w.most_on_way < in_flight.MAX_BYTES + 2 * size
    assert w.copies <= 3


def test_a_copy_under_way_over_a_slow_link_is_not_sent_again():
    w = SlowFeed()
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    assert w.must(1, 0) is not None
    proxy = w.proxy("p1")
    w.run(600)
    last = begin_storm(w, 1, 1_000_000)
    w.run(1_000_000 / LINK_BYTES_PER_MS + SECOND_MS)
    assert edition_of(proxy) == last and w.copies == 1


def test_a_proxy_of_an_earlier_release_is_fed_again_after_a_loss(monkeypatch):
    """Its reports do not name the last update."""
    w, proxy = world(0.0)
    follow_message = proxy.follow_message

    def without_number(*usage):
        report = follow_message(*usage)
        report.last_update = 0
        return report

    monkeypatch.setattr(proxy, "follow_message", without_number)
    last = begin_storm(w, 10, 100_000)
    w.run(100)
    w.freeze("p1")
    w.run(2400)
    w.thaw("p1")
    w.run(2 * SECOND_MS)
    assert edition_of(proxy) == last
