"""Connections to replicas: kept for as long as the replica says, never one with bytes nobody asked for."""

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

import basaltport.sockets as sockets

Request = aiohttp.client_reqrep.ClientRequest
Key = aiohttp.client_reqrep.ConnectionKey
Trace = aiohttp.tracing.Trace

UNSTATED_S = 4.0
"""For how long a connection rests whose replica does not tell its own limit."""
SURELY_S = 0.65
"""The same for what must not run again: limits are told in whole seconds; one not told may be under one."""
MARGIN_S = 0.35
"""A connection is used for so much less than its replica keeps it."""
LIBRARY_LIMIT_S = 60.0
READABLE = select.POLLIN | select.POLLPRI | select.POLLRDHUP


def seconds(value: str | None) -> int | None:
    """Seconds of a Keep-Alive header, or None."""
    if not value:
        return None
    for part in value.split(","):
        key, _, number = part.strip().partition("=")
        if key.lower() == "timeout" and number.strip().isdigit():
            return int(number)
    return int(value) if value.strip().isdigit() else None


def unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, an end or an error wait to be read from a transport's socket."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READABLE)
    return bool(poll.poll(0))


class Protocol(aiohttp.client_proto.ResponseHandler):
    """A connection's side of the library, with what its reuse depends on.

    `released_s`: when its last answer ended, `keep_s`: for how long its replica then keeps it, if it said so,
    `carried`: the id of the last request on it.
    """

    released_s = 0.0
    keep_s: int | None = None
    carried: str | None = None


class Need:
    """What an attempt asks of its connection. `request_id`: of its request; `once`: it must not run again.
    `protocol`: the connection's, once it is there."""

    __slots__ = ("request_id", "once", "protocol")

    def __init__(self, request_id: str | None, once: bool) -> None:
        """As of the class."""
        self.request_id = request_id
        self.once = once
        self.protocol: Protocol | None = None


class Connector(aiohttp.TCPConnector):
    """`taken(request)` is called once a connection is there, before a byte goes out; `need_of(request)` gives
    what the request's attempt needs."""

    def __init__(
        self,
        taken: collections.abc.Callable[[Request], None],
        need_of: collections.abc.Callable[[Request], Need],
    ) -> None:
        """As of the class."""
        super().__init__(limit=0, socket_factory=sockets.factory, keepalive_timeout=LIBRARY_LIMIT_S)
        factory = functools.partial(Protocol, loop=self._loop)
        self._factory = typing.cast("functools.partial[aiohttp.client_proto.ResponseHandler]", factory)
        self.taken = taken
        self.need_of = need_of
        self.need = Need(None, True)
        self.made = 0

    async def connect(
        self, req: Request, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> aiohttp.connector.Connection:
        """A connection for a request: one that is proven quiet, or a new one."""
        self.need = need = self.need_of(req)
        connection = await super().connect(req, traces, timeout)
        need.protocol = protocol = typing.cast(Protocol, connection.protocol)
        protocol.carried = need.request_id
        self.taken(req)
        return connection

    async def _get(self, key: Key, traces: list[Trace]) -> aiohttp.connector.Connection | None:
        """The library calls it in the step in which `connect` set `need`."""
        need, now_s = self.need, self._loop.time()
        while self.bring_forward(key, need, now_s):
            connection = await super()._get(key, traces)
            if connection is None:
                return None
            if quiet(typing.cast(Protocol, connection.protocol), need, now_s):
                return connection
            connection.close()
        return None

    def bring_forward(self, key: Key, need: Need, now_s: float) -> bool:
        """Whether a kept connection may suit a need; if so, the library takes that one next. Others stay: the
        one that a first attempt went on, and those that are not surely alive, serve other requests."""
        kept = typing.cast("collections.deque[tuple[Protocol, float]]", self._conns.get(key))
        if not kept:
            return False
        at = -1 if need.once else 0
        if kept[at][0].carried == need.request_id:
            if len(kept) == 1:
                return False
            at = -2 if need.once else 1
        if need.once and now_s >= lives_until(kept[at][0], SURELY_S):
            return False
        kept.rotate(-at)
        return True

    def _release(
        self, key: Key, protocol: aiohttp.client_proto.ResponseHandler, *, should_close: bool = False
    ) -> None:
        typing.cast(Protocol, protocol).released_s = self._loop.time()
        super()._release(key, protocol, should_close=should_close)

    async def _create_connection(
        self, req: Request, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> aiohttp.client_proto.ResponseHandler:
        self.made += 1
        return await super()._create_connection(req, traces, timeout)


def lives_until(protocol: Protocol, unstated_s: float) -> float:
    """Until when a connection at rest is used; `unstated_s`: for how long if its replica does not tell."""
    if protocol.keep_s is None:
        return protocol.released_s + unstated_s
    return protocol.released_s + protocol.keep_s - MARGIN_S


def quiet(protocol: Protocol, need: Need, now_s: float) -> bool:
    """Whether a connection at rest may carry an attempt: it is not spent, nothing waits to be read from it,
    and no answer on it can be taken for another of the same request."""
    if protocol.should_close or now_s >= lives_until(protocol, UNSTATED_S):
        return False
    if protocol.carried == need.request_id or protocol.transport is None:
        return False
    return not unread(protocol.transport)
