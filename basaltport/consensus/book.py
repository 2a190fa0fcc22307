"""The agreed state and the entries that change it. `apply` is pure: it gives back a new book."""

import hashlib
import json

import basaltport.hash_ring as hash_ring
import basaltport.configuration.patch as patch
import basaltport.configuration.routes as routes
import basaltport.identifiers as identifiers
import basaltport.range_digests as ranges

KEEP = 200
COPIES = 5


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
        "keepers": {},
    }


def entry(serial, gen, op):
    return {"s": int(serial), "g": [gen.count, gen.name], "op": op}


def contiguous(entries, after):
    """Whether the entries' serials follow one another from the one behind `after` on."""
    return all(e["s"] == after + i for i, e in enumerate(entries, 1))


def gen_of(e):
    return identifiers.Term(e["g"][0], e["g"][1])


def serial(b):
    return identifiers.LogIndex(b["serial"])


def gen(b):
    return identifiers.Term(b["gen"][0], b["gen"][1])


def digest(b):
    """Of the whole book; the manifest, which may be large, is read once for each serial of its own."""
    rest = {k: v for k, v in b.items() if k != "manifest"}
    return hashlib.sha256((_manifest_digest(b) + json.dumps(rest, sort_keys=True)).encode()).hexdigest()[:16]


_digest = [None, ""]


def _manifest_digest(b):
    if _digest[0] is not b["manifest"]:
        text = json.dumps(b["manifest"], sort_keys=True)
        _digest[:] = [b["manifest"], hashlib.sha256(text.encode()).hexdigest()]
    return _digest[1]


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
    while len(c) > b.get("keep", KEEP):
        del c[next(iter(c))]
    b["changes"] = c
    b["history"] = (b["history"] + [{"serial": s, "op": op["op"], "change": op["change"]}])[-KEEP:]


def _lead(b, op, s):
    _roster(b, op, s)
    if op.get("ledgers") and "voters" not in b:
        b["ledgers"] = list(op["ledgers"])


def _found(b, op, s):
    """With `voters`, ledgers alone are in the roster and vote; with `keep`, that many changes are kept."""
    b.update({k: op[k] for k in ("voters", "keep") if k in op})
    b["roster"] = dict(op["roster"])
    b["ledgers"] = list(op["ledgers"])
    _keepers(b, s)


def _roster(b, op, s):
    r = dict(b["roster"])
    ls = list(b["ledgers"])
    for old, row in op.get("swap", []):
        r.pop(old, None)
        r[row["seat"]] = row
        ls = [row["seat"] if x == old else x for x in ls]
    if op.get("add"):
        r[op["add"]["seat"]] = op["add"]
    for x in op.get("drops", []):
        r.pop(x, None)
        ls = [y for y in ls if y != x]
    b["roster"], b["ledgers"] = r, sorted(r) if "voters" in b else ls
    _keepers(b, s)


def fewer(new, old):
    """Whether most of the new are fewer than most of the old were."""
    return len(new) // 2 < len(old) // 2


def _keepers(b, s):
    """Five rostrums keep each range of keys; each has with it the entry it joined by, and who kept it
    before. Where fewer of them would be most than before, those that stay join anew as well."""
    if "voters" in b:
        return
    names = {r["name"]: x for x, r in b["roster"].items() if r["role"] == "rostrum"}
    old, out = b.get("keepers", {}), {}
    for i in map(str, range(ranges.RANGES)):
        was = old.get(i, {"at": 0, "seats": {}})
        seats = was["seats"]
        top = {names[n] for n in hash_ring.successors(f"keys/{i}", names, COPIES)}
        if not top or top == seats.keys():
            out[i] = was
            continue
        prior = {x: v[0] for x, v in seats.items()}
        anew = fewer(top, seats)
        out[i] = {"at": s, "seats": {x: not anew and seats.get(x) or [s, prior] for x in sorted(top)}}
    b["keepers"] = out


def _joint(b, op, s):
    """A member takes another's place: until `final`, a majority of the former roster and one of the next
    are needed for whatever is decided."""
    b["former"] = dict(b["roster"])
    r = {k: v for k, v in b["roster"].items() if k not in op["drops"]}
    r.update({row["seat"]: row for row in op["adds"]})
    b["roster"], b["ledgers"] = r, sorted(r)


def _final(b, op, s):
    """The former roster counts no more."""
    b.pop("former", None)


def _ledgers(b, op, s):
    b["ledgers"] = list(op["ledgers"])


def _manifest(b, op, s):
    b["manifest"], b["mserial"] = op["manifest"], s


def _patch(b, op, s):
    b["manifest"], b["mserial"] = patch.merge(b["manifest"], op["patch"]), s


def _alter(b, op, s):
    """Named items of a routing configuration are put or removed."""
    b["manifest"], b["mserial"] = routes.patch(b["manifest"], op["patch"]), s


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


def _owned(k, owner, s, fresh, old):
    return {"owner": owner, "fence": s, "first": fresh or k not in old, "new": k not in old}


def _duty(b, op, s):
    """Fresh: every rostrum is another than those of the owners before, so nothing of theirs is out."""
    old, fresh = b["duties"], op.get("fresh", False)
    b["duties"] = {
        **old,
        **{k: _owned(k, o, s, fresh, old) for k, o in op["owners"].items()},
    }


def _slices(b, op, s):
    """`give`: {slice: seat or None}, under this serial as fence; `ripe`: slices whose owner has waited.
    `was`: the seat that may have ordered last."""
    rows = dict(b.get("slices") or {})
    for i, o in op.get("give", {}).items():
        r = rows.get(i)
        rows[i] = {"owner": o, "fence": s, "was": (r["owner"] or r["was"]) if r else o}
    for i in op.get("ripe", ()):
        rows[i] = {**rows[i], "was": rows[i]["owner"]}
    b["slices"] = rows


_OPS = {
    "lead": _lead,
    "found": _found,
    "roster": _roster,
    "joint": _joint,
    "final": _final,
    "ledgers": _ledgers,
    "manifest": _manifest,
    "patch": _patch,
    "alter": _alter,
    "drain": _drain,
    "undrain": _undrain,
    "leaving": _leaving,
    "platform": _platform,
    "duty": _duty,
    "slices": _slices,
}
