"""The arithmetic of ADR 0041: how long to wait, how often to ask, for how long a model counts as warm.

All times are durations in milliseconds.
"""

import collections.abc

READINESS_LIMIT_FLOOR_MS = 30_000
"""The least readiness limit that is derived from an expected load (section 2)."""
READINESS_LIMIT_DEFAULT_MS = 300_000
"""The readiness limit where neither a time-out nor an expected load is known (section 2)."""
EXPECTED_LOAD_FACTOR = 2
"""Readiness limits allow for so many expected loads (section 2)."""
POLL_SPACING_FLOOR_MS = 100
"""The controller is never asked for a model more often than this (section 2, step 2)."""
IDLE_WINDOW_DEFAULT_MS = 60_000
"""The idle window of a model whose own one is not known (section 3)."""
WARM_MARGIN_FLOOR_MS = 10_000
"""A model counts as warm for so much less than its idle window, or by the next share if that is more
(section 3)."""
WARM_MARGIN_PERCENT = 20
LOAD_PERCENTILE = 90
"""Which percentile of recent loads is expected of the next one; the paper says "a high percentile"."""
RECENT_LOADS = 20
"""How many loads of a model are remembered."""


def readiness_limit_ms(ready_timeout_ms: float, expected_load_ms: float) -> float:
    """For how long a request may wait for its model (section 2).

    The request's own time-out if there is one, else a multiple of the expected load, else a default; 0 stands
    for what is not known.
    """
    if ready_timeout_ms:
        return ready_timeout_ms
    if expected_load_ms:
        return max(EXPECTED_LOAD_FACTOR * expected_load_ms, READINESS_LIMIT_FLOOR_MS)
    return READINESS_LIMIT_DEFAULT_MS


def warm_for_ms(idle_window_ms: int) -> int:
    """For how long after its last sign of serving a model counts as warm (section 3); 0: window not known."""
    window_ms = idle_window_ms or IDLE_WINDOW_DEFAULT_MS
    return window_ms - max(WARM_MARGIN_FLOOR_MS, window_ms * WARM_MARGIN_PERCENT // 100)


def poll_spacing_ms(retry_after_ms: int) -> int:
    """When to ask again after an answer that said `retry_after_ms` (section 2, step 2)."""
    return max(POLL_SPACING_FLOOR_MS, retry_after_ms)


def expected_load_ms(recent_ms: collections.abc.Sequence[int] | None, declared_ms: float) -> float:
    """What the next load is expected to take (section 1).

    A high percentile, by nearest rank, of recent loads; the declared time until one was measured.
    """
    if not recent_ms:
        return declared_ms
    ordered = sorted(recent_ms[-RECENT_LOADS:])
    rank = -(-len(ordered) * LOAD_PERCENTILE // 100)
    return ordered[rank - 1]
