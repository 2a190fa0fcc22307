"""How long a process of the soak itself stood still, so that it takes no time of its own for another's."""

import asyncio
import time

CHECK_S = 0.005


class StallWatch:
    """`longest_s`: the longest stall; `total_s`: all of them together."""

    def __init__(self) -> None:
        """None yet."""
        self.longest_s = self.total_s = 0.0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(CHECK_S)
            stall_s = max(0.0, time.monotonic() - before - CHECK_S)
            self.longest_s = max(self.longest_s, stall_s)
            self.total_s += stall_s
