"""The commands `local-fleet` and `local-fleet-process`."""

import os
import signal
import sys
import time

import absl.flags as flags

import basaltport.local_fleet.process as process
import basaltport.local_fleet.runner as runner
import basaltport.command_line.command as command

POLL_S = 0.2
LONGEST_S = 3600
FAILED = 1
BAD_INPUT = 2


def define(values: flags.FlagValues) -> None:
    """Flags of `local-fleet`."""
    flags.DEFINE_string("dir", "run", "New folder for settings, logs and data.", flag_values=values)
    flags.DEFINE_integer("seconds", 600, "Stop after this long.", 1, LONGEST_S, flag_values=values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Start the fleet, print its addresses, and stop it in the end; the exit code."""
    if os.path.isdir(values.dir) and os.listdir(values.dir):
        print(
            f"--dir: {values.dir} is not empty; controllers would go on from what it holds", file=sys.stderr
        )
        return BAD_INPUT
    stops: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, frame: stops.append(received))
    local = runner.LocalFleet(values.dir, values.seconds)
    end = time.monotonic() + values.seconds
    local.start()
    try:
        if not local.wait_until_up(lambda: bool(stops)):
            print(f"the fleet did not come up; see the .out files in {local.folder}", file=sys.stderr)
            return FAILED
        print(f"controllers: {','.join(local.controllers)}\nproxy: {local.proxy}", flush=True)
        print(f"for a shell: . {local.path('addresses')}", flush=True)
        while time.monotonic() < end and not stops:
            time.sleep(POLL_S)
    finally:
        local.stop()
    return 0


COMMANDS = {
    "local-fleet": command.Command(
        "Run controllers, a proxy and stand-in replicas on this machine.", run, define
    ),
    "local-fleet-process": command.Command("One process of a local fleet.", process.run, process.define),
}
