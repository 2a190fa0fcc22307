"""The rate limit of the store of weights: a token bucket of permits to load, empty for a new leader."""

BURST = 2.0
"""The most permits that a bucket holds."""


class TokenBucket:
    """`rate` in loads a second, times in ms. In any span no more than rate x span + BURST are taken."""

    __slots__ = ("rate", "level", "filled_at")

    def __init__(self, rate: float, now: int) -> None:
        """Empty now."""
        self.rate = rate
        self.level = 0.0
        self.filled_at = now

    def fill(self, now: int) -> float:
        """The permits that are there at a time."""
        if now > self.filled_at:
            self.level = min(BURST, self.level + self.rate * (now - self.filled_at) / 1000)
            self.filled_at = now
        return self.level

    def change_rate(self, rate: float, now: int) -> None:
        """Another rate from now on."""
        self.fill(now)
        self.rate = rate

    def take(self, now: int) -> bool:
        """Take a permit if one is there."""
        if self.fill(now) < 1:
            return False
        self.level -= 1
        return True

    def give_back(self, now: int) -> None:
        """A permit that was taken was surely not used."""
        self.level = min(BURST, self.fill(now) + 1)

    def ready_at(self, now: int, permits: float = 1.0) -> int | None:
        """When so many permits will be there, in ms; None if never."""
        lack = permits - self.fill(now)
        if lack <= 0:
            return now
        if self.rate <= 0:
            return None
        return now + int(lack * 1000 / self.rate) + 1
