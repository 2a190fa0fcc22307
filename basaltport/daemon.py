"""Commands that run the processes of the JSON API: `rostrum` runs a query node, `ledger` a log node."""

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

OVERRIDABLE_SETTINGS = ("name", "zone", "addr", "http", "data", "log")
"""Settings that a flag can override."""


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of a role."""
    flags.DEFINE_string("settings", None, "The settings file (JSON).", flag_values=values)
    for key in OVERRIDABLE_SETTINGS:
        flags.DEFINE_string(key, None, f"Instead of `{key}` in the settings.", flag_values=values)


def role_runner(name: str) -> command.Run:
    """Returns the function that runs a role with its parsed flags."""

    def run(values: flags.FlagValues, arguments: list[str]) -> int:
        if not values.settings:
            return output.bad_input("--settings is needed")
        overrides = {key: values[key].value for key in OVERRIDABLE_SETTINGS}
        loaded = settings.load(values.settings, overrides, name)
        if isinstance(loaded, result.Err):
            return output.bad_input(*(f"{row['place']}: {row['finding']}" for row in loaded.err_value))
        logs.open_log(loaded.ok_value.get("log"))
        return serve(name, loaded.ok_value)

    return run


def serve(name: str, values: settings.Settings) -> int:
    """Run a role until it is stopped; returns the exit code."""
    node = host.Host(name, values)
    error_text = node.open()
    if error_text:
        print(f"data folder: {error_text}", file=sys.stderr)
        return exit_codes.REFUSED
    try:
        asyncio.run(node.run())
    except OSError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return exit_codes.REFUSED
    return exit_codes.DONE


COMMANDS = {
    "rostrum": command.Command(
        "Run a query node: takes requests and sends them to replicas.", role_runner("rostrum"), define_flags
    ),
    "ledger": command.Command(
        "Run a log node: keeps and agrees the manifest on its disk.", role_runner("ledger"), define_flags
    ),
}
