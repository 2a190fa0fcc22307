"""The roles."""

import asyncio
import sys

import absl.flags as flags

import basaltport.host as host
import basaltport.logs as logs
import basaltport.settings as settings
import basaltport.verbs as verbs

OVER = ("name", "zone", "addr", "http", "data", "log")


def define(fv):
    flags.DEFINE_string("settings", None, "The settings file (JSON).", flag_values=fv)
    for k in OVER:
        flags.DEFINE_string(k, None, f"Instead of `{k}` in the settings.", flag_values=fv)


def role(name):
    def run(fv, args):
        if not fv.settings:
            print("--settings is needed", file=sys.stderr)
            return 2
        got = settings.load(fv.settings, {k: fv[k].value for k in OVER}, name)
        if got.is_err():
            for f in got.err_value:
                print(f"{f['place']}: {f['finding']}", file=sys.stderr)
            return 2
        logs.open_log(got.ok_value.get("log"))
        h = host.Host(name, got.ok_value)
        why = h.open()
        if why:
            print(f"data folder: {why}", file=sys.stderr)
            return 1
        try:
            asyncio.run(h.run())
        except OSError as e:
            print(f"{name}: {e}", file=sys.stderr)
            return 1
        return 0

    return run


VERBS = {
    "rostrum": verbs.Verb("A data node: takes queries in and dispatches them.", role("rostrum"), define),
    "ledger": verbs.Verb("A disk machine: keeps and agrees the manifest.", role("ledger"), define),
}
