"""`python -m tests.soak --seeds 20 --first 1 --seconds 30 --jobs 4`: a line for each seed; exit code 1 on any
violation. The folder with the logs of a seed is kept, and printed, where something was violated."""

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile

import tests.soak.fleet as fleet
import tests.soak.plan as plan
import tests.soak.rig as rig

MOST_JOBS = 6
"""Each takes four processes and one for each proxy."""
LONGEST_S = 600.0


async def run_seed(seed: int, options: argparse.Namespace, jobs: asyncio.Semaphore) -> int:
    """Run a seed when its turn comes, and print its line; the number of violations."""
    async with jobs:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        sizes = options.proxies, options.limits
        verdict = await rig.Rig(seed, options.seconds, options.tree.resolve(), folder, *sizes).run()
    lines = [verdict.line(), *(f"  {violation}" for violation in verdict.violations)]
    if verdict.violations or options.keep:
        lines.append(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    print("\n".join(lines), flush=True)
    return len(verdict.violations)


async def run(options: argparse.Namespace) -> int:
    """Run all seeds; the number of violations."""
    jobs = asyncio.Semaphore(min(options.jobs, MOST_JOBS))
    seeds = range(options.first, options.first + options.seeds)
    return sum(await asyncio.gather(*(run_seed(seed, options, jobs) for seed in seeds)))


def main() -> int:
    """The exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", type=int, default=20, help="how many seeds")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=30, help="how long each seed has troubles")
    parser.add_argument("--jobs", type=int, default=4, help=f"how many run at once, {MOST_JOBS} at most")
    parser.add_argument("--proxies", type=int, default=plan.PROXIES, help="how many proxies each has")
    parser.add_argument("--limits", action="store_true", help="some tenants have a limit")
    parser.add_argument("--tree", type=pathlib.Path, default=fleet.ROOT, help="the code to run")
    parser.add_argument("--keep", action="store_true", help="keep the logs of all seeds")
    options = parser.parse_args()
    options.seconds = min(options.seconds, LONGEST_S)
    return 1 if asyncio.run(run(options)) else 0


if __name__ == "__main__":
    sys.exit(main())
