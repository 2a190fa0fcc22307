"""The one client of replicas: attempts, polls and orders over HTTP, and what is proven of each."""

import asyncio
import collections.abc
import http
import json
import socket
import typing

import aiohttp
import aiohttp.tracing

import basaltport.http_client as http_client
import basaltport.query_api.events as events
import basaltport.query_api.replica_client.pieces as pieces
import basaltport.sockets as sockets

ATTEMPT_HEADER = "Basaltport-Dispatch"
VERSION_HEADER = "Basaltport-Serial"
DEADLINE_HEADER = "Basaltport-Deadline-Ms"
RAN_HEADER = "Basaltport-Ran"
KEPT_RESPONSE_BYTES = 65_536
MS_PER_SECOND = 1000
CALL_TIMEOUT_MS = 1000
KEEPALIVE_S = 10
NO_CONNECTION = "no-wire"
WITHHELD = "withheld"
OTHER_ATTEMPT = "the reply is of another dispatch"


Document = dict[str, typing.Any]
# The configuration version for an attempt that may be written, else None.
Guard = collections.abc.Callable[[str], int | None]


class ConnectorOptions(typing.TypedDict, total=False):
    """The options of `aiohttp.TCPConnector` that are used."""

    limit: int
    keepalive_timeout: float
    socket_factory: collections.abc.Callable[[sockets.AddressInfo], socket.socket]


class WithheldError(Exception):
    """The lease or the configuration version was no longer good right before the write."""


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
    """What came of an attempt: done, refused, broken, late or cut (see `events.AttemptEnded`).

    `number`: the status, or for `refused` the configuration version that the replica has seen; `kept`: the
    response to keep for the client's key, if any."""

    outcome: str
    number: int
    detail: str
    kept: Document | None = None


class GuardedConnector(aiohttp.TCPConnector):
    """Asks the guard once a connection is there, before a byte of the request goes out."""

    def __init__(self, guard: Guard, **options: typing.Unpack[ConnectorOptions]) -> None:
        """`guard` gives the configuration version for an attempt that may be written, else None."""
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
        connection = await super().connect(req, traces, timeout)
        attempt_id = req.headers.get(ATTEMPT_HEADER)
        if attempt_id is None:
            return connection
        version = self.guard(attempt_id)
        if version is None:
            connection.release()
            raise WithheldError(attempt_id)
        req.headers[VERSION_HEADER] = str(version)
        self.written.add(attempt_id)
        return connection


class ReplicaClient:
    """All requests of a node to replicas."""

    def __init__(self, guard: Guard) -> None:
        """`guard`: see `GuardedConnector`."""
        self.guard = guard

    async def start(self) -> None:
        """Make the session."""
        self.connector = GuardedConnector(
            self.guard, limit=0, keepalive_timeout=KEEPALIVE_S, socket_factory=sockets.create_socket
        )
        self.session = http_client.session_without_resend(connector=self.connector, auto_decompress=False)

    async def stop(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def call(
        self, method: str, url: str, body: Document | None = None, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> tuple[bool, Document]:
        """(ok, answer) of a poll or an order."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                async with self.session.request(method, url, json=body) as response:
                    doc = await response.json(content_type=None)
                    if not isinstance(doc, dict):
                        return False, {}
                    return response.status == http.HTTPStatus.OK, doc
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
            return False, {"error": type(error).__name__}

    async def run(self, attempt: events.StartAttempt, sink: Sink) -> Result:
        """What came of an attempt, whose response went to `sink`."""
        try:
            async with asyncio.timeout(attempt.timeout_ms / MS_PER_SECOND):
                return await self.send(attempt, sink)
        except TimeoutError:
            if sink.begun:
                await sink.cut()
                return Result("cut", 0, "time ended in mid-reply")
            if self.was_written(attempt):
                return Result("late", 0, "")
            return Result("refused", 0, NO_CONNECTION)
        except WithheldError:
            return Result("refused", 0, WITHHELD)
        except aiohttp.ClientConnectorError:
            return Result("refused", 0, NO_CONNECTION)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if sink.begun:
                await sink.cut()
                return Result("cut", 0, type(error).__name__)
            return Result("broken" if self.was_written(attempt) else "refused", 0, type(error).__name__)
        finally:
            self.connector.written.discard(attempt.attempt_id)

    def was_written(self, attempt: events.StartAttempt) -> bool:
        """Whether any of an attempt may have gone out."""
        return attempt.attempt_id in self.connector.written

    async def send(self, attempt: events.StartAttempt, sink: Sink) -> Result:
        """Send a request and pass its response on; errors of the connection are raised."""
        headers = {
            ATTEMPT_HEADER: attempt.attempt_id,
            VERSION_HEADER: str(attempt.configuration_version),
            DEADLINE_HEADER: str(attempt.deadline_ms),
        }
        async with self.session.post(f"{attempt.url}/run", json=attempt.body, headers=headers) as response:
            if response.headers.get(ATTEMPT_HEADER) != attempt.attempt_id:
                return Result("broken", response.status, OTHER_ATTEMPT)
            if response.headers.get(RAN_HEADER) == "no":
                doc = await response.json(content_type=None)
                version = int(response.headers.get(VERSION_HEADER, 0))
                return Result("refused", version, str(doc.get("error", "")))
            if response.content_type == "application/x-ndjson":
                return await self.relay_stream(attempt, response, sink)
            return await self.relay_whole(attempt, response, sink)

    async def relay_whole(
        self, attempt: events.StartAttempt, response: aiohttp.ClientResponse, sink: Sink
    ) -> Result:
        """Pass on a response in one piece."""
        raw = await response.read()
        doc = json.loads(raw)
        if not isinstance(doc, dict) or doc.get("dispatch") != attempt.attempt_id:
            return Result("broken", response.status, OTHER_ATTEMPT)
        await sink.whole(response.status, doc)
        kept = {key: doc[key] for key in ("reply", "error") if key in doc}
        is_kept = attempt.keep_response and len(raw) <= KEPT_RESPONSE_BYTES
        return Result("done", response.status, "", kept if is_kept else None)

    async def relay_stream(
        self, attempt: events.StartAttempt, response: aiohttp.ClientResponse, sink: Sink
    ) -> Result:
        """Pass on a stream. Only an end line that counts all pieces ends it cleanly."""
        stream = pieces.PieceReader(attempt.attempt_id)
        kept: list[typing.Any] = []
        size = 0
        async for raw in response.content:
            line = stream.take(json.loads(raw))
            if line.kind is pieces.Kind.END:
                await sink.end(line.number)
                is_kept = attempt.keep_response and size <= KEPT_RESPONSE_BYTES
                return Result("done", response.status, "", {"pieces": kept} if is_kept else None)
            await sink.piece(line.number, line.piece)
            size += len(raw)
            if attempt.keep_response and size <= KEPT_RESPONSE_BYTES:
                kept.append(line.piece)
        raise aiohttp.ClientPayloadError("no end line")
