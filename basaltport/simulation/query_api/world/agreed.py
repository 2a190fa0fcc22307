"""Checks of what is agreed: manifests, marks, reads. Only a fault itself, and a stated time, excuses."""

import collections

IN_FORCE = 2000
HINDERS = 3000
CHANGES = ("apply", "patch", "drain", "undrain", "leaving", "platform")
FAULTS = ("kill", "stop", "freeze", "wake", "cut", "split", "heal", "stall", "full", "boot")
WORDS = ("acknowledged", "refused")


def find(rule, row, text):
    return {"rule": rule, "t": row["t"], "finding": text}


def asks(trace):
    return {r["call"]: r for r in trace if r["k"] == "ask"}


def hindered(trace):
    """Spans in which a fault may hinder: HINDERS from each event of one; bad wires while they last."""
    out, since = [], None
    for r in trace:
        if r["k"] in FAULTS:
            out.append((r["t"], r["t"] + HINDERS))
        if r["k"] == "wires":
            if since is not None:
                out.append((since, r["t"] + HINDERS))
            since = r["t"] if r["bad"] else None
    if since is not None:
        out.append((since, 10**12))
    return sorted(out)


def cut_off(trace):
    """Spans with the members that were cut off in them: these may not reach a leader."""
    out, open_ = [], []
    for r in trace:
        if r["k"] in ("cut", "split"):
            open_.append((r["t"], set(r.get("left", ())) | {r.get("a"), r.get("b")}))
        if r["k"] == "heal":
            out += [(lo, r["t"], who) for lo, who in open_]
            open_ = []
    return out + [(lo, 10**12, who) for lo, who in open_]


def due(at, spans):
    """When something asked for must be done at the latest."""
    end = at + IN_FORCE
    for lo, hi in spans:
        if lo <= end and hi >= at:
            end = max(end, hi + IN_FORCE)
    return end


def heard_at(trace):
    """For each ask when its node could hear it: a frozen one hears at its wake."""
    frozen, waiting, out = set(), collections.defaultdict(list), {}
    for r in trace:
        if r["k"] == "freeze":
            frozen.add(r["node"])
        if r["k"] in ("wake", "boot"):
            frozen.discard(r["node"])
            for c in waiting.pop(r["node"], []):
                out[c] = r["t"]
        if r["k"] == "ask":
            out[r["call"]] = r["t"]
            if r["node"] in frozen:
                waiting[r["node"]].append(r["call"])
    return out


def slow_changes(trace, about):
    """In force 2 s after the ask; and where nothing hindered, every ask got its answer by then."""
    spans, heard, ask = hindered(trace), heard_at(trace), asks(trace)
    cuts = cut_off(trace)
    out, answered = [], set()

    def until(c):
        """A cut-off node's asks are due once it is no more."""
        t, node = heard[c], ask[c]["node"]
        return due(max([t] + [hi for lo, hi, who in cuts if lo <= t <= hi and node in who]), spans)

    def free(c):
        return until(c) == heard[c] + IN_FORCE

    for r in trace:
        if r["k"] != "answer" or r["call"] not in ask:
            continue
        answered.add(r["call"])
        end = until(r["call"])
        if r.get("outcome") == "acknowledged" and ask[r["call"]]["verb"] in CHANGES and r["t"] > end:
            t = r["t"] - heard[r["call"]]
            out.append(find("in-force", r, f"{r['change']} took {t} ms, {r['t'] - end} too long"))
        if free(r["call"]) and r["status"] in (503, 504):
            out.append(find("in-force", r, f"{r['call']} got {r['status']} with nothing to hinder it"))
    last = max((r["t"] for r in trace), default=0)
    for c, a in ask.items():
        if c not in answered and heard[c] + IN_FORCE < last and free(c):
            out.append(find("in-force", a, f"{c} ({a['verb']}) got no answer with nothing to hinder it"))
    return out


def manifests(trace, about):
    """Acknowledged ones are kept and nothing older goes out after; refused ones are never in force."""
    out, acked, refused, unchanged = [], {}, set(), {}
    ask, top = asks(trace), 0
    node_at, replica_at, seen = collections.defaultdict(int), collections.defaultdict(int), 0
    for r in trace:
        if r["k"] == "ask":
            unchanged.pop(r.get("change"), None)
        if r["k"] == "answer" and r["call"] in ask:
            a = ask[r["call"]]
            if r.get("changed") is False and a["verb"] in CHANGES and a.get("change"):
                unchanged[a["change"]] = r
            if r.get("outcome") == "acknowledged" and a["verb"] in CHANGES:
                acked[r["change"]] = r["serial"]
                if a["verb"] in ("apply", "patch"):
                    top = max(top, r["serial"])
            if r.get("outcome") == "refused" and a.get("change"):
                refused.add(a["change"])
        if r["k"] == "write" or r["k"] == "note" and r["number"] == 42 and r["leased"]:
            s = r["f_configuration_version"] if r["k"] == "note" else r["serial"]
            if s < min(node_at[r["node"]], seen):
                text = f"{r['node']} went back to serial {s}; {seen} was seen by a replica"
                out.append(find("regress", r, text))
            node_at[r["node"]] = max(node_at[r["node"]], s)
        if r["k"] == "write" and r["serial"] < top:
            text = f"{r['dispatch']} went under {r['serial']}, {top} is acknowledged"
            out.append(find("in-force", r, text))
        if r["k"] == "stale-lease":
            text = f"{r['node']} is leased at {r['serial']}, {r['acked']} is acknowledged"
            out.append(find("in-force", r, text))
        if r["k"] == "end" and r["code"] in ("unknown-line", "unknown-token", "unknown-model", "not-in-line"):
            out.append(find("in-force", r, f"{r['prompt']} met a node without the manifest: {r['code']}"))
        if r["k"] == "ran":
            if r["serial"] < replica_at[r["replica"]]:
                text = f"{r['replica']} saw {replica_at[r['replica']]}, ran {r['serial']}"
                out.append(find("regress", r, text))
            replica_at[r["replica"]] = r["serial"]
            seen = max(seen, r["serial"])
    return out + _final(about, acked, refused | set(unchanged), ask)


def _final(about, acked, refused, ask):
    """Each acknowledged change of any verb is in the final book and does what it says; no refused one is."""
    book = about.get("final")
    if book is None:
        return []
    out = []

    def tell(rule, text):
        out.append({"rule": rule, "t": -1, "finding": text})

    for c, s in acked.items():
        if book["changes"].get(c, s if len(book["changes"]) >= 200 else None) != s:
            tell("acknowledged", f"{c} was acknowledged at {s}, the book has {book['changes'].get(c)}")
    for c in refused & set(book["changes"]):
        tell("refused", f"{c} was refused and is in the book")
    verbs = {a["change"]: a for a in ask.values() if a.get("change")}
    for c, s in book["changes"].items():
        a = verbs.get(c)
        later = [x for x, n in book["changes"].items() if n > s and x in verbs]
        if a and a["verb"] == "leaving" and not any(verbs[x]["verb"] == "platform" for x in later):
            if a["replica"] not in book["leaving"]:
                tell("acknowledged", f"{c} is in the book, its mark on {a['replica']} is not")
        if a and a["verb"] in ("drain", "undrain"):
            if any(verbs[x].get("zone") == a["zone"] for x in later):
                continue
            if (a["zone"] in book["drains"]) != (a["verb"] == "drain"):
                tell("acknowledged", f"{c} is in the book, zone {a['zone']} is not as it says")
    return out


def lost_updates(trace, about):
    """With compare-and-set, nothing was agreed between the serial that was named and the change."""
    ask, done = asks(trace), []
    for r in trace:
        if r["k"] == "answer" and r.get("outcome") == "acknowledged" and r["call"] in ask:
            if ask[r["call"]]["verb"] in ("apply", "patch"):
                done.append((r["serial"], r, ask[r["call"]].get("if_serial")))
    serials = {s for s, _, _ in done}
    return [
        find("lost-update", r, f"{r['change']} at {s} was to follow {want}")
        for s, r, want in done
        if want is not None and any(want < x < s for x in serials)
    ]


def reads(trace, about):
    """Linearizable: no read of any verb tells less than was told or acknowledged before it was asked."""
    ask, told, out = asks(trace), collections.defaultdict(list), []
    known = {}
    for r in trace:
        if r["k"] != "answer" or r["call"] not in ask:
            continue
        a = ask[r["call"]]
        if a["verb"] == "change":
            if known.get(a["change"], r["t"]) < a["t"] and r["status"] == 404:
                out.append(
                    find("read", r, f"{r['node']} never heard of {a['change']}, which was acknowledged")
                )
            continue
        if r["status"] != 200 or "serial" not in r:
            continue
        kind = a["verb"] if a["verb"] not in CHANGES else "ack"
        feeds = {"show": ("show", "patch"), "status": ("status", "ack"), "history": ("history", "ack")}
        least = max([s for k in feeds.get(kind, ()) for t, s in told[k] if t < a["t"]], default=0)
        if r["serial"] < least:
            out.append(find("read", r, f"{r['node']} told {kind} {r['serial']}, {least} was told before"))
        told[kind].append((r["t"], r["serial"]))
        if a["verb"] in ("apply", "patch"):
            told["patch"].append((r["t"], r["serial"]))
        if kind == "ack" and r.get("change"):
            known[r["change"]] = r["t"]
    return out


CHECKS = (manifests, slow_changes, lost_updates, reads)
