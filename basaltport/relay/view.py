"""What operators are shown of a proxy: pure functions of the reducer's state, which they never change.

`m` is the Relay, `now` in ms."""

import collections
import copy
import random

import basaltport.kinds as kinds
import basaltport.relay.events as events
import basaltport.relay.request as request


def queue(m, now):
    """Waiting requests by service and item, the longest wait first."""
    by = {}
    for q in m.waiting.values():
        row = by.setdefault((q.service, q.item), {"waiting": 0, "oldest_ms": 0})
        row["waiting"] += 1
        row["oldest_ms"] = max(row["oldest_ms"], now - q.born)
    rows = [{"service": s, "item": i, **r} for (s, i), r in by.items()]
    return sorted(rows, key=lambda r: -r["oldest_ms"])


def retries(m, now):
    """By service: further attempts in the window, and how many more there may be."""
    out = {}
    for s, w in m.retries.items():
        left = w.left(now, m.peers())
        out[s] = {"first": w.firsts.peek(now), "further": w.further.peek(now), "left": left}
    return out


def replica(m, now, r):
    row, h = m.rows[r], m.health.get(r)
    d = {"id": r, "service": row["service"], "zone": row["zone"], "state": row["state"]}
    if h is None:
        return {**d, "running": 0, "down_ms": 0, "failures": 0, "first_ms": 0, "cold_ms": 0, "lacks": []}
    d |= {"running": h.running, "down_ms": max(0, h.down - now), "failures": h.fails}
    d |= {"first_ms": round(h.first), "cold_ms": max(0, h.cold_until - now)}
    d |= {"lacks": sorted(i for i in h.absent if h.lacks(i, now))}
    return {**d, "state": "moved"} if h.dead else d


def status(m, now):
    d = {"role": "proxy", "name": m.me.name, "zone": m.me.zone, "ready": m.ready()}
    heard = m.led_at > 0
    d |= {"led": m.led(), "leader_address": m.leader_address or None}
    d |= {"rows_age_ms": now - m.led_at if heard else None, "generation": m.feed_gen.text()}
    d |= {"serial": int(m.book["serial"]), "edition": m.table.edition, "proxies": m.proxies}
    d |= {"evacuated": sorted(m.book["drains"]), "queue": queue(m, now), "requests": len(m.requests)}
    d |= {"runs": {r: h.running for r, h in sorted(m.health.items()) if h.running}}
    d |= {"replicas": [replica(m, now, r) for r in sorted(m.rows)]}
    return {**d, "tally": dict(sorted(m.tally.items())), "retries": retries(m, now)}


# what would become of a request


def apart(m, now):
    """A copy whose steps leave the original, its counts and its chance as they are."""
    x = copy.copy(m)
    x.now, x.rng, x.out = now, random.Random(0), []
    x.health = {r: _health(h) for r, h in m.health.items() if r in m.rows}
    x.requests, x.waiting, x.retries = dict(m.requests), dict(m.waiting), {}
    x.used, x.tally, x.facts = {}, {}, {i: copy.copy(f) for i, f in m.facts.items()}
    return x


def _health(h):
    h = copy.copy(h)
    h.cold = copy.copy(h.cold)
    h.cold.sent = copy.copy(h.cold.sent)
    h.cold.sent.steps = h.cold.sent.steps.copy()
    return h


def explain(m, now, host, path, item="", deadline=-1, tokens=0):
    """What would become of a request that came now: {"route", "outcomes": one for each service that it may
    go to, with its part of the draw}."""
    d = {"host": host, "path": path, "item": item, "edition": m.table.edition}
    route = m.table.match(host, path)
    if route is None:
        d["outcome"] = "refused" if m.table.empty else "no route"
        return {**d, "status": 503 if m.table.empty else 404, "route": None, "outcomes": []}
    ev = events.Arrived(now, 0, host, path, kinds.Item(item), deadline, tokens, "")
    outs = [outcome(apart(m, now), route, ev, s, part) for s, part in parts(route)]
    return {**d, "route": described(route), "outcomes": outs}


def described(route):
    d = {k: getattr(route, k) for k in ("name", "prefix", "kind", "urgency", "attempts", "pinned")}
    return {**d, "deadline_ms": int(route.deadline), "target_ms": int(route.target)}


def parts(route):
    names, sums = route.shares
    was = 0
    for s, n in zip(names, sums, strict=True):
        yield s, round((n - was) / sums[-1], 4)
        was = n


def outcome(x, route, ev, service, part):
    """`x` is a copy that may be changed."""
    q = request.Request(0, route, ev)
    q.service = service
    ahead = sum((w.service, w.item) == (service, q.item) for w in x.waiting.values())
    bad = None
    for op in route.program:
        bad = bad or op != "share" and getattr(x, "do_" + op)(q, ev)
    d = {"service": service, "part": part, "item": q.item, "ahead": ahead}
    d["candidates"] = candidates(x, q)
    if bad:
        return {**d, "outcome": "refused", "status": 503, "why": bad[0], "retry_after_ms": bad[1]}
    r = x.pick(q)
    if r is not None:
        return {**d, "outcome": "sent", "replica": r, "address": x.rows[r]["address"]}
    f = x.facts.get(q.item)
    held = not q.item or x.held(q)
    why = "every replica that holds it is busy" if held else "no replica that is open holds it"
    d |= {"outcome": "waits", "why": why, "at_most_ms": int(x.limit(q) - x.now)}
    return {**d, "fact": f.state if f else "", "expected_ms": int(x.expected(q)) if q.item else 0}


def candidates(x, q):
    out = []
    for r, row in sorted(x.rows.items()):
        if row["service"] != q.service:
            continue
        v = verdict(x, q, r, row)
        score = round(x.score(q, r), 3) if v == "usable" else None
        out.append({"replica": r, "zone": row["zone"], "verdict": v, "score": score})
    return sorted(out, key=lambda c: (c["score"] is None, c["score"] or 0, c["verdict"], c["replica"]))


def verdict(x, q, r, row):
    h = x.health_of(r)
    if r not in x.holders(q.service, q.item):
        return "loads it" if q.item in row.get("loading", ()) else "does not hold it"
    if row["state"] != "ready":
        return row["state"]
    if row["zone"] in x.book["drains"]:
        return "its zone is evacuated"
    if h.dead:
        return "another replica has its address"
    if x.now < h.down:
        return f"out for {h.down - x.now} ms after {h.fails} failures"
    if h.lacks(q.item, x.now):
        return f"said it is full or lacks it; asked again in {h.absent[q.item] - x.now} ms"
    if h.running >= x.cap(row):
        return f"busy: {h.running} of {x.cap(row)} of this proxy"
    return "usable" if x.fits(q, r) else f"cold for {h.cold_until - x.now} ms: its share is used up"


def samples(m, now):
    """As of keeper.view."""

    def one(name, help, value):
        return f"basaltport_{name}", "gauge", help, (), [((), value)]

    yield one("ready", "1 where this proxy takes clients", int(m.ready()))
    yield one("led", "1 where a leader is heard", int(m.led()))
    yield one("serial", "Serial of the agreed book", int(m.book["serial"]))
    yield one("edition", "Edition of the configuration in force", m.table.edition)
    if m.led_at > 0:
        yield one("rows_age_seconds", "Since replicas' rows were last confirmed", (now - m.led_at) / 1000)
    yield one("requests", "Requests here, waiting or sent", len(m.requests))
    yield one("runs", "Attempts under way", len(m.runs))
    yield one("waiting", "Requests that wait", len(m.waiting))
    oldest = max((now - q.born for q in m.waiting.values()), default=0)
    yield one("wait_seconds", "The longest of the waits", oldest / 1000)
    rows = [((k,), n) for k, n in sorted(m.tally.items())]
    yield "basaltport_outcomes", "counter", "Ends of attempts and own refusals", ("outcome",), rows
    rows = [((s,), r["left"]) for s, r in sorted(retries(m, now).items())]
    yield "basaltport_retries_left", "gauge", "Further attempts that there may be now", ("service",), rows
    by = collections.Counter()
    for r in m.rows:
        d = replica(m, now, r)
        by[d["service"], d["zone"], "down" if d["down_ms"] else d["state"]] += 1
    labels = ("service", "zone", "state")
    yield "basaltport_replicas", "gauge", "Replicas as this proxy sees them", labels, sorted(by.items())
