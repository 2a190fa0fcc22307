"""Operators' verbs. Each may be pointed at any node and gets the same answer."""

import asyncio
import hashlib
import json
import os
import sys

import absl.flags as flags
import aiohttp

import basaltport.http_client as http_client
import basaltport.configuration.check as check
import basaltport.configuration.read as read
import basaltport.command_line.command as verbs

EXIT = {200: 0, 404: 1, 409: 1, 422: 1, 400: 2, 401: 2, 405: 2, 503: 4, 504: 3}


def define(fv):
    flags.DEFINE_list("node", ["127.0.0.1:7000"], "host:port of any nodes, tried in turn.", flag_values=fv)
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=fv)
    flags.DEFINE_string("token_file", None, "File with the operator's bearer token.", flag_values=fv)
    flags.DEFINE_integer("lapse", 10, "Seconds to wait for one node's answer.", flag_values=fv)


def define_change(fv):
    define(fv)
    flags.DEFINE_string(
        "change", None, "A change id: the same id is never carried out twice.", flag_values=fv
    )
    flags.DEFINE_integer("if_serial", None, "Only if the manifest is at this serial.", flag_values=fv)


def heads(fv):
    if not fv.token_file:
        return {}
    with open(fv.token_file) as f:
        return {"Authorization": "Bearer " + f.read().strip()}


async def one(fv, node, method, path, body, query):
    t = aiohttp.ClientTimeout(total=fv.lapse)
    async with http_client.once_session(timeout=t, headers=heads(fv)) as s:
        async with s.request(method, f"http://{node}{path}", json=body, params=query) as r:
            return r.status, await r.json(content_type=None)


def ask(fv, method, path, body=None, query=None):
    """(status, answer) from the first node that answers; a change without id is not sent twice."""
    why = "no node given"
    for node in fv.node:
        try:
            got = asyncio.run(one(fv, node, method, path, body, query))
            if got[0] != 503 or node == fv.node[-1]:
                return got
            why = got[1].get("error", "")
        except aiohttp.ClientConnectorError as e:
            why = f"{node}: {e}"
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as e:
            why = f"{node}: {type(e).__name__}"
            if method == "POST" and "change" not in (body or {}):
                return 504, {"outcome": "unknown", "detail": why}
    return 503, {"error": "nobody-answered", "detail": why, "changed": False}


def show(fv, status, doc, human=None):
    if not fv.json and doc.get("findings"):
        print(f"{doc.get('outcome') or doc.get('error')}:")
        for f in doc["findings"]:
            print(f"  {f['place']}: {f['finding']}" if f["place"] else f"  {f['finding']}")
    elif fv.json or human is None or status != 200:
        print(json.dumps(doc, indent=None if fv.json else 2, sort_keys=True))
    else:
        human(doc)
    return EXIT.get(status, 1)


def read_doc(path):
    """(document, None) or (None, finding)."""
    try:
        if path == "-":
            text = sys.stdin.read()
        else:
            with open(path) as f:
                text = f.read()
    except (OSError, UnicodeDecodeError) as e:
        return None, f"{path}: {getattr(e, 'strerror', None) or 'not text'}"
    got = read.loads(text)
    if got.is_ok():
        return got.ok_value, None
    return None, "\n".join(
        f"{path}: {f['place']}: {f['finding']}".replace(": : ", ": ") for f in got.err_value
    )


def table(rows, cols):
    cells = [cols] + [[str(r.get(c, "")) for c in cols] for r in rows]
    wide = [max(len(r[i]) for r in cells) for i in range(len(cols))]
    for r in cells:
        print("  ".join(x.ljust(w) for x, w in zip(r, wide, strict=True)).rstrip())


def need(args, n, what):
    if len(args) == n:
        return False
    print(f"needs {what}", file=sys.stderr)
    return True


def run_check(fv, args):
    if need(args, 1, "a manifest file"):
        return 2
    doc, bad = read_doc(args[0])
    if bad:
        print(bad, file=sys.stderr)
        return 2
    got = check.manifest(doc)
    fs = got.err_value if got.is_err() else []
    if fv.json:
        print(json.dumps({"findings": fs}))
    else:
        for f in fs:
            print(f"{f['place']}: {f['finding']}")
        print("no findings" if not fs else f"{len(fs)} findings")
    return 2 if fs else 0


def change(fv, verb, body):
    body["change"] = fv.change or f"cli-{os.urandom(6).hex()}"
    if fv.if_serial is not None:
        body["if_serial"] = fv.if_serial
    status, doc = ask(fv, "POST", f"/v1/ops/{verb}", body)
    if status == 504:
        doc.setdefault("change", body["change"])

    def human(d):
        print(f"acknowledged at serial {d['serial']}, change {d['change']}")

    return show(fv, status, doc, human)


def run_file(verb, key):
    def run(fv, args):
        if need(args, 1, "a file, or - for standard input"):
            return 2
        doc, bad = read_doc(args[0])
        if bad:
            print(bad, file=sys.stderr)
            return 2
        return change(fv, verb, {key: doc})

    return run


def run_named(verb, key):
    def run(fv, args):
        if need(args, 1, f"a {key}"):
            return 2
        return change(fv, verb, {key: args[0]})

    return run


def run_read(verb, human=None, arg=None):
    def run(fv, args):
        if need(args, 1 if arg else 0, f"a {arg}" if arg else "no argument"):
            return 2
        status, doc = ask(fv, "GET", f"/v1/ops/{verb}", query={arg: args[0]} if arg else None)
        return show(fv, status, doc, human)

    return run


def run_self(fv, args):
    status, doc = ask(fv, "GET", "/v1/self")
    return show(fv, status, doc)


def run_stop(fv, args):
    status, doc = ask(fv, "POST", "/v1/stop", {"change": ""})
    return show(fv, status, doc, lambda d: print(f"{d['stopping']} stops"))


def run_override(fv, args):
    if not args:
        print("needs the names of the members given up for lost", file=sys.stderr)
        return 2
    status, doc = ask(fv, "POST", "/v1/override", {"lost": args, "change": ""})
    return show(fv, status, doc, lambda d: print(f"given up: {', '.join(d['given_up'])}"))


def run_prewarm(fv, args):
    status, doc = ask(fv, "POST", "/v1/prewarm", {"items": args, "change": ""})
    return show(fv, status, doc)


def run_watch(fv, args):
    """Prints each new line of the history until interrupted or --count changes were seen."""
    seen = -1

    async def wait():
        await asyncio.sleep(fv.every)

    left = fv.count
    while left != 0:
        status, doc = ask(fv, "GET", "/v1/ops/history")
        if status == 200:
            new = [h for h in doc["history"] if h["serial"] > seen]
            for h in new if seen >= 0 or fv.all else []:
                print(
                    json.dumps(h) if fv.json else f"{h['serial']:>8}  {h['op']:<10} {h['change']}", flush=True
                )
                left -= 1
            seen = max([seen] + [h["serial"] for h in new])
        asyncio.run(wait())
    return 0


def define_watch(fv):
    define(fv)
    flags.DEFINE_integer("count", -1, "Stop after this many changes.", flag_values=fv)
    flags.DEFINE_float("every", 1.0, "Seconds between reads.", flag_values=fv)
    flags.DEFINE_bool("all", False, "Begin with the history so far.", flag_values=fv)


def run_hash(fv, args):
    print("sha256:" + hashlib.sha256(sys.stdin.read().strip().encode()).hexdigest())
    return 0


def human_status(d):
    print(f"manifest at serial {d['manifest_serial']}, log at {d['serial']}, generation {d['generation'][0]}")
    print(f"leader {d['leader']}, {d['seats']} seats, {d['ledgers']} ledgers")
    print(f"emptied zones: {', '.join(d['drains']) or 'none'}; leaving: {', '.join(d['leaving']) or 'none'}")
    for k, v in sorted(d["duties"].items()):
        print(f"  duty {k:<12} {v}")


def human_members(d):
    table(d["members"], ["name", "role", "zone", "http", "live", "applied", "seat"])


def human_replicas(d):
    rows = [{**r, "holds": " ".join(sorted(r.get("held", {})))} for r in d["replicas"]]
    table(rows, ["replica", "zone", "group", "up", "draining", "leaving", "holds"])


def human_placement(d):
    rows = [
        {"item": i, "on": " ".join(f"{h['replica']}({h['state']})" for h in hs)}
        for i, hs in sorted(d["placement"].items())
    ]
    table(rows, ["item", "on"])


def human_history(d):
    table(d["history"], ["serial", "op", "change"])


VERBS = {
    "check": verbs.Verb(
        "Check a manifest offline; all findings with their places.", run_check, define, "FILE"
    ),
    "apply": verbs.Verb(
        "Put a whole manifest in force.", run_file("apply", "manifest"), define_change, "FILE"
    ),
    "patch": verbs.Verb(
        "Change the manifest by a merge patch.", run_file("patch", "patch"), define_change, "FILE"
    ),
    "show": verbs.Verb("Show the manifest and its serial.", run_read("show"), define),
    "history": verbs.Verb("List acknowledged changes.", run_read("history", human_history), define),
    "change": verbs.Verb("Ask what became of a change.", run_read("change", None, "change"), define, "ID"),
    "status": verbs.Verb("Tell how the house stands.", run_read("status", human_status), define),
    "members": verbs.Verb("List the members.", run_read("members", human_members), define),
    "replicas": verbs.Verb(
        "List the replicas and what they hold.", run_read("replicas", human_replicas), define
    ),
    "placement": verbs.Verb("List items and where they are.", run_read("placement", human_placement), define),
    "drain": verbs.Verb("Empty a zone.", run_named("drain", "zone"), define_change, "ZONE"),
    "undrain": verbs.Verb("Use a zone again.", run_named("undrain", "zone"), define_change, "ZONE"),
    "leaving": verbs.Verb(
        "Tell that a replica is leaving.", run_named("leaving", "replica"), define_change, "ID"
    ),
    "platform": verbs.Verb(
        "Send the list of replicas.", run_file("platform", "replicas"), define_change, "FILE"
    ),
    "prewarm": verbs.Verb("Order loads of items without waiting.", run_prewarm, define, "ITEM ..."),
    "self": verbs.Verb("Tell of the one node asked.", run_self, define),
    "stop": verbs.Verb("Stop the one node asked, gracefully.", run_stop, define),
    "override": verbs.Verb("Give members up for lost, at one ledger.", run_override, define, "NAME ..."),
    "watch": verbs.Verb("Print changes as they come.", run_watch, define_watch),
    "hash": verbs.Verb("Hash a bearer token from standard input.", run_hash),
}
