"""The feed from the leader to proxies: one full update, then changes; a proxy never goes back to an older
state, and keeps its state without a leader."""

import dataclasses

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.events as events
import basaltport.fleet.follow as follow
import basaltport.fleet.messages as messages
import basaltport.fleet.publish as publish
import basaltport.frames as frames
import basaltport.identifiers as identifiers
import tests.support.controllers as controllers


def world(proxies=2, editions=1):
    """Returns simulated controllers with this many editions of a configuration, and their proxies."""
    w = controllers.World(1, 3, packed=True)
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    for e in range(1, editions + 1):
        assert w.must(e, e - 1) is not None
    made = [w.proxy(f"p{i + 1}") for i in range(proxies)]
    w.run(600)
    return w, made


def leader_of(w):
    """Returns the leading controller."""
    return w.nodes[w.leader()].member


def sent(w, cls):
    """Returns a list to which messages of a class are added as (time, message) when they are sent."""
    messages_sent, send = [], w.do_send

    def record(node, effect):
        if isinstance(effect.msg, cls):
            messages_sent.append((w.now, effect.msg))
        send(node, effect)

    w.do_send = record
    return messages_sent


def edition(p):
    """Returns the edition of the configuration that a proxy has, or None."""
    return (p.cluster_state.configuration or {}).get("edition")


def test_a_new_proxy_gets_one_full_update_and_then_only_changes():
    w, _ = world(0)
    w.run(publish.PROXY_TIMEOUT_MS)
    got = sent(w, messages.Update)
    p = w.proxy("p1")
    w.run(100)
    assert edition(p) == 1 and set(p.rows) == {"r1"} and p.proxies == 1
    assert [(m.has_all_rows, bool(m.state_copy)) for _, m in got] == [(True, True)]
    del got[:]
    assert w.must(2, 1) is not None
    w.run(30)
    assert edition(p) == 2
    leader_of(w).placement.put({"r1": {"id": "r1", "state": "draining"}, "r2": {"id": "r2"}})
    w.run(100)
    assert set(p.rows) == {"r1", "r2"} and p.changes[-1] == {"r1", "r2"}
    leader_of(w).placement.put({"r2": {"id": "r2"}})
    w.run(100)
    assert set(p.rows) == {"r2"} and p.changes[-1] == {"r1"}
    assert not any(m.state_copy or m.has_all_rows for _, m in got)
    assert [(sorted(m.rows), m.removed_ids) for _, m in got if m.rows or m.removed_ids] == [
        (["r1", "r2"], []),
        ([], ["r1"]),
    ]
    del got[:]
    w.run(5000)
    assert len(got) in (4, 5, 6) and all(len(frames.pack(m)) < 100 for _, m in got)


def test_lost_updates_are_sent_again():
    w, (p, _) = world()
    k = w.leader()
    w.cut(k, "p1", both=False)
    assert w.must(2, 1) is not None
    leader_of(w).placement.put({"r9": {"id": "r9"}})
    w.run(1000)
    w.held = []
    w.heal()
    assert (edition(p), set(p.rows)) == (1, {"r1"})
    w.run(900)
    assert (edition(p), set(p.rows)) == (2, {"r9"})


def test_an_update_after_a_gap_is_not_applied_and_the_missing_rows_are_requested_at_once():
    w, (p, _) = world()
    w.run(150)
    k, s, n = leader_of(w), p.cluster_state.log_index, p.rows_version
    m = messages.Update(p.feed_term, "", "", [], s, [], None, False, n + 1, n + 2, {"x": {}}, [], 2)
    out = p.step(events.Heard(w.now, "", m))
    assert set(p.rows) == {"r1"} and p.rows_version == n
    assert [(e.addr, e.msg.rows_version) for e in out] == [(k.me.addr, n)]


def test_a_proxy_never_goes_back():
    w, (p, _) = world(editions=3)
    old = leader_of(w)
    gen, at = p.feed_term, p.cluster_state.log_index
    stale = dataclasses.replace(p.cluster_state, log_index=at - 1, configuration=controllers.document(2))
    for g, n in ((identifiers.Term(gen.count - 1, "k9"), 99), (gen, 0)):
        m = messages.Update(
            g, old.me.name, old.me.addr, [], identifiers.LogIndex(at - 1), [], stale, True, -1, n, {}, [], 9
        )
        p.step(events.Heard(w.now, "", m))
        assert edition(p) == 3 and p.rows
    assert p.proxies == 9
    newer = identifiers.Term(gen.count + 1, "k2")
    m = messages.Update(
        newer, "k2", "a:1", [], identifiers.LogIndex(at - 1), [], stale, True, -1, 1, {}, [], 1
    )
    p.step(events.Heard(w.now, "", m))
    assert edition(p) == 3 and not p.rows


def test_a_new_leader_is_found_and_unled_all_is_kept():
    w, (p, q) = world()
    w.kill(w.leader())
    assert w.until(w.leader, 1500) is not None
    took = w.until(lambda: p.feed_term == leader_of(w).current_term == q.feed_term, 3000)
    assert took is not None and took < 1500
    assert set(p.rows) == {"r1"} and edition(p) == 1 and p.changes == [{"r1"}]
    for n in list(w.controllers()):
        w.kill(n.name)
    w.run(10_000)
    assert not p.has_leader() and set(p.rows) == {"r1"} and edition(p) == 1


def test_a_list_of_former_controllers_does_not_hide_the_members_of_the_replicated_state():
    """Guards against a proxy that asks only former controllers: a controller that lags behind may answer
    under the newest term with the list of addresses in its own, older state."""
    w, (p, _) = world()
    members = {record.address for record in p.cluster_state.members.values()}
    former = ["10.9.0.1:1", "10.9.0.2:1"]
    p.me.seeds = p.controllers = former
    p.leader_address = former[0]
    for n in list(w.controllers()):
        w.kill(n.name)
    w.run(5000)
    assert not p.has_leader()
    p.step(events.Heard(w.now, "", messages.Redirect(p.feed_term, identifiers.Name(""), "", former)))
    asked = {
        e.addr
        for e in p.step(events.Tick(w.now + follow.FOLLOW_INTERVAL_MS))
        if isinstance(e.msg, messages.Follow)
    }
    assert asked == members | set(former)


def test_a_leader_that_stops_sends_proxies_on():
    w, (p, _) = world()
    w.stop(w.leader())
    assert (
        w.until(
            lambda: p.has_leader() and p.feed_term == leader_of(w).current_term if w.leader() else False, 600
        )
        is not None
    )


def test_rows_stay_until_a_new_leader_has_read_the_list():
    w, (p, _) = world()
    w.do_list = lambda n, e: w.later(2000, w.list, n, n.incarnation)
    w.listing = [{"id": "r2"}]
    w.kill(w.leader())
    w.until(lambda: w.leader() and p.feed_term == leader_of(w).current_term, 4000)
    w.run(300)
    assert set(p.rows) == {"r1"}
    w.run(3000)
    assert set(p.rows) == {"r2"}


def test_updates_of_a_leader_that_was_frozen_are_ignored():
    w, (p, _) = world()
    old = w.leader()
    w.freeze(old)
    w.run(4000)
    assert w.must(2, 1) is not None
    got = sent(w, messages.Update)
    w.freeze(old, False)
    w.run(1000)
    assert edition(p) == 2 and {m.term for _, m in got} == {leader_of(w).current_term}


def test_live_proxies_are_counted_and_silent_ones_forgotten():
    w, (p, _) = world()
    w.run(publish.PROXY_TIMEOUT_MS)
    assert p.proxies == 2
    w.nodes["p2"].member, w.nodes["p2"].incarnation = None, 99
    w.run(4500)
    assert p.proxies == 1 and set(leader_of(w).proxies) == {"p1"}


def test_demand_usage_and_model_statuses_pass_between_proxy_and_placement():
    w, (p, _) = world()
    p.out = []
    p.report_demand({"m": 2}, {"m": 700})
    for e in p.out:
        w.do_send(w.nodes["p1"], e)
    w.run(500)
    calls = leader_of(w).placement.notified
    assert ("requests_waiting", "z-p1", {"m": 2}, {"m": 700}) in calls and (
        "usage_reported",
        "z-p1",
        {"m": 1},
        {},
    ) in calls
    assert p.heard_facts["m"]["state"] == "loading"


def change_rows(w, ms):
    """Change a row every 50 ms for `ms`."""
    for _ in range(ms // 50):
        leader_of(w).placement.put({"r1": {"id": "r1", "n": int(w.now)}})
        w.run(50)


def test_a_proxy_that_starts_anew_has_all_soon_though_rows_change_all_the_time():
    w, ps = world(1)
    change_rows(w, 1000)
    w.kill("p1")
    change_rows(w, 300)
    w.boot("p1")
    p = w.nodes["p1"].member
    change_rows(w, 800)
    assert edition(p) == 1 and set(p.rows) == {"r1"}


def test_a_lost_entry_is_sent_again_while_rows_keep_changing():
    w, ps = world(1)
    send, lost = w.do_send, []

    def drop_first(n, e):
        if isinstance(e.msg, messages.Update) and (e.msg.entries or e.msg.state_copy) and not lost:
            lost.append(e.msg)
            return
        send(n, e)

    w.do_send = drop_first
    change_rows(w, 200)
    assert w.must(2, 1) is not None
    change_rows(w, 1500)
    assert lost and edition(ps[0]) == 2


def test_a_book_that_began_as_a_copy_takes_every_kind_of_entry():
    w, ps = world(1)
    whole = leader_of(w).cluster_state
    copy = publish.feed_state(whole)
    assert copy.shards and copy.members and copy.configuration and copy.voting
    settled = log.ShardsAssigned(settled=tuple(sorted(whole.shards)))
    given = log.ShardsAssigned({k: shard.owner for k, shard in whole.shards.items()})
    for operation in (settled, given, log.ZoneEvacuated("z"), log.EvacuationWithdrawn("z")):
        entry = log.LogEntry(whole.log_index + 1, whole.term, operation)
        after, copy_after = state_machine.apply(whole, entry), state_machine.apply(copy, entry)
        assert publish.feed_state(after) == publish.feed_state(copy_after) != publish.feed_state(whole)
