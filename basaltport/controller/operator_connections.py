"""The HTTP server of a controller's operators, which knows since when each request can have been sent.

Each connection is for one request, so that the request is no older than its connection. That holds whatever
delayed its bytes: a process that stood still, a peer that sent late, or a network that was cut.
"""

import asyncio
import collections.abc

import aiohttp.web

import basaltport.identifiers as identifiers
import basaltport.sockets as sockets

BACKLOG = 256
SHUTDOWN_S = 1
FORGOTTEN_AFTER_MS = 60_000
LONG_AGO = identifiers.Millis(-(10**9))

Clock = collections.abc.Callable[[], identifiers.Millis]
Handler = collections.abc.Callable[
    [aiohttp.web.Request], collections.abc.Awaitable[aiohttp.web.StreamResponse]
]


@aiohttp.web.middleware
async def close_after_answer(request: aiohttp.web.Request, handler: Handler) -> aiohttp.web.StreamResponse:
    """End the connection with the answer."""
    response = await handler(request)
    response.force_close()
    return response


class OperatorServer:
    """Serves an application. A handler is cancelled when its caller's connection ends."""

    def __init__(self, app: aiohttp.web.Application, earliest_arrival: Clock) -> None:
        """`earliest_arrival`: as of `loop_progress.LoopProgress`."""
        app.middlewares.append(close_after_answer)
        self.runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_S, handler_cancellation=True
        )
        self.earliest_arrival = earliest_arrival
        self.opened_after: dict[object, identifiers.Millis] = {}
        self.listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen. Raises OSError where the address can't be used."""
        await self.runner.setup()
        host, port = sockets.host_and_port(address)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.accept, host, port, backlog=BACKLOG)

    async def stop(self) -> None:
        """Listen no more, and end all connections."""
        if self.listener:
            self.listener.close()
        await self.runner.cleanup()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        assert self.listener is not None
        host, port = self.listener.sockets[0].getsockname()
        return host, port

    def accept(self) -> aiohttp.web.RequestHandler:
        """The protocol of a new connection."""
        assert self.runner.server is not None
        earliest = self.earliest_arrival()
        self.forget_closed(set(self.runner.server.connections), earliest)
        protocol = self.runner.server()
        self.opened_after[protocol] = earliest
        return protocol

    def forget_closed(self, known: set[aiohttp.web.RequestHandler], now: identifiers.Millis) -> None:
        """Keep nothing of connections that ended; those that were just made are not `known` yet."""
        for protocol, opened_after in list(self.opened_after.items()):
            if protocol not in known and now - opened_after > FORGOTTEN_AFTER_MS:
                del self.opened_after[protocol]

    def sent_after(self, request: aiohttp.web.BaseRequest) -> identifiers.Millis:
        """The earliest time at which a request can have been sent, in ms; LONG_AGO if unknown."""
        return self.opened_after.get(request.protocol, LONG_AGO)
