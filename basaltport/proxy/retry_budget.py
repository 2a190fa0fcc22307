"""Shares of limits that hold over all proxies, kept by each proxy for itself without asking."""

import collections
import collections.abc
import copy

import basaltport.identifiers as identifiers
import basaltport.rendezvous as rendezvous

STEP_MS = 250
SECOND_MS = 1000
RETRY_SHARE_USED = 0.75
"""Each proxy uses so much of its share of retries, as proxies do not know of each other at once."""
SLOW_START_SHARE_USED = 0.7
"""The same of what a replica in its slow start may be sent."""
SLOW_START_LEAST = 3
"""Where a proxy's share would be under so many requests a second, only some proxies send."""
HASHES = 2**64


class Window:
    """Counts over a sliding span, in steps that only ever overcount."""

    __slots__ = ("span_ms", "steps", "sum")

    def __init__(self, span_ms: int) -> None:
        """Nothing was counted yet."""
        self.span_ms = span_ms
        self.steps: collections.deque[list[int]] = collections.deque()
        self.sum = 0

    def add(self, now: identifiers.Millis, number: int = 1) -> None:
        """So many more."""
        step = now // STEP_MS
        if self.steps and self.steps[-1][0] == step:
            self.steps[-1][1] += number
        else:
            self.steps.append([step, number])
        self.sum += number

    def count(self, now: identifiers.Millis) -> int:
        """How many there were within the span; what is past is let go of."""
        first = self.first_step(now)
        while self.steps and self.steps[0][0] < first:
            self.sum -= self.steps.popleft()[1]
        return self.sum

    def peek(self, now: identifiers.Millis) -> int:
        """As `count`, without letting go of what is past."""
        first = self.first_step(now)
        return sum(number for step, number in self.steps if step >= first)

    def first_step(self, now: identifiers.Millis) -> int:
        """The oldest step of which a part is within the span."""
        return (now - self.span_ms) // STEP_MS

    def copied(self) -> "Window":
        """A copy whose changes leave this one as it is."""
        out = copy.copy(self)
        out.steps = self.steps.copy()
        return out


class RetryBudget:
    """Retries at one service: a part of the ratio of this proxy's first attempts, and a share of the slack.

    After a start the slack is not used for one window, since what was spent before it is not remembered.
    `reserved`: retries that were promised a part and have not gone yet.
    """

    def __init__(self, now: identifiers.Millis, ratio: float, window_ms: int, slack: float) -> None:
        """`slack`: retries in a window of all proxies together."""
        self.ratio = ratio
        self.slack = slack
        self.slack_from = now + window_ms
        self.reserved = 0
        self.first_attempts = Window(window_ms)
        self.retries = Window(window_ms + STEP_MS)

    def first_attempt(self, now: identifiers.Millis) -> None:
        """A request for the service came."""
        self.first_attempts.add(now)

    def allowed(self, now: identifiers.Millis, proxies: int, first_attempts: int) -> float:
        """Retries that this proxy may make in a window with so many first attempts."""
        slack = self.slack / max(1, proxies) if now >= self.slack_from else 0
        return RETRY_SHARE_USED * (self.ratio * first_attempts + slack)

    def has_room(self, now: identifiers.Millis, proxies: int) -> bool:
        """Whether one more retry may be made."""
        allowed = self.allowed(now, proxies, self.first_attempts.count(now))
        return allowed >= self.retries.count(now) + self.reserved + 1

    def left(self, now: identifiers.Millis, proxies: int) -> int:
        """How many more there may be; changes nothing."""
        allowed = self.allowed(now, proxies, self.first_attempts.peek(now))
        return max(0, int(allowed - self.retries.peek(now) - self.reserved))

    def spend(self, now: identifiers.Millis) -> None:
        """A retry goes."""
        self.retries.add(now)


class RetryBudgets(dict[str, RetryBudget]):
    """The budgets by service, each begun with its first request."""

    def __init__(self, started_at: identifiers.Millis, timings: collections.abc.Mapping[str, float]) -> None:
        """`started_at`: when this proxy started; `timings`: see docs/design/platform.md."""
        super().__init__()
        self.started_at = started_at
        self.timings = timings

    def of(self, service: str) -> RetryBudget:
        """The budget of a service."""
        budget = self.get(service)
        if budget is None:
            window_ms = int(SECOND_MS * self.timings["retry_window_s"])
            ratio, slack = self.timings["retry_ratio"], self.timings["retry_slack"]
            budget = self[service] = RetryBudget(self.started_at, ratio, window_ms, slack)
        return budget


class SlowStart:
    """What a replica in its slow start is sent by this proxy in a second.

    All proxies together keep within a total. Where a share would be under SLOW_START_LEAST, only some proxies
    send: those that a hash of the names of proxy and replica chooses.
    """

    def __init__(self) -> None:
        """Nothing was sent yet."""
        self.sent = Window(SECOND_MS)

    @classmethod
    def share(cls, total: float, proxies: int, proxy_name: str, replica_id: str) -> int:
        """Of `total` requests a second, those that a proxy may send to a replica."""
        total = SLOW_START_SHARE_USED * total
        proxies = max(1, proxies)
        each = int(total / proxies)
        if each >= SLOW_START_LEAST:
            return each
        sending = total / SLOW_START_LEAST / proxies
        is_chosen = rendezvous.weight(replica_id, proxy_name) / HASHES < sending / 2
        return SLOW_START_LEAST if is_chosen else 0

    def has_room(self, now: identifiers.Millis, share: int) -> bool:
        """Whether one more may be sent now."""
        return self.sent.count(now) < share

    def copied(self) -> "SlowStart":
        """A copy whose changes leave this one as it is."""
        out = copy.copy(self)
        out.sent = self.sent.copied()
        return out
