"""What scale runs report: figures by role and size, and the lines through them."""

import basaltport.scale.fit as fit
import basaltport.scale.play as play
import basaltport.scale.size as size_

TIMES = {
    "change, acknowledged p50": ("change_ms", "acknowledged_p50"),
    "change, in force p50": ("change_ms", "p50"),
    "change, in force everywhere": ("change_ms", "max"),
    "lost replica known p50": ("lost_replica_ms", "p50"),
    "lost replica known everywhere": ("lost_replica_ms", "max"),
    "restarted nodes whole": ("restart_ms", "max"),
    "new leader holds": ("lost_leader_ms", "holds"),
    "new leader followed p50": ("lost_leader_ms", "followed", "p50"),
    "new leader followed by all": ("lost_leader_ms", "followed", "max"),
    "region back, all caught up": ("region_ms", "max"),
    "lost zone, replicas known": ("zone_ms", "replicas"),
    "lost zone, nodes known": ("zone_ms", "nodes"),
}
SPENT = {
    "change": "change_leader",
    "lost replica": "lost_replica_leader",
    "restart": "restart_leader",
    "lost leader": "lost_leader_leader",
    "region's return": "region_leader",
    "lost zone": "zone_leader",
}
UNITS = {
    "cpu_percent": "% of a core",
    "waited_percent": "% waited for a core",
    "memory_mb": "MB",
    "peak_mb": "MB at most",
    "messages_in": "messages/s in",
    "messages_out": "messages/s out",
    "bytes_in": "bytes/s in",
    "bytes_out": "bytes/s out",
}


def at(run, path):
    for k in path:
        run = run.get(k) if run else None
    return run


def figures(run):
    """{(role or event, figure): value} of a run."""
    out = {}
    for role, r in run.get("roles", {}).items():
        out |= {(role, UNITS[k]): r[k] for k in (*play.RATES, "peak_mb")}
    out |= {("times in ms", k): at(run, p) for k, p in TIMES.items() if at(run, p) is not None}
    calm = at(run, ("roles", "leader", "cpu_percent"))
    for name, key in SPENT.items():
        if key not in run or calm is None:
            continue
        spent = run[key]["cpu_ms"] - 10 * calm * run[key]["seconds"]
        out[f"leader at a {name}", "processor ms over calm"] = spent
        out[f"leader at a {name}", "bytes of updates"] = run[key]["update_bytes"]
    return out


def report(axis, runs):
    """{"axis", "target", "runs", "lines", "broken"}; a line has "of", "figure", "points" and what `fit.line`
    gives, with "at_target", where there are enough sizes; `broken`: what followers may not do, and did."""
    all_ = [(r["size"][axis], figures(r)) for r in runs]
    top = getattr(size_.TARGET, axis)
    lines = []
    for of, name in dict.fromkeys(k for _, f in all_ for k in f):
        points = [(x, f[of, name]) for x, f in all_ if (of, name) in f]
        got = fit.line(points)
        row = {"of": of, "figure": name, "points": points}
        if got.is_ok():
            v = got.ok_value
            row |= {**v, "at_target": v["start"] + v["slope"] * top}
        lines.append(row)
    broken = [b for r in runs for b in r["broken"]]
    return {"axis": axis, "target": top, "runs": runs, "lines": lines, "broken": broken}


def short(v):
    return f"{v:.3g}" if abs(v) < 1000 else f"{v:,.0f}"


def text(report):
    xs = sorted({r["size"][report["axis"]] for r in report["runs"]})
    heads = [
        "",
        "figure",
        *(f"{x} {report['axis']}" for x in xs),
        "slope",
        f"line at {report['target']}",
        "r2",
    ]
    table, last = [heads], None
    for row in report["lines"]:
        cells = []
        for x in xs:
            ys = [y for k, y in row["points"] if k == x]
            mean = short(sum(ys) / len(ys)) if ys else "-"
            cells.append(mean + (f" ({short(min(ys))}-{short(max(ys))})" if ys[1:] else ""))
        fitted = (
            [short(row["slope"]), short(row["at_target"]), f"{row['r2']:.2f}"]
            if "slope" in row
            else ["-"] * 3
        )
        table.append([row["of"] if row["of"] != last else "", row["figure"], *cells, *fitted])
        last = row["of"]
    widths = [max(len(r[i]) for r in table) for i in range(len(heads))]
    out = ["  ".join(c.ljust(w) for c, w in zip(r, widths, strict=True)).rstrip() for r in table]
    if report["broken"]:
        out += ["", f"{len(report['broken'])} followers broke the protocol: {report['broken'][0]}"]
    return "\n".join(out)
