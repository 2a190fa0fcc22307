"""Reads clients' bodies, within the configured size, the room in memory and the time that they may take."""

import asyncio
import enum

import aiohttp.web

import basaltport.proxy.memory_limit as memory_limit

SECOND_MS = 1000
LONGEST_MS = 60_000
"""How long a body may take whose client states no deadline."""


class Reason(enum.Enum):
    """Why a body was not read, and the status that says so."""

    TOO_LARGE = 413
    NO_ROOM = 503
    TOO_SLOW = 408


class BodyRejectedError(Exception):
    """A body was not read; nothing was done with it."""

    def __init__(self, reason: Reason) -> None:
        """`reason`: why."""
        super().__init__(reason.name)
        self.reason = reason


async def read(
    request: aiohttp.web.BaseRequest, limit: int, deadline_ms: int, claim: memory_limit.Claim
) -> bytes:
    """The whole body; `deadline_ms`: how long its client waits, or -1."""
    if (request.content_length or 0) > limit:
        raise BodyRejectedError(Reason.TOO_LARGE)
    allowed_ms = deadline_ms if deadline_ms >= 0 else LONGEST_MS
    try:
        async with asyncio.timeout(max(1, allowed_ms) / SECOND_MS):
            return await read_within(request, limit, claim)
    except TimeoutError:
        raise BodyRejectedError(Reason.TOO_SLOW)


async def read_within(request: aiohttp.web.BaseRequest, limit: int, claim: memory_limit.Claim) -> bytes:
    """The body as it comes; BodyRejectedError where it is too large or there is no room for it."""
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > limit:
            raise BodyRejectedError(Reason.TOO_LARGE)
        if not claim.take(len(part)):
            raise BodyRejectedError(Reason.NO_ROOM)
        parts.append(part)
    return b"".join(parts)
