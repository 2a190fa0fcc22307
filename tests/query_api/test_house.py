"""Whole houses on virtual time: founding, crowds, and what must never happen while they last."""

import basaltport.events as events
import basaltport.messages as messages
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.stage as stage
import basaltport.simulation.trace as trace


def outcomes(w):
    return {request.outcome for request in w.requests.values()}


def notes(w):
    return trace.of_kind(w.trace, rows.NoteLogged)


def test_a_founding_that_reached_only_its_leader_is_taken_up_by_the_next():
    w = stage.build("thin", 3)
    w.run_until(lambda: any(getattr(n.member, "leading", False) for n in w.live("ledger")), 5000)
    first = next(n for n in w.live("ledger") if n.member.leading)
    w.split([first.name])
    w.run(500)
    w.heal()
    w.kill(first.name)
    assert w.run_until(lambda: w.leader() is not None, 10_000)
    assert w.leader() is not first


def test_a_thin_house_serves_cold_and_warm():
    w = stage.ready("thin", 11)
    c = stage.crowd(w, "thin", 1)
    c.start()
    w.run(10_000)
    c.stop()
    w.run(5000)
    done = [request for request in w.requests.values() if request.outcome == "done"]
    assert len(done) > 250
    assert outcomes(w) <= {"done", "refused", "gone"}
    assert w.store.most <= 2


def test_one_seed_is_one_run_with_messages_as_frames_or_not():
    def play(packed):
        w = stage.ready("thin", 5, packed=packed)
        c = stage.crowd(w, "thin", 1)
        c.start()
        w.run(3000)
        return w.trace

    assert play(False) == play(False) == play(True)


def test_without_most_seats_nothing_is_invented_and_the_override_is_explicit():
    w = stage.ready("mid", 8)
    got = w.must("patch", {"patch": {"lines": {"desk": {"bound": 71}}}, "change": "kept"})
    gone = [n.name for n in w.live()][:3] + [n.name for n in w.live("ledger")][:2]
    for n in gone:
        w.kill(n, disk=True)
    w.run(15_000)
    assert w.leader() is None
    left = w.live("ledger")[0].member
    told = [row.fields["missing"] for row in notes(w) if row.number == 19]
    assert sorted(gone) in told
    alive = w.live()[0].name
    left.out = []
    assert "not in the roster" in left.override(["nobody"])
    assert "heard of" in left.override([alive])
    assert left.override(gone) is None
    assert w.run_until(lambda: w.leader() is not None, 10_000)
    w.run(2000)
    assert w.leader().member.cluster_state.recent_changes["kept"] == got[1]["serial"]
    assert w.asked(alive, "patch", {"patch": {"lines": {"desk": {"bound": 72}}}, "change": "on"})[0] == 200
    assert "there is a leader" in w.leader().member.override(gone)


def test_a_beat_long_past_that_comes_again_is_told_of_and_lengthens_no_lease():
    w = stage.ready("thin", 4)
    n = w.live()[0]
    old = []
    send = w.do_send
    w.do_send = lambda x, e: (
        old.append(e) if isinstance(e.msg, messages.Heartbeat) and not old else send(x, e)
    )
    w.run(300)
    w.do_send = send
    w.run(8000)
    w.cut(w.leader().name, n.name)
    end = n.member.lease_expires_at_ms
    w.step(n, events.Heard(w.now, "", old[0].msg))
    assert (
        n.member.lease_expires_at_ms == end
        and n.member.cluster_state.log_index == w.leader().member.cluster_state.log_index
    )
    assert [row.number for row in notes(w) if row.number == 35] == [35]


def test_a_new_steward_takes_over_without_loading_anything_again():
    w = stage.ready("mid", 9)
    c = stage.crowd(w, "mid", 1)
    c.start()
    w.run(6000)
    loads = len(trace.of_kind(w.trace, rows.Load))
    for z in ("zone/z1", "zone/z2", "zone/z3"):
        cluster_state = w.leader().member.cluster_state
        w.kill(cluster_state["roster"][cluster_state["duties"][z]["owner"]]["name"])
        w.run(5000)
        dead = [n for n in w.nodes.values() if n.member is None]
        w.boot(dead[0].name)
        w.run(2000)
    assert len(trace.of_kind(w.trace, rows.Load)) == loads
