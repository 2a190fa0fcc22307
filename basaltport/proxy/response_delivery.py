"""Delivers a response to a client, and gives up when the client reads too slowly."""

import asyncio

import aiohttp.web

MIN_DELIVERY_MS = 1000
"""A client has at least this time to read its response."""
SECOND_MS = 1000


async def deliver(
    request: aiohttp.web.BaseRequest, reply: aiohttp.web.StreamResponse, remaining_ms: float
) -> aiohttp.web.StreamResponse:
    """Send a response until the client has read it; closes the connection when the time is over."""
    try:
        async with asyncio.timeout(max(MIN_DELIVERY_MS, remaining_ms) / SECOND_MS):
            await reply.prepare(request)
            await reply.write_eof()
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
    except (ConnectionError, RuntimeError):
        pass
    return reply
