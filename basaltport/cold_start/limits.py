"""The arithmetic of ADR 0041: readiness limits, warm windows, expected loads. Pure functions on millis."""

FLOOR = 30_000
DEFAULT_LIMIT = 300_000
MULTIPLIER = 2
POLL = 100
WINDOW = 60_000
MARGIN = 10_000
MARGIN_PERCENT = 20
PERCENTILE = 90
RECENT = 20


def limit(ready_timeout, expected):
    if ready_timeout:
        return ready_timeout
    if expected:
        return max(MULTIPLIER * expected, FLOOR)
    return DEFAULT_LIMIT


def warm_for(window):
    w = window or WINDOW
    return w - max(MARGIN, w * MARGIN_PERCENT // 100)


def spacing(retry_after):
    return max(POLL, retry_after)


def expected(recent, declared):
    """A high percentile, nearest rank, over recent loads; the declared time until one is measured."""
    if not recent:
        return declared
    s = sorted(recent[-RECENT:])
    return s[-(-len(s) * PERCENTILE // 100) - 1]
