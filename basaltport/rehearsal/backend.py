"""The simulator's other parties: replicas, weight store, platform, senders."""

import random

import basaltport.events as events
import basaltport.rehearsal.replica as replica


class SimReplica:
    """A stand-in replica and its wires' state."""

    def __init__(self, rid, row, conf):
        self.rid = rid
        self.row = row
        self.conf = conf
        self.logic = None
        self.life = 0
        self.mode = "up"
        self.slow = 1
        self.past = []


class BackendMixin:
    """Needs World."""

    def backend_start(self):
        p = self.preset
        self.store = replica.Store(p["loads"])
        self.store_slow = 1
        self.replicas = {}
        self.queries = {}
        self.sent_n = 0
        for g, v in p["groups"].items():
            for i in range(v["replicas"]):
                self.add_replica(f"{g}-{i + 1}", f"z{i % p['zones'] + 1}", g)

    def add_replica(self, rid, zone, group):
        url = f"http://10.1.0.{len(self.replicas) + 1}:80"
        r = SimReplica(rid, {"url": url, "zone": zone, "group": group}, self.preset["groups"][group])
        self.replicas[rid] = r
        self.start_replica(rid)
        return r

    def start_replica(self, rid):
        r = self.replicas[rid]
        if r.logic:
            r.past.append(r.logic)
        r.life += 1
        r.mode = "up"
        epoch = f"{rid}-{r.life}"
        r.logic = replica.Replica(rid, r.conf["room"], r.conf["slots"], epoch, self.now)
        self.log("replica-start", replica=rid)

    def crash_replica(self, rid):
        """It ends: wires to it break, what ran there is over or half done."""
        r = self.replicas[rid]
        self.log("replica-crash", replica=rid)
        r.mode = "gone"
        r.life += 1
        for h in r.logic.held.values():
            if h["state"] == "loading":
                self.store.end()
                h["state"] = "lost"

    def dark_replica(self, rid, on=True):
        self.log("replica-dark", replica=rid, on=on)
        self.replicas[rid].mode = "dark" if on else "up"

    def platform_list(self):
        return {r: dict(s.row) for r, s in self.replicas.items()}

    def by_url(self, url):
        for r in self.replicas.values():
            if url.startswith(r.row["url"] + "/") or url == r.row["url"]:
                return r
        return None

    def hop(self):
        return self.rng.randrange(1, 4) * self.slow

    def reachable(self, n, r):
        return r is not None and r.mode != "dark" and (n.name, r.rid) not in self.cuts

    # polls and orders

    def do_poll(self, n, e):
        r = self.by_url(e.url)
        if not self.reachable(n, r):
            self.later(1000, self.give, n, n.life, events.Polled(self.now, e.replica, False, {}))
            return
        fence = int(e.url.split("fence=")[1])
        self.later(self.hop(), self.poll_there, n, n.life, r, r.life, e, fence)

    def poll_there(self, n, life, r, rlife, e, fence):
        ok = r.mode in ("up", "sick") and r.life == rlife
        st = r.logic.state(self.now, fence) if ok else {}
        self.later(self.hop(), self.give, n, life, events.Polled(self.now, e.replica, ok, st))

    def do_order(self, n, e):
        r = self.by_url(e.url)
        if not self.reachable(n, r):
            self.later(1000, self.give, n, n.life, events.Ordered(self.now, e.order, False, {}))
            return
        self.later(self.hop(), self.order_there, n, n.life, r, r.life, e)

    def order_there(self, n, life, r, rlife, e):
        if r.mode != "up" or r.life != rlife:
            self.later(self.hop(), self.give, n, life, events.Ordered(self.now, e.order, False, {}))
            return
        status, doc, item = r.logic.order(self.now, e.body)
        self.log("order", node=n.name, replica=r.rid, epoch=r.logic.epoch, status=status, **e.body)
        if r.logic.used() > r.logic.room or status == 409 and doc["error"] == "no-room":
            self.log("over-room", replica=r.rid, used=r.logic.used(), room=r.logic.room)
        if item:
            self.store.begin()
            self.log("load", replica=r.rid, item=item, at_once=self.store.now_loading, limit=self.store.loads)
            ms = e.body["size"] * self.preset["load_ms_per_size"] * self.store_slow
            self.later(ms, self.loaded, r, r.life, item)
        self.later(self.hop(), self.give, n, life, events.Ordered(self.now, e.order, status == 200, doc))

    def loaded(self, r, life, item):
        if r.life != life:
            return
        self.store.end()
        r.logic.loaded(self.now, item)

    # dispatches

    def do_dispatch(self, n, e):
        r = self.by_url(e.url)
        self.later(self.hop(), self.write, n, n.life, r, e)

    def write(self, n, life, r, e):
        """The wire is there: the last look at lease, serial and mark, and the bytes go."""
        if n.life != life or n.member is None:
            return
        if n.frozen:
            self.later(50, self.write, n, life, r, e)
            return
        n.member.now = max(n.member.now, self.now)
        if r.mode == "gone":
            self.give(n, life, events.Replied(self.now, e.dispatch, "refused", 0, "no-wire"))
            return
        e.serial = n.member.may_write(e.dispatch)
        if e.serial is None:
            self.give(n, life, events.Replied(self.now, e.dispatch, "refused", 0, "withheld"))
            return
        self.log("write", node=n.name, replica=r.rid, dispatch=e.dispatch, query=e.query, serial=e.serial)
        if (n.name, r.rid) in self.cuts or r.mode == "dark":
            self.later(e.timeout, self.give, n, life, events.Replied(self.now, e.dispatch, "late"))
            return
        st = {"over": False, "pieces": 0}
        self.later(e.timeout, self.late, n, life, e, st)
        self.later(self.hop(), self.admit, n, life, r, r.life, e, st)

    def late(self, n, life, e, st):
        if st["over"]:
            return
        st["over"] = True
        out = "cut" if st["pieces"] else "late"
        self.sender_cut(e.query, st["pieces"])
        self.give(n, life, events.Replied(self.now, e.dispatch, out))

    def sender_cut(self, qid, pieces):
        if pieces:
            self.closed(qid, "cut", 0, {})

    def back(self, n, life, e, st, ev):
        if st["over"]:
            return
        st["over"] = True
        self.give(n, life, ev)

    def admit(self, n, life, r, rlife, e, st):
        if r.life != rlife or r.mode not in ("up", "sick"):
            self.later(self.hop(), self.back, n, life, e, st, events.Replied(self.now, e.dispatch, "broken"))
            return
        self.log("reach", node=n.name, replica=r.rid, zone=r.row["zone"], dispatch=e.dispatch)
        bad = r.logic.admit(self.now, e.dispatch, e.serial, e.body)
        if bad:
            ev = events.Replied(self.now, e.dispatch, "refused", 0, bad[1], r.logic.serial)
            self.later(self.hop(), self.back, n, life, e, st, ev)
            return
        at = {"age": int(self.now - r.logic.born), "running": len(r.logic.running), "group": r.row["group"]}
        p = e.body["prompt"]
        self.log("ran", replica=r.rid, dispatch=e.dispatch, prompt=p, serial=e.serial, **at)
        if r.mode == "sick":
            r.logic.finish(self.now, e.dispatch)
            self.later(self.hop(), self.back, n, life, e, st, events.Replied(self.now, e.dispatch, "broken"))
            return
        ms = self.preset["service_ms"][r.row["group"]] * self.rng.uniform(0.6, 1.4) * r.slow
        self.later(int(ms) + 1, self.finish, n, life, r, r.life, e, st)

    def finish(self, n, life, r, rlife, e, st):
        if r.life != rlife:
            self.later(self.hop(), self.back, n, life, e, st, events.Replied(self.now, e.dispatch, "broken"))
            return
        r.logic.finish(self.now, e.dispatch)
        if r.mode not in ("up", "sick") or (r.rid, n.name) in self.cuts:
            return
        self.later(self.hop(), self.reply, n, life, e, st)

    def reply(self, n, life, e, st):
        if st["over"] or n.life != life or n.member is None:
            return
        if n.frozen:
            self.later(50, self.reply, n, life, e, st)
            return
        self.closed(e.query, "done", 200, {"reply": e.body["prompt"]})
        self.back(n, life, e, st, events.Replied(self.now, e.dispatch, "done", 200))

    def do_abandon(self, n, e):
        self.give(n, n.life, events.Replied(self.now, e.dispatch, "broken", 0, "abandoned"))

    # senders

    def send_query(self, line, model, adapter="", token="", once=False, deadline=-1, node=None):
        self.sent_n += 1
        prompt = f"p{self.sent_n}"
        live = [n for n in self.nodes.values() if n.role == "rostrum" and n.member is not None]
        live = [n for n in live if not n.stopping]
        q = {"prompt": prompt, "line": line, "once": once, "at": int(self.now), "outcome": "", "code": ""}
        n = self.nodes[node] if node else (self.rng.choice(live) if live else None)
        q["id"] = qid = f"q{self.sent_n}"
        self.queries[qid] = q
        if n is None or n.member is None:
            q["outcome"] = "no-node"
            return q
        q["node"] = n.name
        body = {"model": model, "prompt": prompt}
        if adapter:
            body["adapter"] = adapter
        self.log("query", query=qid, prompt=prompt, line=line, once=once, node=n.name)
        self.give(n, n.life, events.Arrived(self.now, qid, line, token, body, deadline))
        return q

    def closed(self, qid, outcome, status, body):
        q = self.queries[qid]
        if q["outcome"]:
            self.log("twice-closed", query=qid, was=q["outcome"], now=outcome)
            return
        q.update(outcome=outcome, code=body.get("error", ""), status=status, end=int(self.now), body=body)
        tell = {"reply": body["reply"]} if outcome == "done" else {"retry": body.get("retry_after_ms", 0)}
        self.log("end", query=qid, prompt=q["prompt"], outcome=outcome, code=q["code"], status=status, **tell)

    def do_close(self, n, e):
        self.closed(e.query, "refused" if e.body["ran"] == "no" else "unknown", e.status, e.body)

    def cut_senders(self, n):
        for q in self.queries.values():
            if q.get("node") == n.name and not q["outcome"]:
                self.closed(q["id"], "cut", 0, {})


class Crowd:
    """Open-loop senders by a demand document, on the world's time."""

    def __init__(self, world, demand, manifest, hashes, seed):
        self.world = world
        self.demand = demand
        self.manifest = manifest
        self.hashes = hashes
        self.rng = random.Random(seed)
        self.on = False
        self.factor = {}

    def start(self):
        self.on = True
        self.since = self.world.now
        for line in self.demand["lines"]:
            self.next(line)

    def stop(self):
        self.on = False

    def next(self, line):
        d = self.demand["lines"][line]
        rate = d["rate"] * self.factor.get(line, 1)
        self.world.later(max(1, int(self.rng.expovariate(rate) * 1000)), self.one, line)

    def one(self, line):
        if not self.on:
            return
        d = self.demand["lines"][line]
        item = self.rng.choice(d["items"])
        model, _, adapter = item.partition("/")
        sender = self.rng.choice(sorted(d["senders"]))
        once = self.manifest["lines"][line]["once_only"]
        self.world.send_query(line, model, adapter, self.hashes(d["senders"][sender]), once)
        self.next(line)
