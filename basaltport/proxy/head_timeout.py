"""Closes client connections on which a request's head is started but not completed in time.

aiohttp has a timeout for idle connections but none for heads: it treats a connection with a partial head as
idle. The limit here is `header_wait_ms` of the configuration, from the first bytes of the head to its end.
"""

import asyncio
import collections.abc
import typing

import aiohttp.web

import basaltport.proxy.request_faults as request_faults
import basaltport.proxy.upstream_pool as upstream_pool

RECHECK_S = 0.05
"""Seconds until the next check of a connection that has unread bytes at its timeout."""
SECOND_MS = 1000


class HeadTimeoutConnection(request_faults.RedactingConnection):
    """A client connection with a timer that runs while a head is incomplete."""

    __slots__ = ("_server", "_head_timer", "has_partial_head")

    def __init__(self, server: "HeadTimeoutServer", options: dict[str, typing.Any]) -> None:
        """`options` are those of aiohttp's connection class."""
        super().__init__(server, loop=asyncio.get_running_loop(), **options)
        self._server = server
        self._head_timer: asyncio.TimerHandle | None = None
        self.has_partial_head = False
        """Whether the head of the next request has started and is incomplete."""

    def data_received(self, data: bytes) -> None:
        """Start the timer with the first bytes of a head, and stop it when the head is complete."""
        awaits_head, requests_before = self._awaits_head(), len(self._messages)
        super().data_received(data)
        if len(self._messages) > requests_before:
            self.has_partial_head = False
            self._stop_timer()
        elif awaits_head and not self.has_partial_head and data.strip():
            self.has_partial_head = True
            wait_ms = self._server.header_wait_ms()
            if wait_ms > 0:
                self._start_timer(wait_ms / SECOND_MS)

    def _awaits_head(self) -> bool:
        """Whether the next bytes belong to a head, because the last request was received completely.

        If the first bytes of a head arrive in one piece with the end of a body, the timer starts with the
        next piece.
        """
        if self._messages:
            return self._messages[-1][1].is_eof()
        request = self._current_request
        return request is None or request._payload.is_eof()

    def connection_lost(self, error: BaseException | None) -> None:
        """Stop the timer when the connection ends."""
        self._stop_timer()
        super().connection_lost(error)

    def _start_timer(self, seconds: float) -> None:
        self._head_timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_timeout(self) -> None:
        """Close the connection, unless the rest of the head is unread because this process was stalled.

        A request received before the incomplete head is answered first.
        """
        self._head_timer = None
        if self.transport is None:
            return
        if upstream_pool.has_unread(self.transport):
            self._start_timer(RECHECK_S)
        elif self._current_request is not None or self._messages:
            self.close()
        else:
            self.force_close()


def has_partial_head(connection: aiohttp.web.RequestHandler) -> bool:
    """Whether the next request on a connection has started and its head is incomplete."""
    return isinstance(connection, HeadTimeoutConnection) and connection.has_partial_head


class HeadTimeoutServer(aiohttp.web.Server):
    """aiohttp's server with a timeout for heads; call `set_head_timeout` before it accepts clients."""

    header_wait_ms: collections.abc.Callable[[], int]

    def set_head_timeout(self, header_wait_ms: collections.abc.Callable[[], int]) -> None:
        """Set the function that returns the current limit in ms, 0 for none."""
        self.header_wait_ms = header_wait_ms

    def __call__(self) -> HeadTimeoutConnection:
        """Returns the connection object for an accepted client."""
        return HeadTimeoutConnection(self, self._kwargs)
