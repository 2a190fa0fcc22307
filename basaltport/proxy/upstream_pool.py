"""The pool of connections to replicas.

A connection is kept for as long as its replica states, and is never reused if it has unrequested bytes.
"""

import asyncio
import collections
import collections.abc
import functools
import select
import typing

import aiohttp
import aiohttp.client_proto
import aiohttp.client_reqrep
import aiohttp.connector
import aiohttp.tracing
import yarl

import basaltport.proxy.header_names as header_names
import basaltport.sockets as sockets

Request = aiohttp.client_reqrep.ClientRequest
Key = aiohttp.client_reqrep.ConnectionKey
Trace = aiohttp.tracing.Trace

UNSTATED_KEEP_ALIVE_S = 4.0
"""How long an idle connection is kept if its replica does not state a keep-alive time."""
SURELY_ALIVE_S = 0.65
"""Like UNSTATED_KEEP_ALIVE_S, but for requests that must not run twice. Replicas state whole seconds, so a
keep-alive time that is not stated may be below one second."""
MARGIN_S = 0.35
"""A connection is no longer used this long before its replica's keep-alive time ends."""
MAX_KEEP_ALIVE_S = 86_400
"""Longer stated keep-alive times count as this."""
AIOHTTP_LIMIT_S = 60.0
"""aiohttp's own limit for kept connections, longer than any limit used here."""
MS_PER_SECOND = 1000
READABLE = select.POLLIN | select.POLLPRI | select.POLLRDHUP


def keep_alive_s(value: str | None) -> int | None:
    """Returns the seconds of a Keep-Alive header, or None."""
    if not value:
        return None
    for part in value.split(","):
        key, _, number = part.strip().partition("=")
        if key.lower() == "timeout":
            return stated_seconds(number)
    return stated_seconds(value)


def stated_seconds(value: str) -> int | None:
    """Returns the seconds of a keep-alive time, at most MAX_KEEP_ALIVE_S, or None if it is no number."""
    seconds = header_names.parse_number(value.strip(), MAX_KEEP_ALIVE_S)
    return None if seconds < 0 else seconds


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether data, an end of stream or an error is pending on a transport's socket."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READABLE)
    return bool(poll.poll(0))


class Protocol(aiohttp.client_proto.ResponseHandler):
    """aiohttp's protocol of a connection, with the state that decides about its reuse.

    `released_at_s` is when its last response ended, `keep_alive_s` how long its replica keeps it after that,
    if stated, `last_request_id` the id of the last request on it. `has_ended_cleanly` says that it was closed
    and not reset.
    """

    released_at_s = 0.0
    keep_alive_s: int | None = None
    last_request_id: str | None = None
    has_ended_cleanly = False

    def connection_lost(self, error: BaseException | None) -> None:
        """Record whether the connection was closed cleanly, because aiohttp accepts a response without a
        length in either case."""
        self.has_ended_cleanly = error is None
        super().connection_lost(error)


class RequestTarget:
    """The URL of an attempt whose path and query are sent byte for byte; aiohttp would drop an empty query
    and a fragment."""

    __slots__ = ("url", "raw_path_qs")

    def __init__(self, url: yarl.URL, raw_path_qs: str) -> None:
        """`raw_path_qs` is the path and query as the client sent them."""
        self.url = url
        self.raw_path_qs = raw_path_qs

    def __getattr__(self, name: str) -> object:
        """Returns every other attribute of the URL."""
        return getattr(self.url, name)


class ConnectionNeed:
    """The requirements of an attempt on its connection.

    `target` is the path and query of its request, `request_id` its id; `runs_once` says that it must not run
    twice. `protocol` is set once the connection is established; `connect_ms` is how long that took, -1 until
    then.
    """

    __slots__ = ("request_id", "runs_once", "target", "protocol", "connect_ms")

    def __init__(self, request_id: str | None, runs_once: bool, target: str = "/") -> None:
        """Create the requirements of an attempt without a connection."""
        self.target = target
        self.request_id = request_id
        self.runs_once = runs_once
        self.protocol: Protocol | None = None
        self.connect_ms = -1


class Connector(aiohttp.TCPConnector):
    """A connection pool that checks connections before their reuse.

    `on_connected(request)` is called when a request has its connection, before a byte is sent;
    `connection_need(request)` returns the requirements of its attempt.
    """

    def __init__(
        self,
        on_connected: collections.abc.Callable[[Request], None],
        connection_need: collections.abc.Callable[[Request], ConnectionNeed],
    ) -> None:
        """Create an empty pool."""
        super().__init__(limit=0, socket_factory=sockets.create_socket, keepalive_timeout=AIOHTTP_LIMIT_S)
        factory = functools.partial(Protocol, loop=self._loop)
        self._factory = typing.cast("functools.partial[aiohttp.client_proto.ResponseHandler]", factory)
        self.on_connected = on_connected
        self.connection_need = connection_need
        self.need = ConnectionNeed(None, True)
        self.connections_made = 0

    async def connect(
        self, req: Request, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> aiohttp.connector.Connection:
        """Returns a connection for a request: a kept one that may be reused, or a new one."""
        self.need = need = self.connection_need(req)
        began_at_s = self._loop.time()
        connection = await super().connect(req, traces, timeout)
        need.connect_ms = int(MS_PER_SECOND * (self._loop.time() - began_at_s))
        need.protocol = protocol = typing.cast(Protocol, connection.protocol)
        protocol.last_request_id = need.request_id
        req.url = typing.cast(yarl.URL, RequestTarget(req.url, need.target))
        self.on_connected(req)
        return connection

    async def _get(self, key: Key, traces: list[Trace]) -> aiohttp.connector.Connection | None:
        """Returns a kept connection, or None; aiohttp calls it in the same step in which `connect` sets
        `need`."""
        need, now_s = self.need, self._loop.time()
        while self.select_kept(key, need, now_s):
            connection = await super()._get(key, traces)
            if connection is None:
                return None
            if is_reusable(typing.cast(Protocol, connection.protocol), need, now_s):
                return connection
            connection.close()
        return None

    def select_kept(self, key: Key, need: ConnectionNeed, now_s: float) -> bool:
        """Move a kept connection that may suit the attempt to where aiohttp takes the next one; returns
        whether there is one.

        Skipped connections stay in the pool and serve other requests: the one that an earlier attempt of the
        request used, and those that may already be closed by the replica.
        """
        kept = typing.cast("collections.deque[tuple[Protocol, float]]", self._conns.get(key))
        if not kept:
            return False
        position = -1 if need.runs_once else 0
        if kept[position][0].last_request_id == need.request_id:
            if len(kept) == 1:
                return False
            position = -2 if need.runs_once else 1
        if need.runs_once and now_s >= alive_until_s(kept[position][0], SURELY_ALIVE_S):
            return False
        kept.rotate(-position)
        return True

    def _release(
        self, key: Key, protocol: aiohttp.client_proto.ResponseHandler, *, should_close: bool = False
    ) -> None:
        typing.cast(Protocol, protocol).released_at_s = self._loop.time()
        super()._release(key, protocol, should_close=should_close)

    async def _create_connection(
        self, req: Request, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> aiohttp.client_proto.ResponseHandler:
        self.connections_made += 1
        return await super()._create_connection(req, traces, timeout)


def alive_until_s(protocol: Protocol, unstated_s: float) -> float:
    """Returns the time until which an idle connection is used; `unstated_s` is its keep-alive time if the
    replica states none."""
    if protocol.keep_alive_s is None:
        return protocol.released_at_s + unstated_s
    return protocol.released_at_s + protocol.keep_alive_s - MARGIN_S


def is_reusable(protocol: Protocol, need: ConnectionNeed, now_s: float) -> bool:
    """Whether an idle connection may carry an attempt: it has not expired, has no unread data, and was not
    last used by the same request, whose late response could be mistaken for the new one."""
    if protocol.should_close or now_s >= alive_until_s(protocol, UNSTATED_KEEP_ALIVE_S):
        return False
    if protocol.last_request_id == need.request_id or protocol.transport is None:
        return False
    return not has_unread(protocol.transport)
