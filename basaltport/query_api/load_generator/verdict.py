"""Shots against the replicas' own record of runs: double runs, false refusals, crossed and broken replies."""

import collections
import typing

import basaltport.query_api.load_generator.shoot as shoot

Record = dict[str, typing.Any]
Finding = dict[str, str]
PERCENTILES = (50, 90, 99)
LATE_PERCENTILE = 99


def percentile(xs: list[float], p: int) -> float:
    """The smallest value that p percent do not exceed; 0 of nothing."""
    if not xs:
        return 0
    ordered = sorted(xs)
    return ordered[min(len(ordered) - 1, -(-len(ordered) * p // 100) - 1)]


def findings(shots: list[shoot.Shot], once_lines: set[str], record: Record) -> list[Finding]:
    """Broken rules, each with its place: the shot's prompt."""
    runs: dict[str, list[str]] = {}
    for r in record["runs"]:
        runs.setdefault(r["prompt"], []).append(r["dispatch"])
    out = [f for s in shots for f in _of_shot(s, s.line in once_lines, runs.get(s.prompt, []))]
    store = record["store"]
    if store["most"] > store["limit"]:
        out.append(_finding("store", "store", f"{store['most']} loads at once, {store['limit']} allowed"))
    out += [_finding(b["rule"], b["replica"], str(b)) for b in record["broken"]]
    return out


def _finding(rule: str, place: str, finding: str) -> Finding:
    return {"rule": rule, "place": place, "finding": finding}


def _of_shot(shot: shoot.Shot, once: bool, dispatches: list[str]) -> list[Finding]:
    """The rules that one shot broke, given all dispatches that ran for it."""
    out = []
    if once and len(dispatches) > 1:
        out.append(_finding("once-only", shot.prompt, f"ran {len(dispatches)} times: {dispatches}"))
    if shot.outcome == "refused" and dispatches:
        out.append(_finding("refusal", shot.prompt, f"refused ({shot.code}) but ran: {dispatches}"))
    if shot.outcome == "done" and not dispatches:
        out.append(_finding("own-reply", shot.prompt, "a reply without a run"))
    if shot.outcome == "crossed":
        out.append(_finding("own-reply", shot.prompt, shot.detail or shot.code))
    if shot.outcome == "broken-stream":
        out.append(_finding("stream", shot.prompt, shot.detail or shot.code))
    return out


def report(shots: list[shoot.Shot], record: Record | None, seconds: float) -> dict[str, typing.Any]:
    """Counts, goodput and latencies by line."""
    out: dict[str, typing.Any] = {
        "seconds": seconds,
        "lines": {},
        "runs": len(record["runs"]) if record else None,
    }
    late = percentile([s.late_ms for s in shots], LATE_PERCENTILE)
    out["send_late_p99_ms"] = round(late, 1)
    for line in sorted({s.line for s in shots}):
        out["lines"][line] = _of_line([s for s in shots if s.line == line], seconds)
    if record:
        out["store"] = record["store"]
    return out


def _of_line(shots: list[shoot.Shot], seconds: float) -> dict[str, typing.Any]:
    done = [s.ms for s in shots if s.outcome == "done"]
    counts = collections.Counter(_label(s) for s in shots)
    row = {"sent": len(shots), "counts": dict(counts), "goodput_per_s": round(len(done) / seconds, 2)}
    row.update({f"p{p}_ms": round(percentile(done, p)) for p in PERCENTILES})
    return row


def _label(shot: shoot.Shot) -> str:
    if shot.outcome == "done" or not shot.code:
        return shot.outcome
    return f"{shot.outcome}:{shot.code}"
