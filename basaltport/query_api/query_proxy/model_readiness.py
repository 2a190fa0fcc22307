"""ADR 0041 in a router node: the cache, the shared wait, the error phases, one resend after readiness."""

import basaltport.query_api.failure_detection.duties as duties
import basaltport.rendezvous as rendezvous
import basaltport.log_events as log_events
import basaltport.messages as messages
import basaltport.cold_start.limits as limits
import basaltport.query_api.query_proxy.interp as interp
import basaltport.query_api.query_proxy.query as query

ASK_LAPSE = 400
CLASSIFY = 400
BLIND = 1500
MAX_SPREAD = 1500


class Fact:
    """What the controller last said of an item, and the last sign that it served."""

    __slots__ = (
        "state",
        "kept",
        "window",
        "expected",
        "serving_since",
        "served",
        "at",
        "reason",
        "load",
        "load_since",
        "asked",
    )

    def __init__(self):
        self.state = ""
        self.kept = False
        self.window = 0
        self.expected = 0
        self.serving_since = None
        self.served = None
        self.at = -1
        self.reason = ""
        self.load = None
        self.load_since = 0
        self.asked = -(10**9)


class Shared:
    """One wait for an item, shared by every query for it here."""

    __slots__ = ("item", "since", "next", "ask", "zones", "began", "pool", "answered")

    def __init__(self, item, now, pool):
        self.pool = pool
        self.answered = True
        self.item = item
        self.since = now
        self.next = now
        self.ask = 0
        self.zones = []
        self.began = False


class ReadinessMixin:
    """Needs Rostrum. Queries of a shared wait sit in their lines: no worker is held."""

    def readiness_start(self):
        self.facts = {}
        self.first_lease = None
        self.waits = {}
        self.asks = {}
        self.ask_n = 0
        self.doubts = {}

    def fact(self, item):
        f = self.facts.get(item)
        if f is None:
            f = self.facts[item] = Fact()
            r = self.rules.items.get(item)
            if r:
                f.window, f.expected = r.idle_window, r.expected
        return f

    def warm(self, item):
        f = self.facts.get(item)
        if f is None or f.served is None:
            return False
        if f.kept:
            return True
        return self.now - f.served < limits.warm_for(f.window)

    def ready_or_wait(self, q):
        if self.warm(q.item) and self.usable(q.item):
            q.ready = True
            return None
        f = self.fact(q.item)
        if f.expected and q.until - self.now < f.expected and not self.usable(q.item):
            return 504, "deadline-too-short", self.too_short(q, f), f.expected
        q.ready = False
        q.waited = self.now
        self.wait_for(q)

    def too_short(self, q, f):
        return f"{q.item}: {q.until - self.now} ms remain, a load takes about {f.expected} ms"

    def wait_for(self, q):
        item = q.item
        if item in self.waits:
            return
        w = self.waits[item] = Shared(item, self.now, q.rule.pool)
        w.zones = self.zones_for(item)
        at = self.fact(item).asked
        if self.now - at < limits.POLL:
            w.next = at + limits.POLL
            return
        self.ask_next(w)

    def blind(self):
        """A node that just started may not order a load that a zone not heard of may hold."""
        if self.first_lease is None and self.leased():
            self.first_lease = self.now
        return not self.cells_known() and self.now - (self.first_lease or self.now) < BLIND

    def zones_for(self, item):
        """Zones that hold it first, then those with room for it, then by weight, its home first."""
        zs = [z for z in self.rules.zones if z not in self.book["drains"] and z not in self.shunned_zones]
        held = {z for z, r in self.holders.get(item, []) if self.may_use(r)}
        base = self.near.get(item.base(), ())
        roomy = {z for z in zs if self.has_room(z, item)}
        zs.sort(
            key=lambda z: (z not in held, z not in base, z not in roomy, -rendezvous.weight(item.base(), z))
        )
        return zs

    def ask_next(self, w):
        if self.blind():
            w.next = self.now + limits.POLL // 4
            return
        if not w.zones:
            self.unavailable(w.item, "no zone can hold it")
            return
        z = w.zones[0]
        self.fact(w.item).asked = self.now
        w.answered = False
        w.ask = self.ask(w.item, z, True, w.pool)
        w.next = self.now + ASK_LAPSE

    def ask(self, item, zone, wake, pool=""):
        self.ask_n += 1
        self.asks[self.ask_n] = (item, zone)
        while len(self.asks) > 2000:
            self.asks.pop(next(iter(self.asks)))
        d = self.book["duties"].get(duties.zone_key(zone))
        addr = self.addr_of(d["owner"]) if d else None
        if addr:
            self.send(addr, messages.Want(self.ask_n, self.me.seat, item, zone, wake, pool))
        return self.ask_n

    def learn(self, m):
        f = self.fact(m.item)
        f.state, f.kept, f.window, f.expected = m.state, m.kept, m.idle_window, m.expected
        f.serving_since = self.now - m.serving_for if m.serving_for >= 0 else None
        f.at, f.reason, f.load_since = self.now, m.reason, self.now - m.loading_for
        if m.state == "loaded":
            hs = self.holders.setdefault(m.item, [])
            hs.extend((m.zone, r) for r in m.replicas if (m.zone, r) not in hs)
        return f

    def hear_facts(self, src, m):
        if self.asks.pop(m.ask, None) is None:
            return
        f = self.learn(m)
        if m.ask in self.doubts:
            self.classify(self.doubts.pop(m.ask), f)
            return
        w = self.waits.get(m.item)
        if w is None or (w.ask != m.ask and m.state not in ("loaded", "loading")):
            return
        w.answered = True
        if m.state == "loaded":
            f.served = self.now
            del self.waits[m.item]
            if w.began:
                f.load = (w.since, self.now - w.since)
                self.note(log_events.Event.LOAD_DONE, item=m.item, waited_ms=self.now - w.since)
            self.now_ready(m.item)
            return
        if m.state == "loading":
            if not w.began:
                w.began = True
                self.note(log_events.Event.LOAD_WAITED, item=m.item, zone=m.zone, expected_ms=m.expected)
            w.next = self.now + min(limits.spacing(m.retry_after), MAX_SPREAD)
            self.check_deadlines(m.item, f)
            return
        w.zones.pop(0)
        f.reason = m.reason
        self.ask_next(w)

    def now_ready(self, item):
        for q in self.lines:
            if q.item == item and q.state == query.WAIT:
                q.ready = True
        self.pump()

    def unavailable(self, item, why):
        self.waits.pop(item, None)
        f = self.fact(item)
        why = f.reason or why
        for q in [q for q in self.lines if q.item == item and not q.ready]:
            self.refuse(q, 503, "unavailable", f"{item}: {why}")

    def check_deadlines(self, item, f):
        """Fail before sending what cannot outlast the load; time already waited counts for it."""
        left = max(0, f.expected - (self.now - f.load_since))
        for q in [q for q in self.lines if q.item == item and not q.ready]:
            if q.until - self.now < left:
                self.refuse(q, 504, "deadline-too-short", self.too_short(q, f), max(left, 200))

    def tick_readiness(self):
        if not self.leased():
            self.expire_unleased()
            return
        for w in list(self.waits.values()):
            if not any(q.item == w.item and not q.ready for q in self.lines):
                del self.waits[w.item]
                continue
            if self.now < w.next:
                continue
            if not w.began:
                w.zones = self.zones_for(w.item) if w.answered else w.zones[1:] + w.zones[:1]
            self.ask_next(w)
        self.expire()
        for a, (q, r, until) in list(self.doubts.items()):
            if self.now >= until:
                del self.doubts[a]
                self.classify((q, r, until), None)
        self.pump()

    def expire_unleased(self):
        """A short loss of the lease is waited out in the line; a longer one is said at once."""
        over = self.now - self.lease_end > interp.HOLD
        for q in list(self.lines):
            if over:
                self.refuse(q, 503, "no-leader", "no leader is heard")
            elif self.now >= q.until - self.least(q.item):
                self.refuse(q, 504, "waited-too-long", f"after {self.now - q.born} ms without a leader")

    def expire(self):
        for q in [q for q in self.lines if q.state == query.WAIT]:
            rule = self.rules.items.get(q.item)
            f = self.fact(q.item)
            if self.now >= q.until - self.least(q.item):
                code = "waited-too-long" if q.ready else "readiness-timeout"
                self.refuse(q, 504, code, f"after {self.now - q.born} ms; phase {f.state or 'asking'}")
                continue
            if q.ready:
                if not self.usable(q.item):
                    q.ready = False
                    q.waited = self.now
                    self.wait_for(q)
                continue
            t = q.rule.ready_timeout or (rule.ready_timeout if rule else 0)
            lim = limits.limit(t, f.expected)
            if self.now - q.waited >= lim:
                d = f"limit {lim} ms ended, phase {f.state or 'asking'}, waited {self.now - q.waited} ms"
                self.refuse(q, 504, "readiness-timeout", d)

    def hear_cellnews(self, src, m):
        super().hear_cellnews(src, m)
        for w in self.waits.values():
            if w.item in self.holders:
                w.next = self.now

    # after a request timeout

    def timed_out(self, q, run):
        """Forget that it was warm, ask the controller once, without waking. Only a query that may be
        resent awaits its word; any other is answered now, from the facts held."""
        f = self.fact(q.item)
        f.served = None
        f.kept = False
        a = self.ask(q.item, self.zone_of(run.replica), False)
        if not self.may_resend(q):
            self.classify((q, run, self.now), f)
            return
        q.state = query.ASK
        self.doubts[a] = (q, run, self.now + CLASSIFY)

    def classify(self, doubt, f):
        q, run, _ = doubt
        if q.id not in self.queries:
            return
        cold = False
        if f is not None:
            since = f.serving_since
            cold = f.state not in ("loaded", "") or (since is not None and since > run.sent)
        code = "cold-load-timeout" if cold else "request-timeout"
        self.note(log_events.Event.TIMEOUT_CLASSIFIED, query=q.id, item=q.item, phase=code)
        if not self.resend(q, code):
            self.give_up(q, 504, code, f"{q.item} on {run.replica} after {self.now - run.sent} ms")

    def may_resend(self, q):
        """Once, only where repeats are harmless, only within credit and time."""
        late = self.now >= q.until - self.least(q.item)
        return not (q.rule.once_only or q.resent or late) and self.resend_credit(q, spend=False)

    def resend(self, q, why):
        """After readiness."""
        if not self.may_resend(q):
            return False
        self.resend_credit(q)
        q.resent = True
        self.requeue(q, why)
        return True

    def requeue(self, q, why):
        q.state = query.WAIT
        q.dispatch = ""
        bad = self.ready_or_wait(q)
        if bad:
            self.refuse(q, *bad)
            return
        self.lines.put(q, front=True)
        self.pump()

    def on_prewarm(self, ev):
        self.prewarm(ev.items)

    def prewarm(self, items, pool=""):
        """Ask for items at once without waiting, so that they load together."""
        for i in items:
            zs = self.zones_for(i)
            if zs:
                self.ask(i, zs[0], True, pool)

    # reading without waking

    def runtime_status(self):
        out = {}
        for i in self.rules.items:
            f = self.facts.get(i)
            st = "unknown" if f is None else ("warm" if self.warm(i) else "cold")
            out[i] = {
                "status": st,
                "state": f.state if f else "",
                "expected_ms": f.expected if f else 0,
                "last_load_ms": f.load[1] if f and f.load else None,
                "holders": len(self.holders.get(i, [])),
            }
        return out
