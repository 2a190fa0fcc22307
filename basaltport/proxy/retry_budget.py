"""Limits that hold over all proxies; each proxy uses its share without asking the others."""

import collections
import collections.abc
import copy

import basaltport.identifiers as identifiers
import basaltport.rendezvous as rendezvous

STEP_MS = 250
"""Resolution of a sliding window, in ms."""
SECOND_MS = 1000
RETRY_SHARE_USED = 0.75
"""Fraction of its share of retries that each proxy uses; the margin covers the time until proxies
know of each other."""
SLOW_START_SHARE_USED = 0.7
"""Fraction of its share of a replica's slow-start rate that each proxy uses; the margin covers the time
until proxies know of each other."""
SLOW_START_MIN_RATE = 3
"""If a proxy's share is below this many requests per second, only some of the proxies send requests."""
HASH_SPACE = 2**64


class Window:
    """Counts events in a sliding window, in steps; the count may be too high but never too low."""

    __slots__ = ("span_ms", "steps", "sum")

    def __init__(self, span_ms: int) -> None:
        """Start with a count of zero."""
        self.span_ms = span_ms
        self.steps: collections.deque[list[int]] = collections.deque()
        self.sum = 0

    def add(self, now: identifiers.Millis, number: int = 1) -> None:
        """Add a number of events at the given time."""
        step = now // STEP_MS
        if self.steps and self.steps[-1][0] == step:
            self.steps[-1][1] += number
        else:
            self.steps.append([step, number])
        self.sum += number

    def count(self, now: identifiers.Millis) -> int:
        """Returns the number of events in the window and discards older ones."""
        first = self.oldest_step(now)
        while self.steps and self.steps[0][0] < first:
            self.sum -= self.steps.popleft()[1]
        return self.sum

    def peek(self, now: identifiers.Millis) -> int:
        """Returns the number of events in the window without discarding older ones."""
        first = self.oldest_step(now)
        return sum(number for step, number in self.steps if step >= first)

    def oldest_step(self, now: identifiers.Millis) -> int:
        """Returns the oldest step that overlaps the window."""
        return (now - self.span_ms) // STEP_MS

    def clone(self) -> "Window":
        """Returns a copy that can be changed independently."""
        duplicate = copy.copy(self)
        duplicate.steps = self.steps.copy()
        return duplicate


class RetryBudget:
    """Limits the retries of one service to a ratio of this proxy's first attempts plus a share of a fixed
    allowance.

    The fixed allowance (`slack`) is not used for one window after a start, because retries before the start
    are not remembered. `reserved` counts retries that were granted but not sent yet.
    """

    def __init__(self, now: identifiers.Millis, ratio: float, window_ms: int, slack: float) -> None:
        """`slack` is the number of retries per window of all proxies together."""
        self.ratio = ratio
        self.slack = slack
        self.slack_starts_at = now + window_ms
        self.reserved = 0
        self.first_attempts = Window(window_ms)
        self.retries = Window(window_ms + STEP_MS)

    def count_first_attempt(self, now: identifiers.Millis) -> None:
        """Count a request that arrived for the service."""
        self.first_attempts.add(now)

    def allowed_retries(self, now: identifiers.Millis, proxies: int, first_attempts: int) -> float:
        """Returns how many retries this proxy may make in a window with the given number of first
        attempts."""
        slack = self.slack / max(1, proxies) if now >= self.slack_starts_at else 0
        return RETRY_SHARE_USED * (self.ratio * first_attempts + slack)

    def has_room(self, now: identifiers.Millis, proxies: int) -> bool:
        """Whether one more retry is allowed."""
        allowed = self.allowed_retries(now, proxies, self.first_attempts.count(now))
        return allowed >= self.retries.count(now) + self.reserved + 1

    def remaining(self, now: identifiers.Millis, proxies: int) -> int:
        """Returns how many more retries are allowed, without changing any state."""
        allowed = self.allowed_retries(now, proxies, self.first_attempts.peek(now))
        return max(0, int(allowed - self.retries.peek(now) - self.reserved))

    def count_retry(self, now: identifiers.Millis) -> None:
        """Count a retry that is sent."""
        self.retries.add(now)


class RetryBudgets(dict[str, RetryBudget]):
    """Retry budgets by service, each created when it is first used."""

    def __init__(self, started_at: identifiers.Millis, timings: collections.abc.Mapping[str, float]) -> None:
        """`started_at` is the start time of this proxy; docs/design/platform.md describes `timings`."""
        super().__init__()
        self.started_at = started_at
        self.timings = timings

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self.get(service)
        if budget is None:
            window_ms = int(SECOND_MS * self.timings["retry_window_s"])
            ratio, slack = self.timings["retry_ratio"], self.timings["retry_slack"]
            budget = self[service] = RetryBudget(self.started_at, ratio, window_ms, slack)
        return budget


class SlowStart:
    """Limits the requests per second that this proxy sends to a replica in slow start.

    All proxies together stay within a total. If the share of a proxy is below SLOW_START_MIN_RATE, only some
    proxies send requests: those selected by a hash of the names of proxy and replica.
    """

    def __init__(self) -> None:
        """Start with no requests sent."""
        self.sent = Window(SECOND_MS)

    @classmethod
    def share(cls, total: float, proxies: int, proxy_name: str, replica_id: str) -> int:
        """Returns how many of `total` requests per second a proxy may send to a replica."""
        total = SLOW_START_SHARE_USED * total
        proxies = max(1, proxies)
        rate = int(total / proxies)
        if rate >= SLOW_START_MIN_RATE:
            return rate
        sending_fraction = total / SLOW_START_MIN_RATE / proxies
        is_chosen = rendezvous.weight(replica_id, proxy_name) / HASH_SPACE < sending_fraction / 2
        return SLOW_START_MIN_RATE if is_chosen else 0

    def has_room(self, now: identifiers.Millis, share: int) -> bool:
        """Whether one more request may be sent now."""
        return self.sent.count(now) < share

    def clone(self) -> "SlowStart":
        """Returns a copy that can be changed independently."""
        duplicate = copy.copy(self)
        duplicate.sent = self.sent.clone()
        return duplicate
