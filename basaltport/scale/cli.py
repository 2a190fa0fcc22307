"""`basaltport scale`: how the cost of the control path grows with the fleet; one machine, 127.0.0.0/8."""

import asyncio
import collections.abc
import json
import os
import signal
import sys
import tempfile
import typing

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
MIB = 1 << 20
FAILED = 1
BAD_INPUT = 2
DEFAULTS = {"nodes": "40,120,340", "replicas": "600", "models": "530", "adapters": "94000"}
LEAST = {"nodes": 4, "replicas": 8, "models": 1, "adapters": 0}
WHOLE_NUMBERS = (
    ("seconds", 240, 10, 3600, "The whole run ends within this long."),
    ("repeat", 1, 1, 9, "Runs of each size."),
    ("proxies", 2, 0, 8, "Real nodes beside the hollow ones."),
    ("hosts", 4, 1, HOSTS, "Processes that share the hollow nodes."),
    ("running", 150, 0, 2000, "Runs that each hollow node reports."),
    ("loads", 740, 0, 100_000, "Models an hour that all hollow nodes want and no replica holds."),
)
"""Flags: name, default, least, most, help."""
REQUESTS_PER_S = 16
MOST_REQUESTS_PER_S = 1000


def define(values: flags.FlagValues) -> None:
    """Flags of `scale`."""
    for name, default in DEFAULTS.items():
        help_ = f"How many {name}: one for all sizes, or one for each."
        flags.DEFINE_string(name, default, help_, flag_values=values)
    for name, number, least, most, help_ in WHOLE_NUMBERS:
        flags.DEFINE_integer(name, number, help_, least, most, flag_values=values)
    requests_help = "Requests a second that each hollow node reports."
    flags.DEFINE_float("requests", REQUESTS_PER_S, requests_help, 0, MOST_REQUESTS_PER_S, flag_values=values)
    profile_help = "Profiles of all processes, beside their settings."
    flags.DEFINE_bool("profile", False, profile_help, flag_values=values)
    flags.DEFINE_bool("json", False, "JSON in place of the table.", flag_values=values)
    dir_help = "Folder for settings, logs and data; else a temporary one."
    flags.DEFINE_string("dir", None, dir_help, flag_values=values)


def numbers(values: flags.FlagValues) -> tuple[dict[str, list[int]], list[fit.Finding]]:
    """What the flags of sizes list, by field."""
    lists: dict[str, list[int]] = {}
    findings = []
    for field in size_.FIELDS:
        try:
            lists[field] = [int(word) for word in getattr(values, field).split(",")]
        except ValueError:
            findings.append(fit.Finding(field, "not whole numbers with commas between"))
            continue
        top = getattr(size_.TARGET, field)
        if any(not LEAST[field] <= number <= top for number in lists[field]):
            findings.append(fit.Finding(field, f"not {LEAST[field]} to {top}"))
    return lists, findings


def sizes(values: flags.FlagValues) -> tuple[list[size_.Size], list[fit.Finding]]:
    """Sizes and findings: one size for each place of the longest list; those of one value are repeated."""
    lists, findings = numbers(values)
    if findings:
        return [], findings
    longest = max(map(len, lists.values()))
    for field, listed in lists.items():
        if len(listed) not in (1, longest):
            findings.append(fit.Finding(field, f"{len(listed)} values, where others have {longest}"))
    if findings:
        return [], findings
    out = [
        size_.Size(*(listed[place % len(listed)] for listed in lists.values())) for place in range(longest)
    ]
    different = len(set(out))
    if different < fit.LEAST:
        findings = [fit.Finding("sizes", f"a slope takes {fit.LEAST} sizes, here are {different}")]
    return out, findings


def axis(of: collections.abc.Sequence[size_.Size]) -> str:
    """The field that sizes differ in: the first one, where several grow together."""
    return max(size_.FIELDS, key=lambda field: len({getattr(size, field) for size in of}))


def memory_mb() -> float:
    """MB of this machine."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MIB


def check(values: flags.FlagValues) -> tuple[list[size_.Size], float, list[fit.Finding]]:
    """Sizes, seconds of the calm window, findings."""
    of, findings = sizes(values)
    if findings:
        return of, 0, findings
    runs = len(of) * values.repeat
    calm_s = values.seconds / runs - play.AROUND_S
    if calm_s < play.LEAST_CALM_S:
        need = runs * (play.AROUND_S + play.LEAST_CALM_S)
        findings.append(fit.Finding("seconds", f"{runs} runs take {need}"))
    if len({getattr(size, axis(of)) for size in of}) < fit.LEAST:
        findings.append(fit.Finding("sizes", f"no field has {fit.LEAST} values"))
    if fleet.CONTROLLERS + values.proxies + values.hosts + 1 > PROCESSES:
        findings.append(fit.Finding("hosts", f"over {PROCESSES} processes"))
    return of, calm_s, findings


async def measure(
    values: flags.FlagValues, of: collections.abc.Sequence[size_.Size], calm_s: float, folder: str
) -> list[table.Report]:
    """One run after another; what each measured."""
    runs = []
    task = typing.cast("asyncio.Task[object]", asyncio.current_task())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    for again in range(values.repeat):
        for place, size in enumerate(of):
            path = os.path.join(folder, f"{place + 1}-{again + 1}")
            run = play.Run(size, path, values, calm_s, memory_mb() / 2)
            runs.append(await run.go(values.seconds / values.repeat / len(of) - play.END_S))
    return runs


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Measure and print; the exit code."""
    of, calm_s, findings = check(values)
    findings += [fit.Finding(argument, "not a flag") for argument in arguments]
    if values.dir and os.path.isdir(values.dir) and os.listdir(values.dir):
        findings.append(fit.Finding("dir", "not empty: controllers would go on from what it holds"))
    for found in findings:
        print(f"{found.place}: {found.finding}", file=sys.stderr)
    if findings:
        return BAD_INPUT
    try:
        with tempfile.TemporaryDirectory(prefix="basaltport-scale-") as temporary:
            runs = asyncio.run(measure(values, of, calm_s, values.dir or temporary))
    except (OSError, asyncio.CancelledError) as error:
        print(f"run: {type(error).__name__}: {error}", file=sys.stderr)
        return FAILED
    report = table.report(axis(of), runs)
    print(json.dumps(report, indent=1) if values.json else table.text(report))
    ended = [measured for measured in runs if "ended" in measured]
    for measured in ended:
        print(f"run at {measured['size']}: {'; '.join(measured['ended'])}", file=sys.stderr)
    return FAILED if report["broken"] or ended else 0


def define_part(values: flags.FlagValues) -> None:
    """Flags of `scale-part`."""
    flags.DEFINE_string("conf", None, "The part's file, as `scale` writes it.", flag_values=values)


COMMANDS = {
    "scale": command.Command("Measure how the control path's cost grows with the fleet.", run, define),
    "scale-part": command.Command("One process of a scale run.", part.run, define_part),
}
