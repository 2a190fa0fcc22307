"""Connections to replicas: kept for as long as the replica says, never one with bytes nobody asked for."""

import select

import aiohttp

import basaltport.sockets as sockets

UNSTATED = 4.0
SURELY = 0.65
"""A replica states whole seconds; one that states none may keep a connection for less than one second."""
MARGIN = 0.35
READABLE = select.POLLIN | select.POLLPRI | select.POLLRDHUP


def seconds(value):
    """Seconds of a Keep-Alive header, or None."""
    for part in (value or "").split(","):
        k, _, v = part.strip().partition("=")
        if k.lower() == "timeout" and v.strip().isdigit():
            return int(v)
    return int(value) if value and value.strip().isdigit() else None


def unread(transport):
    """Whether bytes, an end or an error wait to be read from a transport's socket."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READABLE)
    return bool(poll.poll(0))


class Need:
    """What an attempt asks of its connection. `request_id`: of its request; `once`: it must not run again.
    `protocol`: the connection's, once it is there."""

    __slots__ = ("request_id", "once", "protocol")

    def __init__(self, request_id: str | None, once: bool):
        self.request_id = request_id
        self.once = once
        self.protocol = None


class Connector(aiohttp.TCPConnector):
    """`got(req)` is called once a connection is there, before a byte goes out; `need_of(req)` gives its Need.

    A protocol in the pool bears `released` (when its last answer ended), `keep_s` (for how long its replica
    then keeps it, if it said so) and `carried` (the id of the last request on it).
    """

    def __init__(self, got, need_of, **kw):
        super().__init__(limit=0, socket_factory=sockets.factory, keepalive_timeout=60, **kw)
        self.got = got
        self.need_of = need_of
        self.need = None
        self.made = 0

    async def connect(self, req, *a, **kw):
        self.need = need = self.need_of(req)
        connection = await super().connect(req, *a, **kw)
        need.protocol = connection.protocol
        need.protocol.carried = need.request_id
        self.got(req)
        return connection

    async def _get(self, key, traces):
        """The library calls it in the step in which `connect` set `need`."""
        need, now = self.need, self._loop.time()
        while True:
            if need.once and not self.newest_first(key, now):
                return None
            connection = await super()._get(key, traces)
            if connection is None:
                return None
            if quiet(connection.protocol, need, now):
                return connection
            connection.close()

    def newest_first(self, key, now):
        """Whether a kept connection is surely alive; if so, the one that rested least is taken next."""
        kept = self._conns.get(key)
        if not kept or now >= lives_until(kept[-1][0], SURELY):
            return False
        kept.rotate(1)
        return True

    def _release(self, key, protocol, *, should_close=False):
        protocol.released = self._loop.time()
        super()._release(key, protocol, should_close=should_close)

    async def _create_connection(self, *a, **kw):
        self.made += 1
        return await super()._create_connection(*a, **kw)


def lives_until(protocol, unstated):
    """Until when a connection at rest is used; `unstated`: seconds if its replica does not tell its own."""
    keep_s = getattr(protocol, "keep_s", None)
    return protocol.released + (unstated if keep_s is None else keep_s - MARGIN)


def quiet(protocol, need, now):
    """Whether a connection at rest may carry an attempt: it is not spent, nothing waits to be read from it,
    and no answer on it can be taken for another of the same request."""
    if protocol.should_close or now >= lives_until(protocol, UNSTATED):
        return False
    return protocol.carried != need.request_id and not unread(protocol.transport)
