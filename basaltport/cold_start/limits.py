"""The limits of ADR 0041: how long a request waits, how often to poll, how long a model counts as warm.

All times are durations in milliseconds.
"""

import collections.abc

READINESS_LIMIT_FLOOR_MS = 30_000
"""Minimum readiness limit derived from an expected load duration (section 2)."""
READINESS_LIMIT_DEFAULT_MS = 300_000
"""Readiness limit if neither a timeout nor an expected load duration is known (section 2)."""
EXPECTED_LOAD_FACTOR = 2
"""Readiness limit as a multiple of the expected load duration (section 2)."""
POLL_SPACING_FLOOR_MS = 100
"""Minimum interval between polls of the controller for a model (section 2, step 2)."""
IDLE_WINDOW_DEFAULT_MS = 60_000
"""Idle window of a model for which none is known (section 3)."""
WARM_MARGIN_FLOOR_MS = 10_000
"""Minimum margin by which a model counts as warm for less than its idle window (section 3)."""
WARM_MARGIN_PERCENT = 20
"""The margin as a share of the idle window; the larger of the two margins applies (section 3)."""
LOAD_PERCENTILE = 90
"""Percentile of recent load durations expected of the next load; the paper says "a high percentile"."""
RECENT_LOADS = 20
"""Number of recent load durations that are used."""


def readiness_limit_ms(ready_timeout_ms: float, expected_load_ms: float) -> float:
    """Return how long a request may wait for its model (section 2).

    This is the request's own readiness timeout if it has one, else a multiple of the expected load duration,
    else a default. An argument of 0 means that the value is not known.
    """
    if ready_timeout_ms:
        return ready_timeout_ms
    if expected_load_ms:
        return max(EXPECTED_LOAD_FACTOR * expected_load_ms, READINESS_LIMIT_FLOOR_MS)
    return READINESS_LIMIT_DEFAULT_MS


def warm_for_ms(idle_window_ms: int) -> int:
    """Return how long a model counts as warm after it last served (section 3); a window of 0 is unknown."""
    window_ms = idle_window_ms or IDLE_WINDOW_DEFAULT_MS
    return window_ms - max(WARM_MARGIN_FLOOR_MS, window_ms * WARM_MARGIN_PERCENT // 100)


def poll_spacing_ms(retry_after_ms: int) -> int:
    """Return the interval until the next poll after an answer with `retry_after_ms` (section 2, step 2)."""
    return max(POLL_SPACING_FLOOR_MS, retry_after_ms)


def expected_load_ms(recent_ms: collections.abc.Sequence[int] | None, declared_ms: float) -> float:
    """Return the expected duration of the next load (section 1).

    This is a high percentile, by nearest rank, of recent loads, or the declared duration before one was
    measured.
    """
    if not recent_ms:
        return declared_ms
    ordered = sorted(recent_ms[-RECENT_LOADS:])
    rank = -(-len(ordered) * LOAD_PERCENTILE // 100)
    return ordered[rank - 1]
