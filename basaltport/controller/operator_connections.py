"""The HTTP server for a controller's operators, which bounds the age of each request.

Each connection carries one request, so that the request is no older than its connection. That holds whatever
delayed its bytes: a paused process, a peer that sent late, or a network partition.
"""

import asyncio
import collections.abc

import aiohttp.web

import basaltport.identifiers as identifiers
import basaltport.sockets as sockets

BACKLOG = 256
"""The length of the listening socket's accept queue."""
SHUTDOWN_S = 1
"""How long open requests may take to finish at shutdown, in seconds."""
CLOSED_RETENTION_MS = 60_000
"""How long the opening time of a closed connection is kept at least, in ms."""
LONG_AGO = identifiers.Millis(-(10**9))
"""Stands for a time before any request, in ms."""

Clock = collections.abc.Callable[[], identifiers.Millis]
Handler = collections.abc.Callable[
    [aiohttp.web.Request], collections.abc.Awaitable[aiohttp.web.StreamResponse]
]


@aiohttp.web.middleware
async def close_after_answer(request: aiohttp.web.Request, handler: Handler) -> aiohttp.web.StreamResponse:
    """Close the connection after the answer."""
    response = await handler(request)
    response.force_close()
    return response


class OperatorServer:
    """Serves an aiohttp application; a handler is cancelled when its caller closes the connection."""

    def __init__(self, app: aiohttp.web.Application, earliest_arrival: Clock) -> None:
        """Create the server; `earliest_arrival` is that of `loop_progress.LoopProgress`."""
        app.middlewares.append(close_after_answer)
        self.runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_S, handler_cancellation=True
        )
        self.earliest_arrival = earliest_arrival
        self.opened_after: dict[object, identifiers.Millis] = {}
        self.listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Start to listen. Raises OSError where the address can't be used."""
        await self.runner.setup()
        host, port = sockets.host_and_port(address)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.accept, host, port, backlog=BACKLOG)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.listener:
            self.listener.close()
        await self.runner.cleanup()

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the server listens."""
        assert self.listener is not None
        host, port = self.listener.sockets[0].getsockname()
        return host, port

    def accept(self) -> aiohttp.web.RequestHandler:
        """Create the protocol of a new connection and record the earliest time at which it can have
        opened."""
        assert self.runner.server is not None
        earliest = self.earliest_arrival()
        self.forget_closed(set(self.runner.server.connections), earliest)
        protocol = self.runner.server()
        self.opened_after[protocol] = earliest
        return protocol

    def forget_closed(self, known: set[aiohttp.web.RequestHandler], now: identifiers.Millis) -> None:
        """Drop the records of closed connections; connections that were just made aren't in `known` yet."""
        for protocol, opened_after in list(self.opened_after.items()):
            if protocol not in known and now - opened_after > CLOSED_RETENTION_MS:
                del self.opened_after[protocol]

    def sent_after(self, request: aiohttp.web.BaseRequest) -> identifiers.Millis:
        """Returns the earliest time at which a request can have been sent, in ms; LONG_AGO if unknown."""
        return self.opened_after.get(request.protocol, LONG_AGO)
