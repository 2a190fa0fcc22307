"""Operators' verbs of a fleet behind routes: keepers and proxies are asked over HTTP, files read offline."""

import asyncio
import importlib.util
import json
import re
import sys

import absl.flags as flags
import aiohttp

import basaltport.admin.cli as cli
import basaltport.configuration.routes as routes
import basaltport.http_client as http_client
import basaltport.command_line.command as verbs

ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}").fullmatch
FOLLOWED = 2
SECTIONS = ("routes", "services")
_BROKEN = (aiohttp.ClientError, TimeoutError, ValueError, OSError)


def define(fv):
    flags.DEFINE_list("node", [], "IP:PORT of any keepers, or of a proxy; tried in turn.", flag_values=fv)
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=fv)
    flags.DEFINE_float("lapse", 5.0, "Seconds to wait for one node's answer.", flag_values=fv)


def define_status(fv):
    define(fv)
    flags.DEFINE_bool("own", False, "What the node asked knows itself, not its leader.", flag_values=fv)


def define_explain(fv):
    define(fv)
    flags.DEFINE_string("host", None, "Host of the request.", flag_values=fv)
    flags.DEFINE_string("path", None, "Path of the request.", flag_values=fv)
    flags.DEFINE_string("item", "", "Model, or model/adapter.", flag_values=fv)
    flags.DEFINE_integer("deadline_ms", -1, "Ms for which the client waits; -1: not stated.", flag_values=fv)
    flags.DEFINE_integer("tokens", 0, "Tokens of the prompt.", flag_values=fv)


def define_config(fv):
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=fv)
    flags.DEFINE_string("words", None, "A platform's names.py, for files in its words.", flag_values=fv)


def told(findings):
    """2 after findings were printed, None where there are none."""
    for f in findings:
        print(f, file=sys.stderr)
    return 2 if findings else None


def nodes(fv, args):
    fs = [] if fv.node else ["--node: missing"]
    fs += [f"--node: {n!r} is not an address of the form IP:PORT" for n in fv.node if not ADDRESS(n)]
    fs += [f"{a!r}: takes no arguments" for a in args]
    return fs + (["--lapse: not a number over 0"] if fv.lapse <= 0 else [])


async def one(fv, node, page, query):
    t = aiohttp.ClientTimeout(total=fv.lapse)
    async with http_client.once_session(timeout=t) as s:
        url = f"http://{node}/basaltport/{page}"
        async with s.get(url, params=query, max_redirects=FOLLOWED) as r:
            return r.status, await r.json(content_type=None)


def ask(fv, page, query=None):
    """(status, document) of the first node that answers well, else the last answer, else (0, why)."""
    got, why = None, ""
    for n in fv.node:
        try:
            got = asyncio.run(one(fv, n, page, query))
        except _BROKEN as e:
            why = f"{n}: {e or type(e).__name__}"
            continue
        if got[0] < 500:
            return got
    return got or (0, {"error": f"nobody answered; {why}"})


def show(fv, got, human):
    """Exit code: 0 for an answer; 1 with one line of why there is none, after what was told with it."""
    status, doc = got
    if not isinstance(doc, dict):
        status, doc = 0, {"error": "not the answer of a node"}
    if fv.json:
        print(json.dumps(doc, sort_keys=True))
    elif status == 200 or status == 503 and "role" in doc:
        human(doc)
    if status == 200:
        return 0
    print(doc.get("error", f"status {status}"), file=sys.stderr)
    return 2 if status == 400 else 1


def reader(page, human):
    def run(fv, args):
        query = {"own": "1"} if page == "status" and fv.own else None
        return told(nodes(fv, args)) or show(fv, ask(fv, page, query), human)

    return run


def run_explain(fv, args):
    fs = nodes(fv, args)
    fs += [f"--{k}: missing" for k in ("host", "path") if not fv[k].value]
    if fv.path and fv.path[0] != "/":
        fs.append("--path: does not begin with a slash")
    keys = ("host", "path", "item", "deadline_ms", "tokens")
    return told(fs) or show(fv, ask(fv, "explain", {k: str(fv[k].value) for k in keys}), human_explain)


# tables


def pairs(d):
    if not isinstance(d, dict):
        return " ".join(map(str, d))
    return " ".join(f"{k}({','.join(v)})" if isinstance(v, list) else f"{k}:{v}" for k, v in d.items())


def section(title, rows, cols, **turn):
    """A table with its title; nothing where there are no rows. `turn`: functions of cells by column."""
    if not rows:
        return
    print(f"\n{title}:")
    cells = [{c: "-" if r.get(c) is None else turn.get(c, str)(r[c]) or "-" for c in cols} for r in rows]
    cli.table(cells, cols)


def human_status(d):
    (human_proxy if d["role"] == "proxy" else human_controller)(d)


def age(ms):
    return "never" if ms is None else f"{ms / 1000:.1f} s ago"


def human_controller(d):
    print(f"{d['name']}: leader {d['leader'] or 'none'}, generation {d['generation']}, serial {d['serial']}")
    print(f"configuration {d['edition'] or 'none yet'}; evacuated: {', '.join(d['evacuated']) or 'none'}")
    if d["leads"]:
        holds = f"holds fence {d['fence']}" if d["holds"] else "does not hold"
        print(f"{holds}; list of replicas read {age(d['list_age_ms'])}")
    section("unsettled", [{"reason": r} for r in d["unsettled"]], ["reason"])
    section(
        "controllers",
        d.get("controllers", d.get("keepers")),
        ["name", "zone", "addr", "http", "votes", "silent_ms"],
    )
    section("proxies", d["proxies"], ["name", "zone", "address", "silent_ms", "serial", "behind"])
    section("orders", d["orders"], ["replica", "goal", "for", "kind", "item", "state", "age_ms", "since_ms"])


def human_proxy(d):
    ready, led = "ready" if d["ready"] else "not ready", "led" if d["led"] else "not led"
    print(f"{d['name']}: {ready}, {led} by {d['leader_address'] or 'nobody'}")
    print(f"configuration {d['edition'] or 'none yet'}, serial {d['serial']}, rows {age(d['rows_age_ms'])}")
    print(f"{d['requests']} requests, {sum(d['runs'].values())} sent; {d['proxies']} proxies")
    section("waiting", d["queue"], ["service", "item", "waiting", "oldest_ms"])
    cols = "id service zone state running down_ms failures first_ms cold_ms lacks".split()
    section("replicas", d["replicas"], cols, lacks=pairs)
    section("ends", [{"outcome": k, "count": n} for k, n in d["tally"].items()], ["outcome", "count"])
    rows = [{"service": s, **r} for s, r in d["retries"].items()]
    section("further attempts", rows, ["service", "first", "further", "left"])


def human_placement(d):
    print(f"by {d['leader']}, fence {d['fence']}")
    cols = ["model", "copies", "rate_s", "due", "due_zones", "loading", "wanted_ms"]
    section("models", d["models"], cols, copies=pairs, due_zones=pairs, loading=pairs)
    section("wanted", d["wants"], ["item", "age_ms", "waiting", "zones"], zones=pairs)
    cols = ["replica", "goal", "for", "kind", "item", "state", "age_ms", "since_ms"]
    section("loads under way", d["loads"], cols)
    rows = [{**r, "mb": f"{r['used_mb']}/{r['room_mb']}"} for r in d["replicas"]]
    cols = ["id", "service", "zone", "state", "mb", "running", "slots", "known", "models"]
    section("replicas", rows, cols, models=pairs)


def human_explain(d):
    r = d["route"]
    if r is None:
        print(f"{d['outcome']} ({d['status']}) for {d['host']}{d['path']}")
        return
    print(f"route {r['name']}: {r['kind']}, {r['attempts']} attempts, {r['deadline_ms']} ms")
    for o in d["outcomes"]:
        line = f"service {o['service']} ({o['part']:.0%}): {o['outcome']}"
        if o["outcome"] == "sent":
            line += f" to {o['replica']} at {o['address']}"
        if o["outcome"] == "waits":
            line += f", {o['why']}; at most {o['at_most_ms']} ms, {o['ahead']} ahead"
        if o["outcome"] == "refused":
            line += f" ({o['status']}), {o['why']}; again after {o['retry_after_ms']} ms"
        print(line)
        section("candidates", o["candidates"], ["replica", "zone", "verdict", "score"])


# configurations in files


def words_of(path):
    """The module of a platform's words."""
    spec = importlib.util.spec_from_file_location("words", path)
    m = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(m)
    return m


def run_config(fv, args):
    wanted = {"check": 1, "diff": 2}
    if not args or args[0] not in wanted:
        return told(["needs check FILE, or diff FILE FILE"])
    if len(args) - 1 != wanted[args[0]]:
        return told([f"{args[0]}: needs {wanted[args[0]]} file{'s' * (args[0] == 'diff')}"])
    try:
        words = words_of(fv.words) if fv.words else None
    except (OSError, SyntaxError, ImportError, AttributeError) as e:
        return told([f"--words: {fv.words}: {e}"])
    got = [cli.read_doc(p) for p in args[1:]]
    if told([bad for _, bad in got if bad]):
        return 2
    docs = [words.document(d) if words else d for d, _ in got]
    return {"check": run_check, "diff": run_diff}[args[0]](fv, words, docs)


def checked(words, doc):
    fs = routes.check(doc)
    return words.findings(fs, words.DOCUMENT) if words else fs


def run_check(fv, words, docs):
    fs = checked(words, docs[0])
    if fv.json:
        print(json.dumps({"findings": fs}))
        return 2 if fs else 0
    for f in fs:
        print(f"{f['place']}: {f['finding']}".removeprefix(": "))
    print(f"{len(fs)} findings" if fs else "no findings")
    return 2 if fs else 0


def run_diff(fv, words, docs):
    """Exit code 1 where the two differ."""
    if told([f"{n}: {f['place']}: {f['finding']}" for n, d in enumerate(docs, 1) for f in checked(words, d)]):
        return 2
    rows = differences(*docs)
    if fv.json:
        print(json.dumps({"changes": rows}))
        return 1 if rows else 0
    for r in rows:
        print(f"{r['change']:<8} {r['place']}" + (f": {r['was']!r} -> {r['is']!r}" if "was" in r else ""))
    print(f"{len(rows)} changes" if rows else "the same")
    return 1 if rows else 0


def differences(old, new, place=""):
    """[{"place", "change": added|removed|changed, "was", "is"}]; what has a name is known by it."""
    if isinstance(old, dict) and isinstance(new, dict):
        out = []
        for k in [*old, *(k for k in new if k not in old)]:
            at = f"{place}.{k}" if place else str(k)
            if k not in new or k not in old:
                out.append({"place": at, "change": "removed" if k in old else "added"})
            else:
                out += differences(old[k], new[k], at)
        return out
    a, b = named(old), named(new)
    if a is not None and b is not None:
        return differences(a, b, place)
    return [] if old == new else [{"place": place, "change": "changed", "was": old, "is": new}]


def named(items):
    """A list of objects with names, none twice, by name; None where it is not one."""
    if not isinstance(items, list):
        return None
    by = {v["name"]: v for v in items if isinstance(v, dict) and isinstance(v.get("name"), str)}
    return by if len(by) == len(items) else None


VERBS = {
    "fleet-status": verbs.Verb(
        "Tell how keepers or a proxy stand.", reader("status", human_status), define_status
    ),
    "fleet-placement": verbs.Verb(
        "List models, copies, wants, loads and replicas.", reader("placement", human_placement), define
    ),
    "fleet-explain": verbs.Verb(
        "Tell what a proxy would do with a request, and why.", run_explain, define_explain
    ),
    "fleet-config": verbs.Verb(
        "Check a configuration file, or compare two, offline.",
        run_config,
        define_config,
        "check FILE | diff FILE FILE",
    ),
}
