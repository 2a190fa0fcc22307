"""A proxy's share of one slice of a tenant's limit, and the proxy's requests that wait for the slice's
owner."""

import typing

import basaltport.identifiers as identifiers
import basaltport.quota.bounds as bounds
import basaltport.quota.bucket as bucket
import basaltport.quota.rows as rows


class HeldSlice:
    """A proxy's state of one slice of a tenant's limit.

    `ignored_up_to`: grants that answer requests up to this number no longer change the share. `requested`:
    the client requests for which tokens are being requested. `waiting`: client requests that arrived
    since."""

    __slots__ = (
        "tenant",
        "shard",
        "budget",
        "share",
        "fraction",
        "ends_at",
        "ignored_up_to",
        "requested",
        "waiting",
        "refused_until",
        "retry_at",
        "reported_at",
    )

    def __init__(self, tenant: str, shard: str, budget: bounds.Budget, ignored_up_to: int, now: int) -> None:
        """Create a slice without a share; grants that answer earlier requests are ignored."""
        self.tenant = tenant
        self.shard = shard
        self.budget = budget
        self.share: bucket.Bucket | None = None
        self.fraction = 0
        self.ends_at = 0
        self.ignored_up_to = ignored_up_to
        self.requested: list[identifiers.RequestId] = []
        self.waiting: list[identifiers.RequestId] = []
        self.refused_until = self.retry_at = 0
        self.reported_at = now

    def is_usable(self) -> bool:
        """Whether the slice's budget allows a whole token."""
        return self.budget.capacity >= 1

    def has_share(self, now: int) -> bool:
        """Whether the proxy holds a valid share; an expired one is dropped."""
        if self.share is None:
            return False
        if now < self.ends_at:
            return True
        self.drop_share()
        return False

    def spend(self, now: int) -> bool:
        """Take a token of the share; returns whether there was one."""
        return self.has_share(now) and self.share is not None and self.share.take_tokens(1, now) == 1

    def drop_share(self) -> None:
        """Drop the share."""
        self.share = None
        self.fraction = 0

    def apply_share(self, fraction: int, ends_at: int, last_number: int, now: int) -> None:
        """Apply a granted share that is valid until `ends_at`; a fraction of 0 ends the share.

        Requests up to `last_number` reported the share before it, so their grants are ignored from now on."""
        self.ignored_up_to = last_number
        if not fraction or now >= ends_at:
            self.drop_share()
            return
        had_share = self.has_share(now)
        self.fraction = fraction
        self.ends_at = ends_at
        rate, capacity = self.budget.share_rate(fraction), self.budget.share_capacity(fraction)
        if had_share and self.share is not None:
            self.share.change(rate, capacity, now)
            return
        self.share = bucket.Bucket(rate, capacity, now)

    def change_budget(self, budget: bounds.Budget, now: int) -> None:
        """Change the budget; the share stays the same fraction of it."""
        self.budget = budget
        if self.share is not None:
            rate, capacity = budget.share_rate(self.fraction), budget.share_capacity(self.fraction)
            self.share.change(rate, capacity, now)

    def request_row(self, wanted: int, demand: int, now: int) -> rows.Row:
        """Returns the row of a request to the owner, which reports the share and requests tokens."""
        self.reported_at = now
        had_share = self.has_share(now)
        fraction, lasts_ms = (self.fraction, self.ends_at - now) if had_share else (0, 0)
        return rows.pack(rows.RequestRow(wanted, demand, fraction, lasts_ms, self.ignored_up_to))

    def is_idle(self, now: int) -> bool:
        """Whether the slice has no share, no waiting requests, and no grant that may still arrive."""
        is_quiet = now - self.reported_at > bounds.SHARE_LIFE_MS and not self.has_share(now)
        return is_quiet and not self.requested and not self.waiting


class PendingRequest(typing.NamedTuple):
    """A request for tokens to an owner that isn't answered yet."""

    sent_at: int
    shard: str
    slices: list[HeldSlice]
