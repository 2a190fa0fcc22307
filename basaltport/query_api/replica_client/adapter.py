"""The one adapter to replicas: dispatches, polls and orders over HTTP, and what is proven of each."""

import asyncio
import collections.abc
import http
import json
import socket
import typing

import aiohttp
import aiohttp.abc
import aiohttp.tracing

import basaltport.events as events
import basaltport.query_api.replica_client.pieces as pieces
import basaltport.sockets as sockets

DISPATCH = "Basaltport-Dispatch"
SERIAL = "Basaltport-Serial"
DEADLINE = "Basaltport-Deadline-Ms"
RAN = "Basaltport-Ran"
KEEP = 65_536


Document = dict[str, typing.Any]
Guard = collections.abc.Callable[[str], int | None]


class SessionOptions(typing.TypedDict, total=False):
    """The options of `aiohttp.ClientSession` that are used."""

    connector: aiohttp.BaseConnector
    timeout: aiohttp.ClientTimeout
    cookie_jar: aiohttp.abc.AbstractCookieJar
    skip_auto_headers: collections.abc.Iterable[str]
    auto_decompress: bool
    max_line_size: int
    max_field_size: int
    read_bufsize: int


class ConnectorOptions(typing.TypedDict, total=False):
    """The options of `aiohttp.TCPConnector` that are used."""

    limit: int
    keepalive_timeout: float
    socket_factory: collections.abc.Callable[[sockets.AddressInfo], socket.socket]


def once_session(**options: typing.Unpack[SessionOptions]) -> aiohttp.ClientSession:
    """A session that never sends a request twice by itself."""
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session


class WithheldError(Exception):
    """The lease, serial or mark was no longer good right before the write."""


class Sink(typing.Protocol):
    """Where the one answer of a request goes."""

    begun: bool

    async def whole(self, status: int, doc: Document) -> None:
        """Pass on an answer that came whole."""

    async def piece(self, number: int, piece: object) -> None:
        """Pass on a piece of a stream."""

    async def end(self, count: int) -> None:
        """End a stream cleanly."""

    async def cut(self) -> None:
        """End a stream so that it does not look complete."""


class Result(typing.NamedTuple):
    """What came of a dispatch: done, refused, broken, late or cut; the status, or for `refused` the serial
    seen; a detail; and the reply to keep, if any."""

    outcome: str
    number: int
    detail: str
    kept: Document | None = None


class Guarded(aiohttp.TCPConnector):
    """Asks the guard once a wire is there, before a byte of the query goes out."""

    def __init__(self, guard: Guard, **options: typing.Unpack[ConnectorOptions]) -> None:
        """`guard` gives the serial for a dispatch that may be written, else None."""
        super().__init__(**options)
        self.guard = guard
        self.written: set[str] = set()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """A connection on which the request may be written; WithheldError where it may not."""
        wire = await super().connect(req, traces, timeout)
        dispatch = req.headers.get(DISPATCH)
        if dispatch is None:
            return wire
        serial = self.guard(dispatch)
        if serial is None:
            wire.release()
            raise WithheldError(dispatch)
        req.headers[SERIAL] = str(serial)
        self.written.add(dispatch)
        return wire


class Adapter:
    """All requests of a node to replicas."""

    def __init__(self, guard: Guard) -> None:
        """`guard`: see `Guarded`."""
        self.guard = guard

    async def start(self) -> None:
        """Make the session."""
        self.wires = Guarded(self.guard, limit=0, keepalive_timeout=10, socket_factory=sockets.factory)
        self.session = once_session(connector=self.wires, auto_decompress=False)

    async def stop(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def ask(
        self, method: str, url: str, body: Document | None = None, lapse: int = 1000
    ) -> tuple[bool, Document]:
        """(ok, answer) of a poll or an order."""
        try:
            async with asyncio.timeout(lapse / 1000):
                async with self.session.request(method, url, json=body) as r:
                    doc = await r.json(content_type=None)
                    if not isinstance(doc, dict):
                        return False, {}
                    return r.status == http.HTTPStatus.OK, doc
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as e:
            return False, {"error": type(e).__name__}

    async def run(self, d: events.Dispatch, sink: Sink) -> Result:
        """What came of a dispatch, whose answer went to `sink`."""
        try:
            async with asyncio.timeout(d.timeout / 1000):
                return await self.once(d, sink)
        except TimeoutError:
            if sink.begun:
                await sink.cut()
                return Result("cut", 0, "time ended in mid-reply")
            late = d.dispatch in self.wires.written
            return Result("late", 0, "") if late else Result("refused", 0, "no-wire")
        except WithheldError:
            return Result("refused", 0, "withheld")
        except aiohttp.ClientConnectorError:
            return Result("refused", 0, "no-wire")
        except (aiohttp.ClientError, OSError, ValueError) as e:
            if sink.begun:
                await sink.cut()
                return Result("cut", 0, type(e).__name__)
            written = d.dispatch in self.wires.written
            return Result("broken" if written else "refused", 0, type(e).__name__)
        finally:
            self.wires.written.discard(d.dispatch)

    async def once(self, d: events.Dispatch, sink: Sink) -> Result:
        """Send a dispatch and pass its answer on; errors of the connection are raised."""
        heads = {DISPATCH: d.dispatch, SERIAL: str(d.serial), DEADLINE: str(d.deadline)}
        async with self.session.post(f"{d.url}/run", json=d.body, headers=heads) as r:
            if r.headers.get(DISPATCH) != d.dispatch:
                return Result("broken", r.status, "the reply is of another dispatch")
            if r.headers.get(RAN) == "no":
                doc = await r.json(content_type=None)
                return Result("refused", int(r.headers.get(SERIAL, 0)), str(doc.get("error", "")))
            if r.content_type == "application/x-ndjson":
                return await self.stream(d, r, sink)
            raw = await r.read()
            doc = json.loads(raw)
            if not isinstance(doc, dict) or doc.get("dispatch") != d.dispatch:
                return Result("broken", r.status, "the reply is of another dispatch")
            await sink.whole(r.status, doc)
            kept = {k: doc[k] for k in ("reply", "error") if k in doc}
            return Result("done", r.status, "", kept if d.keep and len(raw) <= KEEP else None)

    async def stream(self, d: events.Dispatch, r: aiohttp.ClientResponse, sink: Sink) -> Result:
        """Only an end line that counts all pieces ends a stream cleanly."""
        ps = pieces.Pieces(d.dispatch)
        kept: list[typing.Any] = []
        size = 0
        async for raw in r.content:
            line = ps.take(json.loads(raw))
            if line.kind is pieces.Kind.END:
                await sink.end(line.number)
                return Result("done", r.status, "", {"pieces": kept} if d.keep and size <= KEEP else None)
            await sink.piece(line.number, line.piece)
            size += len(raw)
            if d.keep and size <= KEEP:
                kept.append(line.piece)
        raise aiohttp.ClientPayloadError("no end line")
