"""An operator's ask outlives the leader that it was sent to, and is carried out once."""

import pytest

import basaltport.simulation.query_api.world.stage as stage


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_change_sent_to_a_leader_that_dies_is_answered_by_the_next(seed):
    w = stage.ready("mid", seed)
    w.run(4000)
    name, lead = w.live()[seed % 5].name, w.leader().name
    got = []
    w.kill(lead, power=True)
    t = w.now
    w.ask(name, "patch", {"patch": {"pools": {}}, "change": "x"}, lambda s, b: got.append((s, w.now - t)))
    w.ask(name, "show", {}, lambda s, b: got.append((s, w.now - t)))
    w.ask(name, "patch", {"patch": {"pools": {}}}, lambda s, b: got.append((s, w.now - t)))
    w.run(5000)
    assert [s for s, _ in got] == [200, 200] and max(ms for _, ms in got) < 4000
    w.run(3000)
    assert got[2][0] == 504
    assert [h["change"] for h in w.leader().member.cluster_state.history].count("x") == 1
