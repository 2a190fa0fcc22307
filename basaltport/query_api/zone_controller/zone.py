"""The steward of a zone: the only giver of orders to its replicas, under a fence."""

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.messages as messages
import basaltport.cold_start.limits as limits
import basaltport.query_api.zone_controller.homes as homes
import basaltport.query_api.zone_controller.news as news
import basaltport.query_api.zone_controller.slots as slots

POLL = 250
DARK = 1500
WANTED = 3000
ORDER_LAPSE = 2000
LOADS = 2
PLACE = 100
MISSES = 2
IDLE = 2000


class Rep:
    """A replica as its steward knows it from its own word."""

    __slots__ = (
        "id url group epoch held running up at asked fresh ordering heard room misses n unseen".split()
    )

    def __init__(self, rid, url, group):
        self.id = rid
        self.url = url
        self.group = group
        self.epoch = ""
        self.held = {}
        self.running = 0
        self.up = False
        self.at = -(10**9)
        self.asked = -(10**9)
        self.fresh = -1
        self.ordering = {}
        self.misses = 0
        self.n = 0
        self.heard = False
        self.room = 0
        self.unseen = []

    def ghosts(self):
        """Only what was seen in each of the last polls; one alone may be a count that is a little old."""
        return min(self.unseen, default=0)


class Duty:
    __slots__ = (
        *"placed zone fence since reps wants loads ask_k ask_at".split(),
        *"budget version news_at shown recent slots refused".split(),
    )

    def __init__(self, zone, fence, now):
        self.placed = now
        self.zone = zone
        self.fence = fence
        self.since = now
        self.reps = {}
        self.wants = {}
        self.loads = {}
        self.ask_k = 0
        self.ask_at = -(10**9)
        self.budget = {}
        self.version = 0
        self.news_at = -(10**9)
        self.shown = {}
        self.recent = {}
        self.refused = {}
        self.slots = slots.Shares(now)


class StewardMixin(slots.SlotMixin, news.NewsMixin, homes.HomeMixin):
    """Needs SeatMixin, CellMixin and compiled rules."""

    def steward_start(self):
        self.duties = {}
        self.homes_start()
        self.order_n = 0
        self.orders = {}

    def take_duties(self):
        mine = {}
        for k, d in self.book["duties"].items():
            if d["owner"] == self.me.seat and k.startswith("zone/"):
                mine[identifiers.Zone(k[5:])] = identifiers.Fence(d["fence"])
        for z in [z for z in self.duties if z not in mine or mine[z] != self.duties[z].fence]:
            del self.duties[z]
        for z, f in mine.items():
            if z not in self.duties:
                self.duties[z] = Duty(z, f, self.now)
                self.list_replicas(self.duties[z])
                self.note(log_events.Event.DUTY_TAKEN, zone=z, fence=int(f))

    def tick_steward(self):
        if not self.leased():
            return
        for d in self.duties.values():
            self.list_replicas(d)
            self.poll(d)
            if self.now - d.placed >= PLACE:
                self.place(d)
            self.ask_permits(d)
            self.tell(d)

    def list_replicas(self, d):
        rows = {r: v for r, v in self.book["platform"].items() if v["zone"] == d.zone}
        for r in [r for r in d.reps if r not in rows or d.reps[r].url != rows[r]["url"]]:
            del d.reps[r]
        for r, v in rows.items():
            if r not in d.reps:
                d.reps[r] = Rep(identifiers.ReplicaId(r), v["url"], v["group"])

    def poll(self, d):
        for p in d.reps.values():
            if self.now - p.asked >= POLL:
                p.asked = self.now
                self.emit(events.Poll(p.id, f"{p.url}/state?fence={d.fence}"))
            if self.now - p.at > DARK:
                self.darken(p)

    def darken(self, p):
        if p.up:
            p.up = False
            self.note(log_events.Event.REPLICA_DARK, replica=p.id)

    def unheard(self, d, grace):
        """Whether a new duty should still wait for the first word of some replica."""
        return self.now - d.since < grace and any(not p.heard for p in d.reps.values())

    def on_polled(self, ev):
        z = self.zone_of(ev.replica)
        d = self.duties.get(z)
        p = d.reps.get(ev.replica) if d else None
        if p is None:
            return
        if not ev.ok:
            p.misses += 1
            if p.misses >= MISSES:
                self.darken(p)
            return
        self.take_state(d, p, ev.state)

    def take_state(self, d, p, st):
        if st.get("fence", 0) > d.fence:
            self.note(log_events.Event.FENCE_PASSED, replica=p.id, fence=int(d.fence), seen=st["fence"])
            return
        if st["epoch"] == p.epoch and st["n"] <= p.n:
            return
        p.n = st["n"]
        if st["epoch"] != p.epoch:
            p.epoch = st["epoch"]
            p.fresh = self.now - st["up_ms"]
            p.ordering = {}
            self.note(log_events.Event.REPLICA_MET, replica=p.id, epoch=p.epoch)
        p.heard, p.up, p.at, p.misses = True, True, self.now, 0
        p.room = min(st["room"], self.rules.groups.get(p.group, {"room": 0})["room"])
        p.running = st["running"]
        self.count_ghosts(d, p)
        before, p.held = p.held, st["held"]
        for i, h in p.held.items():
            if (
                h["state"] == "loaded"
                and before.get(i, {}).get("state") != "loaded"
                and h.get("took_ms", 0) > 0
            ):
                d.recent.setdefault(i, []).append(h["took_ms"])
                del d.recent[i][: -limits.RECENT]
        for i in [i for i in p.ordering if i in p.held or self.now - p.ordering[i][0] > ORDER_LAPSE]:
            del p.ordering[i]

    # what a rostrum asks

    def hear_want(self, src, m):
        addr = self.addr_of(m.seat)
        d = self.duties.get(m.zone)
        if addr is None or d is None or not self.leased():
            return
        if m.wake and m.item in self.rules.items:
            d.wants[m.item] = (self.now, m.pool)
            self.place(d)
            self.ask_permits(d)
        self.send(addr, self.facts_of(d, m))

    def facts_of(self, d, m):
        r = self.rules.items.get(m.item)
        ex = limits.expected(d.recent.get(m.item), r.expected if r else 0)
        state, reps, serving, loading, why = self.state_of(d, m.item, m.wake)
        retry = identifiers.Millis(max(limits.POLL, min((ex - loading) // 2, 1000)))
        win = r.idle_window if r else 0
        kept = bool(r and self.kept_here(r, d))
        return messages.Facts(
            m.ask, d.zone, m.item, state, retry, kept, win, ex, serving, max(0, loading), reps, why
        )

    def state_of(self, d, item, wake):
        """loaded, loading or unavailable; how long it has served, or been loading."""
        ups = [p for p in d.reps.values() if p.up and self.may_use(p.id)]
        on = [p for p in ups if p.held.get(item, {}).get("state") == "loaded"]
        if on:
            return "loaded", [p.id for p in on], max(p.held[item]["for_ms"] for p in on), 0, ""
        for p in ups:
            if item in p.held:
                return "loading", [], -1, p.held[item]["for_ms"], ""
        if item not in self.rules.items:
            return "unavailable", [], -1, 0, "not in the manifest"
        if not wake:
            return "unavailable", [], -1, 0, "not held"
        if self.unheard(d, 2 * DARK):
            return "loading", [], -1, 0, ""
        why = d.refused.get(item)
        if why:
            return "unavailable", [], -1, 0, why
        return "loading", [], -1, 0, ""

    # placement

    def place(self, d):
        d.placed = self.now
        if d.zone in self.book["drains"]:
            return
        if self.unheard(d, 2 * DARK):
            return
        need = {i: w[1] for i, w in d.wants.items() if self.now - w[0] < WANTED}
        d.wants = {i: w for i, w in d.wants.items() if i in need}
        self.see_zones()
        kept = [r.item for r in self.rules.items.values() if self.kept_here(r, d)]
        d.refused = {}
        goal = list(need) + [i for i in kept if i not in need]
        for i in goal:
            self.place_item(d, i, need.get(i, ""), set(kept if i in kept else goal))

    def place_item(self, d, item, pool, goal):
        ups = [p for p in d.reps.values() if p.up and self.may_use(p.id)]
        if any(item in p.held or item in p.ordering for p in ups):
            return
        r = self.rules.items.get(item)
        if r is None:
            return
        fit = [p for p in ups if p.group == r.group]
        if not fit:
            d.refused[item] = "no replica of its group is up in this zone"
            return
        if item.is_adapter():
            on = [p for p in fit if p.held.get(item.base(), {}).get("state") == "loaded"]
            if not on:
                if not any(item.base() in p.held or item.base() in p.ordering for p in fit):
                    self.place_item(d, item.base(), pool, goal | {item})
                    if item.base() in d.refused:
                        d.refused[item] = d.refused[item.base()]
                return
            fit = on
        fit = [p for p in fit if self.loading(p) < LOADS]
        if not fit:
            return
        room = [p for p in fit if self.free(p) >= r.size]
        if room:
            p = max(room, key=lambda p: (self.free(p) >= r.full, self.free(p), p.id))
            self.load(d, p, r, pool)
            return
        self.make_room(d, fit, r, goal)

    def loading(self, p):
        return len({i for i, h in p.held.items() if h["state"] == "loading"} | set(p.ordering))

    def free(self, p):
        used = sum(h["size"] for h in p.held.values())
        return p.room - used - sum(o[1] for o in p.ordering.values())

    def load(self, d, p, r, pool):
        if d.budget.get(pool, 0) <= 0:
            d.loads[r.item] = (self.now, pool)
            return
        d.budget[pool] -= 1
        d.loads.pop(r.item, None)
        p.ordering[r.item] = (self.now, r.size, pool)
        self.order(d, p, {"do": "load", "item": r.item, "size": r.size, "pool": pool})

    def make_room(self, d, fit, r, goal):
        """Evict what is idle longest, neither wanted nor in use, where that gives room."""
        best = None
        for p in fit:
            idle = []
            for i, h in p.held.items():
                if i in goal or h["state"] != "loaded" or h["running"] or self.wanted_by_adapter(p, i, goal):
                    continue
                if h["idle_ms"] < IDLE:
                    continue
                idle.append((h["idle_ms"], i, h["size"]))
            idle.sort(reverse=True)
            got, out = self.free(p), []
            for ms, i, size in idle:
                if got >= r.size:
                    break
                got += size
                out.append((ms, i))
            if got >= r.size and out and (best is None or out[-1][0] > best[0]):
                best = (out[-1][0], p, out)
        if best is None:
            d.refused[r.item] = "no room: everything held here is in use or wanted"
            return
        for _, i in best[2]:
            self.order(d, best[1], {"do": "unload", "item": i})

    def wanted_by_adapter(self, p, i, goal):
        return any(j.startswith(i + "/") and (j in goal or h["running"]) for j, h in p.held.items())

    def order(self, d, p, body):
        self.order_n += 1
        self.orders[self.order_n] = (d.zone, p.id, body)
        body = {**body, "fence": int(d.fence)}
        self.note(log_events.Event.ORDER, replica=p.id, **{k: v for k, v in body.items() if k != "fence"})
        self.emit(events.Order(self.order_n, p.id, f"{p.url}/order", body))

    def on_ordered(self, ev):
        z, r, body = self.orders.pop(ev.order)
        d = self.duties.get(z)
        p = d.reps.get(r) if d else None
        if p is None:
            return
        if not ev.ok:
            self.note(
                log_events.Event.ORDER_FAILED,
                replica=r,
                item=body["item"],
                why=str(ev.state.get("error", "")),
            )
            if ev.state.get("ran") == "no":
                p.ordering.pop(body["item"], None)
        if "held" in ev.state:
            self.take_state(d, p, ev.state)

    # news

    def in_flight(self, d):
        n = {}
        for p in d.reps.values():
            for h in p.held.values():
                if h["state"] == "loading":
                    n[h["pool"]] = n.get(h["pool"], 0) + 1
            for i in p.ordering:
                if i not in p.held:
                    pool = p.ordering[i][2]
                    n[pool] = n.get(pool, 0) + 1
        return n
