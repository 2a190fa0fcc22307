"""Credit shares of one rostrum: waiting, and resending over any ten seconds."""

import collections

WINDOW = 10_000


def share(total, seats, me):
    """Whole shares by the agreed roster: they sum to the total and never past it."""
    seats = sorted(seats)
    if me not in seats:
        return 0
    return total // len(seats) + (1 if seats.index(me) < total % len(seats) else 0)


class Resends:
    """In every window resends stay under a share of what was sent first in it, plus an allowance.

    Credit is never stored: what counts is only what lies in the window that ends now, and the
    first sends counted are those of half a window, so that any window of ten seconds holds them."""

    __slots__ = ("first", "again")

    def __init__(self):
        self.first = collections.deque()
        self.again = collections.deque()

    def sent(self, now):
        self.first.append(now)
        self.trim(now)

    def trim(self, now):
        while self.first and self.first[0] <= now - WINDOW // 2:
            self.first.popleft()
        while self.again and self.again[0] <= now - WINDOW:
            self.again.popleft()

    def room(self, now, percent, allowance):
        self.trim(now)
        return len(self.again) < allowance + len(self.first) * percent // 100

    def spend(self, now, percent, allowance):
        if not self.room(now, percent, allowance):
            return False
        self.again.append(now)
        return True
