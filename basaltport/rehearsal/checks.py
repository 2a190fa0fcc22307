"""What must never happen, checked over a trace. Each check gives findings with their place in it."""

import collections

LEAVING = 3000
EMPTIED = 5000
WINDOW = 10_000
OWN = (400, 401, 403, 404, 413, 422)
UNKNOWN = ("unknown-line", "unknown-token", "unknown-model", "not-in-line")


def _find(rule, row, text):
    return {"rule": rule, "t": row["t"], "finding": text}


def once_only(trace, about):
    once = {r["prompt"] for r in trace if r["k"] == "query" and r["once"]}
    seen, out = {}, []
    for r in trace:
        if r["k"] != "ran" or r["prompt"] not in once:
            continue
        if r["prompt"] in seen:
            out.append(_find("once-only", r, f"{r['prompt']} ran as {seen[r['prompt']]} and {r['dispatch']}"))
        seen[r["prompt"]] = r["dispatch"]
    return out


def _query_of(dispatch):
    return dispatch.rsplit(".", 1)[0]


def refusal(trace, about):
    """A refused query never ran; and had its key's first one run before, no refusal is true."""
    ran = {_query_of(r["dispatch"]) for r in trace if r["k"] == "ran"}
    before, out = set(), []
    for r in trace:
        if r["k"] == "ran":
            before.add(r["prompt"])
        if r["k"] == "end" and r["outcome"] == "refused" and r["code"] != "key-reused":
            if r["query"] in ran or r["prompt"] in before:
                out.append(_find("refusal", r, f"{r['query']} was refused ({r['code']}) and ran"))
    return out


def replies(trace, about):
    """Each query ends once, an answer is its own run's, and a stream is whole or ends abnormally."""
    ran, out = set(), []
    said, runs = collections.defaultdict(list), collections.defaultdict(set)
    for r in trace:
        if r["k"] == "ran":
            ran.add(r["prompt"])
        if r["k"] == "twice-closed":
            out.append(_find("reply", r, f"{r['query']} ended twice: {r['was']}, {r['now']}"))
        if r["k"] == "piece":
            out += _piece(r, said[r["query"]], runs[r["query"]])
        if r["k"] == "end" and r["outcome"] == "done":
            if r["prompt"] not in ran:
                out.append(_find("reply", r, f"{r['prompt']} was answered without a run"))
            if r.get("reply", r["prompt"]) != r["prompt"]:
                out.append(_find("reply", r, f"{r['prompt']} got the reply of {r['reply']}"))
            n = len(said[r["query"]])
            if r.get("pieces", 0) != n or n and n != about["pieces"]:
                out.append(
                    _find("stream", r, f"{r['query']} ended clean with {n} of {about['pieces']} pieces")
                )
    return out


def _piece(r, said, runs):
    said.append(r["n"])
    runs.add(r["run"])
    if said != list(range(len(said))):
        return [_find("stream", r, f"{r['query']} was told pieces {said}")]
    if len(runs) > 1:
        return [_find("stream", r, f"{r['query']} was told pieces of runs {sorted(runs)}")]
    if r["piece"] != f"{r['prompt']}.{r['n']}":
        return [_find("stream", r, f"{r['query']} was told {r['piece']} as its piece {r['n']}")]
    return []


def marks(trace, about):
    """Nothing to a leaving replica after 3 s, nor to an emptied zone after 5 s, from when it was learned."""
    gone, empty, out = {}, {}, []
    ok = {r["call"] for r in trace if r["k"] == "answer" and r["status"] == 200}
    for r in trace:
        if r["k"] == "ask" and r["call"] in ok:
            if r["verb"] == "leaving":
                gone.setdefault(r["replica"], r["t"])
            if r["verb"] == "drain":
                empty.setdefault(r["zone"], r["t"])
            if r["verb"] == "undrain":
                empty.pop(r["zone"], None)
        if r["k"] != "reach":
            continue
        if r["t"] > gone.get(r["replica"], r["t"]) + LEAVING:
            out.append(
                _find("leaving", r, f"{r['replica']} was reached {r['t'] - gone[r['replica']]} ms after")
            )
        if r["t"] > empty.get(r["zone"], r["t"]) + EMPTIED:
            out.append(_find("emptied", r, f"{r['zone']} was reached {r['t'] - empty[r['zone']]} ms after"))
    return out


def manifests(trace, about):
    """Acknowledged ones are kept and nothing older runs after; refused ones are never in force."""
    out, acked, refused = [], {}, set()
    verb = {r["call"]: r for r in trace if r["k"] == "ask"}
    top = 0
    node_at = collections.defaultdict(int)
    replica_at = collections.defaultdict(int)
    for r in trace:
        if r["k"] == "answer" and r["call"] in verb:
            a = verb[r["call"]]
            if r.get("outcome") == "acknowledged" and a["verb"] != "change":
                acked[r["change"]] = r["serial"]
                if a["verb"] in ("apply", "patch"):
                    top = max(top, r["serial"])
            if r.get("outcome") == "refused" and a.get("change"):
                refused.add(a["change"])
        if r["k"] == "note" and r["number"] == 42:
            if r["f_serial"] < node_at[r["seat"]]:
                out.append(_find("regress", r, f"{r['seat']} went back to serial {r['f_serial']}"))
            node_at[r["seat"]] = r["f_serial"]
        if r["k"] == "write" and r["serial"] < top:
            text = f"{r['dispatch']} went under {r['serial']}, {top} is acknowledged"
            out.append(_find("in-force", r, text))
        if r["k"] != "ran":
            continue
        if r["serial"] < replica_at[r["replica"]]:
            out.append(
                _find("regress", r, f"{r['replica']} saw {replica_at[r['replica']]}, ran {r['serial']}")
            )
        replica_at[r["replica"]] = r["serial"]
    for r in trace:
        if r["k"] == "stale-lease":
            text = f"{r['node']} is leased at {r['serial']}, {r['acked']} is acknowledged"
            out.append(_find("in-force", r, text))
        if r["k"] == "end" and r["code"] in UNKNOWN:
            out.append(_find("in-force", r, f"{r['prompt']} met a node without the manifest: {r['code']}"))
    final = about.get("final")
    if final is not None:
        for c, s in acked.items():
            if final.get(c) != s:
                text = f"{c} was acknowledged at {s}, the book has {final.get(c)}"
                out.append({"rule": "acknowledged", "t": -1, "finding": text})
        for c in refused & set(final):
            out.append({"rule": "refused", "t": -1, "finding": f"{c} was refused and is in the book"})
    return out


def slow_changes(trace, about):
    """Acknowledged within 2 s of the ask, where the scenario says that nothing was broken then."""
    asked = {r["call"]: r for r in trace if r["k"] == "ask"}
    out = []
    for r in trace:
        if r["k"] != "answer" or r.get("outcome") != "acknowledged":
            continue
        a = asked[r["call"]]
        quiet = not any(s <= a["t"] <= e for s, e in about.get("unquiet", []))
        if quiet and r["t"] - a["t"] > 2000:
            out.append(_find("in-force", r, f"{r['change']} took {r['t'] - a['t']} ms"))
    return out


def resends(trace, about):
    """In every window of ten seconds that ends at a resend: at most a fifth of first sends and more."""
    seen, first, again, out = set(), [], [], []
    for r in trace:
        if r["k"] != "write":
            continue
        (again if r["query"] in seen else first).append(r["t"])
        seen.add(r["query"])
        if not again or again[-1] != r["t"]:
            continue
        lo = r["t"] - WINDOW
        n, base = sum(1 for t in again if t > lo), sum(1 for t in first if t > lo)
        if n > base / 5 + about["allowance"]:
            out.append(_find("resend", r, f"{n} resends on {base} first sends in ten seconds"))
    return out


def flood(trace, about):
    out = []
    for r in trace:
        if r["k"] != "ran":
            continue
        g = about["groups"][r["group"]]
        limit = min(g["slots"], g.get("fresh_slots", 2) << min(r["age"] // 1000, 14))
        if r["running"] > limit:
            out.append(
                _find("flood", r, f"{r['replica']} runs {r['running']}, {limit} at {r['age']} ms of age")
            )
    return out


def store(trace, about):
    return [
        _find("store", r, f"{r['at_once']} loads at once, {about['loads']} allowed")
        for r in trace
        if r["k"] == "load" and r["at_once"] > about["loads"]
    ]


def room(trace, about):
    return [_find("room", r, f"{r['replica']}: {r}") for r in trace if r["k"] == "over-room"]


def order_givers(trace, about):
    """Orders taken by one start of a replica come under rising fences, each fence from one node."""
    by, top, out = {}, {}, []
    for r in trace:
        if r["k"] != "order" or r["status"] == 409:
            continue
        k = (r["replica"], r["epoch"])
        if r["fence"] < top.get(k, 0):
            out.append(_find("order", r, f"{r['replica']} took fence {r['fence']} after {top[k]}"))
        top[k] = max(top.get(k, 0), r["fence"])
        if by.setdefault((k, r["fence"]), r["node"]) != r["node"]:
            out.append(
                _find("order", r, f"{r['replica']}: {by[(k, r['fence'])]} and {r['node']} under one fence")
            )
    return out


def reads(trace, about):
    """Linearizable: a read never tells less than what was told or acknowledged before it was asked."""
    asked = {r["call"]: r for r in trace if r["k"] == "ask"}
    told, out = [], []
    for r in trace:
        if r["k"] != "answer" or r["status"] != 200:
            continue
        a = asked[r["call"]]
        if a["verb"] not in ("show", "apply", "patch"):
            continue
        least = max([s for t, s in told if t < a["t"]], default=0)
        if a["verb"] == "show" and r["serial"] < least:
            out.append(_find("read", r, f"{r['node']} told {r['serial']}, {least} was told before"))
        told.append((r["t"], r["serial"]))
    return out


def back(trace, about):
    """Service is back: of what was sent in each stated span, the stated share was answered."""
    out = []
    ended = {r["query"]: r for r in trace if r["k"] == "end"}
    for lo, hi, share in about.get("served", []):
        mine = [r for r in trace if r["k"] == "query" and lo <= r["t"] < hi]
        mine = [r for r in mine if not (about.get("blank") and r.get("key"))]
        good = [r for r in mine if ended.get(r["query"], {}).get("outcome") in ("done", "gone")]
        if not mine or len(good) < share * len(mine):
            text = f"{len(good)} of {len(mine)} sent from {lo} to {hi} ms were answered"
            out.append({"rule": "back", "t": lo, "finding": text})
    return out


def final_word(trace, about):
    """What is given up on is answered in the step that decides it, and told when to come back."""
    once = {r["query"] for r in trace if r["k"] == "query" and r["once"]}
    fates = collections.Counter()
    due, out = {}, []
    for r in trace:
        for q, f in list(due.items()):
            if r["t"] > f["t"]:
                out.append(_find("final-word", f, f"{q} was given up on and not answered at once"))
                del due[q]
        if r["k"] == "fate":
            fates[r["query"]] += 1
            if r["query"] in once or fates[r["query"]] > 1:
                due[r["query"]] = r
        if r["k"] == "end":
            due.pop(r["query"], None)
            if r["outcome"] in ("refused", "unknown") and r["status"] not in OWN and not r.get("retry"):
                out.append(_find("final-word", r, f"{r['query']}: {r['code']} without when to come back"))
    return out


CHECKS = (
    once_only,
    refusal,
    final_word,
    replies,
    marks,
    manifests,
    slow_changes,
    resends,
    flood,
    store,
    room,
    order_givers,
    reads,
    back,
)


def run(trace, about):
    return [f for c in CHECKS for f in c(trace, about)]
