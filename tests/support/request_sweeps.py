"""The sweeps: lists of cases with every event at every byte position."""

import collections.abc
import dataclasses

import tests.support.request_cases as request_cases
import tests.support.request_stand as request_stand

Behaviour = request_stand.Behaviour
Case = request_cases.Case
End = request_stand.End
Kind = request_stand.Kind
Leave = request_cases.Leave

ANY_ID = "q0000x0"
ANY_NAME = "n0000"
BREAKS = (End.CLOSE, End.RESET, End.SILENT, End.HALF_CLOSE)
STREAMS = ("stream", "single")
LARGE = 200_000
"""Size in bytes of a body that does not fit into the small buffers of two sockets."""
EARLY_ENDS = (End.KEEP, End.CLOSE, End.RESET)


def proper(route: str) -> Kind:
    """Returns the kind of a correct response on a route."""
    return Kind.STREAM if route in STREAMS else Kind.OK


def good(route: str) -> tuple[Behaviour, ...]:
    return (Behaviour(proper(route)),)


def answer_sizes(kind: Kind, is_stream: bool = False) -> tuple[int, int]:
    """Returns the sizes of the head and of the whole response of a kind; all names and ids have the same
    length."""
    arrival = request_stand.Arrival(ANY_NAME, 1, 0.0, ANY_ID)
    raw = request_stand.answer_bytes(kind, arrival, {}, is_stream)
    return raw.find(b"\r\n\r\n") + 4, len(raw)


def request_size(requests: int = 1) -> int:
    """Returns the size in bytes of that many requests as sent by a client."""
    return requests * len(request_cases.request_bytes(0, ANY_ID, request_cases.BODY))


def forwarded_size() -> int:
    """Returns an upper bound for the size of a request as forwarded by the proxy."""
    return request_size() + 100


def identifiers(route: str) -> list[Case]:
    """Returns cases with each kind of response as the first and the second on its connection, for one to
    three requests."""
    cases = []
    for kind in Kind:
        if kind is Kind.STREAM and route not in STREAMS:
            continue
        bad = Behaviour(kind)
        for name, near in (("first", (bad, *good(route))), ("second", (*good(route), bad, *good(route)))):
            for requests in (1, 2, 3):
                title = f"{route} {kind.name} {name} x{requests}"
                cases.append(Case(title, route, near, good(route), requests=requests))
        cases.append(Case(f"{route} {kind.name} always", route, (bad,), (bad,), (bad,), requests=2))
    return cases


def answers(route: str, kind: Kind, end: End) -> list[Case]:
    """Returns cases with a response that ends at each byte."""
    head, size = answer_sizes(kind, route in STREAMS)
    if end is End.GARBAGE:
        size = head - 1
    return [
        Case(f"{route} {kind.name} {end.name} at {k}", route, (Behaviour(kind, None, k, end),), good(route))
        for k in range(size + 1)
    ]


def requests(route: str, kind: Kind, end: End, sent: int | None) -> list[Case]:
    """Returns cases with a replica that reads a request up to each byte, then responds or not (`sent` 0),
    and ends."""
    return [
        Case(
            f"{route} {kind.name} {end.name} after reading {k}",
            route,
            (Behaviour(kind, k, sent, end), *good(route)),
            good(route),
        )
        for k in range(forwarded_size())
    ]


def pipelined(route: str, kind: Kind, end: End, second: bool) -> list[Case]:
    """Returns cases with two pipelined requests and an event at each byte of the first or second response."""
    _, size = answer_sizes(kind)
    cases = []
    for k in range(size + 1):
        bad = Behaviour(kind, None, k, end)
        near = (*good(route), bad, *good(route)) if second else (bad, *good(route))
        name = f"{route} {kind.name} {end.name} at {k} of the {'second' if second else 'first'}"
        cases.append(Case(name, route, near, good(route), requests=2))
    return cases


def early_pipelined(route: str, kind: Kind, end: End) -> list[Case]:
    """Returns the cases of `requests` with a second pipelined request."""
    return [
        dataclasses.replace(c, requests=2, name=f"{c.name} of two") for c in requests(route, kind, end, None)
    ]


def at_rest(route: str) -> list[Case]:
    """Returns cases in which an idle connection ends or receives unrequested bytes around the time of the
    next request."""
    cases = []
    for end in (End.REST_CLOSE, End.REST_RESET, End.REST_STRAY):
        for pause in range(request_stand.LATE_MS - 5, request_stand.LATE_MS + 6):
            near = (dataclasses.replace(good(route)[0], end=end), *good(route))
            name = f"{route} {end.name} and the next after {pause}"
            cases.append(Case(name, route, near, good(route), requests=2, pause_ms=pause))
    return cases


def late_extras() -> list[Case]:
    """Returns cases with a second response to the first request while its connection is idle."""
    pause = 2 * request_stand.LATE_MS
    return [
        Case(
            f"{r} late extra", r, (Behaviour(Kind.LATE_EXTRA), *good(r)), good(r), requests=2, pause_ms=pause
        )
        for r in ("safe", "once")
    ]


def resumed(end: End, other: collections.abc.Callable[[int], Behaviour]) -> list[Case]:
    """Returns cases with a stream that is interrupted at each byte, and a second replica's behaviour after
    that."""
    _, size = answer_sizes(Kind.STREAM)
    return [
        Case(
            f"stream {end.name} at {k}, then {other(k)}",
            "stream",
            (Behaviour(Kind.STREAM, None, k, end), *good("stream")),
            (other(k),),
        )
        for k in range(size + 1)
    ]


def clients_sending(route: str, how: Leave) -> list[Case]:
    """Returns cases with a client that leaves at each byte of two requests."""
    return [
        Case(
            f"{route} client {how.name} at {k}",
            route,
            good(route),
            good(route),
            requests=2,
            sent=k,
            leave=how,
        )
        for k in range(request_size(2))
    ]


def clients_reading(route: str, how: Leave) -> list[Case]:
    """Returns cases with a client that leaves after each byte of two responses."""
    _, size = answer_sizes(proper(route))
    return [
        Case(
            f"{route} client {how.name} after {k}",
            route,
            good(route),
            good(route),
            requests=2,
            read=k,
            leave=how,
        )
        for k in range(2 * size + 200)
    ]


def one_service(kind: Kind) -> list[Case]:
    """Returns many requests to one service that fail at every replica."""
    bad = (Behaviour(kind),)
    return [Case(f"{kind.name} {n}", "safe", bad, bad) for n in range(120)]


def written_in_part(route: str, kind: Kind, end: End, sent: int | None) -> list[Case]:
    """Returns the cases of `requests` with a body that exceeds the sockets' buffers, so that part of it is
    unsent."""
    head = request_size() - len(request_cases.BODY)
    steps = (0, 1, head, head + 1, 4096, 65_536, 150_000, LARGE - 1)
    return [
        Case(
            f"{route} {kind.name} {end.name} after reading {k} of a large body",
            route,
            (Behaviour(kind, k, sent, end), *good(route)),
            good(route),
            body=bytes(LARGE),
        )
        for k in steps
    ]
