"""The roles of the JSON API, as commands: `rostrum` runs a query node, `ledger` a log node."""

import asyncio
import sys

import absl.flags as flags
import result

import basaltport.command_line.command as command
import basaltport.command_line.exit_codes as exit_codes
import basaltport.command_line.output as output
import basaltport.host as host
import basaltport.logs as logs
import basaltport.settings as settings

OVERRIDES = ("name", "zone", "addr", "http", "data", "log")
"""Settings that a flag may give instead."""


def define(values: flags.FlagValues) -> None:
    """Flags of a role."""
    flags.DEFINE_string("settings", None, "The settings file (JSON).", flag_values=values)
    for key in OVERRIDES:
        flags.DEFINE_string(key, None, f"Instead of `{key}` in the settings.", flag_values=values)


def role(name: str) -> command.Run:
    """What runs a role."""

    def run(values: flags.FlagValues, arguments: list[str]) -> int:
        if not values.settings:
            return output.bad_input("--settings is needed")
        overrides = {key: values[key].value for key in OVERRIDES}
        loaded = settings.load(values.settings, overrides, name)
        if isinstance(loaded, result.Err):
            return output.bad_input(*(f"{row['place']}: {row['finding']}" for row in loaded.err_value))
        logs.open_log(loaded.ok_value.get("log"))
        return serve(name, loaded.ok_value)

    return run


def serve(name: str, values: settings.Settings) -> int:
    """Run a role until it is stopped; the exit code."""
    node = host.Host(name, values)
    fault = node.open()
    if fault:
        print(f"data folder: {fault}", file=sys.stderr)
        return exit_codes.REFUSED
    try:
        asyncio.run(node.run())
    except OSError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return exit_codes.REFUSED
    return exit_codes.DONE


COMMANDS = {
    "rostrum": command.Command(
        "Run a query node: takes requests and sends them to replicas.", role("rostrum"), define
    ),
    "ledger": command.Command(
        "Run a log node: keeps and agrees the manifest on its disk.", role("ledger"), define
    ),
}
