"""What scale runs report: figures by role and size, and the lines through them."""

import collections.abc
import typing

import basaltport.scale.fit as fit
import basaltport.scale.play as play
import basaltport.scale.size as size_

Report = dict[str, typing.Any]
Figures = dict[tuple[str, str], float]
"""By role or event, and name of the figure."""

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
MS_OF_PERCENT = 10
"""Processor time of 1 % of a core in a second, in ms."""
THOUSAND = 1000


def at(run: Report, path: collections.abc.Iterable[str]) -> float | None:
    """The figure at a path of keys, None where the run did not come so far."""
    found: typing.Any = run
    for key in path:
        found = found.get(key) if found else None
    return typing.cast("float | None", found)


def figures(run: Report) -> Figures:
    """All figures of a run."""
    out: Figures = {}
    for role, rates in run.get("roles", {}).items():
        out |= {(role, UNITS[key]): rates[key] for key in (*play.RATES, "peak_mb")}
    for name, path in TIMES.items():
        ms = at(run, path)
        if ms is not None:
            out["times in ms", name] = ms
    calm = at(run, ("roles", "leader", "cpu_percent"))
    for name, key in SPENT.items():
        if key not in run or calm is None:
            continue
        spent = run[key]["cpu_ms"] - MS_OF_PERCENT * calm * run[key]["seconds"]
        out[f"leader at a {name}", "processor ms over calm"] = spent
        out[f"leader at a {name}", "bytes of updates"] = run[key]["update_bytes"]
    return out


def report(axis: str, runs: collections.abc.Sequence[Report]) -> Report:
    """{"axis", "target", "runs", "lines", "broken"}; a line has "of", "figure", "points" and the fields of
    `fit.Line`, with "at_target", where there are enough sizes; `broken`: what followers did and may not."""
    measured = [(run["size"][axis], figures(run)) for run in runs]
    top = getattr(size_.TARGET, axis)
    lines = []
    for of, name in dict.fromkeys(key for _, found in measured for key in found):
        points = [(size, found[of, name]) for size, found in measured if (of, name) in found]
        lines.append({"of": of, "figure": name, "points": points, **fitted(points, top)})
    broken = [what for run in runs for what in run["broken"]]
    return {"axis": axis, "target": top, "runs": runs, "lines": lines, "broken": broken}


def fitted(points: collections.abc.Sequence[fit.Point], top: float) -> dict[str, float | None]:
    """The fields of the line through points, none where there are too few sizes."""
    found = fit.line(points).ok()
    if found is None:
        return {}
    fields = {"slope": found.slope, "start": found.start, "r2": found.r2, "spread": found.spread}
    return {**fields, "at_target": found.start + found.slope * top}


def short(value: float) -> str:
    """A figure with three digits, or whole."""
    return f"{value:.3g}" if abs(value) < THOUSAND else f"{value:,.0f}"


def cell(figures_: collections.abc.Sequence[float]) -> str:
    """Figures of one size: their mean, and their range where there are several."""
    if not figures_:
        return "-"
    mean = short(sum(figures_) / len(figures_))
    return mean + (f" ({short(min(figures_))}-{short(max(figures_))})" if figures_[1:] else "")


def text(report: Report) -> str:
    """A report as a table."""
    axis = report["axis"]
    sizes = sorted({run["size"][axis] for run in report["runs"]})
    heads = [
        "",
        "figure",
        *(f"{size} {axis}" for size in sizes),
        "slope",
        f"line at {report['target']}",
        "r2",
    ]
    table, last = [heads], None
    for row in report["lines"]:
        cells = [cell([figure for at_size, figure in row["points"] if at_size == size]) for size in sizes]
        line = ["-"] * 3
        if "slope" in row:
            line = [short(row["slope"]), short(row["at_target"]), f"{row['r2']:.2f}"]
        table.append([row["of"] if row["of"] != last else "", row["figure"], *cells, *line])
        last = row["of"]
    out = aligned(table)
    if report["broken"]:
        out += ["", f"{len(report['broken'])} followers broke the protocol: {report['broken'][0]}"]
    return "\n".join(out)


def aligned(table: list[list[str]]) -> list[str]:
    """Rows with their columns below each other."""
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()
        for row in table
    ]
