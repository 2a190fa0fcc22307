"""The roles of the older path, as verbs."""

import asyncio
import sys

import absl.flags as flags
import result

import basaltport.host as host
import basaltport.logs as logs
import basaltport.settings as settings
import basaltport.command_line.command as verbs

BAD_INPUT = 2
FAILED = 1
OVER = ("name", "zone", "addr", "http", "data", "log")


def define(fv: flags.FlagValues) -> None:
    """Flags of a role."""
    flags.DEFINE_string("settings", None, "The settings file (JSON).", flag_values=fv)
    for k in OVER:
        flags.DEFINE_string(k, None, f"Instead of `{k}` in the settings.", flag_values=fv)


def role(name: str) -> verbs.Run:
    """What runs a role."""

    def run(fv: flags.FlagValues, args: list[str]) -> int:
        if not fv.settings:
            print("--settings is needed", file=sys.stderr)
            return BAD_INPUT
        got = settings.load(fv.settings, {k: fv[k].value for k in OVER}, name)
        if isinstance(got, result.Err):
            for f in got.err_value:
                print(f"{f['place']}: {f['finding']}", file=sys.stderr)
            return BAD_INPUT
        logs.open_log(got.ok_value.get("log"))
        return serve(name, got.ok_value)

    return run


def serve(name: str, values: settings.Settings) -> int:
    """Run a role until it is stopped; the exit code."""
    served = host.Host(name, values)
    why = served.open()
    if why:
        print(f"data folder: {why}", file=sys.stderr)
        return FAILED
    try:
        asyncio.run(served.run())
    except OSError as e:
        print(f"{name}: {e}", file=sys.stderr)
        return FAILED
    return 0


VERBS = {
    "rostrum": verbs.Verb("A data node: takes queries in and dispatches them.", role("rostrum"), define),
    "ledger": verbs.Verb("A disk machine: keeps and agrees the manifest.", role("ledger"), define),
}
