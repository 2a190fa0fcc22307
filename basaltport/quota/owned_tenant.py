"""The count of one slice of a tenant's limit at its owner: the bucket, and what proxies hold as shares."""

import typing

import basaltport.quota.bounds as bounds
import basaltport.quota.bucket as bucket
import basaltport.quota.rows as rows

UNKNOWN_MS = bounds.SHARE_MS + bounds.SHARE_MARGIN_MS
"""For so long after an ownership began, shares that were given before may be in force."""
SWEEP_MS = 500
STEADY_PART = 0.25
"""A share is left as it is while what it should be differs by less."""
ROOM_TO_BEGIN = 1.25
"""A new share is this much larger than the least, so that it doesn't end at once."""
LEAST_DEMAND = 500
"""Requests per 1000 s from which a proxy is given a share; it keeps one down to half of that."""
DEMAND_ROOM = 1.5
"""A share is no larger than this much of what its holder's demand needs."""
LEAST_RETRY_MS = 100
MOST_RETRY_MS = 1000

HolderKey = tuple[str, int]
"""A proxy's name and incarnation."""


class Offer(typing.NamedTuple):
    """A share that was granted to a request, and the time until which it counts."""

    number: int
    fraction: int
    until: int


class HolderRow:
    """What a proxy told and was offered. `counted`: the most that it may hold, millionths."""

    __slots__ = ("demand", "heard_at", "newest", "held", "held_until", "offers", "counted")

    def __init__(self) -> None:
        """Nothing was heard."""
        self.demand = self.heard_at = self.newest = self.held = self.held_until = self.counted = 0
        self.offers: list[Offer] = []

    def hear(self, asked: rows.Asked, number: int, now: int) -> None:
        """What the proxy tells: offers up to `by` are no more to be taken."""
        self.newest = number
        self.heard_at = now
        self.demand = asked.demand
        self.held = asked.fraction
        self.held_until = now + min(asked.lasts_ms, bounds.SHARE_MS) + bounds.SHARE_MARGIN_MS
        self.offers = [offer for offer in self.offers if offer.number > asked.by]

    def offer(self, number: int, fraction: int, now: int) -> None:
        """Grant a share; a smaller offer before it is covered by this one."""
        until = now + bounds.SHARE_MS + bounds.SHARE_MARGIN_MS
        self.offers = [offer for offer in self.offers if offer.fraction > fraction]
        self.offers.append(Offer(number, fraction, until))

    def outstanding(self, now: int) -> int:
        """The larger of what is held and what may still be taken."""
        self.offers = [offer for offer in self.offers if offer.until > now]
        held = self.held if self.held_until > now else 0
        return max(held, max((offer.fraction for offer in self.offers), default=0))


class OwnedTenant:
    """The count of a tenant's slice in one ownership of its shard."""

    __slots__ = ("budget", "unknown_until", "rows", "bucket", "counted", "demand", "used_at", "_swept_at")

    def __init__(self, budget: bounds.Budget, begun_at: int, now: int) -> None:
        """`begun_at`: when the ownership began, with an empty bucket and shares that are not known."""
        self.budget = budget
        self.unknown_until = begun_at + UNKNOWN_MS
        self.rows: dict[HolderKey, HolderRow] = {}
        self.bucket = self._first_bucket(begun_at)
        self.counted = self.demand = 0
        self.used_at = self._swept_at = now
        if now >= self.unknown_until:
            self.bucket.change(budget.owner_rate(0), budget.owner_capacity(0), self.unknown_until)

    def outstanding(self, now: int) -> int:
        """Millionths of the limit that may be in force as shares."""
        return max(self.counted, self.unknown(now))

    def unknown(self, now: int) -> int:
        """What earlier owners may have given that can be spent; nothing where no share has room for a
        token."""
        if now >= self.unknown_until or self.budget.least_share() is None:
            return 0
        return bounds.SHARED_UNITS

    def change_budget(self, budget: bounds.Budget, now: int) -> None:
        """Another limit."""
        self.budget = budget
        self._set_bucket(now)

    def answer(self, key: HolderKey, number: int, asked: rows.Asked, now: int) -> rows.Granted | None:
        """What a proxy gets; None where it was answered to something newer."""
        self.sweep(now)
        self.used_at = now
        row = self.rows.get(key)
        if row is not None and number <= row.newest:
            return None
        row = self._hear(key, row, number, asked, now)
        self._set_bucket(now)
        granted = self.bucket.take(asked.wanted, now)
        fraction = self._offer(row, number, now) if row is not None else 0
        self._set_bucket(now)
        retry_after_ms = 0 if granted >= asked.wanted else self._retry_after_ms(now)
        return rows.Granted(granted, retry_after_ms, fraction, bounds.SHARE_MS if fraction else 0)

    def sweep(self, now: int) -> None:
        """Take away what has ended, now and then."""
        if now - self._swept_at < SWEEP_MS:
            return
        self._swept_at = now
        for key, row in list(self.rows.items()):
            self._count(row, now)
            if not row.counted and now - row.heard_at > UNKNOWN_MS:
                self.demand -= row.demand
                del self.rows[key]
        self._set_bucket(now)

    def is_like_new(self, window_ms: int, now: int) -> bool:
        """Whether a tenant that is made anew with a full bucket would be the same: nothing of it was spent
        within a window, by shares neither."""
        if self.rows or self.unknown(now) or now - self.used_at <= UNKNOWN_MS + window_ms:
            return False
        return self.bucket.fill(now) >= self.budget.owner_capacity(0)

    def _first_bucket(self, begun_at: int) -> bucket.Bucket:
        unknown = self.unknown(begun_at)
        return bucket.Bucket(self.budget.owner_rate(unknown), self.budget.owner_capacity(unknown), begun_at)

    def _hear(
        self, key: HolderKey, row: HolderRow | None, number: int, asked: rows.Asked, now: int
    ) -> HolderRow | None:
        """Note what a proxy tells; None where it has no share and can have none."""
        if row is None:
            if self.budget.least_share() is None and not asked.fraction:
                return None
            row = self.rows[key] = HolderRow()
        demand_before = row.demand
        row.hear(asked, number, now)
        self.demand += row.demand - demand_before
        self._count(row, now)
        return row

    def _offer(self, row: HolderRow, number: int, now: int) -> int:
        """Offer a share, millionths; 0 for none."""
        least = self.budget.least_share()
        if least is None:
            return 0
        fraction = self._fraction(row, least, now)
        if fraction:
            row.offer(number, fraction, now)
            self._count(row, now)
        return fraction

    def _count(self, row: HolderRow, now: int) -> None:
        """Bring the sum of what is outstanding up to date with a row."""
        counted = row.outstanding(now)
        self.counted += counted - row.counted
        row.counted = counted

    def _fraction(self, row: HolderRow, least: int, now: int) -> int:
        """The share of a proxy: by its part of the demand, of what nobody else may hold."""
        wanted = self._wanted(row, least)
        free = bounds.SHARED_UNITS - (self.counted - row.counted)
        if self.unknown(now):
            free = min(free, row.held)
        fraction = min(wanted, free)
        return fraction if fraction >= least else 0

    def _wanted(self, row: HolderRow, least: int) -> int:
        least_demand = LEAST_DEMAND // 2 if row.held else LEAST_DEMAND
        if row.demand < least_demand or not self.budget.rate_per_s:
            return 0
        of_all = bounds.SHARED_UNITS * row.demand // max(1, self.demand)
        needed = DEMAND_ROOM * row.demand / bounds.MS / self.budget.rate_per_s * bounds.UNIT
        wanted = min(of_all, max(int(needed), int(least * ROOM_TO_BEGIN) + 1))
        if row.held and abs(wanted - row.held) <= STEADY_PART * row.held:
            return row.held
        if not row.held and wanted < least * ROOM_TO_BEGIN:
            return 0
        return wanted

    def _set_bucket(self, now: int) -> None:
        outstanding = self.outstanding(now)
        rate, capacity = self.budget.owner_rate(outstanding), self.budget.owner_capacity(outstanding)
        if rate != self.bucket.rate or capacity != self.bucket.capacity:
            self.bucket.change(rate, capacity, now)

    def _retry_after_ms(self, now: int) -> int:
        ready_in_ms = self.bucket.ready_in_ms(now)
        if ready_in_ms is None:
            return MOST_RETRY_MS
        return min(MOST_RETRY_MS, max(LEAST_RETRY_MS, ready_in_ms))
