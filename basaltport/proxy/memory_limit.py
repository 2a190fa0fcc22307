"""Bytes that requests and answers under way hold in this process, within a part of the machine's memory."""

import asyncio
import collections
import collections.abc

MIB = 1 << 20
ASSUMED_MB = 256
"""The machine's memory where the settings do not tell it."""
SHARE = 8
"""One part in so many for bodies, and one for answers. Each may be held twice, once in a socket's buffer."""


class Room:
    """Takes at most `bound` bytes."""

    def __init__(self, bound: int) -> None:
        """`bound`: bytes."""
        self.bound = bound
        self.held = 0
        self.waiting: collections.deque[tuple[int, asyncio.Future[None]]] = collections.deque()

    def take(self, size: int) -> bool:
        """Takes `size` bytes at once, or nothing."""
        if self.held + size > self.bound:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        """Gives bytes back; those that wait longest are served first."""
        self.held -= size
        while self.waiting and (self.waiting[0][1].done() or self.take(self.waiting[0][0])):
            _, turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)

    async def wait(self, size: int) -> None:
        """Takes `size` bytes as soon as there is room for them."""
        if not self.waiting and self.take(size):
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append((size, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give(size)
            raise


class Claim:
    """What one request holds of a room; all of it is given back at once."""

    def __init__(self, room: Room) -> None:
        """It holds nothing yet."""
        self.room = room
        self.size = 0

    def add(self, size: int) -> bool:
        """Takes more; False where there is no room for it."""
        if not self.room.take(size):
            return False
        self.size += size
        return True

    async def wait(self, size: int) -> None:
        """Takes more as soon as there is room for it."""
        await self.room.wait(size)
        self.size += size

    def give(self, size: int) -> None:
        """Gives a part back."""
        self.size -= size
        self.room.give(size)

    def free(self) -> None:
        """Gives all of it back."""
        self.give(self.size)


def room_of(settings: collections.abc.Mapping[str, object]) -> Room:
    """A room for this machine, by `limits.memory_mb` of its settings."""
    limits = settings.get("limits")
    memory_mb = limits.get("memory_mb") if isinstance(limits, dict) else None
    return Room(int((memory_mb or ASSUMED_MB) * MIB) // SHARE)
