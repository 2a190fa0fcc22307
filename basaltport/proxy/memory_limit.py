"""Bytes that requests and answers under way hold in this process, within a part of the machine's memory."""

import asyncio
import collections
import collections.abc
import typing

MIB = 1 << 20
ASSUMED_MB = 256
"""The machine's memory where the settings do not tell it."""
SHARE = 8
"""One part in so many for bodies, and one for answers. Each may be held twice, once in a socket's buffer."""


class Waiter(typing.NamedTuple):
    """Who waits for room: for how many bytes, and what is set once it has them."""

    size: int
    turn: asyncio.Future[None]


class MemoryLimit:
    """Gives out at most `limit` bytes; `held` of them are out."""

    def __init__(self, limit: int) -> None:
        """All of it is free."""
        self.limit = limit
        self.held = 0
        self.waiters: collections.deque[Waiter] = collections.deque()

    def take(self, size: int) -> bool:
        """Take `size` bytes at once, or nothing."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Give bytes back; those that wait longest are served first."""
        self.held -= size
        while self.waiters and (self.waiters[0].turn.done() or self.take(self.waiters[0].size)):
            turn = self.waiters.popleft().turn
            if not turn.done():
                turn.set_result(None)

    async def wait_for(self, size: int) -> None:
        """Take `size` bytes as soon as there is room for them."""
        if not self.waiters and self.take(size):
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiters.append(Waiter(size, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release(size)
            raise


class Claim:
    """What one request holds of a limit; all of it is given back at once."""

    def __init__(self, memory: MemoryLimit) -> None:
        """It holds nothing yet."""
        self.memory = memory
        self.size = 0

    def take(self, size: int) -> bool:
        """Take more; False where there is no room for it."""
        if not self.memory.take(size):
            return False
        self.size += size
        return True

    async def wait_for(self, size: int) -> None:
        """Take more as soon as there is room for it."""
        await self.memory.wait_for(size)
        self.size += size

    def release(self, size: int) -> None:
        """Give a part back."""
        self.size -= size
        self.memory.release(size)

    def release_all(self) -> None:
        """Give all of it back."""
        self.release(self.size)


def from_settings(settings: collections.abc.Mapping[str, object]) -> MemoryLimit:
    """The limit on this machine, by `limits.memory_mb` of its settings."""
    limits = settings.get("limits")
    memory_mb = limits.get("memory_mb") if isinstance(limits, dict) else None
    return MemoryLimit(int((memory_mb or ASSUMED_MB) * MIB) // SHARE)
