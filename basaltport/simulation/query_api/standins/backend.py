"""The simulator's other parties: replicas, weight store, platform."""

import basaltport.query_api.replica_client.pieces as pieces
import basaltport.query_api.events as events
import basaltport.simulation.query_api.standins.replica as replica
import basaltport.sockets as sockets


class SimReplica:
    """A stand-in replica and its wires' state."""

    def __init__(self, rid, row, conf):
        self.rid = rid
        self.row = row
        self.conf = conf
        self.logic = None
        self.incarnation = 0
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
        self.abandoned = set()
        self.urls = 0
        for g, v in p["groups"].items():
            for i in range(v["replicas"]):
                self.add_replica(f"{g}-{i + 1}", f"z{i % p['zones'] + 1}", g)

    def add_replica(self, rid, zone, group):
        self.urls += 1
        url = f"http://10.1.0.{self.urls}:80"
        r = SimReplica(rid, {"url": url, "zone": zone, "group": group}, self.preset["groups"][group])
        self.replicas[rid] = r
        self.start_replica(rid)
        return r

    def start_replica(self, rid):
        r = self.replicas[rid]
        if r.logic:
            r.past.append(r.logic)
        r.incarnation += 1
        r.mode = "up"
        epoch = f"{rid}-{r.incarnation}"
        r.logic = replica.Replica(rid, r.conf["room"], r.conf["slots"], epoch, self.now)
        self.log("replica-start", replica=rid)

    def crash_replica(self, rid):
        """It ends: wires to it break, what ran there is over or half done."""
        r = self.replicas[rid]
        self.log("replica-crash", replica=rid)
        r.mode = "gone"
        r.incarnation += 1
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

    def do_poll_replica(self, n, e):
        r = self.by_url(e.url)
        if not self.reachable(n, r):
            self.later(
                1000, self.give, n, n.incarnation, events.ReplicaPolled(self.now, e.replica_id, False, {})
            )
            return
        fence = int(e.url.split("fence=")[1])
        self.later(self.hop(), self.poll_there, n, n.incarnation, r, r.incarnation, e, fence)

    def poll_there(self, n, incarnation, r, rlife, e, fence):
        ok = r.mode in ("up", "sick", "torn") and r.incarnation == rlife
        st = r.logic.state(self.now, fence) if ok else {}
        self.later(
            self.hop(), self.give, n, incarnation, events.ReplicaPolled(self.now, e.replica_id, ok, st)
        )

    def do_order_replica(self, n, e):
        r = self.by_url(e.url)
        if not self.reachable(n, r):
            self.later(
                1000, self.give, n, n.incarnation, events.OrderAnswered(self.now, e.order_number, False, {})
            )
            return
        self.later(self.hop(), self.order_there, n, n.incarnation, r, r.incarnation, e)

    def order_there(self, n, incarnation, r, rlife, e):
        if r.mode != "up" or r.incarnation != rlife:
            self.later(
                self.hop(),
                self.give,
                n,
                incarnation,
                events.OrderAnswered(self.now, e.order_number, False, {}),
            )
            return
        status, doc, item = r.logic.order(self.now, e.body)
        self.log("order", node=n.name, replica=r.rid, epoch=r.logic.epoch, status=status, **e.body)
        if r.logic.used() > r.logic.room or status == 409 and doc["error"] == "no-room":
            self.log("over-room", replica=r.rid, used=r.logic.used(), room=r.logic.room)
        if item:
            self.store.begin()
            self.log("load", replica=r.rid, item=item, at_once=self.store.now_loading, limit=self.store.loads)
            ms = e.body["size"] * self.preset["load_ms_per_size"] * self.store_slow
            self.later(ms, self.loaded, r, r.incarnation, item)
        self.later(
            self.hop(),
            self.give,
            n,
            incarnation,
            events.OrderAnswered(self.now, e.order_number, status == 200, doc),
        )

    def loaded(self, r, incarnation, item):
        if r.incarnation != incarnation:
            return
        self.store.end()
        r.logic.loaded(self.now, item)

    # dispatches

    def do_start_attempt(self, n, e):
        r = self.by_url(e.url)
        self.later(self.hop(), self.write, n, n.incarnation, r, e)

    def write(self, n, incarnation, r, e):
        """The wire is there: the last look at lease, serial and mark, and the bytes go."""
        if n.incarnation != incarnation or n.member is None:
            return
        if n.frozen:
            self.later(50, self.write, n, incarnation, r, e)
            return
        n.member.now = max(n.member.now, self.now)
        if r.mode == "gone":
            self.give(n, incarnation, events.AttemptEnded(self.now, e.attempt_id, "refused", 0, "no-wire"))
            return
        e.configuration_version = n.member.may_write(e.attempt_id)
        if e.configuration_version is None:
            self.give(n, incarnation, events.AttemptEnded(self.now, e.attempt_id, "refused", 0, "withheld"))
            return
        self.log(
            "write",
            node=n.name,
            replica=r.rid,
            dispatch=e.attempt_id,
            query=e.request_id,
            serial=e.configuration_version,
        )
        st = {"over": False, "pieces": 0, "said": pieces.PieceReader(e.attempt_id), "inbox": [], "at": 0}
        self.later(e.timeout_ms, self.late, n, incarnation, e, st)
        if (n.name, r.rid) in self.cuts or r.mode == "dark":
            if self.hold is not None and r.mode != "dark":
                self.held.append((self.now, self.admit, (n, incarnation, r, r.incarnation, e, st)))
            lost = events.AttemptEnded(self.now, e.attempt_id, "broken")
            self.later(sockets.UNDELIVERED, self.back, n, incarnation, e, st, lost)
            return
        self.later(self.hop(), self.admit, n, incarnation, r, r.incarnation, e, st)

    def late(self, n, incarnation, e, st):
        if st["over"] or e.attempt_id in self.abandoned or n.incarnation != incarnation:
            return
        st["over"] = True
        self.give(n, incarnation, self.broke_off(e, st, "late"))

    def broke_off(self, e, st, outcome):
        """What an adapter tells of a wire that ended: with a piece gone out, the sender's ends as well."""
        if not st["pieces"]:
            return events.AttemptEnded(self.now, e.attempt_id, outcome)
        self.closed(e.request_id, "cut", 0, {})
        return events.AttemptEnded(self.now, e.attempt_id, "cut")

    def back(self, n, incarnation, e, st, ev):
        if st["over"] or e.attempt_id in self.abandoned or n.incarnation != incarnation:
            return
        st["over"] = True
        if ev.outcome == "broken":
            ev = self.broke_off(e, st, "broken")
        self.give(n, incarnation, ev)

    def admit(self, n, incarnation, r, rlife, e, st):
        if r.incarnation != rlife or r.mode not in ("up", "sick", "torn"):
            self.later(
                self.hop(),
                self.back,
                n,
                incarnation,
                e,
                st,
                events.AttemptEnded(self.now, e.attempt_id, "broken"),
            )
            return
        self.log("reach", node=n.name, replica=r.rid, zone=r.row["zone"], dispatch=e.attempt_id)
        bad = r.logic.admit(self.now, e.attempt_id, e.configuration_version, e.body)
        if bad:
            ev = events.AttemptEnded(self.now, e.attempt_id, "refused", 0, bad[1], r.logic.serial)
            self.later(self.hop(), self.back, n, incarnation, e, st, ev)
            return
        at = {"age": int(self.now - r.logic.born), "running": len(r.logic.running), "group": r.row["group"]}
        p = e.body["prompt"]
        self.log("ran", replica=r.rid, dispatch=e.attempt_id, prompt=p, serial=e.configuration_version, **at)
        if r.mode == "sick" or r.mode == "torn" and not e.body.get("stream"):
            r.logic.finish(self.now, e.attempt_id)
            self.later(
                self.hop(),
                self.back,
                n,
                incarnation,
                e,
                st,
                events.AttemptEnded(self.now, e.attempt_id, "broken"),
            )
            return
        ms = self.preset["service_ms"][r.row["group"]] * self.rng.uniform(0.6, 1.4) * r.slow
        if e.body.get("stream"):
            self.stream_start(n, incarnation, r, e, st, ms)
            return
        self.later(int(ms) + 1, self.finish, n, incarnation, r, r.incarnation, e, st)

    def finish(self, n, incarnation, r, rlife, e, st):
        if r.incarnation != rlife:
            self.later(
                self.hop(),
                self.back,
                n,
                incarnation,
                e,
                st,
                events.AttemptEnded(self.now, e.attempt_id, "broken"),
            )
            return
        r.logic.finish(self.now, e.attempt_id)
        if r.mode not in ("up", "sick", "torn") or (r.rid, n.name) in self.cuts:
            return
        self.later(self.hop(), self.reply, n, incarnation, e, st)

    def reply(self, n, incarnation, e, st):
        if st["over"] or n.incarnation != incarnation or n.member is None:
            return
        if n.frozen:
            self.later(50, self.reply, n, incarnation, e, st)
            return
        doc = {"reply": e.body["prompt"]}
        self.closed(e.request_id, "done", 200, doc)
        kept = doc if e.keep_response else None
        self.back(
            n, incarnation, e, st, events.AttemptEnded(self.now, e.attempt_id, "done", 200, response=kept)
        )

    def do_cancel_attempt(self, n, e):
        if e.attempt_id in self.abandoned:
            return
        self.abandoned.add(e.attempt_id)
        self.give(n, n.incarnation, events.AttemptEnded(self.now, e.attempt_id, "broken", 0, "abandoned"))
