"""Evenly distributed random draws that select the service for a request of a route.

Independent random draws deviate by a few hundredths from the weights over 300 requests. Multiples of the
golden ratio, modulo 1, from a random start are distributed more evenly over any run of consecutive draws;
each proxy has a different start.
"""

import random

GOLDEN_RATIO_FRACTION = 0.6180339887498949
MAX_ROUTES = 1024
"""If more routes than this have a last draw, all draws are reset."""


class ShareDraws:
    """The last draw of each route with several services."""

    def __init__(self, rng: random.Random) -> None:
        """`rng` provides the first draw of a route."""
        self.rng = rng
        self.last: dict[str, float] = {}

    def next(self, route: str) -> float:
        """Returns the next draw of a route, in [0, 1)."""
        last = self.last.get(route)
        if last is None and len(self.last) >= MAX_ROUTES:
            self.last.clear()
        draw = self.rng.random() if last is None else (last + GOLDEN_RATIO_FRACTION) % 1.0
        self.last[route] = draw
        return draw
