"""The ceiling of the store of weights: a bucket of permits to load, empty for a new holder."""

BURST = 2.0


class TokenBucket:
    """`rate` in loads a second; times in ms. In any span no more than rate x span + BURST are taken."""

    __slots__ = ("rate", "level", "at")

    def __init__(self, rate: float, now: int) -> None:
        """Empty now."""
        self.rate = rate
        self.level = 0.0
        self.at = now

    def fill(self, now: int) -> float:
        """The permits that are there at a time."""
        if now > self.at:
            self.level = min(BURST, self.level + self.rate * (now - self.at) / 1000)
            self.at = now
        return self.level

    def change(self, rate: float, now: int) -> None:
        """Another rate from now on."""
        self.fill(now)
        self.rate = rate

    def take(self, now: int) -> bool:
        """Take a permit if one is there."""
        if self.fill(now) < 1:
            return False
        self.level -= 1
        return True

    def ready(self, now: int, n: float = 1.0) -> int | None:
        """When `n` permits will be there; None if never."""
        lack = n - self.fill(now)
        if lack <= 0:
            return now
        if self.rate <= 0:
            return None
        return now + int(lack * 1000 / self.rate) + 1
