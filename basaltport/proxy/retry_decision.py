"""Decides, as a pure function, what happens to a request when an attempt ends."""

import dataclasses
import enum

import basaltport.cold_start.decision as cold_start
import basaltport.proxy.attempt_outcome as attempt_outcome

Outcome = attempt_outcome.Outcome
SERVER_ERROR = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request did not run and never will."""


class RepeatPolicy(enum.Enum):
    """Whether requests of a route may run more than once."""

    NEVER = "never"
    ALWAYS = "always"
    RESUMED = "resumed"
    """A stream that may continue at another replica, even within one response."""


class Action(enum.Enum):
    """The next action for a request whose attempt ended."""

    NOTHING = "nothing"
    """Do nothing: the complete response was sent to the client."""
    RETRY = "repeat"
    """Return the request to the queue; no part of a response was sent."""
    RESUME = "resume"
    """Return the request to the queue; the next attempt continues the stream where the client's part ends."""
    REFUSE = "refuse"
    """Answer with an error of the proxy that guarantees that the request did not run."""
    FAIL = "fail"
    """Answer with an error of the proxy that does not say whether the request ran."""
    PASS_THROUGH = "pass"
    """Pass on the replica's complete error response unchanged."""
    CUT = "cut"
    """Close the client's connection without completing the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFacts:
    """Everything the decision depends on once an attempt has ended."""

    outcome: Outcome
    repeat_policy: RepeatPolicy
    status: int
    """Status of the replica's response; 0 if there is none."""
    can_resume: bool
    """Whether another attempt can continue from what the client has received."""
    is_response_started: bool
    """Whether part of a response was sent to the client, by this attempt or an earlier one."""
    has_run: bool
    """Whether an earlier attempt, or this one, may have run the request."""
    was_sent: bool
    """Whether any attempt was sent; a request that was never sent needs no retry budget."""
    has_budget: bool
    """Whether the retry budget of the service allows one more attempt."""
    has_replica: bool
    """Whether the route allows a replica that the request was not sent to yet."""
    has_attempts: bool
    """Whether the request is within its limits on sent attempts and on failed connections."""
    has_time: bool
    """Whether enough time is left before the deadline."""


def decide(facts: AttemptFacts) -> Action:
    """Returns the next action after the end of an attempt."""
    if facts.outcome is Outcome.DONE:
        return Action.NOTHING
    if may_run_again(facts) and is_within_limits(facts):
        return Action.RESUME if facts.is_response_started or facts.outcome is Outcome.CUT else Action.RETRY
    if facts.outcome is Outcome.FAILED and not facts.is_response_started and may_pass_through(facts):
        return Action.PASS_THROUGH
    is_started = facts.is_response_started or facts.outcome in (Outcome.CUT, Outcome.CLIENT_GONE)
    return final_action(is_started, may_have_run(facts))


def may_have_run(facts: AttemptFacts) -> bool:
    """Whether a replica may have started to run the request, in this attempt or an earlier one."""
    return facts.has_run or facts.outcome.may_have_run


def final_action(is_started: bool, has_run: bool) -> Action:
    """Returns the final action for a request that gets no further attempt and has no replica response to
    pass on."""
    if is_started:
        return Action.CUT
    return Action.FAIL if has_run else Action.REFUSE


def may_run_again(facts: AttemptFacts) -> bool:
    """Whether another run is safe for the client, whatever the outcome of the ended attempt was."""
    if may_have_run(facts) and facts.repeat_policy is RepeatPolicy.NEVER:
        return False
    if facts.is_response_started and facts.repeat_policy is not RepeatPolicy.RESUMED:
        return False
    match facts.outcome:
        case Outcome.REFUSED | Outcome.ABSENT | Outcome.MOVED | Outcome.UNSENT:
            return True
        case Outcome.FAILED:
            return facts.status >= SERVER_ERROR and not facts.is_response_started
        case Outcome.BROKEN:
            return True
        case Outcome.CUT:
            return facts.can_resume and facts.repeat_policy is RepeatPolicy.RESUMED
        case _:
            return False


def is_within_limits(facts: AttemptFacts) -> bool:
    """Whether deadline, attempt limits and retry budget allow another attempt.

    A replica that only refused the request may be tried again even if the route allows no other replica.
    """
    has_replica = facts.has_replica or facts.outcome is Outcome.REFUSED
    needs_no_budget = facts.outcome is Outcome.UNSENT and not facts.was_sent
    bounds = cold_start.ResendBounds(
        has_attempts=facts.has_attempts and has_replica,
        in_time=facts.has_time,
        in_budget=facts.has_budget or needs_no_budget,
    )
    return bounds.allow()


def may_pass_through(facts: AttemptFacts) -> bool:
    """Whether a replica's error response may be passed to the client.

    A status that says "not run" must not be passed on for a request that may have run and must not run again.
    """
    return facts.repeat_policy is not RepeatPolicy.NEVER or facts.status not in NOT_RUN_STATUSES
