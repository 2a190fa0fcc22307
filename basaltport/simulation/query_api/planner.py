"""`basaltport plan`: what a manifest would place, and why not, by the steward's own code on virtual time."""

import json
import sys

import absl.flags as flags

import basaltport.command_line.documents as documents
import basaltport.command_line.output as output
import basaltport.configuration.check as check
import basaltport.query_api.events as events
import basaltport.identifiers as identifiers
import basaltport.simulation.query_api.world.world as world
import basaltport.command_line.command as command

SETTLE = 3000
BOUND = 60_000
NEWS = 600


class PlanWorld(world.World):
    """One ledger, one rostrum and the platform's own replicas, with loads that take no time worth naming."""

    def add_listed(self, platform, groups):
        for r, row in platform.items():
            self.preset["groups"][row["group"]] = groups.get(row["group"], {"room": 0, "slots": 1})
            self.add_replica(r, row["zone"], row["group"])


def preset(manifest):
    return {
        "house": "plan",
        "ledgers": 1,
        "rostrums": 1,
        "zones": 1,
        "groups": {},
        "load_ms_per_size": 1,
        "service_ms": {},
        "loads": manifest["store"]["loads"],
    }


def settle(w):
    """Until no load is under way and nothing was ordered for a while."""
    end = w.now + BOUND
    seen, at = -1, w.now
    while w.now < end and w.now - at < SETTLE:
        w.run(100)
        n = sum(1 for r in w.trace if r["k"] == "order")
        if n != seen:
            seen, at = n, w.now


def held(w):
    out = {}
    for r, s in w.replicas.items():
        for i in s.logic.held:
            out.setdefault(i, []).append(r)
    return out


def plan(manifest, platform):
    """Placement of what is kept loaded, then of each other item asked for in turn."""
    w = PlanWorld(1, preset(manifest))
    w.add_listed(platform, manifest["groups"])
    w.build()
    w.run_until(lambda: w.leader() is not None, BOUND)
    w.must("platform", {"replicas": w.platform_list()})
    w.must("apply", {"manifest": manifest})
    n = w.nodes["rostrum-1"]
    w.run_until(lambda: n.member.leased() and n.member.owned_zones, BOUND)
    settle(w)
    rules = n.member.rules
    kept = held(w)
    out = {"kept": {}, "asked": {}, "not_placed": {}, "evicted": {}}
    for i, r in sorted(rules.items.items()):
        if r.kept:
            out["kept"][i] = sorted(kept.get(i, []))
            want = min(r.copies, len(rules.zones))
            if len(kept.get(i, [])) < want:
                out["not_placed"][i] = f"{len(kept.get(i, []))} of {want} copies"
    for i, r in sorted(rules.items.items()):
        if r.kept:
            continue
        before = held(w)
        w.give(n, n.incarnation, events.PrewarmRequested(w.now, [identifiers.Item(i)]))
        said = {}

        def here(i=i, said=said):
            for d in n.member.owned_zones.values():
                said.update({k: v for k, v in d.rejected.items() if k == i})
            return i in held(w)

        w.run_until(here, 4000)
        w.run(NEWS)
        now = held(w)
        gone = sorted(j for j in before if j not in now)
        if gone:
            out["evicted"][i] = gone
        if i in now:
            out["asked"][i] = sorted(now[i])
        else:
            out["not_placed"][i] = said.get(i, "no answer in time")
    out["replicas"] = {
        r: {"room": s.logic.room, "used": s.logic.used(), "zone": s.row["zone"]}
        for r, s in w.replicas.items()
    }
    return out


def define(fv):
    flags.DEFINE_string("platform", None, "The list of replicas, as `platform` takes it.", flag_values=fv)
    flags.DEFINE_bool("json", False, "Print the plan as JSON.", flag_values=fv)


def run(fv, args):
    if output.lacks_arguments(args, 1, "a manifest file"):
        return 2
    docs = []
    for path in (args[0], fv.platform or ""):
        document = documents.read_document(path)
        if document.is_err():
            print(document.err_value, file=sys.stderr)
            return 2
        docs.append(document.ok_value)
    fs = []
    for got in (check.manifest(docs[0]), check.platform(docs[1])):
        fs += got.err_value if got.is_err() else []
    if not fs:
        for r, row in docs[1].items():
            if row["group"] not in docs[0]["groups"]:
                fs.append({"place": f"{r}.group", "finding": f"no group {row['group']!r} in the manifest"})
            if row["zone"] not in docs[0]["zones"]:
                fs.append({"place": f"{r}.zone", "finding": f"no zone {row['zone']!r} in the manifest"})
    for f in fs:
        print(f"{f['place']}: {f['finding']}", file=sys.stderr)
    if fs:
        return 2
    p = plan(*docs)
    if fv.json:
        print(json.dumps(p, sort_keys=True))
    else:
        human(p)
    return 1 if p["not_placed"] else 0


def human(p):
    rows = [{"item": i, "how": "kept", "on": " ".join(r)} for i, r in p["kept"].items()]
    rows += [{"item": i, "how": "on demand", "on": " ".join(r)} for i, r in p["asked"].items()]
    output.table(rows, ["item", "how", "on"])
    output.table(
        [{"replica": r, **v} for r, v in sorted(p["replicas"].items())], ["replica", "zone", "room", "used"]
    )
    for i, gone in p["evicted"].items():
        print(f"{i} takes the room of {', '.join(gone)}")
    for i, text in p["not_placed"].items():
        print(f"NOT PLACED {i}: {text}")


COMMANDS = {
    "manifest plan": command.Command(
        "Show offline what a manifest would place, and why not.", run, define, "MANIFEST"
    )
}
