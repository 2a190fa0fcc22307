"""The agreed state and the entries that change it. `apply` is pure: it gives back a new book."""

import hashlib
import json

import basaltport.docket.patch as patch
import basaltport.kinds as kinds

KEEP = 200


def new():
    return {
        "serial": 0,
        "gen": [0, ""],
        "mserial": 0,
        "manifest": None,
        "changes": {},
        "roster": {},
        "ledgers": [],
        "drains": {},
        "leaving": {},
        "platform": {},
        "duties": {},
        "history": [],
    }


def entry(serial, gen, op):
    return {"s": int(serial), "g": [gen.count, gen.name], "op": op}


def gen_of(e):
    return kinds.Generation(e["g"][0], e["g"][1])


def serial(b):
    return kinds.Serial(b["serial"])


def gen(b):
    return kinds.Generation(b["gen"][0], b["gen"][1])


def digest(b):
    return hashlib.sha256(json.dumps(b, sort_keys=True).encode()).hexdigest()[:16]


def apply(b, e):
    b = dict(b)
    b["serial"] = e["s"]
    b["gen"] = e["g"]
    op = e["op"]
    _OPS[op["op"]](b, op, e["s"])
    if "change" in op:
        _remember(b, op, e["s"])
    return b


def _remember(b, op, s):
    c = dict(b["changes"])
    c[op["change"]] = s
    while len(c) > KEEP:
        del c[next(iter(c))]
    b["changes"] = c
    b["history"] = (b["history"] + [{"serial": s, "op": op["op"], "change": op["change"]}])[-KEEP:]


def _lead(b, op, s):
    _roster(b, op, s)
    if op.get("ledgers"):
        b["ledgers"] = list(op["ledgers"])


def _found(b, op, s):
    b["roster"] = dict(op["roster"])
    b["ledgers"] = list(op["ledgers"])


def _roster(b, op, s):
    r = dict(b["roster"])
    ls = list(b["ledgers"])
    for old, row in op.get("swap", []):
        r.pop(old, None)
        r[row["seat"]] = row
        ls = [row["seat"] if x == old else x for x in ls]
    if op.get("add"):
        r[op["add"]["seat"]] = op["add"]
    for s in op.get("drops", []):
        r.pop(s, None)
        ls = [x for x in ls if x != s]
    b["roster"], b["ledgers"] = r, ls


def _ledgers(b, op, s):
    b["ledgers"] = list(op["ledgers"])


def _manifest(b, op, s):
    b["manifest"], b["mserial"] = op["manifest"], s


def _patch(b, op, s):
    b["manifest"], b["mserial"] = patch.merge(b["manifest"], op["patch"]), s


def _drain(b, op, s):
    d = dict(b["drains"])
    d[op["zone"]] = s
    b["drains"] = d


def _undrain(b, op, s):
    d = dict(b["drains"])
    d.pop(op["zone"], None)
    b["drains"] = d


def _leaving(b, op, s):
    b["leaving"] = {**b["leaving"], op["replica"]: s}


def _platform(b, op, s):
    b["platform"] = op["replicas"]
    b["leaving"] = {k: v for k, v in b["leaving"].items() if k in op["replicas"]}


def _duty(b, op, s):
    old = b["duties"]
    b["duties"] = {
        **old,
        **{k: {"owner": o, "fence": s, "first": k not in old} for k, o in op["owners"].items()},
    }


_OPS = {
    "lead": _lead,
    "found": _found,
    "roster": _roster,
    "ledgers": _ledgers,
    "manifest": _manifest,
    "patch": _patch,
    "drain": _drain,
    "undrain": _undrain,
    "leaving": _leaving,
    "platform": _platform,
    "duty": _duty,
}
