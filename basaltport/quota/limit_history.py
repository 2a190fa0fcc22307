"""The limits in force, and what holds of a changed one until what was spent before it is over.

What was spent of a larger burst and a higher rate together would be over both limits. So, for a window and
what counts with it, a limit whose burst fell has no more than the least rate of all that were in force in
that time. Then no rate in a window is above that of the budget with which the window began, or of one with as
much capacity.
"""

import collections.abc
import typing

import basaltport.quota.bounds as bounds

MS = 1000

Limits = collections.abc.Mapping[str, bounds.TenantLimit]


class FormerBudget(typing.NamedTuple):
    """What a tenant had before its limit changed, which counts until a time in ms."""

    budget: bounds.Budget
    until: int


class LimitHistory:
    """The limits that are known here. Times in ms."""

    def __init__(self, quota_bounds: bounds.QuotaBounds) -> None:
        """No tenant has a limit."""
        self._bounds = quota_bounds
        self._limits: dict[str, bounds.TenantLimit] = {}
        self._former: dict[str, list[FormerBudget]] = {}

    def configure(self, limits: Limits, now: int) -> list[str]:
        """Take the limits now in force; the tenants whose limit is another one, or none any more."""
        former, self._limits = self._limits, dict(limits)
        changed = [name for name, limit in former.items() if self._limits.get(name) != limit]
        for name in changed:
            budget = self._bounds.budget(former[name])
            until = now + int(budget.span_s * MS) + 1
            self._former.setdefault(name, []).append(FormerBudget(budget, until))
        return changed

    def __contains__(self, name: object) -> bool:
        """Whether a tenant has a limit."""
        return name in self._limits

    def budget(self, name: str, now: int) -> bounds.Budget | None:
        """What a tenant may have now, None where it has no limit."""
        limit = self._limits.get(name)
        if limit is None:
            return None
        budget = self._bounds.budget(limit)
        former = [known.budget for known in self._former.get(name, ()) if known.until > now]
        if not any(known.capacity > budget.capacity for known in former):
            return budget
        rate_per_s = min([budget.rate_per_s, *(known.rate_per_s for known in former)])
        return budget._replace(rate_per_s=rate_per_s)

    def take_ended(self, now: int) -> list[str]:
        """The tenants of whose former budgets some count no more since the last call."""
        if not self._former:
            return []
        ended = [name for name, known in self._former.items() if any(one.until <= now for one in known)]
        for name in ended:
            self._former[name] = [one for one in self._former[name] if one.until > now]
            if not self._former[name]:
                del self._former[name]
        return ended
