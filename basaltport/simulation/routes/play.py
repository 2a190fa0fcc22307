"""`rehearse-routes` plays scenarios on the whole path of routes by seed and checks every rule."""

import collections
import json
import sys

import absl.flags as flags

import basaltport.simulation.world.fleetworld as fleetworld
import basaltport.simulation.routes.mayhem as routemayhem
import basaltport.simulation.routes.scenes as routescenes
import basaltport.verbs as verbs


def define(fv):
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=fv)
    flags.DEFINE_integer("seeds", 1, "How many seeds from it on.", 1, 100_000, flag_values=fv)
    flags.DEFINE_enum("preset", "small", sorted(fleetworld.PRESETS), "The fleet's size.", flag_values=fv)
    flags.DEFINE_string("trace", None, "Write the last run's trace here.", flag_values=fv)
    flags.DEFINE_bool("shrink", False, "Shrink a failing mayhem to its fewest faults.", flag_values=fv)


def outcomes(w):
    return dict(sorted(collections.Counter(r["outcome"] for r in w.trace if r["k"] == "op-end").items()))


def save(path, p, fs):
    head = {"scenario": p.name, "seed": p.seed, "preset": p.preset, "findings": fs}
    with open(path, "w") as f:
        for r in [head, *p.w.trace]:
            f.write(json.dumps(r) + "\n")


def run(fv, args):
    names = list(routescenes.SCENARIOS) if args == ["all"] else args
    bad = [n for n in names if n not in routescenes.SCENARIOS]
    if bad or not names:
        print(f"no scenario {bad}; there are: all {' '.join(routescenes.SCENARIOS)}", file=sys.stderr)
        return 2
    worst = 0
    for name in names:
        for seed in range(fv.seed, fv.seed + fv.seeds):
            p = routescenes.Play(name, seed, fv.preset).play()
            fs = p.findings()
            if fv.trace:
                save(fv.trace, p, fs)
            word = f"BROKEN {len(fs)}" if fs else "ok"
            print(f"{name:<32} seed {seed:<5} {p.preset:<6} {word:<10} {outcomes(p.w)}", flush=True)
            if not fs:
                continue
            worst = 1
            for f in fs[:5]:
                print(f"  {f['rule']} at {f['t']} ms: {f['finding']}")
            if name.startswith("mayhem") and fv.shrink:
                for row in routemayhem.shrink(name, seed, p.preset, {f["rule"] for f in fs}):
                    print(f"  needs {row}")
            print(f"  again: basaltport rehearse-routes {name} --seed={seed} --preset={p.preset}")
    return worst


VERBS = {
    "rehearse-routes": verbs.Verb(
        "Play a scenario on the whole path of routes on virtual time and check every rule.",
        run,
        define,
        "SCENARIO ...|all",
    )
}
