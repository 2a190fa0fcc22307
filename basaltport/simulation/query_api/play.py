"""`simulate queries` plays scenarios by seed; `simulate replay` plays a recorded one again."""

import collections
import dataclasses
import json
import sys
import typing

import absl.flags as flags

import basaltport.command_line.command as command
import basaltport.command_line.output as output
import basaltport.simulation.finding as finding
import basaltport.simulation.query_api.scenarios.mayhem as mayhem
import basaltport.simulation.query_api.scenarios.scenarios as scenarios
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.world as worlds
import basaltport.simulation.query_api.plays as plays

FORMAT = 1
USAGE = 2
FINDINGS_SHOWN = 5
AROUND_MS = 20
NEVER_MS = 10**12
PERCENT = 100

Document = dict[str, typing.Any]


def define_rehearse(flag_values: flags.FlagValues) -> None:
    """The flags of `rehearse`."""
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=flag_values)
    flags.DEFINE_integer("seeds", 1, "How many seeds from it on.", 1, 100_000, flag_values=flag_values)
    sizes = sorted(presets.PRESETS)
    flags.DEFINE_enum("preset", None, sizes, "Another size of house.", flag_values=flag_values)
    flags.DEFINE_string("trace", None, "Write the last run's trace here.", flag_values=flag_values)
    flags.DEFINE_bool("lines", False, "Print each line's latency and fairness.", flag_values=flag_values)
    shrink = "Shrink a failing mayhem to its fewest faults."
    flags.DEFINE_bool("shrink", False, shrink, flag_values=flag_values)
    packed = "Send every message as a frame's bytes."
    flags.DEFINE_bool("packed", False, packed, flag_values=flag_values)


def counts(world: worlds.World) -> dict[str, int]:
    """How many requests ended in each way."""
    count: collections.Counter[str] = collections.Counter()
    for request in world.requests.values():
        count[request.outcome + (":" + request.code if request.code else "")] += 1
    return dict(sorted(count.items()))


@dataclasses.dataclass(slots=True)
class QueueFigures:
    """Of a queue: requests sent, latencies of those that were answered, and both by client."""

    sent: int = 0
    latencies: list[int] = dataclasses.field(default_factory=list)
    by_client: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    answered: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def fairness(self) -> float:
        """Jain's index over the clients' shares answered."""
        shares = [self.answered[client] / sent for client, sent in self.by_client.items()]
        return sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares) or 1)


def by_queue(world: worlds.World) -> typing.Iterator[str]:
    """A line for each queue: sent, done, latency, fairness."""
    queues: dict[str, QueueFigures] = {}
    for request in world.requests.values():
        figures = queues.setdefault(request.queue, QueueFigures())
        figures.sent += 1
        figures.by_client[request.client] += 1
        if request.outcome == "done":
            figures.latencies.append(request.ended_at - request.sent_at)
            figures.answered[request.client] += 1
    for queue, figures in sorted(queues.items()):
        latencies = sorted(figures.latencies) or [0]
        median, high = latencies[len(latencies) // 2], latencies[len(latencies) * 99 // PERCENT]
        done = len(figures.latencies)
        line = f"  {queue:<10} sent {figures.sent:<6} done {done:<6} p50 {median:<6} p99 {high:<6}"
        yield f"{line} jain {figures.fairness():.3f}"


def save(path: str, play: plays.Play, findings: list[finding.Finding]) -> None:
    """Writes a run's findings and its trace, a line of JSON each."""
    head = {"format": FORMAT, "scenario": play.name, "seed": play.seed, "preset": play.preset}
    head["findings"] = [found.as_json() for found in findings]
    with open(path, "w") as file:
        for line in [head, *map(rows.as_json, play.world.trace)]:
            file.write(json.dumps(line) + "\n")


def run_rehearse(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: 0 where every rule held, 1 where one broke, 2 where it was called in a wrong way."""
    names = list(scenarios.SCENARIOS) if args == ["all"] else args
    unknown = [name for name in names if name not in scenarios.SCENARIOS]
    if unknown or not names:
        there_are = " ".join(scenarios.SCENARIOS)
        print(f"no scenario {unknown}; there are: all {there_are}", file=sys.stderr)
        return USAGE
    seeds = range(flag_values.seed, flag_values.seed + flag_values.seeds)
    return max([int(rehearse(flag_values, name, seed)) for name in names for seed in seeds])


def rehearse(flag_values: flags.FlagValues, name: str, seed: int) -> bool:
    """Plays a scenario with one seed, and prints what came of it; whether a rule broke."""
    play = plays.Play(name, seed, flag_values.preset, packed=flag_values.packed).play()
    findings = play.findings()
    word = "ok" if not findings else f"BROKEN {len(findings)}"
    back = ",".join(map(str, play.recoveries()))
    run_of = f"{name:<22} seed {seed:<5} {play.preset:<7}"
    print(f"{run_of} {word:<10} back {back:<12} {counts(play.world)}", flush=True)
    if flag_values.lines:
        print("\n".join(by_queue(play.world)))
    if flag_values.trace:
        save(flag_values.trace, play, findings)
    if findings:
        show(flag_values, play, findings)
    return bool(findings)


def show(flag_values: flags.FlagValues, play: plays.Play, findings: list[finding.Finding]) -> None:
    """The first findings of a run, and how to play it again."""
    for found in findings[:FINDINGS_SHOWN]:
        print(f"  {found.rule} at {found.at_ms} ms: {found.text}")
    if play.name == "mayhem" and flag_values.shrink:
        for fault in mayhem.shrink(play.seed, play.preset, {found.rule for found in findings}):
            print(f"  needs {tuple(fault)}")
    print(f"  again: basaltport simulate queries {play.name} --seed={play.seed} --preset={play.preset}")


class Recorded(typing.NamedTuple):
    """A trace file: its first line and its rows."""

    head: Document
    rows: list[Document]


def load(path: str) -> Recorded | str:
    """A trace file, or what is wrong with it."""
    try:
        with open(path) as file:
            lines = file.read().split("\n")
    except OSError as error:
        return f"{path}: {error.strerror}"
    recorded = []
    for number, line in enumerate(lines[:-1] if lines and lines[-1] == "" else lines):
        try:
            recorded.append(json.loads(line))
        except ValueError:
            return f"{path}:{number + 1}: garbled or cut short"
    head = recorded[0] if recorded else None
    if not isinstance(head, dict) or head.get("format") != FORMAT:
        return f"{path}:1: not a trace of format {FORMAT}"
    if head.get("scenario") not in scenarios.SCENARIOS or head.get("preset") not in presets.PRESETS:
        return f"{path}:1: unknown scenario or preset"
    return Recorded(head, recorded[1:])


def run_replay(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: plays a recorded run again."""
    if output.lacks_arguments(args, 1, "a trace file"):
        return USAGE
    recorded = load(args[0])
    if isinstance(recorded, str):
        print(recorded, file=sys.stderr)
        return USAGE
    head = recorded.head
    play = plays.Play(head["scenario"], head["seed"], head["preset"]).play()
    now: list[Document] = json.loads(json.dumps([rows.as_json(row) for row in play.world.trace]))
    compare(recorded.rows, now)
    findings = play.findings()
    if not findings:
        print("no rule broke")
        return 0
    first = min(findings, key=lambda found: found.at_ms if found.at_ms >= 0 else NEVER_MS)
    print(f"first broken: {first.rule} at {first.at_ms} ms: {first.text}")
    for row in now:
        if abs(row["t"] - first.at_ms) <= AROUND_MS:
            print("  " + json.dumps(row))
    return 1


def compare(recorded: list[Document], now: list[Document]) -> None:
    """Says from which row on a run differs from the recorded one."""
    for number, (was, row) in enumerate(zip(recorded, now, strict=False)):
        if was != row:
            print(f"differs from row {number + 2} on: recorded {was}, now {row}")
            return
    same = len(recorded) == len(now)
    print("the same run" if same else f"{len(recorded)} rows recorded, {len(now)} now")


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
