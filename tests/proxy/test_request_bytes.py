"""Every event at every byte boundary of a request and its response; see docs/evidence/request-sweep.md."""

import socket

import pytest

import basaltport.sockets as sockets
import tests.support.request_cases as request_cases
import tests.support.request_checks as request_checks
import tests.support.request_stand as request_stand
import tests.support.request_sweeps as request_sweeps
import tests.support.sweeps as sweeps

End = request_stand.End
Kind = request_stand.Kind
Leave = request_cases.Leave
ROUTES = list(request_cases.ROUTES)
PLAIN = ("safe", "once")
BROKEN_KINDS = (Kind.OK, Kind.CHUNKED, Kind.ERROR, Kind.REFUSED, Kind.NO_LENGTH)
LONG_SWEEP = 30
EARLY_KINDS = (Kind.OK, Kind.ERROR, Kind.REFUSED, Kind.BARE_503, Kind.MISDIRECTED)


def check_cases(cases, *statuses, is_sweep=True):
    """Check that the cases have no findings and that each given outcome occurred.

    Of a sweep over bytes, every third case is run in CI.
    """
    if is_sweep and len(cases) >= LONG_SWEEP:
        cases = sweeps.part(cases, cases[::3])
    played = request_cases.play(cases)
    findings = request_checks.check_all(played)
    assert findings == []
    seen = request_checks.outcomes(played)
    assert all(seen[s] for s in statuses), seen
    print(f"{len(cases)} cases: {dict(seen)}")


@pytest.mark.parametrize("route", ROUTES)
def test_each_kind_of_answer_first_second_and_always_on_a_connection(route):
    check_cases(request_sweeps.identifiers(route), "200", "500", "502", is_sweep=False)


@pytest.mark.parametrize("end", [*request_sweeps.BREAKS, End.GARBAGE])
@pytest.mark.parametrize("route", PLAIN)
def test_an_answer_that_ends_at_each_byte(route, end):
    for kind in BROKEN_KINDS:
        check_cases(request_sweeps.answers(route, kind, end))


@pytest.mark.parametrize("end", [*request_sweeps.BREAKS, End.GARBAGE])
@pytest.mark.parametrize("route", request_sweeps.STREAMS)
def test_a_stream_that_ends_at_each_byte(route, end):
    check_cases(request_sweeps.answers(route, Kind.STREAM, end))


@pytest.mark.parametrize("end", request_sweeps.BREAKS)
@pytest.mark.parametrize("route", request_sweeps.STREAMS)
def test_a_stream_without_a_length_that_ends_at_each_byte(route, end):
    statuses = ("200",) if end in (End.CLOSE, End.HALF_CLOSE) else ()
    check_cases(request_sweeps.answers(route, Kind.NO_LENGTH, end), *statuses)


@pytest.mark.parametrize("end", request_sweeps.BREAKS)
@pytest.mark.parametrize("route", ROUTES)
def test_a_replica_that_reads_up_to_each_byte_and_says_nothing(route, end):
    check_cases(request_sweeps.requests(route, Kind.OK, end, 0))


@pytest.mark.parametrize("end", request_sweeps.EARLY_ENDS)
@pytest.mark.parametrize("route", ROUTES)
def test_a_replica_that_answers_before_it_has_read_all(route, end):
    for kind in EARLY_KINDS:
        check_cases(request_sweeps.requests(route, kind, end, None))


@pytest.mark.parametrize("route", ROUTES)
def test_a_replica_that_disconnects_while_a_large_body_is_sent(monkeypatch, route):
    set_timeouts = sockets.set_timeouts

    def small(sock):
        set_timeouts(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, request_stand.SMALL_BUFFER)

    monkeypatch.setattr(sockets, "set_timeouts", small)
    for end in request_sweeps.BREAKS:
        check_cases(request_sweeps.written_in_part(route, Kind.OK, end, 0))
    for kind in EARLY_KINDS:
        for end in request_sweeps.EARLY_ENDS:
            check_cases(request_sweeps.written_in_part(route, kind, end, None))


@pytest.mark.parametrize("end", request_sweeps.BREAKS)
@pytest.mark.parametrize("route", ROUTES)
def test_two_requests_and_an_event_at_each_byte_of_an_answer(route, end):
    for second in (False, True):
        check_cases(request_sweeps.pipelined(route, request_sweeps.proper(route), end, second), "200")


@pytest.mark.parametrize("end", request_sweeps.EARLY_ENDS)
@pytest.mark.parametrize("route", ROUTES)
def test_two_requests_and_an_early_response_at_each_byte_of_the_first(route, end):
    check_cases(request_sweeps.early_pipelined(route, request_sweeps.proper(route), end), "200")


@pytest.mark.parametrize("route", ROUTES)
def test_a_connection_that_ends_at_rest_just_as_the_next_request_comes(route):
    check_cases(request_sweeps.at_rest(route), "200")


@pytest.mark.parametrize("end", request_sweeps.BREAKS)
def test_a_stream_cut_at_each_byte_that_another_replica_takes_up(end):
    check_cases(request_sweeps.resumed(end, lambda k: request_stand.Behaviour(Kind.STREAM)), "200")
    for kind in (Kind.REFUSED, Kind.ERROR, Kind.BARE_503, Kind.EXTRA_FIRST):
        check_cases(request_sweeps.resumed(end, lambda k, kind=kind: request_stand.Behaviour(kind)), "cut")


@pytest.mark.parametrize("other", request_sweeps.BREAKS)
@pytest.mark.parametrize("end", request_sweeps.BREAKS)
def test_a_stream_cut_at_each_byte_and_cut_again_by_the_next(end, other):
    _, size = request_sweeps.answer_sizes(Kind.STREAM)
    check_cases(
        request_sweeps.resumed(end, lambda k: request_stand.Behaviour(Kind.STREAM, None, k * 7 % size, other))
    )


@pytest.mark.parametrize("how", Leave)
@pytest.mark.parametrize("route", ROUTES)
def test_a_client_that_ends_at_each_byte_of_two_requests(route, how):
    check_cases(request_sweeps.clients_sending(route, how))


@pytest.mark.parametrize("how", [Leave.CLOSE, Leave.RESET])
@pytest.mark.parametrize("route", ROUTES)
def test_a_client_that_ends_at_each_byte_of_two_answers(route, how):
    check_cases(request_sweeps.clients_reading(route, how))


@pytest.mark.parametrize("kind", [Kind.ERROR, Kind.REFUSED, Kind.NO_ID, Kind.MISDIRECTED])
def test_further_arrivals_of_many_requests_stay_within_the_budget_of_their_service(kind):
    played = request_cases.play(request_sweeps.one_service(kind), shared=True)
    assert request_checks.check_all(played, shared=True) == []
    assert sum(len(p.log) for p in played) > len(played), "some went again"
