"""A straight line through what was measured at several sizes."""

import result

LEAST = 3


def line(points):
    """Ok({"slope", "start", "r2", "spread"}) of (x, y) points, by least squares; Err with a finding where
    there are fewer than three sizes. `spread`: the widest of y at one size, None without repeats."""
    xs = {x for x, _ in points}
    if len(xs) < LEAST:
        return result.Err({"place": "sizes", "finding": f"a slope takes {LEAST} sizes, here are {len(xs)}"})
    n = len(points)
    mx, my = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    sxx = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / sxx
    start = my - slope * mx
    total = sum((y - my) ** 2 for _, y in points)
    rest = sum((y - start - slope * x) ** 2 for x, y in points)
    at = [[y for k, y in points if k == x] for x in xs]
    spread = max(max(ys) - min(ys) for ys in at) if any(len(ys) > 1 for ys in at) else None
    r2 = 1 - rest / total if total else 1.0
    return result.Ok({"slope": slope, "start": start, "r2": r2, "spread": spread})


def reaches(fitted, limit):
    """The size at which the line meets a limit, or None where it never does."""
    return (limit - fitted["start"]) / fitted["slope"] if fitted["slope"] > 0 else None
