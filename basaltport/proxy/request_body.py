"""Reads request bodies within the configured size, the memory limit and the time limit."""

import asyncio
import enum

import aiohttp.web

import basaltport.proxy.memory_limit as memory_limit

SECOND_MS = 1000
MAX_BODY_MS = 60_000
"""Time limit for a body whose client states no deadline."""


class Reason(enum.Enum):
    """Why a body was not read; the value is the HTTP status of the response."""

    TOO_LARGE = 413
    NO_ROOM = 503
    TOO_SLOW = 408


class BodyRejectedError(Exception):
    """Raised when a body is not read because of a limit; nothing was done with it."""

    def __init__(self, reason: Reason) -> None:
        """`reason` is the limit that was exceeded."""
        super().__init__(reason.name)
        self.reason = reason


async def read(
    request: aiohttp.web.BaseRequest, limit: int, deadline_ms: int, claim: memory_limit.Claim
) -> bytes:
    """Returns the complete body; `deadline_ms` is how long the client waits, or -1."""
    if (request.content_length or 0) > limit:
        raise BodyRejectedError(Reason.TOO_LARGE)
    allowed_ms = deadline_ms if deadline_ms >= 0 else MAX_BODY_MS
    try:
        async with asyncio.timeout(max(1, allowed_ms) / SECOND_MS):
            return await read_within(request, limit, claim)
    except TimeoutError:
        raise BodyRejectedError(Reason.TOO_SLOW)


async def read_within(request: aiohttp.web.BaseRequest, limit: int, claim: memory_limit.Claim) -> bytes:
    """Returns the body; raises BodyRejectedError if it is too large or there is no memory for it."""
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > limit:
            raise BodyRejectedError(Reason.TOO_LARGE)
        if not claim.try_allocate(len(part)):
            raise BodyRejectedError(Reason.NO_ROOM)
        parts.append(part)
    return b"".join(parts)
