"""What a tenant's limit allows in a window, and how that is divided into buckets that never allow more.

Requests admitted are tokens spent, whole numbers. Buckets whose levels add up to no more than `capacity`
and whose rates add up to no more than `rate_per_s` spend at most capacity + rate x span in any span of time.
Tokens of the owner are spent up to `GRANT_LIFE_MS` after they were made, so the span of a window is that much
longer. What is below n + 1 allows n whole tokens, which is why the budget may lie just below that.
"""

import collections.abc
import dataclasses
import math
import typing

GRANT_LIFE_MS = 250
"""Tokens of the owner are spent no later than this after the proxy asked for them."""
SHARE_MS = 10_000
"""A share holds for so long from when its holder sent the request that was answered with it."""
SHARE_MARGIN_MS = 100
"""An owner counts a share as outstanding for so much longer, since clocks differ in their rates."""
SHARED_PART = 0.3
"""All shares of a limit together are at most this part of it; a new owner gives none of it for `SHARE_MS`."""
SLICES = 3
"""A limit is cut into so many slices with an owner each, so that the loss of one leaves the others."""

UNIT = 1_000_000
"""Fractions of a limit are whole millionths, so that they add up exactly."""
SHARED_UNITS = round(SHARED_PART * UNIT)
CLOCK_MARGIN_MS = 5
"""Times are whole milliseconds: a window may be longer than it is read as."""
SHARES_CAPACITY = 0.5
"""The part of the capacity that goes with the shares once all of them are given."""
ROUNDING = 0.01
RESERVE_FROM_SLACK = 2.0
"""With this slack or more one request of the bound is left unused."""
SLACK_OF_CAPACITY = 0.8
"""The part of the slack that goes to the capacity; the rest goes to the rate."""
LEAST_RATE = 0.9
"""The rate is no less than this part of the limit's, at the cost of the burst."""
MOST_RAISED_CAPACITY = 2.0
"""A limit with little or no burst has this capacity, or half of its budget if that is less."""
MS = 1000


class TenantLimit(typing.NamedTuple):
    """A tenant may make `rate_per_s` requests a second, and `burst` above that."""

    rate_per_s: float
    burst: float = 0.0


class Budget(typing.NamedTuple):
    """What all buckets of a tenant may have together: `rate_per_s` tokens a second and `capacity` tokens.
    Fractions are in millionths of the whole. `span_s`: a window and what counts with it."""

    rate_per_s: float
    capacity: float
    span_s: float = 0.0

    def share_rate(self, fraction: int) -> float:
        """Tokens a second of a share."""
        return self.rate_per_s * fraction / UNIT

    def share_capacity(self, fraction: int) -> float:
        """The most tokens in the bucket of a share."""
        return self.capacity * SHARES_CAPACITY * fraction / SHARED_UNITS

    def least_share(self) -> int | None:
        """The smallest fraction with room for a token; None where no share has that."""
        room = self.capacity * SHARES_CAPACITY
        if room < 1:
            return None
        return math.ceil(SHARED_UNITS / room)

    def slices(self) -> tuple["Budget", ...]:
        """The budget cut into slices. Each slice's capacity grows with that of the whole, so that while two
        limits are known the slices together have no more than the larger."""
        if self.capacity >= SLICES:
            return (Budget(self.rate_per_s / SLICES, self.capacity / SLICES, self.span_s),) * SLICES
        usable = int(self.capacity)
        if not usable:
            return (Budget(0.0, 0.0),) * SLICES
        whole = Budget(self.rate_per_s / usable, 1.0, self.span_s)
        return (
            (whole,) * usable
            + (Budget(0.0, self.capacity - usable),)
            + (Budget(0.0, 0.0),) * (SLICES - usable - 1)
        )

    def owner_rate(self, outstanding: int) -> float:
        """Tokens a second of the owner's bucket while so much is outstanding in shares."""
        return self.rate_per_s * max(0, UNIT - outstanding) / UNIT

    def owner_capacity(self, outstanding: int) -> float:
        """The most tokens in the owner's bucket: all that the shares leave."""
        return max(0.0, self.capacity - self.share_capacity(outstanding))


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """In any `window_ms` no more than (rate x window + burst) x (1 + `excess`) + `slack` requests of a tenant
    may run."""

    window_ms: int = 5000
    excess: float = 0.0
    slack: float = 0.0

    @classmethod
    def from_timings(cls, timings: collections.abc.Mapping[str, typing.Any]) -> "QuotaBounds":
        """From settings: `quota_window_s`, `quota_excess`, `quota_slack`."""
        return cls(
            max(1, round(float(timings.get("quota_window_s", 5)) * MS)),
            max(0.0, float(timings.get("quota_excess", 0))),
            max(0.0, float(timings.get("quota_slack", 0))),
        )

    def most_in_window(self, limit: TenantLimit) -> float:
        """The most requests of a tenant in a window, over all proxies."""
        within = limit.rate_per_s * self.window_ms / MS + limit.burst
        return within * (1 + self.excess) + self.slack

    def budget(self, limit: TenantLimit) -> Budget:
        """What all buckets together may have, so that no window has more than `most_in_window`."""
        reserve = 1 if self.slack >= RESERVE_FROM_SLACK else 0
        whole = math.floor(self.most_in_window(limit) - reserve)
        if whole < 1:
            return Budget(0.0, 0.0)
        tokens = whole + 1 - ROUNDING
        spare_slack = max(0.0, self.slack - 1)
        capacity = limit.burst * (1 + self.excess) + SLACK_OF_CAPACITY * spare_slack
        span_s = (self.window_ms + GRANT_LIFE_MS + CLOCK_MARGIN_MS) / MS
        beside_rate = tokens - LEAST_RATE * limit.rate_per_s * span_s
        least = max(1.0, min(MOST_RAISED_CAPACITY, tokens / 2))
        capacity = max(least, min(capacity, beside_rate))
        return Budget((tokens - capacity) / span_s, capacity, span_s)
