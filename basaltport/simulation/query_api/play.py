"""`rehearse` plays scenarios by seed; `replay` plays a recorded one again and shows where a rule broke."""

import collections
import json
import sys

import absl.flags as flags

import basaltport.command_line.output as output
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.scenarios.scenarios as scenarios
import basaltport.command_line.command as command

FORMAT = 1


def define_rehearse(fv):
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=fv)
    flags.DEFINE_integer("seeds", 1, "How many seeds from it on.", 1, 100_000, flag_values=fv)
    flags.DEFINE_enum("preset", None, sorted(presets.PRESETS), "Another size of house.", flag_values=fv)
    flags.DEFINE_string("trace", None, "Write the last run's trace here.", flag_values=fv)
    flags.DEFINE_bool("lines", False, "Print each line's latency and fairness.", flag_values=fv)
    flags.DEFINE_bool("shrink", False, "Shrink a failing mayhem to its fewest faults.", flag_values=fv)
    flags.DEFINE_bool("packed", False, "Send every message as a frame's bytes.", flag_values=fv)


def counts(w):
    c = collections.Counter()
    for q in w.queries.values():
        c[q["outcome"] + (":" + q["code"] if q["code"] else "")] += 1
    return dict(sorted(c.items()))


def by_line(w):
    """For each line: sent, done, latency, and Jain's index over its senders' shares answered."""
    rows, count = {}, collections.Counter
    for q in w.queries.values():
        r = rows.setdefault(q["line"], {"sent": 0, "ms": [], "who": count(), "all": count()})
        r["sent"] += 1
        r["all"][q["sender"]] += 1
        if q["outcome"] == "done":
            r["ms"].append(q["end"] - q["at"])
            r["who"][q["sender"]] += 1
    for k, r in sorted(rows.items()):
        ms, xs = sorted(r["ms"]) or [0], [r["who"][s] / n for s, n in r["all"].items()]
        jain = sum(xs) ** 2 / (len(xs) * sum(x * x for x in xs) or 1)
        p50, p99 = ms[len(ms) // 2], ms[len(ms) * 99 // 100]
        line = f"  {k:<10} sent {r['sent']:<6} done {len(r['ms']):<6} p50 {p50:<6} p99 {p99:<6}"
        yield f"{line} jain {jain:.3f}"


def again(p):
    return f"basaltport simulate queries {p.name} --seed={p.seed} --preset={p.preset}"


def save(path, p, fs):
    head = {"format": FORMAT, "scenario": p.name, "seed": p.seed, "preset": p.preset, "findings": fs}
    with open(path, "w") as f:
        f.write(json.dumps(head) + "\n")
        for r in p.w.trace:
            f.write(json.dumps(r) + "\n")


def run_rehearse(fv, args):
    names = list(scenarios.SCENARIOS) if args == ["all"] else args
    bad = [n for n in names if n not in scenarios.SCENARIOS]
    if bad or not names:
        print(f"no scenario {bad}; there are: all {' '.join(scenarios.SCENARIOS)}", file=sys.stderr)
        return 2
    worst = 0
    for name in names:
        for seed in range(fv.seed, fv.seed + fv.seeds):
            p = scenarios.Play(name, seed, fv.preset, packed=fv.packed).play()
            fs = p.findings()
            word = "ok" if not fs else f"BROKEN {len(fs)}"
            ms = ",".join(map(str, p.recoveries()))
            print(
                f"{name:<22} seed {seed:<5} {p.preset:<7} {word:<10} back {ms:<12} {counts(p.w)}", flush=True
            )
            if fv.lines:
                print("\n".join(by_line(p.w)))
            if fv.trace:
                save(fv.trace, p, fs)
            if fs:
                worst = 1
                for f in fs[:5]:
                    print(f"  {f['rule']} at {f['t']} ms: {f['finding']}")
                if name == "mayhem" and fv.shrink:
                    for row in scenarios.shrink(seed, p.preset, {f["rule"] for f in fs}):
                        print(f"  needs {row}")
                print(f"  again: {again(p)}")
    return worst


def load(path):
    """((head, rows), None) or (None, finding)."""
    try:
        with open(path) as f:
            lines = f.read().split("\n")
    except OSError as e:
        return None, f"{path}: {e.strerror}"
    rows = []
    for n, line in enumerate(lines[:-1] if lines and lines[-1] == "" else lines):
        try:
            rows.append(json.loads(line))
        except ValueError:
            return None, f"{path}:{n + 1}: garbled or cut short"
    if not rows or not isinstance(rows[0], dict) or rows[0].get("format") != FORMAT:
        return None, f"{path}:1: not a trace of format {FORMAT}"
    if rows[0].get("scenario") not in scenarios.SCENARIOS or rows[0].get("preset") not in presets.PRESETS:
        return None, f"{path}:1: unknown scenario or preset"
    return (rows[0], rows[1:]), None


def run_replay(fv, args):
    if output.lacks_arguments(args, 1, "a trace file"):
        return 2
    got, bad = load(args[0])
    if bad:
        print(bad, file=sys.stderr)
        return 2
    head, rows = got
    p = scenarios.Play(head["scenario"], head["seed"], head["preset"]).play()
    fs = p.findings()
    for n, (a, b) in enumerate(zip(rows, json.loads(json.dumps(p.w.trace)), strict=False)):
        if a != b:
            print(f"differs from row {n + 2} on: recorded {a}, now {b}")
            break
    else:
        same = len(rows) == len(p.w.trace)
        print("the same run" if same else f"{len(rows)} rows recorded, {len(p.w.trace)} now")
    if not fs:
        print("no rule broke")
        return 0
    first = min(fs, key=lambda f: f["t"] if f["t"] >= 0 else 10**12)
    print(f"first broken: {first['rule']} at {first['t']} ms: {first['finding']}")
    for r in p.w.trace:
        if abs(r["t"] - first["t"]) <= 20:
            print("  " + json.dumps(r))
    return 1


COMMANDS = {
    "simulate queries": command.Command(
        "Play a scenario of faults on virtual time and check every rule.",
        run_rehearse,
        define_rehearse,
        "SCENARIO ...|all",
    ),
    "simulate replay": command.Command(
        "Play a recorded trace again; show where a rule broke.", run_replay, None, "FILE"
    ),
}
