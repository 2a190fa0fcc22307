"""Replicas on 127.0.0.1 that misbehave at a given byte of a request or response and log every request."""

import asyncio
import dataclasses
import enum
import os
import socket
import struct

import tests.support.proxy_stand as stand

HEADERS = stand.HEADERS
LATE_MS = 60
HOST = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}.1"
"""An address used only by this process, so that connections to ports that other processes used before do
not affect a case."""
LINGER_RESET = struct.pack("ii", 1, 0)
EVENTS = 4
GARBAGE = b"\x00\x01\r\n\xff: what\r\n\r\n"
SMALL_BUFFER = 4096


class Kind(enum.Enum):
    """What a replica answers."""

    OK = "ok"
    CHUNKED = "chunked, with extensions and a trailer"
    ERROR = "500"
    REFUSED = "503 that proves that nothing ran"
    BARE_503 = "503 without that proof"
    REFUSED_429 = "429 with proof"
    BARE_429 = "429 without"
    BARE_408 = "408 without"
    MISDIRECTED = "421 of this replica"
    MOVED = "421 of another replica"
    NO_ID = "200 without an id"
    FOREIGN_ID = "200 with the id of another request"
    NO_STAMP = "200 without a stamp"
    ENCODED = "200 with a content encoding"
    EXTRA = "200, and at once one more answer"
    LATE_EXTRA = "200, and one more answer a while later"
    EXTRA_FIRST = "one more answer to the request before, then the answer"
    TOO_LONG = "200, with bytes beyond its length"
    GARBAGE = "bytes that are no HTTP"
    CONTINUE = "100, then 200"
    UPGRADE = "101"
    BOTH_LENGTHS = "a length and chunks"
    TWO_LENGTHS = "two lengths that differ"
    NO_LENGTH = "200 that ends with the connection"
    CLOSING = "200 with Connection: close"
    STREAM = "a stream of events"


PROOFS = {Kind.REFUSED, Kind.REFUSED_429, Kind.MISDIRECTED, Kind.MOVED}
STATUS = {
    Kind.ERROR: "500 Sick",
    Kind.REFUSED: "503 Full",
    Kind.BARE_503: "503 Full",
    Kind.REFUSED_429: "429 Slower",
    Kind.BARE_429: "429 Slower",
    Kind.BARE_408: "408 Late",
    Kind.MISDIRECTED: "421 Elsewhere",
    Kind.MOVED: "421 Elsewhere",
    Kind.UPGRADE: "101 Switching Protocols",
}


class End(enum.Enum):
    """What a replica does with the connection after the bytes of a behaviour were sent."""

    KEEP = "serves on"
    SILENT = "keeps it and says nothing more"
    CLOSE = "closes it"
    RESET = "resets it"
    HALF_CLOSE = "sends no more, and keeps reading"
    GARBAGE = "sends bytes that are no HTTP and closes"
    STRAY = "sends a whole answer that nobody asked for, and serves on"
    REST_CLOSE = "closes it a while later"
    REST_RESET = "resets it a while later"
    REST_STRAY = "sends a while later an answer that nobody asked for, and serves on"


IDLE_ENDS = {End.REST_CLOSE: End.CLOSE, End.REST_RESET: End.RESET, End.REST_STRAY: End.STRAY}


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How a replica handles one request: it reads `read` bytes of the request before it does anything else
    and sends `upto` bytes of the response; None means all."""

    kind: Kind = Kind.OK
    read: int | None = None
    upto: int | None = None
    end: End = End.KEEP


GOOD = Behaviour()


@dataclasses.dataclass
class Arrival:
    """A request of which a replica received a byte. `proven`: a complete head stated that it did not run."""

    replica: str
    number: int
    at_ms: float
    request_id: str = ""
    line: str = ""
    body: bytes | None = None
    status: int = 0
    stamp: str = ""
    answer_body: bytes = b""
    proven: bool = False
    is_reset: bool = False
    """Whether the response had no length and its connection was reset, so that it is incomplete."""
    ends_with_connection: bool = False
    """Whether the response had no length and its connection was closed cleanly, so that `answer_body` is
    complete, if a stream does not end inside an event."""


class Replica:
    """A replica that applies one behaviour per request, and the last one to all further requests; `log` is
    shared by all replicas of a case."""

    def __init__(self, name: str, service: str, behaviours: list[Behaviour], log: list[Arrival]) -> None:
        self.id = name
        self.service = service
        self.behaviours = behaviours
        self.log = log
        self.zone = "z1"
        self.events = False
        self.small_buffer = False
        self.request_count = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "Replica":
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.small_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.listener.setblocking(False)
        self.listener.bind((HOST, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.loop = asyncio.get_running_loop()
        self.server = self
        self.accepting = self.loop.create_task(self.accept())
        return self

    def close(self) -> None:
        self.accepting.cancel()
        for t in self.tasks:
            t.cancel()
        self.listener.close()

    def row(self) -> dict[str, object]:
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "slots": 8,
            "state": "ready",
            "leaves_in_ms": None,
            "cold_ms": 0,
            "models": {},
            "loading": [],
        }

    async def accept(self) -> None:
        while True:
            sock, _ = await self.loop.sock_accept(self.listener)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self.serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, sock: socket.socket) -> None:
        try:
            while await self.serve_request(sock):
                pass
        except OSError:
            pass
        finally:
            sock.close()

    def behaviour(self) -> Behaviour:
        self.request_count += 1
        return self.behaviours[min(self.request_count, len(self.behaviours)) - 1]

    async def serve_request(self, sock: socket.socket) -> bool:
        """Serve one request; returns whether the connection stays open."""
        received = await self.peek(sock)
        if not received:
            return False
        behaviour = self.behaviour()
        arrival = Arrival(self.id, self.request_count, self.loop.time() * 1000)
        self.log.append(arrival)
        headers = head_of(received)
        arrival.request_id = headers.get(HEADERS.request_id.lower(), "")
        arrival.line = received.partition(b"\r\n")[0].decode("latin-1")
        size = size_of(received)
        left = size if behaviour.read is None else min(behaviour.read, size)
        raw = await self.read_exactly(sock, left)
        if left == size:
            arrival.body = raw.partition(b"\r\n\r\n")[2]
        await self.answer(sock, behaviour, arrival, headers)
        if behaviour.end is not End.KEEP:
            return await self.finish(sock, behaviour.end)
        await self.read_exactly(sock, size - left)
        return True

    async def peek(self, sock: socket.socket) -> bytes:
        """Wait for a complete head, which the proxy sends at once; returns the received bytes without
        consuming them."""
        received = b""
        while True:
            await readable(sock)
            now = sock.recv(65536, socket.MSG_PEEK)
            if b"\r\n\r\n" in now or now == received:
                return now
            received = now

    async def read_exactly(self, sock: socket.socket, size: int) -> bytes:
        raw = b""
        while len(raw) < size:
            part = await self.loop.sock_recv(sock, size - len(raw))
            if not part:
                raise ConnectionResetError("the proxy sent no more")
            raw += part
        return raw

    async def answer(
        self, sock: socket.socket, behaviour: Behaviour, arrival: Arrival, headers: dict[str, str]
    ) -> None:
        raw = answer_bytes(behaviour.kind, arrival, headers, self.events)
        sent_bytes = raw if behaviour.upto is None else raw[: behaviour.upto]
        head_end = raw.find(b"\r\n\r\n") + 4
        arrival.proven = behaviour.kind in PROOFS and len(sent_bytes) >= head_end
        if behaviour.kind is Kind.NO_LENGTH and len(sent_bytes) >= head_end:
            record_connection_end(arrival, sent_bytes[head_end:], behaviour.end)
        if sent_bytes:
            await self.loop.sock_sendall(sock, sent_bytes)
        if behaviour.kind is Kind.LATE_EXTRA and behaviour.upto is None:
            await asyncio.sleep(LATE_MS / 1000)
            await self.loop.sock_sendall(sock, plain(arrival, b"late"))

    async def finish(self, sock: socket.socket, end: End) -> bool:
        if end in IDLE_ENDS:
            await asyncio.sleep(LATE_MS / 1000)
            end = IDLE_ENDS[end]
        if end is End.RESET:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            return False
        if end is End.GARBAGE:
            await self.loop.sock_sendall(sock, GARBAGE)
            return False
        if end is End.STRAY:
            await self.loop.sock_sendall(sock, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
            return True
        if end is End.HALF_CLOSE:
            sock.shutdown(socket.SHUT_WR)
        if end in (End.SILENT, End.HALF_CLOSE):
            while await self.loop.sock_recv(sock, 65536):
                pass
        return False


def record_connection_end(arrival: Arrival, sent: bytes, end: End) -> None:
    """Record the body of a response without a length: everything sent before a clean close of its
    connection."""
    end = IDLE_ENDS.get(end, end)
    arrival.is_reset = end is End.RESET
    if end in (End.CLOSE, End.HALF_CLOSE):
        arrival.answer_body = sent
        arrival.ends_with_connection = True
    if end is End.GARBAGE:
        arrival.answer_body = sent + GARBAGE


async def readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(sock, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_reader(sock)


def head_of(raw: bytes) -> dict[str, str]:
    lines = raw.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    return {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}


def size_of(raw: bytes) -> int:
    """Returns the size of a complete request in bytes, from its head."""
    head = raw.partition(b"\r\n\r\n")[0]
    return len(head) + 4 + int(head_of(raw).get("content-length", 0))


def plain(arrival: Arrival, body: bytes, status: str = "200 OK", **more: str) -> bytes:
    """Returns a response with a length, an id and a stamp."""
    headers = {
        "Content-Length": str(len(body)),
        HEADERS.request_id: arrival.request_id,
        HEADERS.stamp: f"{arrival.replica}.{arrival.number}",
        **more,
    }
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items() if v)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_bytes(kind: Kind, arrival: Arrival, headers: dict[str, str], events: bool) -> bytes:
    """Returns the bytes of a response, and records in `arrival` what a correct proxy may conclude. With
    `events`, any successful response has the body of a stream."""
    stamp = f"{arrival.replica}.{arrival.number}"
    body = f"{arrival.request_id}@{stamp}".encode()
    if events and kind not in STATUS:
        body = b"".join(events_of(arrival, headers))
    arrival.stamp, arrival.answer_body = stamp, body
    arrival.status = int(STATUS.get(kind, "200 OK").split()[0])
    if kind is Kind.STREAM:
        return stream_bytes(arrival, headers)
    if kind in STATUS:
        return refusal_bytes(kind, arrival, body)
    return success_bytes(kind, arrival, body)


def refusal_bytes(kind: Kind, arrival: Arrival, body: bytes) -> bytes:
    more: dict[str, str] = {}
    if kind in (Kind.REFUSED, Kind.REFUSED_429):
        more[HEADERS.not_run] = "1"
    if kind in (Kind.MISDIRECTED, Kind.MOVED):
        more[HEADERS.replica] = arrival.replica if kind is Kind.MISDIRECTED else "another"
    if kind is Kind.UPGRADE:
        more |= {"Connection": "upgrade", "Upgrade": "chat", "Content-Length": ""}
        arrival.status, body = 0, b""
    return plain(arrival, body, STATUS[kind], **more)


def success_bytes(kind: Kind, arrival: Arrival, body: bytes) -> bytes:
    chunks = b"4;why=x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (body[:4], len(body) - 4, body[4:])
    chunked = {"Content-Length": "", "Transfer-Encoding": "chunked"}
    other = dataclasses.replace(arrival, request_id="another")
    if kind is Kind.CHUNKED:
        return plain(arrival, b"", **chunked) + chunks
    if kind is Kind.BOTH_LENGTHS:
        return plain(arrival, body, **{"Transfer-Encoding": "chunked"}).removesuffix(body) + chunks
    if kind is Kind.TWO_LENGTHS:
        return plain(arrival, body, **{"content-length": str(len(body) - 2)})
    if kind is Kind.NO_LENGTH:
        return plain(arrival, body, **{"Content-Length": "", "Connection": "close"})
    if kind is Kind.CLOSING:
        return plain(arrival, body, Connection="close")
    if kind is Kind.CONTINUE:
        return b"HTTP/1.1 100 Continue\r\n\r\n" + plain(arrival, body)
    return unexpected_bytes(kind, arrival, other, body)


def unexpected_bytes(kind: Kind, arrival: Arrival, other: Arrival, body: bytes) -> bytes:
    if kind is Kind.EXTRA:
        return plain(arrival, body) + plain(arrival, b"extra")
    if kind is Kind.EXTRA_FIRST:
        return plain(other, b"of another") + plain(arrival, body)
    if kind is Kind.TOO_LONG:
        return plain(arrival, body) + b"and more"
    if kind is Kind.GARBAGE:
        return b"\x16\x03\x01 nothing of the kind\r\n\r\n"
    return invalid_bytes(kind, arrival, other, body)


def invalid_bytes(kind: Kind, arrival: Arrival, other: Arrival, body: bytes) -> bytes:
    if kind is Kind.FOREIGN_ID:
        return plain(other, body)
    if kind is Kind.NO_ID:
        return plain(arrival, body, **{HEADERS.request_id: ""})
    if kind is Kind.NO_STAMP:
        return plain(arrival, body, **{HEADERS.stamp: ""})
    if kind is Kind.ENCODED:
        return plain(arrival, body, **{"Content-Encoding": "gzip"})
    return plain(arrival, body)


def event(arrival: Arrival, i: int) -> bytes:
    return f"id: {i}\ndata: {arrival.request_id} {arrival.replica}.{arrival.number}\n\n".encode()


def events_of(arrival: Arrival, headers: dict[str, str]) -> list[bytes]:
    first = int(headers.get(HEADERS.resume.lower(), 0)) + 1
    return [event(arrival, i) for i in range(first, EVENTS + 1)]


def stream_bytes(arrival: Arrival, headers: dict[str, str]) -> bytes:
    more = {"Content-Length": "", "Transfer-Encoding": "chunked", "Content-Type": "text/event-stream"}
    parts = [stand.chunk(e) for e in events_of(arrival, headers)]
    return plain(arrival, b"", **more) + b"".join(parts) + b"0\r\n\r\n"
