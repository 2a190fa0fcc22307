"""Tools for rehearsals: the stand-ins and the fleet runner."""

import asyncio
import json
import signal
import sys
import time

import absl.flags as flags

import basaltport.command_line.command as command
import basaltport.simulation.query_api.drills.fleet as fleet
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.stage as stage
import basaltport.simulation.query_api.standins.standin as standin


def define_standins(flag_values: flags.FlagValues) -> None:
    """The flags of `standins`."""
    flags.DEFINE_string(
        "conf", None, "The stand-ins' file, as the fleet runner writes it.", flag_values=flag_values
    )


def run_standins(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: serves the stand-ins of a file until it is stopped."""
    try:
        with open(flag_values.conf or "") as file:
            conf = json.load(file)
    except (OSError, ValueError) as e:
        print(f"--conf: {e}", file=sys.stderr)
        return 2
    asyncio.run(standin.Standins(conf).run())
    return 0


def define_fleet(flag_values: flags.FlagValues) -> None:
    """The flags of `fleet`."""
    flags.DEFINE_enum("preset", "thin", sorted(presets.PRESETS), "The fleet's size.", flag_values=flag_values)
    flags.DEFINE_string("dir", "run", "Folder for settings, logs and data.", flag_values=flag_values)
    flags.DEFINE_integer(
        "seconds", 600, "Stop after this long.", lower_bound=1, upper_bound=3600, flag_values=flag_values
    )
    flags.DEFINE_integer("seed", 1, "Seed of the stand-ins.", flag_values=flag_values)


def run_fleet(flag_values: flags.FlagValues, args: list[str]) -> int:
    """The command: runs a fleet for a while, or until it is stopped."""
    running = fleet.Fleet(flag_values.preset, flag_values.dir, flag_values.seed)
    stop = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.append(1))
    running.start()
    print(f"nodes: {','.join(running.nodes)}", flush=True)
    configuration = f"{stage.EXAMPLES}/{running.preset.configuration}"
    print(
        f"stand-ins: {running.admin}; manifest: {configuration}; all in {running.folder}",
        flush=True,
    )
    end = time.monotonic() + flag_values.seconds
    try:
        while time.monotonic() < end and not stop:
            time.sleep(0.2)
    finally:
        running.stop()
    return 0


COMMANDS = {
    "query-fleet run": command.Command(
        "Run a whole fleet with stand-ins on this machine.", run_fleet, define_fleet
    ),
    "query-fleet stand-ins": command.Command("Run the stand-ins alone.", run_standins, define_standins),
}
