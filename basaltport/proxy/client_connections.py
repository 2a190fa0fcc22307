"""Detects idle client connections and determines when they may be closed.

aiohttp fixes its idle limit when a connection is accepted, and treats a connection with unparsed bytes as
idle. So its limit is set too high to matter, and idle connections are closed here by the limit in force.
"""

import collections.abc

import aiohttp.web

import basaltport.proxy.upstream_pool as upstream_pool

Connection = aiohttp.web.RequestHandler

AIOHTTP_LIMIT_S = 24 * 3600
"""aiohttp's idle limit, longer than any connection stays idle."""
MIN_IDLE_S = 75
"""Connections may be idle for at least this time, whatever the configuration says."""
MARGIN_S = 1
"""Connections are kept this much longer than clients are told."""
SECOND_MS = 1000


def is_idle_connection(connection: Connection) -> bool:
    """Whether a connection has no request and no unread bytes of one."""
    if connection._waiter is None or connection._waiter.done() or connection._messages:
        return False
    return connection.transport is not None and not upstream_pool.has_unread(connection.transport)


def idle_s(connection: Connection, now_s: float) -> float:
    """Returns the time since a connection was accepted or its last response ended."""
    return now_s - (connection._next_keepalive_close_time - AIOHTTP_LIMIT_S)


class IdleLimit:
    """The idle limit of connections: the longest that any configuration since the start of this process
    allowed."""

    def __init__(self) -> None:
        """Start without any configured limit."""
        self.longest_allowed_s = 0.0

    def seconds(self, limits: collections.abc.Mapping[str, int]) -> float:
        """Returns the limit in seconds under a configuration's `limits`."""
        self.longest_allowed_s = max(self.longest_allowed_s, limits.get("idle_close_ms", 0) / SECOND_MS)
        return max(MIN_IDLE_S, self.longest_allowed_s + MARGIN_S)
