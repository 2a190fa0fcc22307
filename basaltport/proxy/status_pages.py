"""What operators are shown of a proxy: pure functions of the reducer's state, which they never change.

`now` is in ms."""

import collections
import collections.abc
import copy
import random
import typing

import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.health as health
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.request as request
import basaltport.proxy.node as node
import basaltport.proxy.routing as routing

Doc = dict[str, typing.Any]
Sample = tuple[str, str, str, tuple[str, ...], collections.abc.Sequence[tuple[tuple[str, ...], float]]]
MS = 1000
PART_DIGITS = 4
SCORE_DIGITS = 3


def queue(relay: node.ProxyNode, now: identifiers.Millis) -> list[Doc]:
    """Waiting requests by service and item, the longest wait first."""
    waits: dict[tuple[str, str], list[int]] = {}
    for waiting in relay.waiting.values():
        waits.setdefault((waiting.service, waiting.item), []).append(now - waiting.born)
    rows = [
        {"service": service, "item": item, "waiting": len(ms), "oldest_ms": max(0, *ms)}
        for (service, item), ms in waits.items()
    ]
    return sorted(rows, key=lambda row: -row["oldest_ms"])


def retries(relay: node.ProxyNode, now: identifiers.Millis) -> dict[str, dict[str, int]]:
    """By service: further attempts in the window, and how many more there may be."""
    out = {}
    for service, window in relay.retries.items():
        left = window.left(now, relay.peers())
        out[service] = {"first": window.firsts.peek(now), "further": window.further.peek(now), "left": left}
    return out


def replica(relay: node.ProxyNode, now: identifiers.Millis, replica_id: str) -> Doc:
    """A replica as this proxy sees it."""
    row, known = relay.rows[replica_id], relay.health.get(replica_id)
    doc = {"id": replica_id, "service": row["service"], "zone": row["zone"], "state": row["state"]}
    if known is None:
        return {**doc, "running": 0, "down_ms": 0, "failures": 0, "first_ms": 0, "cold_ms": 0, "lacks": []}
    doc |= {"running": known.running, "down_ms": max(0, known.down - now), "failures": known.fails}
    doc |= {"first_ms": round(known.first), "cold_ms": max(0, known.cold_until - now)}
    doc |= {"lacks": sorted(item for item in known.absent if known.lacks(item, now))}
    return {**doc, "state": "moved"} if known.dead else doc


def status(relay: node.ProxyNode, now: identifiers.Millis) -> Doc:
    """The page of a proxy."""
    me, heard = relay.me, relay.led_at > 0
    return {
        "role": "proxy",
        "name": me.name,
        "zone": me.zone,
        "ready": relay.ready(),
        "led": follow.FollowMixin.led(relay),
        "leader_address": relay.leader_address or None,
        "rows_age_ms": now - relay.led_at if heard else None,
        "generation": relay.feed_gen.text(),
        "serial": int(relay.book["serial"]),
        "edition": relay.table.edition,
        "proxies": relay.proxies,
        "evacuated": sorted(relay.book["drains"]),
        "queue": queue(relay, now),
        "requests": len(relay.requests),
        "runs": {r: known.running for r, known in sorted(relay.health.items()) if known.running},
        "replicas": [replica(relay, now, r) for r in sorted(relay.rows)],
        "tally": dict(sorted(relay.tally.items())),
        "retries": retries(relay, now),
    }


# what would become of a request


def apart(relay: node.ProxyNode, now: identifiers.Millis) -> node.ProxyNode:
    """A copy whose steps leave the original, its counts and its chance as they are."""
    out = copy.copy(relay)
    out.now, out.rng, out.out = now, random.Random(0), []
    out.health = {r: _health(known) for r, known in relay.health.items() if r in relay.rows}
    out.requests, out.waiting, out.retries = dict(relay.requests), dict(relay.waiting), {}
    out.used, out.tally = {}, {}
    out.item_statuses = {item: copy.copy(status) for item, status in relay.item_statuses.items()}
    return out


def _health(known: health.Health) -> health.Health:
    out = copy.copy(known)
    out.cold = copy.copy(out.cold)
    out.cold.sent = copy.copy(out.cold.sent)
    out.cold.sent.steps = out.cold.sent.steps.copy()
    return out


def explain(
    relay: node.ProxyNode,
    now: identifiers.Millis,
    host: str,
    path: str,
    item: str = "",
    deadline: int = -1,
    tokens: int = 0,
) -> Doc:
    """What would become of a request that came now: {"route", "outcomes": one for each service that it may
    go to, with its part of the draw}."""
    doc: Doc = {"host": host, "path": path, "item": item, "edition": relay.table.edition}
    route = relay.table.match(host, path)
    if route is None:
        empty = relay.table.empty
        doc["outcome"] = "refused" if empty else "no route"
        return {**doc, "status": node.REFUSED if empty else node.NO_ROUTE, "route": None, "outcomes": []}
    arrived = events.Arrived(now, 0, host, path, identifiers.Item(item), deadline, tokens, "")
    outcomes = [outcome(apart(relay, now), route, arrived, *share) for share in parts(route)]
    return {**doc, "route": described(route), "outcomes": outcomes}


def described(route: routing.Route) -> Doc:
    """A route as operators know it."""
    names = ("name", "prefix", "kind", "urgency", "attempts", "pinned")
    doc = {name: getattr(route, name) for name in names}
    return {**doc, "deadline_ms": int(route.deadline), "target_ms": int(route.target)}


def parts(route: routing.Route) -> collections.abc.Iterator[tuple[str, float]]:
    """A route's services, each with its part of the draw."""
    names, sums = route.shares
    before = 0
    for name, total in zip(names, sums, strict=True):
        yield name, round((total - before) / sums[-1], PART_DIGITS)
        before = total


def outcome(
    relay: node.ProxyNode, route: routing.Route, arrived: events.Arrived, service: str, part: float
) -> Doc:
    """What would become of a request that goes to a service. `relay` is a copy that may be changed."""
    asked = request.Request(0, route, arrived)
    asked.service = service
    ahead = sum((w.service, w.item) == (service, asked.item) for w in relay.waiting.values())
    refusal = admit(relay, asked, arrived)
    doc = {"service": service, "part": part, "item": asked.item, "ahead": ahead}
    doc["candidates"] = candidates(relay, asked)
    if refusal is not None:
        refused = {"outcome": "refused", "status": node.REFUSED, "why": refusal.why}
        return {**doc, **refused, "retry_after_ms": refusal.retry_after}
    picked = relay.pick(asked)
    if picked is not None:
        return {**doc, "outcome": "sent", "replica": picked, "address": relay.rows[picked]["address"]}
    status = relay.item_statuses.get(asked.item)
    held = not asked.item or relay.held(asked)
    why = "every replica that holds it is busy" if held else "no replica that is open holds it"
    doc |= {"outcome": "waits", "why": why, "at_most_ms": int(relay.limit(asked) - relay.now)}
    expected_ms = int(relay.expected(asked)) if asked.item else 0
    return {**doc, "fact": str(status.state) if status else "", "expected_ms": expected_ms}


def admit(relay: node.ProxyNode, asked: request.Request, arrived: events.Arrived) -> node.Refusal | None:
    """The program of its route, with the service that is given."""
    for step in asked.route.program:
        if step == "share":
            continue
        refusal: node.Refusal | None = getattr(relay, "do_" + step)(asked, arrived)
        if refusal is not None:
            return refusal
    return None


def candidates(relay: node.ProxyNode, asked: request.Request) -> list[Doc]:
    """The replicas of a request's service, the best first, and why each may not be used."""
    out = []
    for replica_id, row in sorted(relay.rows.items()):
        if row["service"] != asked.service:
            continue
        said = verdict(relay, asked, replica_id, row)
        score = round(relay.score(asked, replica_id), SCORE_DIGITS) if said == "usable" else None
        out.append({"replica": replica_id, "zone": row["zone"], "verdict": said, "score": score})
    return sorted(out, key=lambda c: (c["score"] is None, c["score"] or 0, c["verdict"], c["replica"]))


def verdict(relay: node.ProxyNode, asked: request.Request, replica_id: str, row: interfaces.Row) -> str:
    """Whether a request may go to a replica now, or why not."""
    if replica_id not in relay.holders(asked.service, asked.item):
        return "loads it" if asked.item in row.get("loading", ()) else "does not hold it"
    if row["state"] != "ready":
        return str(row["state"])
    if row["zone"] in relay.book["drains"]:
        return "its zone is evacuated"
    return verdict_of_health(relay, asked, replica_id, row)


def verdict_of_health(
    relay: node.ProxyNode, asked: request.Request, replica_id: str, row: interfaces.Row
) -> str:
    """The same for a replica that is open by the feed."""
    now, known = relay.now, relay.health_of(replica_id)
    if known.dead:
        return "another replica has its address"
    if now < known.down:
        return f"out for {known.down - now} ms after {known.fails} failures"
    if known.lacks(asked.item, now):
        return f"said it is full or lacks it; asked again in {known.absent[asked.item] - now} ms"
    if known.running >= relay.cap(row):
        return f"busy: {known.running} of {relay.cap(row)} of this proxy"
    if relay.fits(asked, replica_id):
        return "usable"
    return f"cold for {known.cold_until - now} ms: its share is used up"


# metrics


def gauge(name: str, text: str, value: float) -> Sample:
    """One figure without labels."""
    return f"basaltport_{name}", "gauge", text, (), [((), value)]


def samples(relay: node.ProxyNode, now: identifiers.Millis) -> collections.abc.Iterator[Sample]:
    """As of keeper.view."""
    yield gauge("ready", "1 where this proxy takes clients", int(relay.ready()))
    yield gauge("led", "1 where a leader is heard", int(follow.FollowMixin.led(relay)))
    yield gauge("serial", "Serial of the agreed book", int(relay.book["serial"]))
    yield gauge("edition", "Edition of the configuration in force", relay.table.edition)
    if relay.led_at > 0:
        age_s = (now - relay.led_at) / MS
        yield gauge("rows_age_seconds", "Since replicas' rows were last confirmed", age_s)
    yield gauge("requests", "Requests here, waiting or sent", len(relay.requests))
    yield gauge("runs", "Attempts under way", len(relay.runs))
    yield gauge("waiting", "Requests that wait", len(relay.waiting))
    oldest = max((now - waiting.born for waiting in relay.waiting.values()), default=0)
    yield gauge("wait_seconds", "The longest of the waits", oldest / MS)
    ends = [((label,), number) for label, number in sorted(relay.tally.items())]
    yield "basaltport_outcomes", "counter", "Ends of attempts and own refusals", ("outcome",), ends
    left = [((service,), row["left"]) for service, row in sorted(retries(relay, now).items())]
    text = "Further attempts that there may be now"
    yield "basaltport_retries_left", "gauge", text, ("service",), left
    states = collections.Counter(place(replica(relay, now, r)) for r in relay.rows)
    labels = ("service", "zone", "state")
    yield "basaltport_replicas", "gauge", "Replicas as this proxy sees them", labels, sorted(states.items())


def place(seen: Doc) -> tuple[str, str, str]:
    """What replicas are counted by."""
    return seen["service"], seen["zone"], "down" if seen["down_ms"] else seen["state"]
