"""One slice of a tenant's limit at its owner: the token bucket, and the shares that proxies hold."""

import typing

import basaltport.quota.bounds as bounds
import basaltport.quota.bucket as bucket
import basaltport.quota.rows as rows

UNKNOWN_SHARES_MS = bounds.SHARE_LIFE_MS + bounds.SHARE_MARGIN_MS
"""How long after an ownership began shares that a former owner granted may still be valid, in ms."""
SWEEP_MS = 500
"""The interval at which expired rows are removed, in ms."""
SHARE_TOLERANCE = 0.25
"""A share is left unchanged while its target differs by at most this fraction."""
NEW_SHARE_FACTOR = 1.25
"""A new share is at least the smallest usable share times this, so that it doesn't end at once."""
MIN_DEMAND = 500
"""The demand, in requests per 1000 s, from which a proxy is granted a share; it keeps one down to half of
that."""
DEMAND_FACTOR = 1.5
"""A share is at most the part of the limit that its proxy's demand needs, times this."""
MIN_RETRY_MS = 100
"""The least delay before a retry that a grant states, in ms."""
MAX_RETRY_MS = 1000
"""The longest delay before a retry that a grant states, in ms."""

HolderKey = tuple[str, int]
"""A proxy's name and incarnation."""


class Offer(typing.NamedTuple):
    """A share that was granted in answer to a request; the owner counts it as outstanding until a time in
    ms."""

    number: int
    fraction: int
    until: int


class HolderRow:
    """What the owner knows of a proxy: its reported share and demand, and the shares offered to it.

    `counted_fraction` is the largest share that the proxy may hold, in millionths."""

    __slots__ = (
        "demand",
        "heard_at",
        "last_number",
        "held_fraction",
        "held_until",
        "offers",
        "counted_fraction",
    )

    def __init__(self) -> None:
        """Create the row of a proxy that has reported nothing."""
        self.demand = self.heard_at = self.last_number = self.held_fraction = self.held_until = (
            self.counted_fraction
        ) = 0
        self.offers: list[Offer] = []

    def apply_report(self, requested: rows.RequestRow, number: int, now: int) -> None:
        """Apply a proxy's report; offers that it will ignore from now on are dropped."""
        self.last_number = number
        self.heard_at = now
        self.demand = requested.demand
        self.held_fraction = requested.fraction
        self.held_until = now + min(requested.lasts_ms, bounds.SHARE_LIFE_MS) + bounds.SHARE_MARGIN_MS
        self.offers = [offer for offer in self.offers if offer.number > requested.ignored_up_to]

    def add_offer(self, number: int, fraction: int, now: int) -> None:
        """Record a granted share; it covers earlier, smaller offers."""
        until = now + bounds.SHARE_LIFE_MS + bounds.SHARE_MARGIN_MS
        self.offers = [offer for offer in self.offers if offer.fraction > fraction]
        self.offers.append(Offer(number, fraction, until))

    def outstanding(self, now: int) -> int:
        """Returns the larger of the share that the proxy holds and the shares that it may still accept."""
        self.offers = [offer for offer in self.offers if offer.until > now]
        held_fraction = self.held_fraction if self.held_until > now else 0
        return max(held_fraction, max((offer.fraction for offer in self.offers), default=0))


class OwnedTenant:
    """A tenant's slice during one ownership of its shard."""

    __slots__ = (
        "budget",
        "unknown_until",
        "rows",
        "bucket",
        "counted_fraction",
        "demand",
        "last_request_at",
        "_swept_at",
    )

    def __init__(self, budget: bounds.Budget, begun_at: int, now: int) -> None:
        """Create a slice; its bucket was empty and former shares were unknown at `begun_at`, when the
        ownership began."""
        self.budget = budget
        self.unknown_until = begun_at + UNKNOWN_SHARES_MS
        self.rows: dict[HolderKey, HolderRow] = {}
        self.bucket = self._first_bucket(begun_at)
        self.counted_fraction = self.demand = 0
        self.last_request_at = self._swept_at = now
        if now >= self.unknown_until:
            self.bucket.change(budget.owner_rate(0), budget.owner_capacity(0), self.unknown_until)

    def outstanding(self, now: int) -> int:
        """Returns the millionths of the limit that proxies may hold as shares."""
        return max(self.counted_fraction, self.unknown_shares(now))

    def unknown_shares(self, now: int) -> int:
        """Returns the millionths that proxies may still hold as shares of former owners; 0 if no share is
        large enough for a token."""
        if now >= self.unknown_until or self.budget.min_share() is None:
            return 0
        return bounds.MAX_SHARED_UNITS

    def change_budget(self, budget: bounds.Budget, now: int) -> None:
        """Apply a changed limit."""
        self.budget = budget
        self._set_bucket(now)

    def answer(
        self, key: HolderKey, number: int, requested: rows.RequestRow, now: int
    ) -> rows.GrantRow | None:
        """Returns the grant for a proxy; None if a newer request of it was answered already."""
        self.sweep(now)
        self.last_request_at = now
        row = self.rows.get(key)
        if row is not None and number <= row.last_number:
            return None
        row = self._apply_report(key, row, number, requested, now)
        self._set_bucket(now)
        granted = self.bucket.take_tokens(requested.wanted, now)
        fraction = self._offer_share(row, number, now) if row is not None else 0
        self._set_bucket(now)
        retry_after_ms = 0 if granted >= requested.wanted else self._retry_after_ms(now)
        return rows.GrantRow(granted, retry_after_ms, fraction, bounds.SHARE_LIFE_MS if fraction else 0)

    def sweep(self, now: int) -> None:
        """Remove the rows of proxies whose shares have expired, at most once per `SWEEP_MS`."""
        if now - self._swept_at < SWEEP_MS:
            return
        self._swept_at = now
        for key, row in list(self.rows.items()):
            self._update_counted(row, now)
            if not row.counted_fraction and now - row.heard_at > UNKNOWN_SHARES_MS:
                self.demand -= row.demand
                del self.rows[key]
        self._set_bucket(now)

    def is_droppable(self, window_ms: int, now: int) -> bool:
        """Whether dropping this state changes nothing: the bucket is full, and neither it nor a share was
        used within a window."""
        if (
            self.rows
            or self.unknown_shares(now)
            or now - self.last_request_at <= UNKNOWN_SHARES_MS + window_ms
        ):
            return False
        return self.bucket.refill(now) >= self.budget.owner_capacity(0)

    def _first_bucket(self, begun_at: int) -> bucket.Bucket:
        unknown_shares = self.unknown_shares(begun_at)
        return bucket.Bucket(
            self.budget.owner_rate(unknown_shares), self.budget.owner_capacity(unknown_shares), begun_at
        )

    def _apply_report(
        self, key: HolderKey, row: HolderRow | None, number: int, requested: rows.RequestRow, now: int
    ) -> HolderRow | None:
        """Apply a proxy's report to its row; returns None if it has no share and can get none."""
        if row is None:
            if self.budget.min_share() is None and not requested.fraction:
                return None
            row = self.rows[key] = HolderRow()
        demand_before = row.demand
        row.apply_report(requested, number, now)
        self.demand += row.demand - demand_before
        self._update_counted(row, now)
        return row

    def _offer_share(self, row: HolderRow, number: int, now: int) -> int:
        """Offer a share to a proxy and return it in millionths, 0 for none."""
        smallest = self.budget.min_share()
        if smallest is None:
            return 0
        fraction = self._offered_fraction(row, smallest, now)
        if fraction:
            row.add_offer(number, fraction, now)
            self._update_counted(row, now)
        return fraction

    def _update_counted(self, row: HolderRow, now: int) -> None:
        """Update the total of outstanding shares for a changed row."""
        counted_fraction = row.outstanding(now)
        self.counted_fraction += counted_fraction - row.counted_fraction
        row.counted_fraction = counted_fraction

    def _offered_fraction(self, row: HolderRow, smallest: int, now: int) -> int:
        """Returns the share to offer to a proxy: its target, limited to what no other proxy may hold."""
        target = self._target_fraction(row, smallest)
        unallocated = bounds.MAX_SHARED_UNITS - (self.counted_fraction - row.counted_fraction)
        if self.unknown_shares(now):
            unallocated = min(unallocated, row.held_fraction)
        fraction = min(target, unallocated)
        return fraction if fraction >= smallest else 0

    def _target_fraction(self, row: HolderRow, smallest: int) -> int:
        least_demand = MIN_DEMAND // 2 if row.held_fraction else MIN_DEMAND
        if row.demand < least_demand or not self.budget.rate_per_s:
            return 0
        demand_share = bounds.MAX_SHARED_UNITS * row.demand // max(1, self.demand)
        needed = DEMAND_FACTOR * row.demand / bounds.MS_PER_S / self.budget.rate_per_s * bounds.FRACTION_UNIT
        target = min(demand_share, max(int(needed), int(smallest * NEW_SHARE_FACTOR) + 1))
        if row.held_fraction and abs(target - row.held_fraction) <= SHARE_TOLERANCE * row.held_fraction:
            return row.held_fraction
        if not row.held_fraction and target < smallest * NEW_SHARE_FACTOR:
            return 0
        return target

    def _set_bucket(self, now: int) -> None:
        outstanding = self.outstanding(now)
        rate, capacity = self.budget.owner_rate(outstanding), self.budget.owner_capacity(outstanding)
        if rate != self.bucket.rate or capacity != self.bucket.capacity:
            self.bucket.change(rate, capacity, now)

    def _retry_after_ms(self, now: int) -> int:
        ready_in_ms = self.bucket.ready_in_ms(now)
        if ready_in_ms is None:
            return MAX_RETRY_MS
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, ready_in_ms))
