"""The node that relays requests: one reducer over all its events."""

import basaltport.fleet.follow as follow
import basaltport.kinds as kinds
import basaltport.member as member
import basaltport.relay.attempts as attempts
import basaltport.relay.decision as decision
import basaltport.relay.events as events
import basaltport.relay.pick as pick
import basaltport.relay.readiness as readiness
import basaltport.relay.request as request
import basaltport.relay.table as table

TIMINGS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 20,
    "cold_excess": 1.0,
    "cold_slack": 0,
    "drain_ms": 3000,
    "grace_s": 8,
}
STARTING = 1500
PARKED = 4000
COME_BACK = 1000
BOUND = 2000
ASSUMED = 16
ENDING = "this proxy ends"


class Relay(
    readiness.ReadinessMixin,
    attempts.AttemptMixin,
    pick.PickMixin,
    follow.FollowMixin,
    member.Member,
):
    """`zones`: how many zones there are. `timings`: the deployment's bounds, see docs/platform.md."""

    def __init__(self, me, seed, now, timings=None, zones=1):
        member.Member.__init__(self, me, seed, now)
        self.born = now
        self.timings = {**TIMINGS, **(timings or {})}
        self.zones = max(1, zones)
        self.table = table.Table(None)
        self.table_of = None
        self.requests = {}
        self.waiting = {}
        self.parked = {}
        self.tally = {}
        self.used = {}
        self.stopped = False
        self.ending = False
        self.readiness_start()
        self.attempts_start()
        self.pick_start()
        self.follow_start()

    def peers(self):
        return self.proxies or ASSUMED

    def ready(self):
        return not self.stopped and not self.table.empty and bool(self.rows)

    # the feed

    def followed(self):
        m = self.book["manifest"]
        if m is not self.table_of:
            self.table_of = m
            self.table = table.Table(m)
            self.note(42, serial=int(self.book["mserial"]), lines=sum(map(len, self.table.hosts.values())))
        self.unpark()
        self.pump()

    def usage(self):
        """What came since the last report, by item, and what runs now, by replica."""
        used, self.used = self.used, {}
        return used, {r: h.running for r, h in self.health.items() if h.running}

    # requests

    def on_arrived(self, ev):
        if self.ending:
            self.emit(events.Close(ev.request, 503, ENDING, attempts.SOON))
            return
        if self.table.empty or not self.rows:
            self.park(ev)
            return
        route = self.table.match(ev.host, ev.path)
        if route is None:
            self.emit(events.Close(ev.request, 404, "no route"))
            return
        q = request.Request(ev.request, route, ev)
        for op in route.program:
            bad = getattr(self, "do_" + op)(q, ev)
            if bad:
                self.tally["refused-here"] = self.tally.get("refused-here", 0) + 1
                self.emit(events.Close(q.id, 503, *bad))
                return
        self.pump()

    # a node that just started

    def park(self, ev):
        """What comes before the feed did is held for a part of its time: a start takes a second or two."""
        if len(self.parked) >= BOUND:
            self.emit(events.Close(ev.request, 503, "no configuration yet", STARTING))
            return
        left = PARKED if ev.deadline < 0 else min(PARKED, ev.deadline * 2 // 3)
        self.parked[ev.request] = (self.now + left, ev)

    def unpark(self):
        if not self.parked or self.table.empty or not self.rows:
            return
        evs, self.parked = self.parked, {}
        for _, ev in evs.values():
            self.on_arrived(ev)

    def expire_parked(self):
        for n, (until, _) in list(self.parked.items()):
            if self.now >= until:
                del self.parked[n]
                self.emit(events.Close(n, 503, "no configuration yet", STARTING))

    def do_deadline(self, q, ev):
        left = q.route.deadline if ev.deadline < 0 else min(ev.deadline, q.route.deadline)
        q.until = ev.now + left
        left = q.until - self.now
        if left <= 0:
            return "no time is left", COME_BACK

    def do_share(self, q, ev):
        q.service = q.route.service(self.rng.random())

    def do_item(self, q, ev):
        s = self.table.services.get(q.service)
        if s is None or s.items is None:
            q.item = kinds.Item("")
            return None
        if not s.knows(q.item):
            return "unknown model or adapter", COME_BACK
        self.used[q.item] = self.used.get(q.item, 0) + 1

    def do_time(self, q, ev):
        """Fails before sending where the time left cannot cover the expected load."""
        if not q.item or self.held(q):
            return None
        e = self.expected(q)
        if e and q.until - self.now < e:
            return "a load takes longer than the time that is left", int(e)

    def do_queue(self, q, ev):
        if len(self.waiting) >= BOUND:
            return "the queue is full", COME_BACK
        self.requests[q.id] = self.waiting[q.id] = q
        self.retry_of(q.service).first(self.now)

    def pump(self):
        """Launch what can go, the most urgent and then the oldest first."""
        if not self.waiting:
            return
        full = set()
        for q in sorted(self.waiting.values(), key=lambda q: q.key):
            k = q.service, q.item
            if k in full and not q.avoid:
                continue
            r = self.pick(q)
            if r is None:
                if not q.avoid:
                    full.add(k)
                continue
            del self.waiting[q.id]
            self.launch(q, r)
        if self.waiting:
            self.ask_missing()

    def refuse(self, q, why, retry_after):
        """Given up: a promise where it never ran; else no more than its end."""
        if decision.give_up(q.begun, q.ran) is not decision.Move.REFUSE:
            self.fail(q, 504, why)
            return
        self.drop(q)
        self.tally["refused-here"] = self.tally.get("refused-here", 0) + 1
        self.emit(events.Close(q.id, 503, why, int(retry_after)))

    def drop(self, q):
        self.release(q)
        self.requests.pop(q.id, None)
        self.waiting.pop(q.id, None)

    def on_left(self, ev):
        self.parked.pop(ev.request, None)
        q = self.requests.get(ev.request)
        if q is None:
            return
        self.drop(q)
        if q.run and q.run.id in self.runs:
            q.run.aborted = request.Aborted.CLIENT_LEFT
            self.emit(events.Abort(q.run.id))

    def on_tick(self, ev):
        self.tick_follow()
        self.expire_parked()
        self.expire()
        self.watch()
        if self.waiting:
            self.pump()

    def expire(self):
        """What can no longer be answered in time is refused as soon as that is known."""
        for q in list(self.waiting.values()):
            least = max(attempts.LEAST, self.typical(q.service) // 2)
            if self.stranded(q):
                self.refuse(q, "refused by the replica that it may go to", self.come_back(q))
            elif self.now >= self.limit(q) - least:
                self.refuse(q, "it could not be answered in time", self.come_back(q))

    def stranded(self, q):
        """Whether it may go only to replicas that hold its item no more, or take nothing new."""
        if q.spare():
            return False
        return not any(r in q.sent_to and self.open(r, self.rows[r]) for r in self.holders(q.service, q.item))

    def come_back(self, q):
        return max(attempts.SOON, self.fact(q.item).retry if q.item else 0)

    def on_stop(self, ev):
        self.stopped = True

    def on_finish(self, ev):
        """What waits is refused; attempts under way are stopped, and their ends tell what may be promised."""
        self.ending = True
        for request_id in self.parked:
            self.emit(events.Close(request_id, 503, ENDING, attempts.SOON))
        self.parked = {}
        for q in list(self.waiting.values()):
            self.refuse(q, ENDING, attempts.SOON)
        for q in self.requests.values():
            q.run.aborted = request.Aborted.PROCESS_ENDS
            self.emit(events.Abort(q.run.id))
