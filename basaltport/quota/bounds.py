"""Computes what a tenant's limit allows in a window, and divides it into buckets that together never allow
more.

Each admitted request spends one whole token. Buckets whose levels add up to at most `capacity` and whose
rates add up to at most `rate_per_s` spend at most capacity + rate x span in any span of time. Tokens of the
owner are spent up to `GRANT_LIFE_MS` after they were granted, so the span of a window is that much longer. A
budget below n + 1 allows n whole tokens, so the budget may lie just below n + 1.
"""

import collections.abc
import dataclasses
import math
import typing

GRANT_LIFE_MS = 250
"""A proxy spends the owner's tokens no later than this after it requested them, in ms."""
SHARE_LIFE_MS = 10_000
"""How long a share is valid, in ms, from when its proxy sent the request that was answered with it."""
SHARE_MARGIN_MS = 100
"""How much longer an owner counts a share as outstanding, in ms, since clocks run at different rates."""
MAX_SHARED_FRACTION = 0.3
"""All shares of a limit together are at most this fraction of it; a new owner grants none of that fraction
for `SHARE_LIFE_MS`."""
SLICES = 3
"""The number of slices of a limit, each with its own owner, so that the loss of one owner leaves the
others."""

FRACTION_UNIT = 1_000_000
"""Fractions of a limit are integers in millionths, so that they add up exactly."""
MAX_SHARED_UNITS = round(MAX_SHARED_FRACTION * FRACTION_UNIT)
CLOCK_MARGIN_MS = 5
"""Times are rounded to milliseconds, so a window may be longer than measured by this, in ms."""
SHARED_CAPACITY_FRACTION = 0.5
"""The fraction of the capacity that belongs to the shares when all of them are granted."""
ROUNDING = 0.01
"""How far the budget stays below n + 1 tokens, so that rounding errors can't allow another token."""
MIN_SLACK_FOR_RESERVE = 2.0
"""From this slack on, one request of the bound is left unused as a reserve."""
CAPACITY_SLACK_FRACTION = 0.8
"""The fraction of the slack that is added to the capacity; the rest is added to the rate."""
MIN_RATE_FRACTION = 0.9
"""The rate is at least this fraction of the limit's rate, at the cost of the burst."""
RAISED_CAPACITY = 2.0
"""The capacity, in tokens, of a limit with little or no burst, or half of its budget if that is less."""
MS_PER_S = 1000


class TenantLimit(typing.NamedTuple):
    """A tenant's limit: `rate_per_s` requests per second, and a `burst` of requests above that."""

    rate_per_s: float
    burst: float = 0.0


class Budget(typing.NamedTuple):
    """The total of all buckets of a tenant: `rate_per_s` tokens per second and `capacity` tokens.

    Fractions are in millionths of the budget. `span_s` is the length of a window with its margins, in
    seconds."""

    rate_per_s: float
    capacity: float
    span_s: float = 0.0

    def share_rate(self, fraction: int) -> float:
        """Returns the rate of a share, in tokens per second."""
        return self.rate_per_s * fraction / FRACTION_UNIT

    def share_capacity(self, fraction: int) -> float:
        """Returns the capacity of the bucket of a share, in tokens."""
        return self.capacity * SHARED_CAPACITY_FRACTION * fraction / MAX_SHARED_UNITS

    def min_share(self) -> int | None:
        """Returns the smallest fraction whose bucket holds a token; None if no share is that large."""
        room = self.capacity * SHARED_CAPACITY_FRACTION
        if room < 1:
            return None
        return math.ceil(MAX_SHARED_UNITS / room)

    def slices(self) -> tuple["Budget", ...]:
        """Divide the budget into slices.

        Each slice's capacity grows with the total capacity, so that while owners apply two different limits,
        the slices together have no more than the larger one."""
        if self.capacity >= SLICES:
            return (Budget(self.rate_per_s / SLICES, self.capacity / SLICES, self.span_s),) * SLICES
        usable = int(self.capacity)
        if not usable:
            return (Budget(0.0, 0.0),) * SLICES
        full_slice = Budget(self.rate_per_s / usable, 1.0, self.span_s)
        return (
            (full_slice,) * usable
            + (Budget(0.0, self.capacity - usable),)
            + (Budget(0.0, 0.0),) * (SLICES - usable - 1)
        )

    def owner_rate(self, outstanding: int) -> float:
        """Returns the rate of the owner's bucket, in tokens per second, while this fraction is held as
        shares."""
        return self.rate_per_s * max(0, FRACTION_UNIT - outstanding) / FRACTION_UNIT

    def owner_capacity(self, outstanding: int) -> float:
        """Returns the capacity of the owner's bucket, in tokens: what the outstanding shares leave."""
        return max(0.0, self.capacity - self.share_capacity(outstanding))


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The bound on admitted requests: in any window of `window_ms`, at most
    (rate x window + burst) x (1 + `excess`) + `slack` requests of a tenant."""

    window_ms: int = 5000
    excess: float = 0.0
    slack: float = 0.0

    @classmethod
    def from_timings(cls, timings: collections.abc.Mapping[str, typing.Any]) -> "QuotaBounds":
        """Create bounds from the settings `quota_window_s`, `quota_excess` and `quota_slack`."""
        return cls(
            max(1, round(float(timings.get("quota_window_s", 5)) * MS_PER_S)),
            max(0.0, float(timings.get("quota_excess", 0))),
            max(0.0, float(timings.get("quota_slack", 0))),
        )

    def most_in_window(self, limit: TenantLimit) -> float:
        """Returns the most requests of a tenant that all proxies together may admit in a window."""
        within = limit.rate_per_s * self.window_ms / MS_PER_S + limit.burst
        return within * (1 + self.excess) + self.slack

    def budget(self, limit: TenantLimit) -> Budget:
        """Returns the budget of all buckets together that admits at most `most_in_window` requests in any
        window."""
        reserve = 1 if self.slack >= MIN_SLACK_FOR_RESERVE else 0
        max_requests = math.floor(self.most_in_window(limit) - reserve)
        if max_requests < 1:
            return Budget(0.0, 0.0)
        tokens = max_requests + 1 - ROUNDING
        spare_slack = max(0.0, self.slack - 1)
        capacity = limit.burst * (1 + self.excess) + CAPACITY_SLACK_FRACTION * spare_slack
        span_s = (self.window_ms + GRANT_LIFE_MS + CLOCK_MARGIN_MS) / MS_PER_S
        capacity_beside_min_rate = tokens - MIN_RATE_FRACTION * limit.rate_per_s * span_s
        min_capacity = max(1.0, min(RAISED_CAPACITY, tokens / 2))
        capacity = max(min_capacity, min(capacity, capacity_beside_min_rate))
        return Budget((tokens - capacity) / span_s, capacity, span_s)
