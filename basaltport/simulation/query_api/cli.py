"""Tools for rehearsals: the stand-ins and the fleet runner."""

import asyncio
import json
import signal
import sys
import time

import absl.flags as flags

import basaltport.simulation.query_api.drills.fleet as fleet
import basaltport.simulation.query_api.world.presets as presets
import basaltport.simulation.query_api.world.stage as stage
import basaltport.simulation.query_api.standins.standin as standin
import basaltport.command_line.command as command


def define_standins(fv):
    flags.DEFINE_string("conf", None, "The stand-ins' file, as the fleet runner writes it.", flag_values=fv)


def run_standins(fv, args):
    try:
        with open(fv.conf or "") as f:
            conf = json.load(f)
    except (OSError, ValueError) as e:
        print(f"--conf: {e}", file=sys.stderr)
        return 2
    asyncio.run(standin.Standins(conf).run())
    return 0


def define_fleet(fv):
    flags.DEFINE_enum("preset", "thin", sorted(presets.PRESETS), "The fleet's size.", flag_values=fv)
    flags.DEFINE_string("dir", "run", "Folder for settings, logs and data.", flag_values=fv)
    flags.DEFINE_integer(
        "seconds", 600, "Stop after this long.", lower_bound=1, upper_bound=3600, flag_values=fv
    )
    flags.DEFINE_integer("seed", 1, "Seed of the stand-ins.", flag_values=fv)


def run_fleet(fv, args):
    f = fleet.Fleet(fv.preset, fv.dir, fv.seed)
    stop = []
    for sig in (signal.SIGTERM, signal.SIGINT):
        signal.signal(sig, lambda *_: stop.append(1))
    f.start()
    print(f"nodes: {','.join(f.nodes)}", flush=True)
    print(
        f"stand-ins: {f.admin}; manifest: {stage.EXAMPLES}/{f.p['manifest']}; all in {f.folder}", flush=True
    )
    end = time.monotonic() + fv.seconds
    try:
        while time.monotonic() < end and not stop:
            time.sleep(0.2)
    finally:
        f.stop()
    return 0


COMMANDS = {
    "query-fleet run": command.Command(
        "Run a whole fleet with stand-ins on this machine.", run_fleet, define_fleet
    ),
    "query-fleet stand-ins": command.Command("Run the stand-ins alone.", run_standins, define_standins),
}
