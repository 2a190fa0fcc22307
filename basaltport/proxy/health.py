"""What this node's own attempts tell of a replica."""

import basaltport.identifiers as identifiers
import basaltport.proxy.retry_budget as retry_budget

FIRST_MS = 250
LONGEST_MS = 4000
MOST_DOUBLINGS = 5
KEPT_PART = 0.85
LONG_AGO = identifiers.Millis(-(10**9))
NOW = identifiers.Millis(0)


class Health:
    """`running`: attempts of this node. `down`: not used before then. `first`: smoothed ms to first bytes.
    `last`: when it last sent anything. `dead`: another replica has its address. `absent`: until when items
    are not asked of it."""

    __slots__ = ("running", "down", "fails", "last", "first", "cold", "cold_until", "absent", "dead", "ok_at")

    def __init__(self, cold: retry_budget.Cold) -> None:
        """Nothing was sent to it yet. `cold`: what this node sends it while it is cold."""
        self.running = 0
        self.down = NOW
        self.fails = 0
        self.last = NOW
        self.first = 0.0
        self.cold = cold
        self.cold_until = NOW
        self.absent: dict[identifiers.Item, identifiers.Millis] = {}
        self.dead = False
        self.ok_at = LONG_AGO

    def bad(self, now: identifiers.Millis) -> None:
        """Out for a while that doubles with each failure in a row."""
        out_for = min(LONGEST_MS, FIRST_MS << min(self.fails, MOST_DOUBLINGS))
        self.down = identifiers.Millis(now + out_for)
        self.fails += 1

    def good(self, now: identifiers.Millis) -> None:
        """It gave a whole answer."""
        self.fails = 0
        self.down = NOW
        self.ok_at = now

    def took(self, ms: int) -> None:
        """First bytes came after so long."""
        self.first = ms if not self.first else KEPT_PART * self.first + (1 - KEPT_PART) * ms

    def lacks(self, item: identifiers.Item, now: identifiers.Millis) -> bool:
        """Whether it said lately that it does not hold the item."""
        return self.absent.get(item, NOW) > now
