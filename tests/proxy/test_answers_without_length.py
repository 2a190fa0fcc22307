"""A response without a length ends with its connection: complete if that is closed, incomplete if it is
reset, or if the response is a stream that ends inside an event."""

import asyncio
import socket
import struct

import pytest

import tests.support.proxy_stand as stand

HEADERS = stand.HEADERS
EVENTS = b"".join(stand.event(i) for i in range(1, 4))
MANY_EVENTS = b"".join(stand.event(i) for i in range(1, 50_001))
LARGE = bytes(range(256)) * 20_000
RESET = struct.pack("ii", 1, 0)


def run(coro):
    return asyncio.run(asyncio.wait_for(coro, stand.BOUND))


def answers(body, is_reset):
    async def script(replica, headers, writer):
        writer.write(stand.head(headers, Connection="close") + body)
        await writer.drain()
        if is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            while len(replica.passed_on) < 1:
                await asyncio.sleep(0.001)
        writer.close()

    return script


async def exchange(path, body, is_reset=False):
    """Returns the status and body that a client gets; the body is None if it is incomplete."""
    replica = stand.Replica("i-1", answers(body, is_reset))
    replica.passed_on = []
    async with stand.Front([replica]) as proxy:
        asking = asyncio.create_task(proxy.ask(path, **{stand.HEADERS.deadline: "2500"}))
        while not replica.seen:
            await asyncio.sleep(0.001)
        if is_reset:
            await asyncio.sleep(0.05)
        replica.passed_on.append(True)
        status, _, got = await asking
        return status, got


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("body", [b"", b"written", LARGE], ids=["empty", "short", "5 MB"])
def test_an_answer_whose_connection_is_closed_is_whole(path, body):
    assert run(exchange(path, body)) == (200, body)


@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
@pytest.mark.parametrize("body", [EVENTS, MANY_EVENTS], ids=["3 events", "50,000 events"])
def test_a_stream_whose_connection_is_closed_is_complete(path, body):
    assert run(exchange(path, body)) == (200, body)


def test_a_response_whose_connection_is_reset_is_rejected():
    assert run(exchange("/once/x", b"written", is_reset=True))[0] == 502


def test_a_stream_whose_connection_is_reset_is_incomplete():
    assert run(exchange("/single/x", EVENTS, is_reset=True)) == (200, None)


# A replica that crashes inside an event of a stream without a length: the kernel closes its connection as
# cleanly as the replica does, and the client was told that the torn stream is complete.

ALL_EVENTS = EVENTS + stand.event(4)
EVENT_STREAM = {"Content-Type": "text/event-stream"}


def torn_stream(size, events=ALL_EVENTS, line_end=b"\n", **more):
    """Returns a replica's script that sends the first bytes of a stream without a length and closes."""

    async def script(replica, headers, writer):
        body = events.replace(b"\n", line_end)[:size]
        writer.write(stand.head(headers, Connection="close", **{**EVENT_STREAM, **more}) + body)
        await writer.drain()
        writer.close()

    return script


async def resumed(replica, headers, writer):
    """A replica that goes on after the event that it is told."""
    first = int(headers.get(HEADERS.resume.lower(), 0)) + 1
    body = b"".join(stand.event(i) for i in range(first, 5))
    writer.write(stand.whole(headers, body, **EVENT_STREAM))


async def ask(path, *scripts):
    """Returns the status and body that a client gets, and how many requests each replica received."""
    replicas = [stand.Replica(f"i-{n}", s, zone=f"z{n}") for n, s in enumerate(scripts, 1)]
    async with stand.Front(replicas) as proxy:
        status, _, body = await proxy.ask(path, **{HEADERS.deadline: "2500"})
        return status, body, [len(replica.seen) for replica in replicas]


def inside_events():
    """Returns the offsets of ALL_EVENTS that are inside an event."""
    ends = {len(ALL_EVENTS[:end]) for end in range(len(ALL_EVENTS) + 1) if ALL_EVENTS[:end].endswith(b"\n\n")}
    return [size for size in range(1, len(ALL_EVENTS)) if size not in ends]


@pytest.mark.parametrize("size", inside_events()[::5])
def test_a_stream_without_a_length_that_ends_inside_an_event_goes_on_elsewhere(size):
    status, body, seen = run(ask("/stream/x", torn_stream(size), resumed))
    assert (status, body, seen) == (200, ALL_EVENTS, [1, 1])


@pytest.mark.parametrize("size", inside_events()[::5])
def test_a_stream_without_a_length_that_ends_inside_an_event_is_never_complete(size):
    status, body, seen = run(ask("/single/x", torn_stream(size), resumed))
    assert (body is None or status == 502) and seen == [1, 0]


@pytest.mark.parametrize("line_end", [b"\r", b"\r\n"], ids=["CR", "CRLF"])
@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
def test_a_torn_stream_is_told_by_any_line_end(path, line_end):
    body = ALL_EVENTS.replace(b"\n", line_end)
    assert run(ask(path, torn_stream(len(body), line_end=line_end)))[:2] == (200, body)
    status, got, _ = run(ask(path, torn_stream(len(body) - len(line_end), line_end=line_end)))
    assert got is None


def test_a_stream_torn_without_a_media_type_is_not_complete_either():
    script = torn_stream(len(ALL_EVENTS) - 3, **{"Content-Type": "text/event-stream; charset=utf-8"})
    assert run(ask("/single/x", script))[1] is None
    assert run(exchange("/single/x", ALL_EVENTS[:-3]))[1] is None


@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
def test_a_stream_that_is_torn_again_where_it_went_on_is_never_complete(path):
    scripts = [torn_stream(len(EVENTS) - 5), torn_stream(len(stand.event(3)) - 5, stand.event(3))]
    status, body, _ = run(ask(path, *scripts))
    assert status == 200 and body is None


@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
@pytest.mark.parametrize("rest", [b"", b": the end\n", b":\n: twice\n", b"\n"], ids=repr)
def test_a_sound_stream_without_a_length_is_complete(path, rest):
    assert run(exchange(path, ALL_EVENTS + rest)) == (200, ALL_EVENTS + rest)


@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
def test_a_body_that_is_no_event_stream_is_not_judged_by_events(path):
    body = b'{"written": true}'
    script = torn_stream(len(body), body, **{"Content-Type": "application/json"})
    assert run(ask(path, script))[:2] == (200, body)


@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_a_stream_whose_end_is_stated_is_passed_on_as_it_is(path, is_chunked):
    body = ALL_EVENTS[:-5]

    async def script(replica, headers, writer):
        if is_chunked:
            head = stand.head(headers, **{"Transfer-Encoding": "chunked", **EVENT_STREAM})
            writer.write(head + stand.chunk(body) + b"0\r\n\r\n")
        else:
            writer.write(stand.whole(headers, body, **EVENT_STREAM))

    assert run(ask(path, script))[:2] == (200, body)


# A transfer coding other than chunked states no end of a body and changes its bytes; a reset connection ended
# such a response, and the client was told that it is complete.


def coded(coding, body, is_reset):
    """Returns a replica's script whose response has a transfer coding and ends with its connection."""

    async def script(replica, headers, writer):
        writer.write(stand.head(headers, **{"Transfer-Encoding": coding}) + body)
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    return script


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("coding", ["xchunked", "chunked, gzip", "gzip"])
def test_a_response_with_another_transfer_coding_is_rejected(coding, is_reset):
    assert run(ask("/once/x", coded(coding, b"written", is_reset)))[0] == 502


@pytest.mark.parametrize("body", [b"3\r\nwri\r\n0\r\n\r\n"])
def test_a_response_that_is_coded_and_chunked_is_rejected(body):
    assert run(ask("/once/x", coded("gzip, chunked", body, False)))[0] == 502


def test_a_chunked_response_is_complete_in_any_case_of_its_coding():
    body = b"3\r\nwri\r\n0\r\n\r\n"
    assert run(ask("/once/x", coded("Chunked", body, False)))[:2] == (200, b"wri")


def test_a_response_with_the_identity_coding_ends_with_its_connection():
    assert run(ask("/once/x", coded("identity", b"written", False)))[:2] == (200, b"written")
    assert run(ask("/once/x", coded("identity", b"written", True)))[0] == 502
