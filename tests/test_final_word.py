"""What is given up on gets its final answer in the same step, and when to come back."""

import basaltport.events as events
import tests.node as node


def _sent(n, **kw):
    return node.dispatches(n.query(**kw))[0].dispatch


def _words(out):
    return [(c.body["error"], c.body["ran"]) for c in node.closes(out)]


def test_a_timed_out_once_only_query_is_answered_in_the_step_and_the_controller_asked_beside():
    n = node.warm(node.Node(once_only=True))
    d = _sent(n)
    n.now += 1000
    out = n.replied(d, "late")
    assert _words(out) == [("request-timeout", "unknown")]
    assert [w.wake for w in node.wants(out)] == [False]
    assert node.closes(out)[0].retry_after > 0


def test_a_query_resent_already_is_answered_in_the_step():
    n = node.warm(node.Node())
    n.replied(_sent(n), "broken")
    n.until(300)
    n.grant("x1", 4)
    w = node.wants(n.until(400))
    d = node.dispatches(n.facts(w[-1].ask, "loaded", serving_for=9))[0].dispatch
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
    assert not node.closes(out)
    ask = node.wants(out)[0].ask
    again = node.wants(n.facts(ask, "loaded", serving_for=100_000) + n.until(400))[-1].ask
    n.grant("x1", 4)
    assert len(node.dispatches(n.facts(again, "loaded", serving_for=100_000))) == 1


def test_every_final_word_that_is_not_the_senders_mistake_says_when_to_come_back():
    n = node.warm(node.Node(bound=6, once_only=True))
    n.grant("x1", 1)
    out = [e for _ in range(5) for e in n.query()]
    out += n.until(2000)
    out += n.query(deadline=0)
    n.r.lease_end = n.now - 10_000
    out += n.query()
    cs = node.closes(out)
    assert {c.body["error"] for c in cs} >= {"line-full", "no-leader", "deadline-too-short"}
    assert all(c.retry_after == c.body["retry_after_ms"] > 0 for c in cs)
    assert not any(c.retry_after for c in node.closes(n.query(line="none")) if c.status == 404)


def test_when_to_come_back_is_what_is_known():
    n = node.Node()
    n.news()
    ask = node.wants(n.query(deadline=6000))[0].ask
    out = n.facts(ask, "loading", expected=9000, loading_for=1000)
    assert [c.retry_after for c in node.closes(out)] == [8000]
    n = node.warm(node.Node())
    n.r.service["m"] = 1000
    n.grant("x1", 1)
    for _ in range(3):
        n.query(deadline=60_000)
    out = n.query(deadline=2000)
    assert [(c.body["error"], c.retry_after) for c in node.closes(out)] == [("too-busy", 2000)]
    n.r.lease_end = n.now - 2600
    assert [c.retry_after for c in node.closes(n.step(events.Tick(n.now)))] == [200] * 2
