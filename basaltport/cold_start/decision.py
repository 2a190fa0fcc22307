"""The decisions of ADR 0041 for one request, as pure functions.

Is the model warm? May the controller be polled? How long may the request wait? May it be resent? In which
phase did it time out? The two request paths (the JSON API for queries, and routes) pass their own state to
the same functions, and a `Policy` with their differences. Times are in milliseconds of the caller's clock.
"""

import dataclasses
import enum
import typing

import basaltport.cold_start.limits as limits

LONG_AGO = -(10**9)
"""A time in ms that is earlier than any time of the caller's clock."""


class LoadState(enum.StrEnum):
    """The state of a model as reported by a controller; any other value counts as UNAVAILABLE."""

    UNKNOWN = ""
    """The controller has not answered yet."""
    LOADED = "loaded"
    LOADING = "loading"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The differences between the two request paths; docs/design/adr-0041.md explains them."""

    wait_spends_deadline: bool
    """Whether the readiness limit ends at the client's deadline at the latest; if not, a separate rule
    applies the deadline to the wait."""
    spacing_from_answer: bool
    """Whether the poll interval starts at the controller's answer, rather than at the poll itself."""
    longest_spacing_ms: int | None
    """Upper limit of the poll interval, or None for no limit."""
    demand_factor: int | None
    """The controller is polled early at this multiple of the demand last reported to it; None: never."""


JSON_API = Policy(
    wait_spends_deadline=False, spacing_from_answer=True, longest_spacing_ms=1500, demand_factor=None
)
"""The policy of requests to the JSON API, which poll the controller of a zone."""
ROUTES = Policy(
    wait_spends_deadline=True, spacing_from_answer=False, longest_spacing_ms=None, demand_factor=2
)
"""The policy of requests to routes, which poll the placement of the leading controller."""


# section 3: warm models


@dataclasses.dataclass(frozen=True, slots=True)
class WarmSign:
    """The evidence that a model is loaded.

    `last_served_at`: time of the last response with a status below 500, or of the controller's answer that
    the model is loaded; None if there was neither, or a timeout has invalidated it.
    """

    is_pinned: bool
    last_served_at: int | None
    idle_window_ms: int


def is_warm(sign: WarmSign, now: int) -> bool:
    """Whether a request can be sent without polling the controller first (section 3).

    The model must have served a request, and it must be pinned or have served within its idle window less a
    margin.
    """
    if sign.last_served_at is None:
        return False
    return sign.is_pinned or now - sign.last_served_at < limits.warm_for_ms(sign.idle_window_ms)


# section 2 and section 6: send, wait, or fail at once


class Arrival(enum.Enum):
    """The decision about a request that has arrived, or that is decided anew after an attempt."""

    SEND = "send"
    """Send the request, since its model is warm."""
    WAIT = "wait"
    """Wait and poll the controller, which also causes the load."""
    FAIL = "deadline too short"
    """Fail without sending, since the remaining time does not cover the load."""


def on_arrival(*, is_warm: bool, may_be_held: bool, remaining_ms: float, expected_load_ms: float) -> Arrival:
    """Decide whether to send a request, let it wait, or fail it (section 2, step 1; section 6).

    `may_be_held`: whether a replica may have the model loaded, so that no load may be needed; `remaining_ms`:
    time until the client's deadline; `expected_load_ms`: expected duration of the load, or 0 if unknown.
    """
    if is_warm:
        return Arrival.SEND
    if expected_load_ms and not may_be_held and is_too_short(remaining_ms, expected_load_ms):
        return Arrival.FAIL
    return Arrival.WAIT


def is_too_short(remaining_ms: float, load_ms: float) -> bool:
    """Whether the time until the client's deadline does not cover a load (section 6)."""
    return remaining_ms < load_ms


def load_left_ms(expected_load_ms: int, loading_for_ms: int) -> int:
    """Return the expected remaining duration of a load that has run for `loading_for_ms` (section 6)."""
    return max(0, expected_load_ms - loading_for_ms)


# section 2, step 2: the wait


class WaitStep(enum.Enum):
    """The next step of a shared wait after the controller's answer: ready, poll again, or end."""

    READY = "ready"
    POLL = "poll"
    END = "end"


def after_answer(state: str) -> WaitStep:
    """Return the next step of a wait; any state but loaded and loading ends it (section 2, step 2)."""
    if state == LoadState.LOADED:
        return WaitStep.READY
    return WaitStep.POLL if state == LoadState.LOADING else WaitStep.END


class AskSchedule(typing.NamedTuple):
    """When a controller was last polled for a model, and when it may be polled again.

    All requests for the model share one schedule (section 2: concurrent first calls share one wait).
    """

    asked_at: int = LONG_AGO
    next_ask_at: int = 0
    reported_demand: int = 0
    """The demand that was reported to the controller with the last poll."""


def may_ask(policy: Policy, schedule: AskSchedule, now: int, demand: int) -> bool:
    """Whether the controller may be polled now (section 2, step 2).

    This is the case once its interval has passed, or earlier if the policy permits it for the grown demand
    and the minimum interval has passed.
    """
    if now >= schedule.next_ask_at:
        return True
    if policy.demand_factor is None or demand < policy.demand_factor * schedule.reported_demand:
        return False
    return now - schedule.asked_at >= limits.POLL_SPACING_FLOOR_MS


def next_ask_at(policy: Policy, asked_at: int, answered_at: int, retry_after_ms: int) -> int:
    """Return the time at which the controller may be polled again after an answer (section 2, step 2)."""
    spacing_ms = limits.poll_spacing_ms(retry_after_ms)
    if policy.longest_spacing_ms is not None:
        spacing_ms = min(spacing_ms, policy.longest_spacing_ms)
    return (answered_at if policy.spacing_from_answer else asked_at) + spacing_ms


class Wait(typing.NamedTuple):
    """A request that waits for its model; a `ready_timeout_ms` or `expected_load_ms` of 0 is unknown."""

    since: int
    deadline: int
    ready_timeout_ms: float
    expected_load_ms: float


def wait_ends_at(policy: Policy, wait: Wait) -> float:
    """Return the time at which the readiness limit of a request ends (section 2)."""
    ends_at = wait.since + limits.readiness_limit_ms(wait.ready_timeout_ms, wait.expected_load_ms)
    return min(wait.deadline, ends_at) if policy.wait_spends_deadline else ends_at


# section 4: after a timeout


class TimeoutPhase(enum.StrEnum):
    """The phase of a request in which it timed out."""

    COLD_LOAD = "cold-load-timeout"
    """The request was waiting for the model to load."""
    REQUEST = "request-timeout"
    """The model was loaded, but slow to respond."""


def timeout_phase(state: str, serving_since: int | None, sent_at: int) -> TimeoutPhase:
    """Return the phase in which a request timed out, by the controller's answer afterwards (section 4).

    `serving_since`: when the model began to serve, which shows a load that ended before that answer; None if
    not known. Without an answer (LoadState.UNKNOWN) the timeout counts as one of the model itself.
    """
    if state not in (LoadState.LOADED, LoadState.UNKNOWN):
        return TimeoutPhase.COLD_LOAD
    if serving_since is not None and serving_since > sent_at:
        return TimeoutPhase.COLD_LOAD
    return TimeoutPhase.REQUEST


class ResendBounds(typing.NamedTuple):
    """The limits on another attempt of a request, besides whether it is safe to repeat."""

    has_attempts: bool
    """Whether the request has attempts left."""
    in_time: bool
    """Whether the request's deadline permits another attempt."""
    in_budget: bool
    """Whether the retry budget that the service's requests share has room."""

    def allow(self) -> bool:
        """Whether all limits permit another attempt."""
        return self.has_attempts and self.in_time and self.in_budget


def may_resend(is_harmless: bool, bounds: ResendBounds) -> bool:
    """Whether a request that may have run is resent once its model is ready (section 4).

    It must be safe to repeat, and within its attempts, deadline and retry budget.
    """
    return is_harmless and bounds.allow()
