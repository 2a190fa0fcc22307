"""`simulate routes` plays scenarios on the whole routed path by seed and checks every rule."""

import collections
import dataclasses
import json
import sys

import absl.flags as flags

import basaltport.command_line.command as command
import basaltport.simulation.finding as finding
import basaltport.simulation.routes.control as control
import basaltport.simulation.routes.fleet_size as fleet_size
import basaltport.simulation.routes.mayhem as mayhem
import basaltport.simulation.routes.plays as plays
import basaltport.simulation.routes.request_rows as request_rows
import basaltport.simulation.routes.scenes as scenes
import basaltport.simulation.routes.tenant_scenarios as tenant_scenarios
import basaltport.simulation.trace as trace

FINDINGS_SHOWN = 5
USAGE = 2

ROUTES = list(scenes.SCENARIOS)
CONTROL = list(control.SCENARIOS)
TENANTS = list(tenant_scenarios.SCENARIOS)
GROUPS = {"all": ROUTES + CONTROL + TENANTS, "routes": ROUTES, "control": CONTROL, "tenants": TENANTS}


def define(flag_values: flags.FlagValues) -> None:
    """The command's flags."""
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=flag_values)
    flags.DEFINE_integer("seeds", 1, "How many seeds from it on.", 1, 100_000, flag_values=flag_values)
    presets = sorted(fleet_size.PRESETS)
    flags.DEFINE_enum("preset", "small", presets, "The fleet's size.", flag_values=flag_values)
    quiet = "Print only what broke, and a line for each scenario."
    flags.DEFINE_bool("quiet", False, quiet, flag_values=flag_values)
    flags.DEFINE_string("trace", None, "Write the last run's trace here.", flag_values=flag_values)
    shrink = "Shrink a failing mayhem to its fewest faults."
    flags.DEFINE_bool("shrink", False, shrink, flag_values=flag_values)


def outcomes(play: plays.Play) -> dict[str, int]:
    """How many operations ended in each way."""
    ends = trace.of_kind(play.world.trace, request_rows.OperationEnd)
    return dict(sorted(collections.Counter(row.outcome for row in ends).items()))


def save(path: str, play: plays.Play, findings: list[finding.Finding]) -> None:
    """Writes a run's findings and its trace, a line of JSON each."""
    head = {
        "scenario": play.name,
        "seed": play.seed,
        "preset": play.preset,
        "findings": [found.as_json() for found in findings],
    }
    with open(path, "w") as file:
        for line in [head, *map(trace.as_json, play.world.trace)]:
            file.write(json.dumps(line) + "\n")


def named(args: list[str]) -> list[str]:
    """Scenarios by their names or their groups' names."""
    return [name for arg in args for name in GROUPS.get(arg, [arg])]


def play_of(name: str, seed: int, preset: str) -> plays.Play:
    """A run of a scenario, played to its end."""
    if name in TENANTS:
        return tenant_scenarios.Play(name, seed, preset).play()
    kind = control.Play if name in CONTROL else scenes.Play
    return kind(name, seed, preset).play()


def run(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: 0 where every rule held, 1 where one broke, 2 where it was called in a wrong way."""
    names = named(args)
    unknown = [name for name in names if name not in GROUPS["all"]]
    if unknown or not names:
        there_are = " ".join([*GROUPS, *GROUPS["all"]])
        print(f"no scenario {unknown}; there are: {there_are}", file=sys.stderr)
        return USAGE
    return max([run_scenario(flag_values, name) for name in names])


@dataclasses.dataclass(slots=True)
class Measured:
    """What was measured over the seeds of a scenario: by bound, the ms that it took or None; the least share
    of requests served in each run; runs with a finding."""

    took: dict[str, list[int | None]] = dataclasses.field(default_factory=dict)
    shares: list[float] = dataclasses.field(default_factory=list)
    broken: int = 0

    def add(self, play: plays.Play, findings: list[finding.Finding]) -> None:
        """One run more."""
        self.shares.append(min(play.shares()))
        for what, took_ms, _ in play.bounds():
            self.took.setdefault(what, []).append(took_ms)
        self.broken += bool(findings)

    def text(self, first_seed: int) -> str:
        """As a line says it."""
        sums = " ".join(f"{what}: {longest(took)}" for what, took in sorted(self.took.items()))
        runs = f"{len(self.shares)} seeds from {first_seed}, {self.broken} broken"
        return f"{runs}; least share served {min(self.shares):.3f}; {sums}"


def run_scenario(flag_values: flags.FlagValues, name: str) -> int:
    """Whether a rule broke; ends with what was measured over all seeds."""
    measured = Measured()
    for seed in range(flag_values.seed, flag_values.seed + flag_values.seeds):
        play = play_of(name, seed, flag_values.preset)
        findings = play.findings()
        if flag_values.trace:
            save(flag_values.trace, play, findings)
        measured.add(play, findings)
        if findings or not flag_values.quiet:
            word = f"BROKEN {len(findings)}" if findings else "ok"
            run_of = f"{name:<32} seed {seed:<5} {play.preset:<8}"
            print(f"{run_of} {word:<10} {outcomes(play)}", flush=True)
        if findings:
            show(flag_values, play, findings)
    if flag_values.seeds > 1:
        print(f"{name:<32} {flag_values.preset:<8} {measured.text(flag_values.seed)}", flush=True)
    return int(measured.broken > 0)


def longest(took: list[int | None]) -> str:
    """The longest of these times, or never."""
    times = [ms for ms in took if ms is not None]
    return "never" if len(times) < len(took) else f"at most {max(times)} ms"


def examples(findings: list[finding.Finding]) -> list[finding.Finding]:
    """The first of each rule, then others, `FINDINGS_SHOWN` at least where there are so many."""
    first_of = {found.rule: found for found in reversed(findings)}
    firsts = sorted(first_of.values(), key=lambda found: found.at_ms)
    others = [found for found in findings if found not in firsts]
    return firsts + others[: max(0, FINDINGS_SHOWN - len(firsts))]


def show(flag_values: flags.FlagValues, play: plays.Play, findings: list[finding.Finding]) -> None:
    """The first findings of a run, and how to play it again."""
    counts = collections.Counter(found.rule for found in findings)
    print("  " + ", ".join(f"{rule} {count}" for rule, count in sorted(counts.items())))
    for found in examples(findings):
        print(f"  {found.rule} at {found.at_ms} ms: {found.text}")
    if play.name.startswith("mayhem") and flag_values.shrink:
        rules = {found.rule for found in findings}
        for fault in mayhem.shrink(play.name, play.seed, play.preset, rules):
            print(f"  needs {tuple(fault)}")
    again = f"simulate routes {play.name} --seed={play.seed} --preset={play.preset}"
    print(f"  again: basaltport {again}", flush=True)


COMMANDS = {
    "simulate routes": command.Command(
        "Play a scenario on the whole path of routes on virtual time and check every rule.",
        run,
        define,
        "SCENARIO ...|all|routes|control|tenants",
    )
}
