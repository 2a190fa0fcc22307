"""Hands an answer to a client, for no longer than the client may take it."""

import asyncio

import aiohttp.web

LEAST_MS = 1000
"""A client has at least so long to take its answer."""
SECOND_MS = 1000


async def deliver(
    request: aiohttp.web.BaseRequest, reply: aiohttp.web.StreamResponse, left_ms: float
) -> aiohttp.web.StreamResponse:
    """Waits until a client has taken its answer, until a while after it waits no more; then it is cut."""
    try:
        async with asyncio.timeout(max(LEAST_MS, left_ms) / SECOND_MS):
            await reply.prepare(request)
            await reply.write_eof()
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
    except (ConnectionError, RuntimeError):
        pass
    return reply
