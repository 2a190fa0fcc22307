"""`basaltport model-check`: long random runs, replays of a schedule, and the exhaustive search."""

import collections
import time

import absl.flags as flags

import basaltport.model.exhaustive as exhaustive
import basaltport.model.random_search as random_search
import basaltport.model.run as run
import basaltport.model.schedule as schedule
import basaltport.command_line.command as command

HELP = "Controllers, proxies and operators under random faults in virtual time, every step checked."


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("seeds", 100, "How many seeds to run.", flag_values=values)
    flags.DEFINE_integer("first", 1, "The first seed.", flag_values=values)
    flags.DEFINE_integer("members", 3, "Members that vote: 3 or 5.", flag_values=values)
    flags.DEFINE_integer("steps", 20, "Actions of a schedule.", flag_values=values)
    flags.DEFINE_integer("depth", 0, "Search every schedule of so many actions instead.", flag_values=values)
    flags.DEFINE_string("replay", "", "A schedule as a failing seed prints it.", flag_values=values)


def _report(outcome: run.Outcome) -> None:
    plan = outcome.schedule
    print(f"seed {plan.seed}: {outcome.broken}")
    small = random_search.shrink(plan)
    print(f"  {len(plan.actions)} actions, shrunk to {len(small.actions)}:")
    print(f"  basaltport model-check --replay='{schedule.dump(small)}'", flush=True)


def _search(values: flags.FlagValues) -> int:
    start = time.monotonic()
    counts: collections.Counter[str] = collections.Counter()
    done: collections.Counter[str] = collections.Counter()
    failed, virtual, gap = [], 0, 0
    for seed in range(values.first, values.first + values.seeds):
        outcome = run.play(random_search.draw(seed, values.members, values.steps))
        counts += outcome.counts
        done.update(outcome.done)
        virtual += outcome.virtual_ms
        gap = max(gap, outcome.worst_gap)
        if outcome.broken:
            failed.append(outcome.schedule.seed)
            _report(outcome)
    print(f"seeds {values.first} to {values.first + values.seeds - 1}, {values.members} members,", end=" ")
    print(f"{values.steps} actions each: {len(failed)} failed {failed}")
    print("faults:", ", ".join(f"{k} {n}" for k, n in sorted(done.items())))
    print("checked:", ", ".join(f"{k} {n}" for k, n in sorted(counts.items())))
    print(f"longest without a leader where it is to be borne: {gap} ms")
    print(f"{virtual / 3_600_000:.2f} h of virtual time in {time.monotonic() - start:.0f} s")
    return 1 if failed else 0


def _replay(text: str) -> int:
    outcome = run.play(schedule.load(text))
    print(outcome.broken or "every check held")
    return 1 if outcome.broken else 0


def _exhaust(values: flags.FlagValues) -> int:
    found = exhaustive.search(values.members, values.depth)
    print(found.text())
    return 1 if found.broken else 0


def _model(values: flags.FlagValues, args: list[str]) -> int:
    if values.replay:
        return _replay(values.replay)
    if values.depth:
        return _exhaust(values)
    return _search(values)


COMMANDS = {"model-check": command.Command(HELP, _model, _define)}
