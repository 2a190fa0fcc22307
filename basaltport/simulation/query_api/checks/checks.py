"""What must never happen, checked over a trace. Each check gives findings with their place in it."""

import collections

import basaltport.simulation.query_api.world.agreed as agreed

LEAVING = 3000
EMPTIED = 5000
WINDOW = 10_000
OWN = (400, 401, 403, 404, 413, 422)


def once_only(trace, about):
    once = {r["prompt"] for r in trace if r["k"] == "query" and r["once"]}
    seen, out = {}, []
    for r in trace:
        if r["k"] != "ran" or r["prompt"] not in once:
            continue
        if r["prompt"] in seen:
            out.append(
                agreed.find("once-only", r, f"{r['prompt']} ran as {seen[r['prompt']]} and {r['dispatch']}")
            )
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
                out.append(agreed.find("refusal", r, f"{r['query']} was refused ({r['code']}) and ran"))
    return out


def replies(trace, about):
    """Each query ends once, an answer is its own run's, and a stream is whole or ends abnormally."""
    ran, out = set(), []
    said, runs = collections.defaultdict(list), collections.defaultdict(set)
    for r in trace:
        if r["k"] == "ran":
            ran.add(r["prompt"])
        if r["k"] == "twice-closed":
            out.append(agreed.find("reply", r, f"{r['query']} ended twice: {r['was']}, {r['now']}"))
        if r["k"] == "piece":
            out += _piece(r, said[r["query"]], runs[r["query"]])
        if r["k"] == "end" and r["outcome"] == "done":
            if r["prompt"] not in ran:
                out.append(agreed.find("reply", r, f"{r['prompt']} was answered without a run"))
            if r.get("reply", r["prompt"]) != r["prompt"]:
                out.append(agreed.find("reply", r, f"{r['prompt']} got the reply of {r['reply']}"))
            n = len(said[r["query"]])
            if r.get("pieces", 0) != n or n and n != about["pieces"]:
                out.append(
                    agreed.find("stream", r, f"{r['query']} ended clean with {n} of {about['pieces']} pieces")
                )
    return out


def _piece(r, said, runs):
    said.append(r["n"])
    runs.add(r["run"])
    if said != list(range(len(said))):
        return [agreed.find("stream", r, f"{r['query']} was told pieces {said}")]
    if len(runs) > 1:
        return [agreed.find("stream", r, f"{r['query']} was told pieces of runs {sorted(runs)}")]
    if r["piece"] != f"{r['prompt']}.{r['n']}":
        return [agreed.find("stream", r, f"{r['query']} was told {r['piece']} as its piece {r['n']}")]
    return []


def marks(trace, about):
    """Nothing to a leaving replica after 3 s, nor to an emptied zone after 5 s, from when it was learned."""
    gone, empty, out = {}, {}, []
    ok = {r["call"] for r in trace if r["k"] == "answer" and r["status"] == 200}
    no = {r["call"] for r in trace if r["k"] == "answer" and r["status"] not in (200, 504)}
    for r in trace:
        if (
            r["k"] == "ask"
            and r["call"] not in no
            and (r["call"] in ok or r["verb"] in ("undrain", "platform"))
        ):
            if r["verb"] == "leaving":
                gone.setdefault(r["replica"], r["t"])
            if r["verb"] == "drain":
                empty.setdefault(r["zone"], r["t"])
            if r["verb"] == "undrain":
                empty.pop(r["zone"], None)
            if r["verb"] == "platform":
                gone = {k: v for k, v in gone.items() if k in r["listed"]}
        if r["k"] != "reach":
            continue
        if r["t"] > gone.get(r["replica"], r["t"]) + LEAVING:
            out.append(
                agreed.find(
                    "leaving", r, f"{r['replica']} was reached {r['t'] - gone[r['replica']]} ms after"
                )
            )
        if r["t"] > empty.get(r["zone"], r["t"]) + EMPTIED:
            out.append(
                agreed.find("emptied", r, f"{r['zone']} was reached {r['t'] - empty[r['zone']]} ms after")
            )
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
            out.append(agreed.find("resend", r, f"{n} resends on {base} first sends in ten seconds"))
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
                agreed.find(
                    "flood", r, f"{r['replica']} runs {r['running']}, {limit} at {r['age']} ms of age"
                )
            )
    return out


def store(trace, about):
    return [
        agreed.find("store", r, f"{r['at_once']} loads at once, {about['loads']} allowed")
        for r in trace
        if r["k"] == "load" and r["at_once"] > about["loads"]
    ]


def room(trace, about):
    return [agreed.find("room", r, f"{r['replica']}: {r}") for r in trace if r["k"] == "over-room"]


def order_givers(trace, about):
    """Orders taken by one start of a replica come under rising fences, each fence from one node."""
    by, top, out = {}, {}, []
    for r in trace:
        if r["k"] != "order" or r["status"] == 409:
            continue
        k = (r["replica"], r["epoch"])
        if r["fence"] < top.get(k, 0):
            out.append(agreed.find("order", r, f"{r['replica']} took fence {r['fence']} after {top[k]}"))
        top[k] = max(top.get(k, 0), r["fence"])
        if by.setdefault((k, r["fence"]), r["node"]) != r["node"]:
            out.append(
                agreed.find(
                    "order", r, f"{r['replica']}: {by[(k, r['fence'])]} and {r['node']} under one fence"
                )
            )
    return out


HALF = 500


def recovery(trace, lo, hi, blank=False, share=0.95):
    """From a fault to the end of the last half second in which less than the share was answered."""
    ended = {r["query"]: r for r in trace if r["k"] == "end"}
    by = collections.defaultdict(lambda: [0, 0])
    for r in trace:
        if r["k"] == "query" and lo <= r["t"] < hi and not (blank and r.get("key")):
            row = by[(r["t"] - lo) // HALF]
            row[0] += 1
            row[1] += ended.get(r["query"], {}).get("outcome") in ("done", "gone")
    low = [k for k, (n, ok) in by.items() if ok < share * n]
    return (max(low) + 1) * HALF if low else 0


def back(trace, about):
    """Service is back: of what was sent in each stated span, the stated share was answered."""
    out = []
    ended = {r["query"]: r for r in trace if r["k"] == "end"}
    for lo, hi, share in about.get("served", []):
        mine = [r for r in trace if r["k"] == "query" and lo <= r["t"] < hi]
        mine = [r for r in mine if not (about.get("blank") and r.get("key"))]
        cut = {q for q, e in ended.items() if e["outcome"] == "cut" and e["t"] > hi}
        mine = [r for r in mine if r["query"] not in cut]
        good = [r for r in mine if ended.get(r["query"], {}).get("outcome") in ("done", "gone")]
        if not mine or len(good) < share * len(mine):
            text = f"{len(good)} of {len(mine)} sent from {lo} to {hi} ms were answered"
            out.append({"rule": "back", "t": lo, "finding": text})
    return out


def final_word(trace, about):
    """What is given up on is answered in the step that decides it, and told when to come back."""
    once = {r["query"] for r in trace if r["k"] == "query" and r["once"]}
    fates, over = collections.Counter(), set()
    due, out = {}, []
    for r in trace:
        for q, f in list(due.items()):
            if r["t"] > f["t"]:
                out.append(agreed.find("final-word", f, f"{q} was given up on and not answered at once"))
                del due[q]
        if r["k"] == "fate":
            fates[r["query"]] += 1
            if r["query"] not in over and (r["query"] in once or fates[r["query"]] > 1):
                due[r["query"]] = r
        if r["k"] == "end":
            due.pop(r["query"], None)
            over.add(r["query"])
            if r["outcome"] in ("refused", "unknown") and r["status"] not in OWN and not r.get("retry"):
                out.append(
                    agreed.find("final-word", r, f"{r['query']}: {r['code']} without when to come back")
                )
    return out


CHECKS = (
    once_only,
    refusal,
    final_word,
    replies,
    marks,
    resends,
    flood,
    store,
    room,
    order_givers,
    back,
)


def run(trace, about):
    return [f for c in CHECKS + agreed.CHECKS for f in c(trace, about)]
