"""The routine's rules, one test each, on virtual time at their boundaries."""

import basaltport.events as events
import basaltport.query_api.events as query_events
import basaltport.identifiers as identifiers
import basaltport.cold_start.limits as limits
import tests.support.node as node


def test_a_warm_model_is_sent_to_at_once_without_asking():
    n = node.warm(node.Node())
    out = n.query()
    assert not node.status_requests(out) and len(node.attempts(out)) == 1


def test_an_unknown_model_is_asked_for_and_the_ask_orders_the_load():
    n = node.Node()
    w = node.status_requests(n.query())
    assert [(x.item, x.wake) for x in w] == [("m", True)]
    assert not node.attempts(n.out)


def test_polls_keep_the_controller_s_spacing_and_never_less_than_100_ms():
    for retry, spacing in ((700, 700), (5, 100)):
        n = node.Node()
        ask = node.first_request_number(n.query())
        n.model_status(ask, "loading", retry_after=retry)
        assert not node.status_requests(n.until(spacing - 1, every=1))
        assert len(node.status_requests(n.tick(1))) == 1


def test_first_queries_of_a_cold_model_share_one_wait():
    n = node.Node()
    out = [e for _ in range(20) for e in n.query()]
    assert len(node.status_requests(out)) == 1
    n.holds("x1", "m", slots=30)
    got = n.model_status(node.first_request_number(out), "loaded")
    assert len(node.attempts(got)) == 20


def test_any_state_but_loaded_or_loading_ends_the_call_at_once():
    n = node.Node()
    ask = node.first_request_number(n.query())
    c = node.final_answers(n.model_status(ask, "unavailable", reason="no room"))
    assert [(x.status, x.body["error"], x.body["ran"]) for x in c] == [(503, "unavailable", "no")]
    assert "no room" in c[0].body["detail"]


def _limit_ends(n, ask, at, **facts):
    """The moment a query that never gets ready is refused, kept loading meanwhile."""
    n.model_status(ask, "loading", retry_after=1000, **facts)
    t0 = n.now
    while n.now - t0 < at + 5000:
        for e in n.tick(25):
            w = node.status_requests([e])
            if w:
                n.model_status(w[0].request_number, "loading", retry_after=1000, **facts)
            if node.final_answers([e]):
                return n.now - t0, node.final_answers([e])[0].body["error"]
    return None


def test_the_limit_is_the_prompt_s_ready_timeout_when_given():
    n = node.Node(ready_timeout_ms=2000)
    assert _limit_ends(n, node.first_request_number(n.query()), 2000) == (
        2000,
        "readiness-timeout",
    )


def test_else_twice_the_expected_load_with_a_floor_of_30_s():
    n = node.Node()
    assert _limit_ends(n, node.first_request_number(n.query()), 50_000, expected=25_000) == (
        50_000,
        "readiness-timeout",
    )
    n = node.Node()
    assert _limit_ends(n, node.first_request_number(n.query()), 30_000, expected=4_000) == (
        30_000,
        "readiness-timeout",
    )


def test_else_300_s():
    assert limits.readiness_limit_ms(0, 0) == 300_000
    n = node.Node()
    assert _limit_ends(n, node.first_request_number(n.query()), 300_000) == (
        300_000,
        "readiness-timeout",
    )


def test_the_request_timeout_starts_only_at_readiness():
    n = node.Node(timeout_ms=1000)
    ask = node.first_request_number(n.query())
    n.model_status(ask, "loading", retry_after=1000)
    n.until(20_000)
    n.holds("x1", "m")
    ask = node.status_requests(n.until(500))[-1].request_number
    d = node.attempts(n.model_status(ask, "loaded"))
    assert [x.timeout_ms for x in d] == [1000]


def test_warm_ends_at_the_window_less_the_larger_of_10_s_and_a_fifth():
    assert limits.warm_for_ms(0) == 48_000
    assert limits.warm_for_ms(40_000) == 30_000
    assert limits.warm_for_ms(100_000) == 80_000
    for left, asks in ((1, 0), (0, 1)):
        n = node.warm(node.Node(), idle_window=100_000)
        n.now += 80_000 - left
        n.news()
        n.grant("x1", 4)
        assert len(node.status_requests(n.query())) == asks


def test_a_kept_model_stays_warm_without_a_window():
    n = node.warm(node.Node(), kept=True)
    n.now += 10_000_000
    n.grant("x1", 4)
    assert not node.status_requests(n.query())


def test_only_a_response_below_500_is_a_sign_of_serving():
    for status, asks in ((499, 0), (500, 1)):
        n = node.warm(node.Node(), idle_window=100_000)
        n.now += 70_000
        n.news()
        n.grant("x1", 4)
        n.replied(node.attempts(n.query())[0].attempt_id, "done", status)
        n.now += 20_000
        n.grant("x1", 4)
        assert len(node.status_requests(n.query())) == asks


def _timeout(n):
    d = node.attempts(n.query())[0]
    n.now += 1000
    return d, node.status_requests(n.replied(d.attempt_id, "late"))


def test_after_a_timeout_it_asks_once_without_waking_and_forgets_that_it_was_warm():
    n = node.warm(node.Node(once_only=True), kept=True)
    _, w = _timeout(n)
    assert [(x.item, x.wake) for x in w] == [("m", False)]
    n.model_status(w[0].request_number, "loaded", serving_for=500_000)
    assert len(node.status_requests(n.query())) == 1


def _phase(n, state, **kw):
    _, w = _timeout(n)
    return _told(n.model_status(w[0].request_number, state, **kw))


def _told(out):
    return [e.fields["phase"] for e in out if isinstance(e, events.Note) and e.number == 52]


def test_loading_not_held_or_serving_since_after_the_send_is_a_cold_load_timeout():
    cold = ["cold-load-timeout"]
    new = lambda: node.warm(node.Node())  # noqa: E731
    assert _phase(new(), "loading") == cold
    assert _phase(new(), "unavailable", reason="not held") == cold
    assert _phase(new(), "loaded", serving_for=999) == cold


def test_serving_since_before_the_send_is_a_request_timeout():
    n = node.warm(node.Node())
    assert _phase(n, "loaded", serving_for=1000) == ["request-timeout"]


def test_with_no_answer_to_the_one_ask_it_goes_on_all_the_same():
    n = node.warm(node.Node())
    _timeout(n)
    assert not _told(n.until(375)) and _told(n.until(50)) == ["request-timeout"]


def test_a_repeatable_query_goes_again_once_and_only_after_readiness():
    n = node.warm(node.Node())
    d, w = _timeout(n)
    out = n.model_status(w[0].request_number, "loading")
    assert not node.attempts(out) and not node.final_answers(out)
    n.grant("x1", 4)
    again = node.attempts(n.model_status(node.first_request_number(out), "loaded", serving_for=10))
    assert [x.request_id for x in again] == [d.request_id]
    n.now += 1000
    out = n.replied(again[0].attempt_id, "late")
    assert not node.attempts(out)
    assert [x.body["ran"] for x in node.final_answers(out)] == ["unknown"]


def test_a_once_only_query_is_never_sent_again_after_a_timeout():
    n = node.warm(node.Node(once_only=True))
    d = node.attempts(n.query())[0]
    n.now += 1000
    out = n.replied(d.attempt_id, "late")
    assert len(node.final_answers(out)) == 1
    assert not node.attempts(out + n.model_status(node.first_request_number(out), "loaded", serving_for=10))


def test_a_once_only_query_goes_again_on_proof_that_it_never_ran():
    n = node.warm(node.Node(once_only=True))
    n.holds("x2", "m")
    d = node.attempts(n.query())[0]
    again = node.attempts(n.replied(d.attempt_id, "refused", 429, "busy"))
    assert [x.request_id for x in again] == [d.request_id] and again[0].replica_id != d.replica_id


def test_the_remaining_wait_travels_shrinking():
    n = node.Node()
    ask = node.first_request_number(n.query(deadline=9000))
    n.model_status(ask, "loading", retry_after=1000)
    n.until(3000)
    n.holds("x1", "m")
    ask = node.status_requests(n.until(500))[-1].request_number
    t = n.now - 1_000_000
    d = node.attempts(n.model_status(ask, "loaded"))[0]
    assert d.deadline_ms == 9000 - t < 6000
    n.now += 10
    assert n.r.may_write(d.attempt_id) == 3


def test_it_fails_before_sending_if_what_remains_cannot_cover_the_load():
    for left, refused in ((7999, 1), (8000, 0)):
        n = node.Node()
        ask = node.first_request_number(n.query(deadline=left))
        c = node.final_answers(n.model_status(ask, "loading", expected=8000))
        assert len(c) == refused
        if c:
            assert c[0].body["error"] == "deadline-too-short" and c[0].body["ran"] == "no"
            assert f"{left} ms remain" in c[0].body["detail"] and "8000 ms" in c[0].body["detail"]


def test_prewarm_orders_loads_without_a_query_and_without_waiting():
    n = node.Node()
    w = node.status_requests(
        n.step(query_events.PrewarmRequested(n.now, [identifiers.Item("m"), identifiers.Item("n")]))
    )
    assert [(x.item, x.wake) for x in w] == [("m", True), ("n", True)]
    assert not n.r.load_waits


def test_a_line_s_first_demand_prewarms_what_it_names():
    n = node.Node(prewarm=["m", "m/a", "n"])
    assert sorted(x.item for x in node.status_requests(n.query())) == ["m", "m/a", "n"]
    assert not node.status_requests(n.query())


def test_runtime_status_tells_without_asking():
    n = node.warm(node.Node())
    k = len(n.out)
    st = n.r.runtime_status()
    assert st["m"]["status"] == "warm" and st["n"]["status"] == "unknown"
    assert len(n.out) == k


def test_the_expected_load_is_the_90th_percentile_of_the_last_20():
    assert limits.expected_load_ms([], 700) == 700
    assert limits.expected_load_ms([5], 700) == 5
    assert limits.expected_load_ms(list(range(1, 21)), 0) == 18
    assert limits.expected_load_ms([10**6] + list(range(1, 21)), 0) == 18
