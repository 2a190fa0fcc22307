"""`basaltport paddle`: offer a demand to a house and hold its answers against the replicas' record."""

import asyncio
import json
import os
import sys

import absl.flags as flags
import aiohttp

import basaltport.admin.cli as clerk
import basaltport.load_generator.plan as plan
import basaltport.load_generator.shoot as shoot
import basaltport.load_generator.verdict as verdict
import basaltport.simulation.world.stage as stage
import basaltport.verbs as verbs

PRESETS = ["furrow", "thin", "tsehay"]


def define(fv):
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


async def get(url):
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20)) as s:
        async with s.get(url) as r:
            return await r.json(content_type=None)


def run(fv, args):
    path = stage.EXAMPLES / f"{fv.preset}-demand.json" if fv.preset else fv.demand or ""
    doc, bad = clerk.read_doc(path)
    if bad:
        print(f"--demand {bad}", file=sys.stderr)
        return 2
    got = plan.demand(doc)
    if got.is_err():
        for f in got.err_value:
            print(f"{f['place']}: {f['finding']}", file=sys.stderr)
        return 2
    d = got.ok_value
    nodes, record = fv.node, fv.record
    if fv.fleet:
        about, bad = clerk.read_doc(fv.fleet)
        if bad:
            print(f"--fleet {bad}", file=sys.stderr)
            return 2
        nodes, record = about["nodes"], about["admin"]
    for v in d["lines"].values():
        v["rate"] *= fv.scale
    shots = plan.schedule(d, fv.seconds, fv.seed)
    sh = shoot.Shooter(nodes, d, shots, f"p{fv.seed}-{os.urandom(3).hex()}", fv.lapse)
    return finish(fv, asyncio.run(sh.run()), nodes, record)


def finish(fv, shots, nodes, record):
    try:
        m = asyncio.run(get(f"http://{nodes[0]}/v1/ops/show"))["manifest"]
        rec = asyncio.run(get(f"http://{record}/record")) if record else None
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as e:
        print(f"the manifest or the record could not be read: {type(e).__name__}: {e}", file=sys.stderr)
        return 4
    once = {k for k, v in m["lines"].items() if v["once_only"]}
    out = verdict.report(shots, rec, fv.seconds)
    out["findings"] = verdict.findings(shots, once, rec) if rec else None
    if fv.json:
        print(json.dumps(out, sort_keys=True))
    else:
        human(out)
    if rec is None:
        print("no record of runs was given: only counts, no verdict", file=sys.stderr)
        return 0
    return 1 if out["findings"] else 0


def human(out):
    rows = []
    for k, v in out["lines"].items():
        counts = " ".join(f"{c}={n}" for c, n in sorted(v["counts"].items()))
        rows.append({"line": k, **v, "counts": counts})
    clerk.table(rows, ["line", "sent", "goodput_per_s", "p50_ms", "p90_ms", "p99_ms", "counts"])
    print(f"shots left late by p99 {out['send_late_p99_ms']} ms; store {out.get('store')}")
    for f in out["findings"] or []:
        print(f"BROKEN {f['rule']} at {f['place']}: {f['finding']}")
    if out["findings"] is not None:
        print(f"{len(out['findings'])} broken rules")


VERBS = {"paddle": verbs.Verb("Offer load and check every answer against the record of runs.", run, define)}
