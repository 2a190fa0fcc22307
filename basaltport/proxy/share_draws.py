"""Draws by which requests are given to the parts of their route: evenly laid, so that a few hundred suffice.

Independent draws stray by some hundredths in 300 requests. The multiples of the golden ratio, modulo 1, from
a random start, are spread more evenly over any number of draws in a row; each proxy starts elsewhere.
"""

import random

GOLDEN_RATIO_PART = 0.6180339887498949
ROUTES_KEPT = 1024
"""Of more routes the draws start anew."""


class ShareDraws:
    """The last draw of each route that has several parts."""

    def __init__(self, rng: random.Random) -> None:
        """`rng` gives the first draw of a route."""
        self.rng = rng
        self.last: dict[str, float] = {}

    def next(self, route: str) -> float:
        """The next draw of a route, in [0, 1)."""
        last = self.last.get(route)
        if last is None and len(self.last) >= ROUTES_KEPT:
            self.last.clear()
        draw = self.rng.random() if last is None else (last + GOLDEN_RATIO_PART) % 1.0
        self.last[route] = draw
        return draw
