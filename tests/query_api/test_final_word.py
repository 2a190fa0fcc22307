"""What is given up on gets its final answer in the same step, and when to come back."""

import basaltport.events as events
import tests.support.node as node


def _sent(n, **kw):
    return node.attempts(n.query(**kw))[0].attempt_id


def _words(out):
    return [(c.body["error"], c.body["ran"]) for c in node.final_answers(out)]


def test_a_timed_out_once_only_query_is_answered_in_the_step_and_the_controller_asked_beside():
    n = node.warm(node.Node(once_only=True))
    d = _sent(n)
    n.now += 1000
    out = n.replied(d, "late")
    assert _words(out) == [("request-timeout", "unknown")]
    assert [w.wake for w in node.status_requests(out)] == [False]
    assert node.final_answers(out)[0].retry_after_ms > 0


def test_a_query_resent_already_is_answered_in_the_step():
    n = node.warm(node.Node())
    n.replied(_sent(n), "broken")
    n.until(300)
    n.grant("x1", 4)
    w = node.status_requests(n.until(400))
    d = node.attempts(n.model_status(w[-1].request_number, "loaded", serving_for=9))[0].attempt_id
    assert _words(n.replied(d, "late")) == [("request-timeout", "unknown")]


def test_without_credit_or_time_nothing_is_held():
    m = node.manifest()
    m["pools"]["p"]["resend_allowance"] = 0
    n = node.warm(node.Node(m))
    assert _words(n.replied(_sent(n), "late")) == [("request-timeout", "unknown")]
    n = node.warm(node.Node())
    d = _sent(n, deadline=900)
    n.now += 900
    assert _words(n.replied(d, "late")) == [("request-timeout", "unknown")]


def test_what_may_be_resent_awaits_the_controller_and_no_longer():
    n = node.warm(node.Node())
    out = n.replied(_sent(n), "late")
    assert not node.final_answers(out)
    ask = node.first_request_number(out)
    again = node.status_requests(n.model_status(ask, "loaded", serving_for=100_000) + n.until(400))[
        -1
    ].request_number
    n.grant("x1", 4)
    assert len(node.attempts(n.model_status(again, "loaded", serving_for=100_000))) == 1


def test_every_final_word_that_is_not_the_senders_mistake_says_when_to_come_back():
    n = node.warm(node.Node(bound=6, once_only=True))
    n.grant("x1", 1)
    out = [e for _ in range(5) for e in n.query()]
    out += n.until(2000)
    out += n.query(deadline=0)
    n.r.lease_expires_at_ms = n.now - 10_000
    out += n.query()
    cs = node.final_answers(out)
    assert {c.body["error"] for c in cs} >= {"line-full", "no-leader", "deadline-too-short"}
    assert all(c.retry_after_ms == c.body["retry_after_ms"] > 0 for c in cs)
    assert not any(c.retry_after_ms for c in node.final_answers(n.query(line="none")) if c.status == 404)


def test_when_to_come_back_is_what_is_known():
    n = node.Node()
    n.news()
    ask = node.first_request_number(n.query(deadline=6000))
    out = n.model_status(ask, "loading", expected=9000, loading_for=1000)
    assert [c.retry_after_ms for c in node.final_answers(out)] == [8000]
    n = node.warm(node.Node())
    n.r.service_times["m"] = 1000
    n.grant("x1", 1)
    for _ in range(3):
        n.query(deadline=60_000)
    out = n.query(deadline=2000)
    assert [(c.body["error"], c.retry_after_ms) for c in node.final_answers(out)] == [("too-busy", 2000)]
    n.r.lease_expires_at_ms = n.now - 2600
    assert [c.retry_after_ms for c in node.final_answers(n.step(events.Tick(n.now)))] == [200] * 2
