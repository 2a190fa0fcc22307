"""What this node's own attempts tell of a replica."""

FIRST = 250
LONGEST = 4000


class Health:
    """`running`: attempts of this node. `down`: not used before then. `first`: smoothed ms to first bytes."""

    __slots__ = ("running", "down", "fails", "last", "first", "cold", "cold_until", "absent", "dead", "ok_at")

    def __init__(self, cold):
        self.running = 0
        self.down = 0
        self.fails = 0
        self.last = 0
        self.first = 0.0
        self.cold = cold
        self.cold_until = 0
        self.absent = {}
        self.dead = False
        self.ok_at = -(10**9)

    def bad(self, now):
        """Out for a while that doubles with each failure in a row."""
        self.down = now + min(LONGEST, FIRST << min(self.fails, 5))
        self.fails += 1

    def good(self, now):
        self.fails = 0
        self.down = 0
        self.ok_at = now

    def took(self, ms):
        self.first = ms if not self.first else 0.85 * self.first + 0.15 * ms

    def lacks(self, item, now):
        """Whether it said lately that it does not hold the item."""
        return self.absent.get(item, 0) > now
