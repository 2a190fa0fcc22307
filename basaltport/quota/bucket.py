"""A token bucket whose rate and capacity may change."""

MS = 1000


class Bucket:
    """`rate` in tokens a second, times in ms. In any span no more are taken than the level at its begin and
    what the rates of the span add up to."""

    __slots__ = ("rate", "capacity", "level", "filled_at")

    def __init__(self, rate: float, capacity: float, now: int) -> None:
        """Empty now."""
        self.rate = rate
        self.capacity = capacity
        self.level = 0.0
        self.filled_at = now

    def fill(self, now: int) -> float:
        """The tokens that are there at a time."""
        if now > self.filled_at:
            self.level = min(self.capacity, self.level + self.rate * (now - self.filled_at) / MS)
            self.filled_at = now
        return self.level

    def change(self, rate: float, capacity: float, now: int) -> None:
        """Another rate and capacity from now on; tokens above the capacity are gone."""
        self.fill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def take(self, tokens: int, now: int) -> int:
        """Take whole tokens, as many as are there of those wanted."""
        taken = max(0, min(tokens, int(self.fill(now))))
        self.level -= taken
        return taken

    def ready_in_ms(self, now: int) -> int | None:
        """In how many ms a token will be there, 0 if it is; None if never."""
        lack = 1 - self.fill(now)
        if lack <= 0:
            return 0
        if self.rate <= 0 or self.capacity < 1:
            return None
        return int(lack * MS / self.rate) + 1
