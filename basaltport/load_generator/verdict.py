"""Shots against the replicas' own record of runs: double runs, false refusals, crossed and broken replies."""


def percentile(xs, p):
    if not xs:
        return 0
    xs = sorted(xs)
    return xs[min(len(xs) - 1, -(-len(xs) * p // 100) - 1)]


def findings(shots, once_lines, record):
    """Broken rules, each with its place: the shot's prompt."""
    runs = {}
    for r in record["runs"]:
        runs.setdefault(r["prompt"], []).append(r)
    fs = []

    def find(rule, s, text):
        fs.append({"rule": rule, "place": s.prompt, "finding": text})

    for s in shots:
        rs = runs.get(s.prompt, [])
        if s.line in once_lines and len(rs) > 1:
            find("once-only", s, f"ran {len(rs)} times: {[r['dispatch'] for r in rs]}")
        if s.outcome == "refused" and rs:
            find("refusal", s, f"refused ({s.code}) but ran: {[r['dispatch'] for r in rs]}")
        if s.outcome == "done" and not rs:
            find("own-reply", s, "a reply without a run")
        if s.outcome in ("crossed", "broken-stream"):
            find("own-reply" if s.outcome == "crossed" else "stream", s, s.detail or s.code)
    st = record["store"]
    if st["most"] > st["limit"]:
        fs.append(
            {
                "rule": "store",
                "place": "store",
                "finding": f"{st['most']} loads at once, {st['limit']} allowed",
            }
        )
    for b in record["broken"]:
        fs.append({"rule": b["rule"], "place": b["replica"], "finding": str(b)})
    return fs


def report(shots, record, seconds):
    out = {"seconds": seconds, "lines": {}, "runs": len(record["runs"]) if record else None}
    out["send_late_p99_ms"] = round(percentile([s.late_ms for s in shots], 99), 1)
    for line in sorted({s.line for s in shots}):
        mine = [s for s in shots if s.line == line]
        ok = [s.ms for s in mine if s.outcome == "done"]
        counts = {}
        for s in mine:
            k = s.outcome if s.outcome == "done" or not s.code else f"{s.outcome}:{s.code}"
            counts[k] = counts.get(k, 0) + 1
        row = {"sent": len(mine), "counts": counts, "goodput_per_s": round(len(ok) / seconds, 2)}
        row.update({f"p{p}_ms": round(percentile(ok, p)) for p in (50, 90, 99)})
        out["lines"][line] = row
    if record:
        out["store"] = record["store"]
    return out
