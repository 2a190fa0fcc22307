"""The limits in force, and the restrictions on a changed limit while requests of the former one are in a
window.

A larger former burst together with a higher new rate would exceed both limits. So for the span of a window
after its burst decreased, a limit has the lowest rate of all limits that were in force in that span. Then no
rate in a window is above that of the budget with which the window began, or of one with as much capacity.
"""

import collections.abc
import typing

import basaltport.quota.bounds as bounds

MS_PER_S = 1000

Limits = collections.abc.Mapping[str, bounds.TenantLimit]


class FormerBudget(typing.NamedTuple):
    """The budget of a tenant before its limit changed, which restricts the new one until a time in ms."""

    budget: bounds.Budget
    until: int


class LimitHistory:
    """The current and former limits of all tenants; times are in ms."""

    def __init__(self, quota_bounds: bounds.QuotaBounds) -> None:
        """Create a history in which no tenant has a limit."""
        self._bounds = quota_bounds
        self._limits: dict[str, bounds.TenantLimit] = {}
        self._former: dict[str, list[FormerBudget]] = {}

    def configure(self, limits: Limits, now: int) -> list[str]:
        """Apply the limits now in force, and return the tenants whose limit changed or was removed."""
        former, self._limits = self._limits, dict(limits)
        changed = [name for name, limit in former.items() if self._limits.get(name) != limit]
        for name in changed:
            budget = self._bounds.budget(former[name])
            until = now + int(budget.span_s * MS_PER_S) + 1
            self._former.setdefault(name, []).append(FormerBudget(budget, until))
        return changed

    def __contains__(self, name: object) -> bool:
        """Whether a tenant has a limit."""
        return name in self._limits

    def budget(self, name: str, now: int) -> bounds.Budget | None:
        """Returns the current budget of a tenant, None if it has no limit."""
        limit = self._limits.get(name)
        if limit is None:
            return None
        budget = self._bounds.budget(limit)
        former_budgets = [former.budget for former in self._former.get(name, ()) if former.until > now]
        if not any(former.capacity > budget.capacity for former in former_budgets):
            return budget
        rate_per_s = min([budget.rate_per_s, *(former.rate_per_s for former in former_budgets)])
        return budget._replace(rate_per_s=rate_per_s)

    def drop_expired(self, now: int) -> list[str]:
        """Drop the former budgets that have expired, and return their tenants."""
        if not self._former:
            return []
        ended = [
            name for name, budgets in self._former.items() if any(former.until <= now for former in budgets)
        ]
        for name in ended:
            self._former[name] = [former for former in self._former[name] if former.until > now]
            if not self._former[name]:
                del self._former[name]
        return ended
