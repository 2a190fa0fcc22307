"""`rehearse-routes` plays scenarios on the whole path of routes by seed and checks every rule."""

import collections
import json
import sys

import absl.flags as flags

import basaltport.simulation.routes.fleet_world as fleetworld
import basaltport.simulation.routes.control as control
import basaltport.simulation.routes.mayhem as routemayhem
import basaltport.simulation.routes.scenes as routescenes
import basaltport.command_line.command as command


def define(fv):
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=fv)
    flags.DEFINE_integer("seeds", 1, "How many seeds from it on.", 1, 100_000, flag_values=fv)
    flags.DEFINE_enum("preset", "small", sorted(fleetworld.PRESETS), "The fleet's size.", flag_values=fv)
    flags.DEFINE_bool("quiet", False, "Print only what broke, and a line for each scenario.", flag_values=fv)
    flags.DEFINE_string("trace", None, "Write the last run's trace here.", flag_values=fv)
    flags.DEFINE_bool("shrink", False, "Shrink a failing mayhem to its fewest faults.", flag_values=fv)


def outcomes(w):
    return dict(sorted(collections.Counter(r["outcome"] for r in w.trace if r["k"] == "op-end").items()))


def save(path, p, fs):
    head = {"scenario": p.name, "seed": p.seed, "preset": p.preset, "findings": fs}
    with open(path, "w") as f:
        for r in [head, *p.w.trace]:
            f.write(json.dumps(r) + "\n")


ROUTES = list(routescenes.SCENARIOS)
CONTROL = list(control.SCENARIOS)
GROUPS = {"all": ROUTES + CONTROL, "routes": ROUTES, "control": CONTROL}


def named(args):
    """Scenarios by their names or their groups' names."""
    return [name for arg in args for name in GROUPS.get(arg, [arg])]


def play_of(name, seed, preset):
    kind = control.Play if name in CONTROL else routescenes.Play
    return kind(name, seed, preset).play()


def run(fv, args):
    names = named(args)
    bad = [n for n in names if n not in GROUPS["all"]]
    if bad or not names:
        print(f"no scenario {bad}; there are: {' '.join([*GROUPS, *GROUPS['all']])}", file=sys.stderr)
        return 2
    return max([run_scenario(fv, name) for name in names])


def run_scenario(fv, name):
    """Whether a rule broke; ends with what was measured over all seeds."""
    worst, took, shares, broken = 0, {}, [], 0
    for seed in range(fv.seed, fv.seed + fv.seeds):
        p = play_of(name, seed, fv.preset)
        fs = p.findings()
        if fv.trace:
            save(fv.trace, p, fs)
        shares.append(min(p.shares()))
        for what, ms, _ in getattr(p, "bounds", list)():
            took.setdefault(what, []).append(ms)
        if fs or not fv.quiet:
            word = f"BROKEN {len(fs)}" if fs else "ok"
            print(f"{name:<32} seed {seed:<5} {p.preset:<8} {word:<10} {outcomes(p.w)}", flush=True)
        if fs:
            worst, broken = 1, broken + 1
            tell(fv, p, fs)
    if fv.seeds > 1:
        sums = " ".join(f"{what}: {longest(ms)}" for what, ms in sorted(took.items()))
        text = (
            f"{fv.seeds} seeds from {fv.seed}, {broken} broken; least share served {min(shares):.3f}; {sums}"
        )
        print(f"{name:<32} {fv.preset:<8} {text}", flush=True)
    return worst


def longest(ms):
    return "never" if None in ms else f"at most {max(ms)} ms"


def tell(fv, p, fs):
    for f in fs[:5]:
        print(f"  {f['rule']} at {f['t']} ms: {f['finding']}")
    if p.name.startswith("mayhem") and fv.shrink:
        for row in routemayhem.shrink(p.name, p.seed, p.preset, {f["rule"] for f in fs}):
            print(f"  needs {row}")
    print(f"  again: basaltport simulate routes {p.name} --seed={p.seed} --preset={p.preset}", flush=True)


COMMANDS = {
    "simulate routes": command.Command(
        "Play a scenario on the whole path of routes on virtual time and check every rule.",
        run,
        define,
        "SCENARIO ...|all|routes|control",
    )
}
