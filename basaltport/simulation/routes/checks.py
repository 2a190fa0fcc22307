"""What must hold on the path of routes, checked over a trace. Each check gives findings with their time."""

import bisect
import collections

ONCE = ("once", "stream")
TURNED = ("absent", "moved")
STARVED_ASKED = 4
STARVED_SPAN = 8000
SAID = (408, 421, 429, 503)


def find(rule, r, text):
    return {"rule": rule, "t": r["t"], "finding": text}


def once_only(trace, about):
    seen, out = {}, []
    for r in trace:
        if r["k"] != "ran" or r["kind"] not in ONCE:
            continue
        for key in (r["try"], r["op"]):
            if key in seen:
                out.append(find("once-only", r, f"{key} ran at {seen[key]} and again at {r['replica']}"))
                break
        seen[r["try"]] = seen[r["op"]] = r["replica"]
    return out


def promise(trace, about):
    """What was answered with a promise has not run and never does."""
    ran = {r["try"] for r in trace if r["k"] == "ran"}
    return [
        find("promise", r, f"{r['try']} was answered {r['status']} by {r['node']} and ran")
        for r in trace
        if r["k"] == "end" and r["outcome"] == "own" and r["status"] in SAID and r["try"] in ran
    ]


def flips(trace, k, node=None):
    """(times, states) of a state that the trace tells the changes of."""
    rows = [r for r in trace if r["k"] == k and (node is None or r["node"] == node)]
    return [r["t"] for r in rows], [r["on"] for r in rows]


def at(fl, t):
    i = bisect.bisect_right(fl[0], t) - 1
    return i >= 0 and fl[1][i]


def next_on(fl, t):
    """The first time from t on when a state is on, or None."""
    if at(fl, t):
        return t
    return next((x for x, on in zip(*fl, strict=True) if x >= t and on), None)


def draining(trace, about):
    """The time starts when the list shows it, or when the core is settled after that; where the list can't be
    read meanwhile it is not judged."""
    settled = flips(trace, "settled")
    gone, out = {}, []
    for r in trace:
        if r["k"] == "unlisted":
            gone = {}
        if r["k"] == "leaving":
            gone[r["replica"]] = next_on(settled, r["shown"])
        if r["k"] != "arrive" or not r["touch"] or r["said"] in TURNED or gone.get(r["replica"]) is None:
            continue
        late = r["t"] - gone[r["replica"]] - about["drain_ms"]
        if late > 0:
            out.append(find("draining", r, f"{r['try']} reached {r['replica']} {late} ms too late"))
    return out


def evacuated(trace, about):
    """From an evacuation's acknowledgement until its withdrawal is sent."""
    out, verb, since = [], {}, {}
    for r in trace:
        if r["k"] == "change":
            verb[r["change"]] = r
            if r["verb"] == "readmit":
                since.pop(r["zone"], None)
        if r["k"] == "answer" and r["verb"] == "evacuate" and r["status"] == 200:
            since.setdefault(r["zone"], r["t"])
        if r["k"] == "arrive" and r["touch"] and r["said"] not in TURNED and r["zone"] in since:
            late = r["t"] - since[r["zone"]] - about["evacuate_ms"]
            if late > 0:
                out.append(find("evacuated", r, f"{r['try']} reached {r['zone']} {late} ms too late"))
    return out


def in_force(trace, about):
    """At every proxy in touch within `apply_ms`; never back within a life."""
    out, edition, change = [], {}, {}
    acked = []
    for r in trace:
        if r["k"] == "change" and r["verb"] == "configure":
            change[r["change"]] = r["edition"]
        if r["k"] == "answer" and r["verb"] == "configure" and r["status"] == 200:
            acked.append((r["t"] + about["apply_ms"], change[r["change"]]))
        if r["k"] == "edition":
            incarnation = r["node"], r["life"]
            if r["edition"] < edition.get(incarnation, 0):
                out.append(find("back", r, f"{r['node']} went from {edition[life]} to {r['edition']}"))
            edition[incarnation] = r["edition"]
    for node in {r["node"] for r in trace if r["k"] == "touch"}:
        touch = flips(trace, "touch", node)
        seen = [(r["t"], r["edition"]) for r in trace if r["k"] == "edition" and r["node"] == node]
        for due, e in acked:
            t = next_on(touch, due)
            have = [x for when, x in seen if t is not None and when <= t]
            if t is not None and t <= trace[-1]["t"] and (not have or have[-1] < e):
                row = {"t": t}
                out.append(find("in-force", row, f"{node} has {have[-1:]} and not {e}, in touch"))
    return out


def refused(trace, about):
    """What was refused is in force nowhere; of two on one base, one is taken."""
    no = {r["change"] for r in trace if r["k"] == "answer" and r["status"] not in (0, 200)}
    out = [
        find("refused", r, f"{r['node']} has edition {r['edition']} of {r['change']}, which was refused")
        for r in trace
        if r["k"] == "edition" and r["change"] in no
    ]
    base = {r["change"]: r["base"] for r in trace if r["k"] == "change" and r["verb"] == "configure"}
    taken = {}
    for r in trace:
        if r["k"] == "answer" and r["verb"] == "configure" and r["status"] == 200:
            b = base[r["change"]]
            if b in taken:
                out.append(find("refused", r, f"{taken[b]} and {r['change']} were both taken on {b}"))
            taken[b] = r["change"]
    return out


def survives(trace, about):
    """What a keeper reads back at the end, against what was acknowledged and asked."""
    out, end = [], trace[-1]
    change = {r["change"]: r for r in trace if r["k"] == "change"}
    taken = [r for r in trace if r["k"] == "answer" and r["status"] == 200]
    editions = [change[r["change"]]["edition"] for r in taken if r["verb"] == "configure"]
    got = about["final"]
    if got is None:
        return [find("survives", end, "nothing is read back at the end")]
    if got["edition"] < max(editions, default=0):
        out.append(find("survives", end, f"edition {got['edition']} is read back, {max(editions)} was taken"))
    if got["by"] not in change or change[got["by"]]["edition"] != got["edition"]:
        out.append(find("survives", end, f"edition {got['edition']} is not what was sent"))
    zones = {}
    for r in trace:
        if r["k"] == "change" and r["verb"] in ("evacuate", "readmit"):
            zones[r["zone"]] = None
        if r["k"] == "answer" and r["verb"] in ("evacuate", "readmit") and r["status"] == 200:
            zones[r["zone"]] = r["verb"]
    for z, v in zones.items():
        if v and (v == "evacuate") != (z in about["drains"]):
            out.append(find("survives", end, f"{z}: the last was {v}, evacuated are {about['drains']}"))
    return out


def resends(trace, about):
    """By service: arrivals beyond the first of each request in a window, against its requests."""
    out, span = [], int(1000 * about["retry_window_s"])
    for service in ("s", "t"):
        ops = {r["op"]: r for r in trace if r["k"] == "op"}
        tries = [r["t"] for r in trace if r["k"] == "try" and ops[r["op"]]["service"] == service]
        seen, more = set(), []
        for r in trace:
            if r["k"] == "arrive" and r["meant"] == service:
                if r["try"] in seen:
                    more.append(r)
                seen.add(r["try"])
        ts = [r["t"] for r in more]

        def count(lo, hi, tries=tries):
            return bisect.bisect_left(tries, hi) - bisect.bisect_left(tries, lo)

        for i, r in enumerate(more):
            lo = r["t"] - span
            n = i + 1 - bisect.bisect_right(ts, lo)
            base = max(count(lo - d, r["t"] + 1 - d) for d in (0, span // 2, span))
            if n > about["retry_ratio"] * base + about["retry_slack"]:
                out.append(find("resends", r, f"{service}: {n} further arrivals on {base} requests"))
    return out


def cold(trace, about):
    """Requests sent and arrived within one second at a replica that is cold."""
    spans = {r["replica"]: (r["since"], r["until"]) for r in trace if r["k"] == "cold"}
    most = about["cold_rate"] * about["cold_excess"] + about["cold_slack"]
    by, out = collections.defaultdict(list), []
    for r in trace:
        if r["k"] != "arrive" or r["said"] in TURNED or r["replica"] not in spans:
            continue
        since, until = spans[r["replica"]]
        if not since <= r["t"] <= until:
            continue
        ts = by[r["replica"]]
        ts.append((r["t"], r["sent"]))
        n = sum(1 for t, sent in ts if sent > r["t"] - 1000)
        if n > most:
            out.append(find("cold", r, f"{r['replica']} got {n} requests in a second, {most:g} allowed"))
    return out


def store(trace, about):
    """Loads from the store that begin while the core is settled."""
    settled, out = flips(trace, "settled"), []
    span = 1000 * about["ceiling_window_s"]
    most = about["loads_per_s"] * about["ceiling_window_s"] * about["ceiling_excess"] + 3
    ts = [r["t"] for r in trace if r["k"] == "load" and at(settled, r["t"])]
    for i, t in enumerate(ts):
        n = i + 1 - bisect.bisect_right(ts, t - span)
        if n > most:
            out.append(find("store", {"t": t}, f"{n} loads in {span} ms, {most:g} allowed"))
    return out


def room(trace, about):
    return [
        find("room", r, f"{r['replica']} was told to load {r['model']}")
        for r in trace
        if r["k"] == "over-room"
    ]


def holders(trace, about):
    """On one replica: one holder for a fence, fences that rise, and no turns within `lease_ms`. An entry that
    gives slices of replicas to several keepers gives them one fence, so holders are told apart by replica."""
    last, by, out, loose = {}, {}, [], {}
    healed = -(10**9)
    for r in trace:
        if r["k"] == "freeze" and not r["on"]:
            loose[r["node"]] = r["t"]
        if r["k"] == "heal":
            healed = r["t"]
        if r["k"] != "order":
            continue
        if r["t"] - max(healed, loose.get(r["holder"], -(10**9))) < about["thaw_slack_ms"]:
            continue
        key = r["replica"], r["fence"]
        if by.setdefault(key, r["holder"]) != r["holder"]:
            text = f"{by[key]} and {r['holder']} under fence {r['fence']}"
            out.append(find("holders", r, text))
        was = last.get(r["replica"])
        if was and was["holder"] != r["holder"] and r["t"] - was["t"] < about["lease_ms"]:
            text = f"{r['replica']}: {r['holder']} {r['t'] - was['t']} ms after {was['holder']}"
            out.append(find("holders", r, text))
        if was and r["fence"] < was["fence"]:
            out.append(find("holders", r, f"{r['replica']}: fence {r['fence']} after {was['fence']}"))
        last[r["replica"]] = r
    return out


def starved(trace, about):
    """Items asked for often enough over long enough that were never served."""
    asked, served = collections.defaultdict(list), set()
    for r in trace:
        if r["k"] == "op" and r["item"]:
            asked[r["item"]].append(r["t"])
        if r["k"] == "op-end" and r["outcome"] == "done":
            served.add(r["item"])
    out = []
    for i, ts in asked.items():
        if len(ts) >= STARVED_ASKED and ts[-1] - ts[0] > STARVED_SPAN and i not in served:
            out.append(find("starved", {"t": ts[-1]}, f"{i} was asked for {len(ts)} times and never served"))
    return out


def share_served(trace, lo, hi):
    """Of the requests that clients sent in this span; 0 where there were none."""
    ended = {r["op"]: r["outcome"] for r in trace if r["k"] == "op-end"}
    mine = [r["op"] for r in trace if r["k"] == "op" and lo <= r["t"] < hi]
    return sum(ended.get(o) == "done" for o in mine) / len(mine) if mine else 0.0


def back(trace, about):
    """Of what was sent in each stated span, the stated share was served."""
    out = []
    for lo, hi, share in about["served"]:
        got = share_served(trace, lo, hi)
        if got < share:
            out.append(find("back", {"t": lo}, f"{got:.3f} of those from {lo} to {hi} ms were served"))
    return out


def final_word(trace, about):
    """A refusal says when to come back, and comes before the client gives up: none is held to its end."""
    out = []
    for r in trace:
        if r["k"] != "end":
            continue
        if r["outcome"] == "own" and r["status"] in SAID and not r["retry"]:
            out.append(find("final-word", r, f"{r['try']}: {r['status']} without when to come back"))
        if r["outcome"] == "gone" and not r["running"] and r["touch"]:
            out.append(find("held", r, f"{r['try']} got no answer from {r['node']} and runs nowhere"))
        if r["outcome"] == "own" and r["status"] == 404:
            out.append(find("denied", r, f"{r['try']} was answered 404 by {r['node']}"))
    return out


def acked(trace, about):
    """A proper change is answered in time where the core is settled and no answer is lost all along; all in
    the end."""
    out, sent, settled, losing = [], {}, flips(trace, "settled"), flips(trace, "replies-lost")
    for r in trace:
        if r["k"] == "change":
            sent[r["change"]] = (r["t"], trace[-1]["t"])
        if r["k"] in ("answer", "unclear"):
            sent[r["change"]] = (sent[r["change"]][0], r["t"])
    for c, (lo, hi) in sent.items():
        lo = next_on(settled, lo)
        if lo is None or hi - lo <= about["ack_within_ms"] or any(lo < t < hi for t in settled[0]):
            continue
        if at(losing, lo) or any(lo < t < hi for t in losing[0]):
            continue
        out.append(find("acked", {"t": hi}, f"{c} was not answered in {hi - lo} ms of calm"))
    return out


def agreed(trace, about):
    return [
        find("agreed", r, f"{r['node']} has another book of serial {r['serial']} than others had")
        for r in trace
        if r["k"] == "differs"
    ]


def fed(trace, about):
    """A proxy in touch has the rows of replicas that were published `apply_ms` ago; one finding for each."""
    out = {}
    for r in trace:
        if r["k"] == "stale" and r["node"] not in out:
            text = f"{r['node']} has rows up to {r['n']}, {r['published']} were published long ago"
            out[r["node"]] = find("fed", r, text)
    return list(out.values())


CHECKS = (
    once_only,
    promise,
    draining,
    evacuated,
    in_force,
    agreed,
    fed,
    refused,
    survives,
    resends,
    cold,
    store,
    room,
    holders,
    starved,
    back,
    final_word,
    acked,
)


def run(trace, about):
    return [f for c in CHECKS for f in c(trace, about)]
