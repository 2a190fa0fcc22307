"""Half of an even number of seats, with proof that the disk of another is lost, goes on only where no other
roster may have decided without it. One joins or leaves as a cut comes; then a disk is lost, the cut moves."""

import pytest

import basaltport.model.run as run
import basaltport.model.schedule as schedule

CUT_MS = [200, 400, 800, 1500, 3000]


def founded(members):
    w = run.founded(schedule.Schedule(3, members, False, ()), rough=False)
    w.run(9000)
    leader = w.leader()
    return w, leader, [n.name for n in w.controllers() if n.name != leader]


def split(w, *groups):
    """Only members of one group reach each other."""
    side = {name: i for i, group in enumerate(groups) for name in group}
    w.cuts = {(a, b) for a in side for b in side if side[a] != side[b]}


def lose_disk(w, name):
    w.kill(name, disk=True)
    w.later(200, w.boot, name)


def end_well(w):
    w.cuts = set()
    run.calm(w)
    w.finish()


@pytest.mark.parametrize("cut_ms", CUT_MS)
def test_half_of_four_that_miss_a_fifth_elect_nobody_with_the_proof_of_a_lost_disk(cut_ms):
    w, leader, (a, c, d) = founded(4)
    w.add("n1")
    w.boot("n1")
    m = w.nodes[leader].member
    assert w.until(lambda: len(m.compute_appended_state().members) == 5, 8000) is not None
    split(w, [c, d], [leader, a, "n1"])
    w.run(200)
    w.operators[0].make(1)
    w.run(cut_ms)
    split(w, [c, d, a], [leader, "n1"])
    lose_disk(w, a)
    w.run(4000)
    end_well(w)


@pytest.mark.parametrize("cut_ms", CUT_MS)
def test_half_of_four_that_miss_the_removal_of_one_elect_nobody_with_the_proof_of_a_lost_disk(cut_ms):
    w, leader, (a, c, d) = founded(4)
    split(w, [d], [leader, a, c])
    m = w.nodes[leader].member
    assert w.until(lambda: len(m.compute_appended_state().members) == 3, 8000) is not None
    split(w, [c, d], [leader, a])
    w.run(200)
    w.operators[0].make(1)
    w.run(cut_ms)
    split(w, [c, d, a], [leader])
    lose_disk(w, a)
    w.run(4000)
    end_well(w)


@pytest.mark.parametrize("cut_ms", CUT_MS)
def test_half_of_four_that_were_never_agreed_elect_nobody_with_the_proof_of_a_lost_disk(cut_ms):
    """The fourth has its own seat in its log only; another of the three leads and goes on with one."""
    w, first, (a, c) = founded(3)
    w.add("n1")
    w.boot("n1")
    m = w.nodes[first].member
    assert w.until(lambda: len(m.compute_appended_state().members) == 4, 8000) is not None
    split(w, [first, "n1"], [a, c])
    new = w.nodes["n1"].member
    assert w.until(lambda: len(new.compute_appended_state().members) == 4, 1000) is not None
    split(w, [first], ["n1"], [a, c])
    assert w.until(lambda: w.nodes[a].member.leading or w.nodes[c].member.leading, 4000) is not None
    second, other = (a, c) if w.nodes[a].member.leading else (c, a)
    split(w, [first, second], ["n1"], [other])
    w.run(cut_ms + 500)
    w.operators[0].make(1)
    w.run(1500)
    assert w.nodes[second].member.cluster_state.log_index > new.cluster_state.log_index
    split(w, [first], ["n1", other, second])
    lose_disk(w, second)
    w.run(4000)
    end_well(w)
