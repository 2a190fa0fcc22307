"""The decision after an attempt's end, over all that can be known: what it never does, and that each of these
checks finds the fault that it is there for."""

import dataclasses
import itertools

import pytest

import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.attempt_outcome as attempt_outcome

Known, Move, Outcome, Repeats = (
    retry_decision.Known,
    retry_decision.Move,
    attempt_outcome.Outcome,
    retry_decision.Repeats,
)
STATUSES = (0, 200, 404, 408, 421, 429, 500, 503, 504)
FLAGS = (
    "can_resume",
    "is_answer_begun",
    "has_run",
    "was_sent",
    "has_budget",
    "has_replica",
    "has_attempts",
    "has_time",
)
PROMISED = (408, 421, 429, 503)
NEVER_RAN = (Outcome.REFUSED, Outcome.ABSENT, Outcome.MOVED, Outcome.UNSENT)
AGAIN = (Move.REPEAT, Move.RESUME)


def every():
    flags = itertools.product((False, True), repeat=len(FLAGS))
    rows = itertools.product(Outcome, Repeats, STATUSES, flags)
    return [Known(outcome=o, repeats=r, status=s, **dict(zip(FLAGS, f, strict=True))) for o, r, s, f in rows]


ALL = every()


def ran(known):
    return known.has_run or known.outcome not in NEVER_RAN


def out(known):
    """Whether a part of an answer is with the client."""
    return known.is_answer_begun or known.outcome is Outcome.CUT


# each takes what is known and the move, and is false where the move breaks a rule


def what_may_have_run_and_must_not_again_does_not(known, move):
    return not (ran(known) and known.repeats is Repeats.NEVER) or move not in AGAIN


def what_may_have_run_is_never_promised_that_it_did_not(known, move):
    return not ran(known) or move is not Move.REFUSE


def what_may_have_run_once_is_given_no_promise_of_a_replica(known, move):
    promise = move is Move.PASS and known.status in PROMISED
    return not (promise and ran(known) and known.repeats is Repeats.NEVER)


def what_is_begun_to_be_answered_is_never_answered_anew(known, move):
    return not out(known) or move in (Move.NOTHING, Move.RESUME, Move.CUT)


def only_a_stream_that_may_go_on_is_resumed(known, move):
    return move is not Move.RESUME or out(known) and known.repeats is Repeats.RESUMED


def a_cut_run_is_joined_only_where_another_can_go_on(known, move):
    return known.outcome is not Outcome.CUT or known.can_resume or move not in AGAIN


def without_budget_nothing_arrives_again(known, move):
    free = known.outcome is Outcome.UNSENT and not known.was_sent
    return known.has_budget or free or move not in AGAIN


def it_goes_to_no_more_replicas_than_its_route_lets_it(known, move):
    return known.has_replica or known.outcome is Outcome.REFUSED or move not in AGAIN


def its_own_bounds_end_it(known, move):
    return known.has_attempts or move not in AGAIN


def when_its_time_is_over_its_end_comes_at_once(known, move):
    return known.has_time and known.outcome is not Outcome.LATE or move not in AGAIN


def what_is_answered_or_left_is_at_its_end(known, move):
    if known.outcome is Outcome.DONE:
        return move is Move.NOTHING
    return move is (Move.CUT if known.outcome is Outcome.GONE else move) and move is not Move.NOTHING


def only_a_kept_failure_is_passed_on(known, move):
    return move is not Move.PASS or known.outcome is Outcome.FAILED


def a_connection_is_ended_only_where_a_part_is_out_or_nobody_listens(known, move):
    return move is not Move.CUT or out(known) or known.outcome is Outcome.GONE


def what_never_ran_is_refused_with_a_promise(known, move):
    return ran(known) or out(known) or move in (Move.REFUSE, Move.REPEAT)


def what_may_go_again_and_can_does(known, move):
    free = known.has_attempts and known.has_time and known.has_budget and known.has_replica
    lost = known.outcome in NEVER_RAN or known.outcome is Outcome.BROKEN
    may = not out(known) and (known.repeats is not Repeats.NEVER or not ran(known))
    return not (free and lost and may) or move is Move.REPEAT


def a_kept_failure_is_passed_on_rather_than_replaced(known, move):
    kept = known.outcome is Outcome.FAILED and not out(known)
    own = known.repeats is Repeats.NEVER and known.status in PROMISED
    return not kept or own or move in (Move.PASS, Move.REPEAT)


RULES = [
    what_may_have_run_and_must_not_again_does_not,
    what_may_have_run_is_never_promised_that_it_did_not,
    what_may_have_run_once_is_given_no_promise_of_a_replica,
    what_is_begun_to_be_answered_is_never_answered_anew,
    only_a_stream_that_may_go_on_is_resumed,
    a_cut_run_is_joined_only_where_another_can_go_on,
    without_budget_nothing_arrives_again,
    it_goes_to_no_more_replicas_than_its_route_lets_it,
    its_own_bounds_end_it,
    when_its_time_is_over_its_end_comes_at_once,
    what_is_answered_or_left_is_at_its_end,
    only_a_kept_failure_is_passed_on,
    a_connection_is_ended_only_where_a_part_is_out_or_nobody_listens,
    what_never_ran_is_refused_with_a_promise,
    what_may_go_again_and_can_does,
    a_kept_failure_is_passed_on_rather_than_replaced,
]


@pytest.mark.parametrize("rule", RULES, ids=lambda f: f.__name__)
def test_no_decision_breaks_a_rule(rule):
    bad = [k for k in ALL if not rule(k, retry_decision.decide(k))]
    assert bad[:3] == []


def test_more_room_never_leads_to_less():
    for known in ALL:
        if retry_decision.decide(known) not in AGAIN:
            continue
        for flag in ("has_budget", "has_replica", "has_attempts", "has_time"):
            assert retry_decision.decide(dataclasses.replace(known, **{flag: True})) in AGAIN


_affordable, _proven_safe = retry_decision.affordable, retry_decision.proven_safe


def _with(function, **known):
    return lambda k: function(dataclasses.replace(k, **known))


def _passes_all(known):
    return Move.PASS


def _answers_anew(known):
    return retry_decision.give_up(False, known.has_run)


def _cuts_all(known):
    return Move.NOTHING if known.outcome is Outcome.DONE else Move.CUT


MUTATIONS = [
    (0, "proven_safe", lambda k: True),
    (1, "give_up", lambda begun, ran: Move.REFUSE),
    (2, "passable", lambda k: True),
    (3, "give_up", lambda begun, ran: Move.FAIL if ran else Move.REFUSE),
    (3, "decide", _answers_anew),
    (4, "proven_safe", lambda k: True),
    (5, "proven_safe", _with(_proven_safe, can_resume=True)),
    (6, "affordable", _with(_affordable, has_budget=True)),
    (7, "affordable", _with(_affordable, has_replica=True)),
    (8, "affordable", _with(_affordable, has_attempts=True)),
    (9, "affordable", _with(_affordable, has_time=True)),
    (9, "proven_safe", lambda k: True),
    (10, "decide", _answers_anew),
    (11, "decide", _passes_all),
    (12, "decide", _cuts_all),
    (13, "give_up", lambda begun, ran: Move.CUT if begun else Move.FAIL),
    (14, "affordable", lambda k: False),
    (15, "passable", lambda k: False),
]


@pytest.mark.parametrize(
    "rule, name, broken", MUTATIONS, ids=[f"{RULES[r].__name__}-{n}" for r, n, _ in MUTATIONS]
)
def test_each_check_finds_its_fault(monkeypatch, rule, name, broken):
    monkeypatch.setattr(retry_decision, name, broken)
    assert any(not RULES[rule](k, retry_decision.decide(k)) for k in ALL)
