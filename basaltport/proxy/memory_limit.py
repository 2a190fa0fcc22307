"""Limits the memory for request and response bodies in flight to a fraction of the machine's memory."""

import asyncio
import collections
import collections.abc
import typing

MIB = 1 << 20
ASSUMED_MB = 256
"""The machine's memory in MiB if the settings do not state it."""
MEMORY_DIVISOR = 8
"""Divisor for the memory limit of request bodies, and of response bodies. A body may be in memory twice,
the second time in a socket's buffer."""


class Waiter(typing.NamedTuple):
    """A caller that waits for `size` bytes; `completed` is completed when it has them."""

    size: int
    completed: asyncio.Future[None]


class MemoryLimit:
    """Allocates at most `limit` bytes, `allocated` of which are in use."""

    def __init__(self, limit: int) -> None:
        """Start with nothing allocated."""
        self.limit = limit
        self.allocated = 0
        self.waiters: collections.deque[Waiter] = collections.deque()

    def try_allocate(self, size: int) -> bool:
        """Allocate `size` bytes if available; returns whether they were allocated."""
        if self.allocated + size > self.limit:
            return False
        self.allocated += size
        return True

    def release(self, size: int) -> None:
        """Free bytes and complete the waiters that now fit, in order of arrival."""
        self.allocated -= size
        while self.waiters and (self.waiters[0].completed.done() or self.try_allocate(self.waiters[0].size)):
            completed = self.waiters.popleft().completed
            if not completed.done():
                completed.set_result(None)

    async def allocate(self, size: int) -> None:
        """Allocate `size` bytes as soon as they are available."""
        if not self.waiters and self.try_allocate(size):
            return
        completed = asyncio.get_running_loop().create_future()
        self.waiters.append(Waiter(size, completed))
        try:
            await completed
        except asyncio.CancelledError:
            if completed.done() and not completed.cancelled():
                self.release(size)
            raise


class Claim:
    """The memory allocated to one request, which is freed as a whole."""

    def __init__(self, memory: MemoryLimit) -> None:
        """Start with nothing allocated."""
        self.memory = memory
        self.size = 0

    def try_allocate(self, size: int) -> bool:
        """Allocate more bytes; returns whether they were available."""
        if not self.memory.try_allocate(size):
            return False
        self.size += size
        return True

    async def allocate(self, size: int) -> None:
        """Allocate more bytes as soon as they are available."""
        await self.memory.allocate(size)
        self.size += size

    def release(self, size: int) -> None:
        """Free part of the allocation."""
        self.size -= size
        self.memory.release(size)

    def release_all(self) -> None:
        """Free the whole allocation."""
        self.release(self.size)


def from_settings(settings: collections.abc.Mapping[str, object]) -> MemoryLimit:
    """Returns the memory limit for this machine from `limits.memory_mb` of the settings."""
    limits = settings.get("limits")
    memory_mb = limits.get("memory_mb") if isinstance(limits, dict) else None
    return MemoryLimit(int((memory_mb or ASSUMED_MB) * MIB) // MEMORY_DIVISOR)
