"""`basaltport scale`: how the cost of the control path grows with the fleet; one machine, 127.0.0.0/8."""

import asyncio
import json
import os
import signal
import sys
import tempfile

import absl.flags as flags

import basaltport.scale.fit as fit
import basaltport.scale.fleet as fleet
import basaltport.scale.part as part
import basaltport.scale.play as play
import basaltport.scale.size as size_
import basaltport.scale.table as table
import basaltport.command_line.command as command

HOSTS = 36
PROCESSES = 200
DEFAULTS = {"nodes": "40,120,340", "replicas": "600", "models": "530", "adapters": "94000"}
LEAST = {"nodes": 4, "replicas": 8, "models": 1, "adapters": 0}


def define(fv):
    for k, v in DEFAULTS.items():
        flags.DEFINE_string(k, v, f"How many {k}: one for all sizes, or one for each.", flag_values=fv)
    whole = lambda k, v, lo, hi, h: flags.DEFINE_integer(  # noqa: E731
        k, v, h, lower_bound=lo, upper_bound=hi, flag_values=fv
    )
    whole("seconds", 240, 10, 3600, "The whole run ends within this long.")
    whole("repeat", 1, 1, 9, "Runs of each size.")
    whole("proxies", 2, 0, 8, "Real nodes beside the hollow ones.")
    whole("hosts", 4, 1, HOSTS, "Processes that share the hollow nodes.")
    whole("running", 150, 0, 2000, "Runs that each hollow node reports.")
    whole("loads", 740, 0, 100_000, "Models an hour that all hollow nodes want and no replica holds.")
    flags.DEFINE_float(
        "requests", 16, "Requests a second that each hollow node reports.", 0, 1000, flag_values=fv
    )
    flags.DEFINE_bool("profile", False, "Profiles of all processes, beside their settings.", flag_values=fv)
    flags.DEFINE_bool("json", False, "JSON in place of the table.", flag_values=fv)
    flags.DEFINE_string(
        "dir", None, "Folder for settings, logs and data; else a temporary one.", flag_values=fv
    )


def finding(place, text):
    return {"place": place, "finding": text}


def sizes(fv):
    """(sizes, findings): one size for each place of the longest list; those of one value are repeated."""
    lists, fs = {}, []
    for k in size_.FIELDS:
        try:
            lists[k] = [int(x) for x in getattr(fv, k).split(",")]
        except ValueError:
            fs.append(finding(k, "not whole numbers with commas between"))
            continue
        top = getattr(size_.TARGET, k)
        if any(not LEAST[k] <= x <= top for x in lists[k]):
            fs.append(finding(k, f"not {LEAST[k]} to {top}"))
    if fs:
        return [], fs
    n = max(map(len, lists.values()))
    fs = [
        finding(k, f"{len(v)} values, where others have {n}")
        for k, v in lists.items()
        if len(v) not in (1, n)
    ]
    if fs:
        return [], fs
    out = [size_.Size(*(v[i % len(v)] for v in lists.values())) for i in range(n)]
    if len(set(out)) < fit.LEAST:
        fs = [finding("sizes", f"a slope takes {fit.LEAST} sizes, here are {len(set(out))}")]
    return out, fs


def axis(sizes_):
    """The field that the sizes differ in: the first one, where several grow together."""
    differ = [(k, len({getattr(s, k) for s in sizes_})) for k in size_.FIELDS]
    return max(differ, key=lambda x: x[1])[0]


def memory():
    """MB of this machine."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / (1 << 20)


def check(fv):
    """(sizes, seconds of the calm window, findings)."""
    ss, fs = sizes(fv)
    if fs:
        return ss, 0, fs
    runs = len(ss) * fv.repeat
    calm = fv.seconds / runs - play.AROUND
    if calm < play.LEAST_CALM:
        need = runs * (play.AROUND + play.LEAST_CALM)
        fs.append(finding("seconds", f"{runs} runs take {need}"))
    if len({getattr(s, axis(ss)) for s in ss}) < fit.LEAST:
        fs.append(finding("sizes", f"no field has {fit.LEAST} values"))
    if fleet.CONTROLLERS + fv.proxies + fv.hosts + 1 > PROCESSES:
        fs.append(finding("hosts", f"over {PROCESSES} processes"))
    return ss, calm, fs


async def measure(fv, ss, calm, folder):
    runs = []
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    for r in range(fv.repeat):
        for k, s in enumerate(ss):
            run = play.Run(s, os.path.join(folder, f"{k + 1}-{r + 1}"), fv, calm, memory() / 2)
            runs.append(await run.go(fv.seconds / fv.repeat / len(ss) - play.END))
    return runs


def run(fv, args):
    ss, calm, fs = check(fv)
    fs += [finding(a, "not a flag") for a in args]
    if fv.dir and os.path.isdir(fv.dir) and os.listdir(fv.dir):
        fs.append(finding("dir", "not empty: controllers would go on from what it holds"))
    for f in fs:
        print(f"{f['place']}: {f['finding']}", file=sys.stderr)
    if fs:
        return 2
    try:
        with tempfile.TemporaryDirectory(prefix="basaltport-scale-") as tmp:
            runs = asyncio.run(measure(fv, ss, calm, fv.dir or tmp))
    except (OSError, asyncio.CancelledError) as e:
        print(f"run: {type(e).__name__}: {e}", file=sys.stderr)
        return 1
    report = table.report(axis(ss), runs)
    print(json.dumps(report, indent=1) if fv.json else table.text(report))
    for r in runs:
        if "ended" in r:
            print(f"run at {r['size']}: {'; '.join(r['ended'])}", file=sys.stderr)
    return 1 if report["broken"] or any("ended" in r for r in runs) else 0


def define_part(fv):
    flags.DEFINE_string("conf", None, "The part's file, as `scale` writes it.", flag_values=fv)


COMMANDS = {
    "scale": command.Command("Measure how the control path's cost grows with the fleet.", run, define),
    "scale-part": command.Command("One process of a scale run.", part.run, define_part),
}
