"""What operators are shown of a controller: pure functions of the reducer's state, which they never change.

`m` is the Controller, `now` in ms, `listed` when the list of replicas last came whole (ms) or None."""

import collections
import copy
import math

import basaltport.placement.demand as demand

SLOW_LIST = 3000
SLOW_SEAT = 1000


def leader(m):
    """The agreed row of whom this controller leads or follows, or None."""
    if m.leading:
        return m.me.row()
    if not m.hears_leader():
        return None
    known = [r for r in m.book["roster"].values() if r["name"] == m.leader.name]
    return known[0] if known else {"name": m.leader.name, "addr": m.leader.addr, "http": "", "zone": ""}


def silence(m, now, row):
    """Ms since a controller was last heard of, None if never."""
    if row["name"] == m.me.name:
        return 0
    at = m.acks.get(row["seat"]) if m.leading else None
    if at is None and row["name"] in m.members:
        at = m.members[row["name"]]["at"]
    return None if at is None else max(0, now - at)


def controllers(m, now):
    agreed = m.book["roster"]
    new = m.learners if m.leading else {}
    out = []
    for seat, r in [*agreed.items(), *((s, r) for s, r in new.items() if s not in agreed)]:
        row = {k: r[k] for k in ("name", "zone", "addr", "http")}
        out.append({**row, "votes": seat in agreed, "silent_ms": silence(m, now, r)})
    return sorted(out, key=lambda r: r["name"])


def proxies(m, now):
    """As the leader knows them; `behind`: entries of the agreed book that it was not sent yet."""
    out = []
    for name, p in m.proxies.items():
        row = {"name": name, "zone": p.zone, "address": p.address, "silent_ms": now - p.at}
        out.append({**row, "serial": int(p.serial), "behind": max(0, m.book["serial"] - p.serial)})
    return sorted(out, key=lambda r: r["name"])


def orders(m, now):
    """Plans under way, each with the step it is at."""
    out = []
    for r, p in m.placement.active.items():
        s = p.plan.steps[0] if p.plan.steps else None
        row = {"replica": r, "goal": p.plan.goal, "for": "wanted" if p.plan.asked else "copies"}
        row |= {"age_ms": now - p.plan.made, "steps": len(p.plan.steps)}
        if s:
            state = "accepted" if s.taken else "unsure" if s.unsure else "sent" if s.order else "waits"
            row |= {"kind": s.kind, "item": s.item, "state": state}
            row["since_ms"] = None if s.sent is None else now - s.sent
        out.append(row)
    return sorted(out, key=lambda r: -r["age_ms"])


def unsettled(m, now, listed):
    """Reasons why not all is as it should be, in words."""
    out = []
    if not m.leading and leader(m) is None:
        out.append("no leader is heard")
    if not m.leading and m.camp:
        out.append("asks for promises; missing: " + (", ".join(m.missing()) or "none"))
    if m.bad:
        out.append("the disk failed")
    if m.disk_stalls():
        out.append("the disk stalls")
    if not m.leading:
        return out
    if not m.settled():
        out.append("the leader's first entry is not agreed yet")
    elif not m.holds_at(now):
        out.append("most controllers have not vouched for the leader lately")
    for k in controllers(m, now):
        if not k["votes"]:
            out.append(f"controller {k['name']} is new and has no seat yet")
        elif k["silent_ms"] is None or k["silent_ms"] > SLOW_SEAT:
            out.append(f"controller {k['name']} is silent")
    if m.book["manifest"] is None:
        out.append("there is no configuration yet")
    late = [p["name"] for p in proxies(m, now) if p["behind"]]
    if late:
        out.append("proxies that lack entries: " + ", ".join(late))
    return out + unplaced(m, now, listed)


def unplaced(m, now, listed):
    if m.placing is None:
        return ["placement has not begun"]
    p, out = m.placement, []
    if p.ready_at > now:
        out.append(f"orders wait {p.ready_at - now} ms until no former leader can give any")
    if listed is None or not p.known:
        out.append("the list of replicas was not read yet")
    elif now - listed > SLOW_LIST:
        out.append(f"the list of replicas was last read {now - listed} ms ago")
    dark = sorted(r for r, x in p.reps.items() if x.dark)
    if dark:
        out.append("replicas that do not answer orders: " + ", ".join(dark))
    return out


def status(m, now, listed=None):
    x, g = leader(m), m.promised if m.leading or m.leader is None else m.leader.gen
    d = {"role": "controller", "name": m.me.name, "zone": m.me.zone, "leads": m.leading}
    d |= {"leader": x["name"] if x else None, "leader_address": x["http"] if x else None}
    d |= {"generation": g.text(), "serial": int(m.book["serial"]), "holds": m.holds_at(now)}
    d |= {"edition": edition(m), "evacuated": sorted(m.book["drains"])}
    d |= {"fence": None if m.placing is None else int(m.placing)}
    d |= {"list_age_ms": None if listed is None else now - listed}
    d |= {"controllers": controllers(m, now), "proxies": proxies(m, now)}
    d["keepers"] = d["controllers"]
    d |= {"orders": orders(m, now) if m.placing is not None else []}
    return {**d, "unsettled": unsettled(m, now, listed)}


# placement


def rate(p, now, item):
    """Requests a second for an item, all zones."""
    return sum(copy.copy(r).read(now) for r in p.rates.get(item, {}).values())


def running(p, now, r):
    return r.running * math.exp(-max(0, now - r.running_at) / demand.RUNS)


def wants(m, now):
    out = []
    for i, w in m.placement.wants.items():
        zones = {z: n for z, (n, _) in sorted(w.zones.items())}
        out.append({"item": i, "age_ms": now - w.first, "waiting": sum(zones.values()), "zones": zones})
    return sorted(out, key=lambda r: -r["age_ms"])


def model(p, now, name, wanted):
    zones, due, _ = p.hot.get(name, ((), None, 0))
    copies = collections.Counter(x.zone for x in p.copies(name))
    row = {"model": name, "copies": dict(sorted(copies.items())), "rate_s": round(rate(p, now, name), 2)}
    row |= {"due": due, "due_zones": sorted(zones), "loading": sorted(p.coming.get(name, ()))}
    return {**row, "wanted_ms": now - wanted[name] if name in wanted else None}


def replica(p, now, x):
    s = p.cat.services.get(x.service)
    row = {"id": x.id, "service": x.service, "zone": x.zone, "state": x.state, "leaves_in_ms": x.leaves}
    row |= {"room_mb": s.room if s else None, "used_mb": round(x.used(p.cat), 1)}
    row |= {"slots": x.slots, "running": round(running(p, now, x), 1), "known": x.synced, "failed": x.dark}
    return {**row, "models": x.shown(), "loading": x.coming()}


def placement(m, now):
    p = m.placement
    wanted = {}
    for i, w in p.wants.items():
        name = i.partition("/")[0]
        wanted[name] = min(w.first, wanted.get(name, w.first))
    models = [model(p, now, n, wanted) for n in p.cat.homes]
    models.sort(key=lambda r: (-r["rate_s"], r["model"]))
    d = {"leader": m.me.name, "fence": None if m.placing is None else int(m.placing), "models": models}
    d |= {"wants": wants(m, now), "loads": orders(m, now)}
    return {**d, "replicas": [replica(p, now, p.reps[r]) for r in sorted(p.reps)]}


# the rest


def edition(m):
    return (m.book["manifest"] or {}).get("edition", 0)


def configuration(m, now):
    doc = m.book["manifest"] or {}
    services = doc.get("services", ())
    models = sum(len((s.get("engine") or {}).get("models", ())) for s in services)
    d = {"edition": edition(m), "serial": int(m.book["mserial"]), "routes": len(doc.get("routes", ()))}
    d |= {"hosts": len({r["host"].lower() for r in doc.get("routes", ())})}
    return {**d, "services": len(services), "models": models}


def members(m, now):
    return {"members": [{"role": "controller", **k} for k in controllers(m, now)]
            + [{"role": "proxy", **p} for p in proxies(m, now)]}  # fmt: skip


def samples(m, now, listed=None):
    """(name, kind, help, labels, [(label values, value)]) for each family of metrics; what only the leader
    knows comes from the leader alone."""

    def one(name, help, value):
        return f"basaltport_{name}", "gauge", help, (), [((), value)]

    yield one("leads", "1 where this controller leads", int(m.leading))
    yield one("holds", "1 where this controller leads and no other can", int(m.holds_at(now)))
    yield one("led", "1 where a leader is heard, or it leads itself", int(leader(m) is not None))
    yield one("serial", "Serial of the agreed book", int(m.book["serial"]))
    yield one("edition", "Edition of the configuration in force", edition(m))
    yield one("unsettled", "Reasons why this controller is not settled", len(unsettled(m, now, listed)))
    if not m.leading:
        return
    ks = controllers(m, now)
    votes = sum(k["votes"] for k in ks)
    yield one("controllers", "Controllers that vote", votes)
    yield one("keepers", "Former name of basaltport_controllers", votes)
    late = sum(k["silent_ms"] is None or k["silent_ms"] > SLOW_SEAT for k in ks)
    yield one("controllers_silent", "Controllers that do not answer", late)
    yield one("keepers_silent", "Former name of basaltport_controllers_silent", late)
    yield one("proxies", "Proxies that follow", len(m.proxies))
    if listed is not None:
        yield one("list_age_seconds", "Age of the list of replicas", (now - listed) / 1000)
    if m.placing is None:
        return
    p = m.placement
    yield one("wants", "Items that requests wait for", len(p.wants))
    oldest = max((now - w.first for w in p.wants.values()), default=0)
    yield one("want_age_seconds", "Age of the oldest of them", oldest / 1000)
    yield one("orders", "Orders under way", len(p.active))
    yield one("models_hot", "Models that are due more than one copy", len(p.hot))
    lack = sum(max(0, due - len(p.copies(n))) for n, (_, due, _) in p.hot.items())
    yield one("copies_lacking", "Copies that hot models lack", lack)
    by = collections.Counter((x.service, x.zone, x.state) for x in p.reps.values())
    rows = sorted(by.items())
    yield "basaltport_replicas", "gauge", "Replicas on the list", ("service", "zone", "state"), rows
