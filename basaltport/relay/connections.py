"""Connections to replicas: kept for as long as the replica says, never one with bytes nobody asked for."""

import select

import aiohttp

import basaltport.sockets as sockets

UNSTATED = 4.0
MARGIN = 0.35
READABLE = select.POLLIN | select.POLLPRI | select.POLLRDHUP


def once_session(**kw):
    """A session that never sends a request twice by itself."""
    s = aiohttp.ClientSession(**kw)
    s._retry_connection = False
    return s


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


class Connector(aiohttp.TCPConnector):
    """`got(req)` is called once a connection is there, before a byte goes out."""

    def __init__(self, got, **kw):
        super().__init__(limit=0, socket_factory=sockets.factory, keepalive_timeout=60, **kw)
        self.got = got
        self.made = 0

    async def _get(self, key, traces):
        now = self._loop.time()
        while True:
            c = await super()._get(key, traces)
            if c is None:
                return None
            p = c.protocol
            if p.should_close or now >= getattr(p, "expires", now + 1):
                c.close()
                continue
            return c

    def _release(self, key, protocol, *, should_close=False):
        keep = getattr(protocol, "keep_s", None)
        keep = UNSTATED if keep is None else max(0.0, keep - MARGIN)
        protocol.expires = self._loop.time() + keep
        super()._release(key, protocol, should_close=should_close)

    async def connect(self, req, *a, **kw):
        c = await super().connect(req, *a, **kw)
        self.got(req)
        return c

    async def _create_connection(self, *a, **kw):
        self.made += 1
        return await super()._create_connection(*a, **kw)
