"""Retry budgets, and a node's share of what all nodes together may do."""

import collections
import collections.abc

WINDOW_MS = 10_000
PERCENT = 100


def member_share(total: int, members: collections.abc.Iterable[str], member_id: str) -> int:
    """A member's whole share of a total: all members' shares sum to it and never past it."""
    ordered = sorted(members)
    if member_id not in ordered:
        return 0
    rest = total % len(ordered)
    return total // len(ordered) + (1 if ordered.index(member_id) < rest else 0)


class RetryBudget:
    """In every window retries stay under a share of the first attempts in it, plus an allowance.

    Nothing is saved up: what counts is only what lies in the window that ends now, and the first attempts
    counted are those of half a window, so that any window of `WINDOW_MS` holds them."""

    __slots__ = ("first_attempts", "retries")

    def __init__(self) -> None:
        """Nothing sent yet."""
        self.first_attempts: collections.deque[int] = collections.deque()
        self.retries: collections.deque[int] = collections.deque()

    def record_first(self, now: int) -> None:
        """A request was sent for the first time."""
        self.first_attempts.append(now)
        self.forget_before(now)

    def forget_before(self, now: int) -> None:
        """Forget what lies before the window that ends now."""
        while self.first_attempts and self.first_attempts[0] <= now - WINDOW_MS // 2:
            self.first_attempts.popleft()
        while self.retries and self.retries[0] <= now - WINDOW_MS:
            self.retries.popleft()

    def has_room(self, now: int, percent: int, allowance: int) -> bool:
        """Whether a retry is within the budget."""
        self.forget_before(now)
        return len(self.retries) < allowance + len(self.first_attempts) * percent // PERCENT

    def spend(self, now: int, percent: int, allowance: int) -> bool:
        """Count a retry, if it is within the budget; whether it is."""
        if not self.has_room(now, percent, allowance):
            return False
        self.retries.append(now)
        return True
