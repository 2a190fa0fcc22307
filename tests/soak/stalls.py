"""How long a process of the soak itself stood still, so that it takes no time of its own for another's."""

import asyncio
import time

CHECK_S = 0.005


class StallWatch:
    """Measures the times in which the event loop did not run; `longest_s` is the longest of them."""

    def __init__(self) -> None:
        """None yet."""
        self.longest_s = self.ended_s = 0.0
        self.checked_at: float | None = None
        """When the last check was made; None while this doesn't run."""

    def total_s(self) -> float:
        """Seconds of all stalls, with the one that has just ended or goes on: what the loop runs first after
        a stall comes before the next check."""
        return self.ended_s + self.unchecked_s()

    def unchecked_s(self) -> float:
        """Seconds of a stall since the last check."""
        if self.checked_at is None:
            return 0.0
        return max(0.0, time.monotonic() - self.checked_at - CHECK_S)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.checked_at = time.monotonic()
            await asyncio.sleep(CHECK_S)
            stall_s = self.unchecked_s()
            self.longest_s = max(self.longest_s, stall_s)
            self.ended_s += stall_s
