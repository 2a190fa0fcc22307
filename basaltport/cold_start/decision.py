"""The decisions of ADR 0041 for one request, each a pure function of what is known.

Is the model warm? May the controller be asked? For how long may the request wait? May it be sent again? Which
phase did a time-out hit? The two request paths (the JSON API of queries, and routes) give the same functions
their own facts, and a `Policy` in what they differ. Times are milliseconds on the caller's clock.
"""

import dataclasses
import enum
import typing

import basaltport.cold_start.limits as limits

LONG_AGO = -(10**9)
"""A time before every other one, in milliseconds."""


class LoadState(enum.StrEnum):
    """What a controller says of a model; any other word counts as UNAVAILABLE."""

    UNKNOWN = ""
    """It has not answered yet."""
    LOADED = "loaded"
    LOADING = "loading"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """In what the two request paths differ; docs/design/adr-0041.md says why."""

    wait_spends_deadline: bool
    """Whether the readiness limit ends with the client's deadline at the latest. Where it does not, the
    deadline ends the wait by a rule of its own."""
    spacing_from_answer: bool
    """Whether the controller's spacing counts from its answer; else from when it was asked."""
    longest_spacing_ms: int | None
    """The longest spacing that is kept to, or None for any."""
    demand_factor: int | None
    """The controller is asked before its spacing is over where the demand is so many times what it was told
    of; None: never."""


JSON_API = Policy(
    wait_spends_deadline=False, spacing_from_answer=True, longest_spacing_ms=1500, demand_factor=None
)
"""Requests of the JSON API, which wait for a zone's controller."""
ROUTES = Policy(
    wait_spends_deadline=True, spacing_from_answer=False, longest_spacing_ms=None, demand_factor=2
)
"""Requests of routes, which wait for the placement that the leader runs."""


# section 3: is it warm


@dataclasses.dataclass(frozen=True, slots=True)
class WarmSign:
    """What is known of a model's last serving. `last_served_at`: of the last answer below 500, or when the
    controller said that it is loaded; None where there is no such sign or a time-out took it away."""

    is_pinned: bool
    last_served_at: int | None
    idle_window_ms: int


def is_warm(sign: WarmSign, now: int) -> bool:
    """Whether a request goes out without asking first (section 3): the model is kept loaded, or it served
    within its idle window less a margin."""
    if sign.last_served_at is None:
        return False
    return sign.is_pinned or now - sign.last_served_at < limits.warm_for_ms(sign.idle_window_ms)


# section 2 and section 6: send, wait, or fail at once


class Arrival(enum.Enum):
    """What becomes of a request that has just come, or comes back after an attempt."""

    SEND = "send"
    """Its model is warm."""
    WAIT = "wait"
    """The controller is asked, which also orders the load."""
    FAIL = "deadline too short"
    """The time left does not cover the load, so nothing is sent."""


def on_arrival(*, is_warm: bool, may_be_held: bool, remaining_ms: float, expected_load_ms: float) -> Arrival:
    """What becomes of a request (section 2, step 1; section 6).

    `may_be_held`: some replica is believed to hold the model, so that no load may be needed;
    `remaining_ms`: how long the client still waits; `expected_load_ms`: 0 where it is not known.
    """
    if is_warm:
        return Arrival.SEND
    if expected_load_ms and not may_be_held and is_too_short(remaining_ms, expected_load_ms):
        return Arrival.FAIL
    return Arrival.WAIT


def is_too_short(remaining_ms: float, load_ms: float) -> bool:
    """Whether the time that a client still waits does not cover a load (section 6)."""
    return remaining_ms < load_ms


def load_left_ms(expected_load_ms: int, loading_for_ms: int) -> int:
    """What is left of a load under way: what it has already taken counts (section 6)."""
    return max(0, expected_load_ms - loading_for_ms)


# section 2, step 2: the wait


class WaitStep(enum.Enum):
    """How a shared wait goes on after the controller's answer."""

    READY = "ready"
    POLL = "poll"
    END = "end"


def after_answer(state: str) -> WaitStep:
    """How a wait goes on: any state but loaded and loading ends it at once (section 2, step 2)."""
    if state == LoadState.LOADED:
        return WaitStep.READY
    return WaitStep.POLL if state == LoadState.LOADING else WaitStep.END


class AskSchedule(typing.NamedTuple):
    """When a controller was asked for a model, and when it may be asked again. All requests for the model
    share it (section 2: concurrent first calls share one wait)."""

    asked_at: int = LONG_AGO
    next_ask_at: int = 0
    reported_demand: int = 0
    """The demand that the controller was told of when it was asked."""


def may_ask(policy: Policy, schedule: AskSchedule, now: int, demand: int) -> bool:
    """Whether the controller may be asked now (section 2, step 2): at its own spacing; sooner, though not
    within the least spacing, where the policy lets a grown demand ask."""
    if now >= schedule.next_ask_at:
        return True
    if policy.demand_factor is None or demand < policy.demand_factor * schedule.reported_demand:
        return False
    return now - schedule.asked_at >= limits.POLL_SPACING_FLOOR_MS


def next_ask_at(policy: Policy, asked_at: int, answered_at: int, retry_after_ms: int) -> int:
    """When the controller may be asked again after an answer (section 2, step 2)."""
    spacing_ms = limits.poll_spacing_ms(retry_after_ms)
    if policy.longest_spacing_ms is not None:
        spacing_ms = min(spacing_ms, policy.longest_spacing_ms)
    return (answered_at if policy.spacing_from_answer else asked_at) + spacing_ms


class Wait(typing.NamedTuple):
    """A request that waits for its model. `ready_timeout_ms` and `expected_load_ms`: 0 where not known."""

    since: int
    deadline: int
    ready_timeout_ms: float
    expected_load_ms: float


def wait_ends_at(policy: Policy, wait: Wait) -> float:
    """When the readiness limit of a request ends (section 2)."""
    ends_at = wait.since + limits.readiness_limit_ms(wait.ready_timeout_ms, wait.expected_load_ms)
    return min(wait.deadline, ends_at) if policy.wait_spends_deadline else ends_at


# section 4: after a time-out


class TimeoutPhase(enum.StrEnum):
    """What a request's time-out hit."""

    COLD_LOAD = "cold-load-timeout"
    """The request was held by a load."""
    REQUEST = "request-timeout"
    """The model served, and was slow."""


def timeout_phase(state: str, serving_since: int | None, sent_at: int) -> TimeoutPhase:
    """What a time-out hit, by what the controller said afterwards (section 4).

    A load that ended before that question shows in `serving_since`, when the model began to serve; None where
    it is not known. With no answer at all (LoadState.UNKNOWN) it counts as the model's own time-out.
    """
    if state not in (LoadState.LOADED, LoadState.UNKNOWN):
        return TimeoutPhase.COLD_LOAD
    if serving_since is not None and serving_since > sent_at:
        return TimeoutPhase.COLD_LOAD
    return TimeoutPhase.REQUEST


class ResendBounds(typing.NamedTuple):
    """What bounds another attempt, besides whether repeats are harmless."""

    has_attempts: bool
    """The request has not used up its own attempts."""
    in_time: bool
    in_budget: bool
    """The budget that the service's requests share has room."""

    def allow(self) -> bool:
        """Whether all of them let it go again."""
        return self.has_attempts and self.in_time and self.in_budget


def may_resend(is_harmless: bool, bounds: ResendBounds) -> bool:
    """Whether a request that may have run is sent again, after readiness (section 4): only where repeats are
    harmless, and within its attempts, time and budget."""
    return is_harmless and bounds.allow()
