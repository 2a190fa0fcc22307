"""A token bucket whose rate and capacity can change."""

MS_PER_S = 1000


class Bucket:
    """A token bucket with a `rate` in tokens per second; times are in ms.

    In any span of time at most the initial level plus the tokens added by the rate are taken."""

    __slots__ = ("rate", "capacity", "level", "filled_at")

    def __init__(self, rate: float, capacity: float, now: int) -> None:
        """Create an empty bucket."""
        self.rate = rate
        self.capacity = capacity
        self.level = 0.0
        self.filled_at = now

    def refill(self, now: int) -> float:
        """Add the tokens that are due until now, and return the level."""
        if now > self.filled_at:
            self.level = min(self.capacity, self.level + self.rate * (now - self.filled_at) / MS_PER_S)
            self.filled_at = now
        return self.level

    def change(self, rate: float, capacity: float, now: int) -> None:
        """Change the rate and the capacity; tokens above the new capacity are discarded."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def take_tokens(self, tokens: int, now: int) -> int:
        """Take up to this many whole tokens, and return how many were taken."""
        taken = max(0, min(tokens, int(self.refill(now))))
        self.level -= taken
        return taken

    def ready_in_ms(self, now: int) -> int | None:
        """Returns in how many ms a token will be available, 0 if it is now, None if never."""
        missing = 1 - self.refill(now)
        if missing <= 0:
            return 0
        if self.rate <= 0 or self.capacity < 1:
            return None
        return int(missing * MS_PER_S / self.rate) + 1
