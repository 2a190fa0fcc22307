"""Tests of consensus between controllers: founding, losses and replaced machines lose no acknowledged
change."""

import pytest

import basaltport.events as events
import tests.support.controllers as controllers

THREE = ("k1", "k2", "k3")


founded, others = controllers.founded, controllers.others


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("n", [1, 2, 3, 5])
def test_founding_includes_all_controllers(seed, n):
    world = founded(seed, n)
    assert world.must(1, 0) < 300
    assert {len(x.member.cluster_state.members) for x in world.controllers()} == {n}


def test_only_a_first_start_founds_and_a_seed_missing_is_no_hindrance():
    world = controllers.World(1, 3, boot=False)
    for n in THREE:
        world.boot(n)
    world.run(5000)
    assert world.leader() is None
    world = controllers.World(1, 3, boot=False)
    world.boot("k2", True)
    world.boot("k3", True)
    assert world.until(lambda: world.settled("k2", "k3"), 3000) is not None
    world.boot("k1", True)
    assert world.until(lambda: world.settled(*THREE), 2000) is not None


def test_killed_before_founding_they_found_after():
    world = controllers.World(1, 3, boot=False)
    world.boot("k1", True)
    world.run(200)
    world.kill("k1")
    world.boot("k1")
    for n in ("k2", "k3"):
        world.boot(n, True)
    assert world.until(lambda: world.settled(*THREE), 3000) is not None


def test_a_half_founds_no_second_system():
    world = controllers.World(1, 3, boot=False)
    world.cut("k1", "k2")
    world.cut("k1", "k3")
    for n in THREE:
        world.boot(n, True)
    assert world.until(lambda: world.settled("k2", "k3"), 3000) is not None
    assert world.must(1, 0) is not None
    world.kill("k2")
    world.heal()
    world.run(5000)
    assert world.leader() is None
    world.boot("k2")
    assert world.until(lambda: world.settled(*THREE), 4000) is not None
    assert world.read() == 1


def test_one_without_its_disk_is_no_founder():
    world = controllers.World(1, 3, boot=False)
    world.cut("k1", "k2")
    world.cut("k1", "k3")
    for n in THREE:
        world.boot(n, True)
    assert world.until(lambda: world.settled("k2", "k3"), 3000) is not None
    world.kill("k3")
    world.kill("k2", disk=True)
    world.boot("k2")
    world.heal()
    world.run(5000)
    assert world.leader() is None


# Operators' requests.


def test_one_of_two_changes_on_one_edition_prevails_and_repeats_are_acknowledged():
    world = founded(editions=1)
    a, b = others(world)
    first_call = world.ask(a, "configure", change="x", base=1, document=controllers.document(3))
    second_call = world.ask(b, "configure", change="y", base=1, document=controllers.document(4))
    world.run(500)
    got = {world.answers[first_call][0]: 3, world.answers[second_call][0]: 4}
    assert sorted(got) == [200, 412]
    assert world.read() == got[200]
    first, second = ("x", "y") if got[200] == 3 else ("y", "x")
    assert (
        world.asked(a, "configure", change=second, base=1, document=controllers.document(got[412]))[0] == 412
    )
    assert world.must(9, got[200]) is not None
    assert (
        world.asked(b, "configure", change=first, base=1, document=controllers.document(got[200]))[0] == 200
    )
    assert world.read() == 9


def test_an_invalid_change_is_refused_and_never_in_force():
    world = founded(editions=2)
    name = others(world)[0]
    status, body = world.asked(name, "configure", change="o", base=2, document=controllers.document(2))
    assert status == 400 and body["findings"]
    assert world.asked(name, "reconfigure", change="p", base=2, patch={"put": {}})[0] == 400
    patch = {"edition": 5, "put": {"services": [controllers.SERVICE]}}
    assert world.asked(name, "reconfigure", change="q", base=2, patch=patch)[0] == 200
    assert world.asked(name, "reconfigure", change="q", base=2, patch=patch)[0] == 200
    world.run(300)
    doc = {**controllers.document(5), "services": [controllers.SERVICE]}
    assert {str(n.member.cluster_state.configuration) for n in world.controllers()} == {str(doc)}


def test_evacuations_are_agreed_and_may_be_repeated():
    world = founded(editions=1)
    name = others(world)[0]
    for n, verb, zones in (
        (1, "evacuate", ["z"]),
        (2, "evacuate", ["z"]),
        (3, "readmit", []),
        (4, "readmit", []),
    ):
        assert world.asked(name, verb, change=f"z{n}", zone="z")[0] == 200
        assert sorted(world.nodes[world.leader()].member.cluster_state.evacuated_zones) == zones
    assert world.asked(name, "evacuate", change="z1", zone="z")[0] == 200
    assert not world.nodes[world.leader()].member.cluster_state.evacuated_zones


def test_a_leader_cut_off_neither_refuses_nor_reads_back_what_is_old():
    world = founded(editions=1)
    old = world.leader()
    world.part([old])
    early = [world.ask(old, "configuration"), world.ask(old, "configure", change="b", base=9, document={})]
    assert world.until(lambda: world.leader() not in (None, old), 3000) is not None
    assert world.must(2, 1) is not None
    world.run(4000)
    assert [world.answers[call][0] for call in early] == [503, 503]
    assert world.asked(old, "configuration")[0] == 503


# Losses of controllers.


@pytest.mark.parametrize("seed", range(6))
def test_a_killed_leader_is_replaced_within_1300_ms(seed):
    world = founded(seed, editions=1)
    world.kill(world.leader())
    assert world.until(world.leader, 1300) is not None
    assert world.must(2, 1) < 300


@pytest.mark.parametrize("end", ["kill", "stop"])
def test_a_call_outlives_the_leader_it_was_sent_to(end):
    world = founded(editions=1)
    name = others(world)[0]
    call = world.ask(name, "configure", change="x", base=1, document=controllers.document(2))
    world.run(15)
    getattr(world, end)(world.leader())
    world.until(lambda: world.answers[call], 4000)
    assert world.answers[call][0] == 200
    assert world.read() == 2


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_all_killed_at_once_are_back_within_three_seconds(seed, power):
    world = founded(seed, 3, editions=2)
    for n in THREE:
        world.kill(n, power=power)
    for n in THREE:
        world.later(world.rng.randrange(0, 300), world.boot, n)
    assert world.until(lambda: world.leader() and world.settled(*THREE), 2000) is not None
    assert world.read() == 2


@pytest.mark.parametrize("n,lost", [(3, 1), (5, 2), (6, 2), (2, 1), (4, 2)])
@pytest.mark.parametrize("seed", range(4))
def test_power_lost_with_disks_just_after_an_acknowledgement(seed, n, lost):
    world = founded(seed, n, editions=1)
    assert world.must(2, 1) is not None
    names = list(world.nodes)
    gone = world.rng.sample(names, lost)
    for name in names:
        world.kill(name, power=True, disk=name in gone)
    for name in names:
        world.later(world.rng.randrange(0, 300), world.boot, name)
    assert world.until(lambda: world.leader() and world.settled(*names), 5000) is not None
    assert world.read() == 2


def test_two_of_three_disks_lost_nothing_is_made_up():
    world = founded(editions=1)
    for name in THREE:
        world.kill(name, power=True, disk=name != "k1")
    for name in THREE:
        world.boot(name)
    world.run(10_000)
    assert world.leader() is None


@pytest.mark.parametrize("leads", [True, False])
def test_one_that_lost_its_disk_is_a_new_seat(leads):
    world = founded(editions=1)
    name = world.leader() if leads else others(world)[0]
    seat = world.nodes[name].seat
    world.kill(name, disk=True)
    world.run(500)
    world.boot(name)
    assert world.until(lambda: world.leader() and world.settled(*THREE), 3000) is not None
    assert seat not in world.nodes[world.leader()].member.cluster_state.members
    assert world.must(2, 1) is not None


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("n", [3, 5])
def test_one_more_loss_after_a_replacement_is_survived(n, leads):
    world = founded(2, n, editions=1)
    name = world.leader() if leads else others(world)[0]
    world.kill(name)
    del world.nodes[name]
    world.add("new")
    world.later(500, world.boot, "new")
    assert world.until(lambda: world.leader() and world.settled(*world.nodes), 4000) is not None
    world.kill(world.leader())
    assert world.until(world.leader, 1500) is not None
    assert world.must(2, 1) < 500


def test_all_machines_replaced_in_turn_new_ones_first():
    world = founded(editions=1)
    for i, name in enumerate(THREE):
        world.add(f"n{i}")
        world.boot(f"n{i}")
        world.run(4000)
        assert len(world.roster()) == 4
        world.ask(
            world.leader(), "configure", change=f"e{i + 2}", base=i + 1, document=controllers.document(i + 2)
        )
        world.run(5)
        world.stop(name)
        del world.nodes[name]
        assert world.until(lambda: world.leader() and len(world.roster()) == 3, 600) is not None, name
        assert world.must(i + 2, i + 1) < 600
    assert world.read() == 4


def test_a_leader_that_stops_hands_over_at_once():
    world = founded(editions=1)
    world.stop(world.leader())
    assert world.until(world.leader, 150) is not None


def test_after_two_of_five_are_lost_one_more_loss_is_survived():
    world = founded(1, 5, editions=1)
    a, b = others(world)[:2]
    world.kill(a)
    world.kill(b)
    assert world.until(lambda: world.leader() and len(world.roster()) == 3, 3500) is not None
    world.kill(world.leader())
    assert world.until(world.leader, 1500) is not None
    for name in (a, b):
        world.boot(name)
    assert world.until(lambda: world.leader() and len(world.roster()) == 4, 3000) is not None
    assert world.must(2, 1) is not None


def test_all_that_stop_at_once_keep_their_seats():
    world = founded(editions=1)
    for n in world.nodes.values():
        world.step(n, events.Stop(world.now))
    world.run(300)
    assert {len(n.member.compute_appended_state().members) for n in world.controllers()} == {3}
    for n in THREE:
        world.kill(n, power=True, disk=n == "k2")
        world.boot(n)
    assert world.until(lambda: world.leader() and world.settled(*THREE), 4000) is not None
    assert world.read() == 1
