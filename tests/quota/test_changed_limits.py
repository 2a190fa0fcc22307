"""A limit that changes to less burst and a higher rate: no window is over the larger of the two."""

import bisect

import pytest

import basaltport.quota.bounds as bounds
import basaltport.quota.holder as quota_holder
import basaltport.quota.outcomes as outcomes
import basaltport.quota.owner as quota_owner
import basaltport.quota.shards as shards

TENANT = "t"
STEP_MS = 5
CHANGED_AT = 6_000_000
CHANGES = [
    (bounds.TenantLimit(1, 40), bounds.TenantLimit(8, 0)),
    (bounds.TenantLimit(1, 120), bounds.TenantLimit(24, 0)),
    (bounds.TenantLimit(1, 400), bounds.TenantLimit(80, 1)),
]
LARGE_BURST = (bounds.TenantLimit(0.5, 200), bounds.TenantLimit(40, 0))


class Count:
    """One proxy and one owner of all slices, and the times at which requests were admitted."""

    def __init__(self, quota_bounds, limit):
        self.bounds, self.limit = quota_bounds, limit
        self.holder = quota_holder.QuotaHolder("p", 1, "x", quota_bounds)
        self.holder.configure({TENANT: limit}, 0)
        self.owner = None
        self.begin_owner(1, 0)
        self.asked, self.admitted = 0, []

    def begin_owner(self, fence, now):
        self.owner = quota_owner.QuotaOwner(self.bounds)
        self.owner.configure({TENANT: self.limit}, now)
        for shard in shards.shards_of(TENANT):
            self.owner.begin(shard, fence, now)

    def configure(self, limit, now):
        self.limit = limit
        self.holder.configure({TENANT: limit}, now)
        if self.owner is not None:
            self.owner.configure({TENANT: limit}, now)

    def ask(self, number, now):
        for _ in range(number):
            self.asked += 1
            admission = self.holder.admit(TENANT, self.asked, now)
            self.admitted += [now] * (admission.outcome is outcomes.Outcome.ADMITTED)

    def run(self, now):
        for _ in range(bounds.SLICES + 1):
            for request in self.holder.take_requests(now):
                grant = self.owner.answer(request, now) if self.owner is not None else None
                settled = self.holder.hear(grant, now) if grant is not None else []
                self.admitted += [now for one in settled if one.is_admitted]
        self.admitted += [now for one in self.holder.tick(now) if one.is_admitted]

    def most_in_window(self):
        window_ms = self.bounds.window_ms
        return max(
            bisect.bisect_right(self.admitted, start + window_ms) - index
            for index, start in enumerate(self.admitted)
        )


def play(former, limit, owner_is_lost=False):
    """The burst of the former limit is spent, the limit changes, and all that may go goes."""
    count = Count(bounds.QuotaBounds(5000, 0, 0), former)
    for now in range(0, CHANGED_AT, 500):
        count.run(now)
    for now in range(CHANGED_AT, CHANGED_AT + 12_000, STEP_MS):
        count.ask(2600 if now == CHANGED_AT else 5, now)
        count.run(now)
        match now - CHANGED_AT:
            case 50:
                count.configure(limit, now)
            case 100 if owner_is_lost:
                count.owner = None
            case 600 if owner_is_lost:
                count.begin_owner(2, now)
    return count


def most_allowed(count, former, limit):
    return max(count.bounds.most_in_window(former), count.bounds.most_in_window(limit))


# Guards against QUOTA: the spent burst of slices that the new limit is too small for was forgotten.
@pytest.mark.parametrize(("former", "limit"), CHANGES)
def test_a_spent_burst_counts_when_a_limit_changes_to_less_burst_and_a_higher_rate(former, limit):
    count = play(former, limit)
    assert count.most_in_window() <= most_allowed(count, former, limit)


# Guards against QUOTA: an owner that begins anew doesn't know which burst was spent before the change.
def test_a_spent_burst_counts_when_the_owners_are_lost_right_after_such_a_change():
    former, limit = LARGE_BURST
    count = play(former, limit, owner_is_lost=True)
    assert count.most_in_window() <= most_allowed(count, former, limit)
