"""What becomes of a request when an attempt at it ends: one pure function of all that is known."""

import dataclasses
import enum

import basaltport.cold_start.decision as cold_start
import basaltport.proxy.attempt_outcome as attempt_outcome

Outcome = attempt_outcome.Outcome
SERVER_ERROR = 500
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses by which a client is told that its request has not run and never will."""


class Repeats(enum.Enum):
    """What a route lets run more than once."""

    NEVER = "never"
    ALWAYS = "always"
    RESUMED = "resumed"
    """A stream that may go on at another replica, also within one answer."""


class Move(enum.Enum):
    """What is done next."""

    NOTHING = "nothing"
    """The whole answer is with the client."""
    REPEAT = "repeat"
    """Back into the queue; nothing of an answer is out."""
    RESUME = "resume"
    """Back into the queue; the next run goes on where the client's part of the answer ends."""
    REFUSE = "refuse"
    """An answer of our own that promises that it never ran."""
    FAIL = "fail"
    """An answer of our own that promises nothing."""
    PASS = "pass"
    """The replica's whole answer of failure, as it came."""
    CUT = "cut"
    """The connection ends without the end of its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """All that a decision depends on, once an attempt has ended."""

    outcome: Outcome
    repeats: Repeats
    status: int
    """Of the replica's answer; 0 if there is none."""
    can_resume: bool
    """Whether another run can go on from what the client has."""
    is_answer_begun: bool
    """Whether a part of an answer is with the client, from this attempt or an earlier one."""
    has_run: bool
    """Whether this attempt or an earlier one may have run."""
    was_sent: bool
    """Whether any attempt was sent; only what never was is free of the budget."""
    has_budget: bool
    """Whether the service's budget has room for a further arrival."""
    has_replica: bool
    """Whether the route lets it go to a replica that it was not sent to."""
    has_attempts: bool
    """Whether its own bounds on arrivals and on connections that failed let it go again."""
    has_time: bool
    """Whether enough of its time is left."""


def decide(known: Known) -> Move:
    """The next move after an attempt's end."""
    if known.outcome is Outcome.DONE:
        return Move.NOTHING
    if proven_safe(known) and affordable(known):
        return Move.RESUME if known.is_answer_begun or known.outcome is Outcome.CUT else Move.REPEAT
    if known.outcome is Outcome.FAILED and not known.is_answer_begun and passable(known):
        return Move.PASS
    cut = known.is_answer_begun or known.outcome in (Outcome.CUT, Outcome.GONE)
    return give_up(cut, may_have_run(known))


def may_have_run(known: Known) -> bool:
    """Whether a replica may have begun to work on the request, in this attempt or an earlier one."""
    return known.has_run or known.outcome.may_have_run


def give_up(begun: bool, ran: bool) -> Move:
    """The end of a request that goes to no replica any more and has no answer to pass on."""
    if begun:
        return Move.CUT
    return Move.FAIL if ran else Move.REFUSE


def proven_safe(known: Known) -> bool:
    """Whether another run would break no promise to the client, whatever became of this one."""
    if may_have_run(known) and known.repeats is Repeats.NEVER:
        return False
    if known.is_answer_begun and known.repeats is not Repeats.RESUMED:
        return False
    match known.outcome:
        case Outcome.REFUSED | Outcome.ABSENT | Outcome.MOVED | Outcome.UNSENT:
            return True
        case Outcome.FAILED:
            return known.status >= SERVER_ERROR and not known.is_answer_begun
        case Outcome.BROKEN:
            return True
        case Outcome.CUT:
            return known.can_resume and known.repeats is Repeats.RESUMED
        case _:
            return False


def affordable(known: Known) -> bool:
    """Whether time, bounds and budget let it go again. A replica that only refused it may be asked again,
    though the route lets it go to no other."""
    has_replica = known.has_replica or known.outcome is Outcome.REFUSED
    needs_no_budget = known.outcome is Outcome.UNSENT and not known.was_sent
    bounds = cold_start.ResendBounds(
        has_attempts=known.has_attempts and has_replica,
        in_time=known.has_time,
        in_budget=known.has_budget or needs_no_budget,
    )
    return bounds.allow()


def passable(known: Known) -> bool:
    """Whether a replica's answer of failure may be the client's: never a promise for what may have run and
    must not run again."""
    return known.repeats is not Repeats.NEVER or known.status not in PROMISES
