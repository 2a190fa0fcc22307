"""A token bucket, which limits the rate of loads from the store of weights; it is empty for a new leader."""

BURST = 2.0
"""Maximum number of permits in a bucket."""


class TokenBucket:
    """A token bucket with `rate` permits per second; times in ms.

    In any span of time no more than rate x span + BURST permits are taken.
    """

    __slots__ = ("rate", "level", "filled_at")

    def __init__(self, rate: float, now: int) -> None:
        """Create a bucket that is empty at the time `now`."""
        self.rate = rate
        self.level = 0.0
        self.filled_at = now

    def fill(self, now: int) -> float:
        """Add the permits that have accrued by `now`, and return the number available."""
        if now > self.filled_at:
            self.level = min(BURST, self.level + self.rate * (now - self.filled_at) / 1000)
            self.filled_at = now
        return self.level

    def change_rate(self, rate: float, now: int) -> None:
        """Change the rate from the time `now` on."""
        self.fill(now)
        self.rate = rate

    def take(self, now: int) -> bool:
        """Take a permit if one is available, and return whether it was."""
        if self.fill(now) < 1:
            return False
        self.level -= 1
        return True

    def give_back(self, now: int) -> None:
        """Return a permit that was certainly not used."""
        self.level = min(BURST, self.fill(now) + 1)

    def ready_at(self, now: int, permits: float = 1.0) -> int | None:
        """Return the time in ms at which `permits` will be available, or None if never."""
        lack = permits - self.fill(now)
        if lack <= 0:
            return now
        if self.rate <= 0:
            return None
        return now + int(lack * 1000 / self.rate) + 1
