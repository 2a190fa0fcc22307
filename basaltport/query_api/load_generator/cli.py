"""`query-fleet load`: offer a demand to a cluster and hold its answers against the replicas' record."""

import asyncio
import json
import os
import pathlib
import sys
import typing

import absl.flags as flags
import aiohttp
import result

import basaltport.command_line.command as command
import basaltport.command_line.documents as documents
import basaltport.command_line.exit_codes as exit_codes
import basaltport.command_line.output as output
import basaltport.query_api.load_generator.plan as plan
import basaltport.query_api.load_generator.shoot as shoot
import basaltport.query_api.load_generator.verdict as verdict
import basaltport.simulation.query_api.world.stage as stage

PRESETS = ["furrow", "thin", "tsehay"]
TOTAL_S = 20

Json = dict[str, typing.Any]


def define(fv: flags.FlagValues) -> None:
    """Flags of the verb."""
    flags.DEFINE_list("node", ["127.0.0.1:7000"], "host:port of rostrums; shots go round.", flag_values=fv)
    flags.DEFINE_string("demand", None, "The demand document: lines, rates, items, bursts.", flag_values=fv)
    flags.DEFINE_enum("preset", None, PRESETS, "Instead of --demand: a deployment's own.", flag_values=fv)
    flags.DEFINE_string("fleet", None, "A fleet.json: its rostrums and stand-ins are used.", flag_values=fv)
    flags.DEFINE_string("record", None, "host:port of the stand-ins' record of runs.", flag_values=fv)
    flags.DEFINE_float("seconds", 20, "How long to send.", 0.1, 3600, flag_values=fv)
    flags.DEFINE_float("scale", 1, "All rates times this.", 0, 1000, flag_values=fv)
    flags.DEFINE_integer("seed", 1, "Seed of the schedule.", flag_values=fv)
    flags.DEFINE_integer("lapse", 60, "Seconds until a sender goes away.", flag_values=fv)
    flags.DEFINE_bool("json", False, "Print the report as JSON.", flag_values=fv)


async def get(url: str) -> Json:
    """The JSON at a URL."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TOTAL_S)) as s:
        async with s.get(url) as r:
            doc: Json = await r.json(content_type=None)
            return doc


def read(path: str | pathlib.Path, flag: str) -> result.Result[typing.Any, str]:
    """The document of a file that a flag names."""
    document = documents.read_document(str(path))
    if isinstance(document, result.Err):
        return result.Err(f"--{flag} {document.err_value}")
    return document


def demand(fv: flags.FlagValues) -> result.Result[plan.Demand, list[str]]:
    """The demand that the flags name, at the scale they ask for."""
    path = stage.EXAMPLES / f"{fv.preset}-demand.json" if fv.preset else fv.demand or ""
    doc = read(path, "demand")
    if isinstance(doc, result.Err):
        return result.Err([doc.err_value])
    got = plan.demand(doc.ok_value)
    if isinstance(got, result.Err):
        return result.Err([f"{f['place']}: {f['finding']}" for f in got.err_value])
    for line in got.ok_value["lines"].values():
        line["rate"] *= fv.scale
    return got


def run(fv: flags.FlagValues, args: list[str]) -> int:
    """Send the demand and judge the answers; the exit code."""
    wanted = demand(fv)
    if isinstance(wanted, result.Err):
        return output.bad_input(*wanted.err_value)
    nodes, record = fv.node, fv.record
    if fv.fleet:
        about = read(fv.fleet, "fleet")
        if isinstance(about, result.Err):
            return output.bad_input(about.err_value)
        nodes, record = about.ok_value["nodes"], about.ok_value["admin"]
    shots = plan.schedule(wanted.ok_value, fv.seconds, fv.seed)
    tag = f"p{fv.seed}-{os.urandom(3).hex()}"
    shooter = shoot.Shooter(nodes, wanted.ok_value, shots, tag, fv.lapse)
    return finish(fv, asyncio.run(shooter.run()), nodes, record)


def finish(fv: flags.FlagValues, shots: list[shoot.Shot], nodes: list[str], record: str | None) -> int:
    """Read the record of runs, print the report, and give the exit code."""
    try:
        m = asyncio.run(get(f"http://{nodes[0]}/v1/ops/show"))["manifest"]
        rec = asyncio.run(get(f"http://{record}/record")) if record else None
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as e:
        print(f"the manifest or the record could not be read: {type(e).__name__}: {e}", file=sys.stderr)
        return exit_codes.NOBODY_ANSWERED
    once = {k for k, v in m["lines"].items() if v["once_only"]}
    out = verdict.report(shots, rec, fv.seconds)
    out["findings"] = verdict.findings(shots, once, rec) if rec else None
    if fv.json:
        print(json.dumps(out, sort_keys=True))
    else:
        human(out)
    if rec is None:
        print("no record of runs was given: only counts, no verdict", file=sys.stderr)
        return exit_codes.DONE
    return exit_codes.REFUSED if out["findings"] else exit_codes.DONE


def human(out: dict[str, typing.Any]) -> None:
    """Print a report as tables."""
    rows = []
    for k, v in out["lines"].items():
        counts = " ".join(f"{c}={n}" for c, n in sorted(v["counts"].items()))
        rows.append({"line": k, **v, "counts": counts})
    output.table(rows, ["line", "sent", "goodput_per_s", "p50_ms", "p90_ms", "p99_ms", "counts"])
    print(f"shots left late by p99 {out['send_late_p99_ms']} ms; store {out.get('store')}")
    for f in out["findings"] or []:
        print(f"BROKEN {f['rule']} at {f['place']}: {f['finding']}")
    if out["findings"] is not None:
        print(f"{len(out['findings'])} broken rules")


COMMANDS = {
    "query-fleet load": command.Command(
        "Offer load and check every answer against the record of runs.", run, define
    )
}
