"""Implements the commands `local-fleet` and `local-fleet-process`."""

import os
import signal
import sys
import time

import absl.flags as flags

import basaltport.local_fleet.process as process
import basaltport.local_fleet.runner as runner
import basaltport.command_line.command as command

POLL_S = 0.2
MAX_RUNTIME_S = 3600
FAILED = 1
BAD_INPUT = 2


def define(values: flags.FlagValues) -> None:
    """Define the flags of `local-fleet`."""
    flags.DEFINE_string("dir", "run", "New folder for settings, logs and data.", flag_values=values)
    flags.DEFINE_integer("seconds", 600, "Stop after this long.", 1, MAX_RUNTIME_S, flag_values=values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Run the fleet until a signal or the time limit, print its addresses and return the exit code."""
    if os.path.isdir(values.dir) and os.listdir(values.dir):
        print(
            f"--dir: {values.dir} is not empty; controllers would go on from what it holds", file=sys.stderr
        )
        return BAD_INPUT
    received_signals: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, frame: received_signals.append(received))
    local_fleet = runner.LocalFleet(values.dir, values.seconds)
    end = time.monotonic() + values.seconds
    local_fleet.start()
    try:
        if not local_fleet.wait_until_up(lambda: bool(received_signals)):
            print(f"the fleet did not come up; see the .out files in {local_fleet.folder}", file=sys.stderr)
            return FAILED
        print(f"controllers: {','.join(local_fleet.controllers)}\nproxy: {local_fleet.proxy}", flush=True)
        print(f"for a shell: . {local_fleet.path('addresses')}", flush=True)
        while time.monotonic() < end and not received_signals:
            time.sleep(POLL_S)
    finally:
        local_fleet.stop()
    return 0


COMMANDS = {
    "local-fleet": command.Command(
        "Run controllers, a proxy and stand-in replicas on this machine.", run, define
    ),
    "local-fleet-process": command.Command("One process of a local fleet.", process.run, process.define),
}
