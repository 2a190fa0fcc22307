"""From line to replica and back: picks, slots, dispatches, what became of them."""

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.query_api.query_proxy.credits as credits
import basaltport.query_api.query_proxy.query as query

NEED = 100
IDLE_NEED = 400
SLOT_LEASE = 2000
MAX_TRIES = 4
DOWN = 1000
LEAST = 250
UNWRITTEN = ("withheld", "no-wire")


class Slot:
    __slots__ = ("n", "until", "using")

    def __init__(self):
        self.n = 0
        self.until = -1
        self.using = 0


class DispatchMixin:
    """Needs the other mixins of Rostrum."""

    def dispatch_start(self):
        self.runs = {}
        self.slots = {}
        self.resends = {}
        self.service = {}
        self.need_at = {}
        self.needs_k = 0
        self.need_sent = {}
        self.seen = {}
        self.hot = False
        self.serial_seen = 0
        self.down = {}

    def slot(self, r):
        s = self.slots.get(r)
        if s is None:
            s = self.slots[r] = Slot()
        return s

    def usable(self, item):
        return [
            r for _, r in self.holders.get(item, []) if self.may_use(r) and self.now >= self.down.get(r, 0)
        ]

    def pick(self, q):
        """The replica with most free slots of mine; one that just failed the query comes last."""
        best, key = None, None
        for r in self.usable(q.item):
            s = self.slot(r)
            free = s.n - s.using if self.now < s.until else 0
            if free <= 0:
                continue
            k = (r != q.avoid, free)
            if key is None or k > key:
                best, key = r, k
        return best

    def pump(self):
        if not self.leased() or self.book["mserial"] < self.serial_seen:
            return
        while True:
            found = {}

            def fit(q, found=found):
                if not q.ready or (q.born < self.now and self.now >= q.until - self.least(q.item)):
                    return False
                if q.item not in found:
                    found[q.item] = bool(self.pick(q))
                return found[q.item]

            q = self.lines.take(fit)
            if q is None:
                break
            self.launch(q, self.pick(q))
        self.hot = self.lines.total() > 0

    def launch(self, q, r):
        q.tries += 1
        q.state = query.RUN
        q.replica = r
        q.dispatch = identifiers.AttemptId(f"{q.id}.{q.tries}")
        q.sent = self.now
        t = min(q.rule.timeout, q.until - self.now)
        self.slot(r).using += 1
        self.runs[q.dispatch] = query.Run(q.dispatch, q.id, r, q.item, self.now, self.now + t)
        if q.tries == 1:
            self.resends_of(q.rule.pool).sent(self.now)
        url = self.book["platform"][r]["url"]
        self.emit(
            events.Dispatch(
                q.dispatch,
                q.id,
                r,
                url,
                q.body,
                int(self.book["mserial"]),
                t,
                q.until - self.now,
                q.claim is not None,
            )
        )

    def may_write(self, dispatch):
        """Asked by the shell right before the write: the serial to write under, or None to write nothing."""
        run = self.runs.get(dispatch)
        if run is None or not self.leased() or not self.may_use(run.replica) or self.now >= run.until:
            return None
        q = self.queries.get(run.query)
        if q is None or self.book["mserial"] < self.serial_seen or not self.allowed(q):
            return None
        return int(self.book["mserial"])

    def allowed(self, q):
        r = self.rules.lines.get(q.line)
        return r is not None and q.item in r.items and q.sender in r.senders

    def resends_of(self, pool):
        w = self.resends.get(pool)
        if w is None:
            w = self.resends[pool] = credits.Resends()
        return w

    def resend_credit(self, q, spend=True):
        p = self.rules.pools.get(q.rule.pool)
        if p is None:
            return False
        allow = credits.share(p["resend_allowance"], self.seats(), self.me.seat)
        if self.now < self.share_from:
            allow = 0
        w = self.resends_of(q.rule.pool)
        return (w.spend if spend else w.room)(self.now, p["resend_percent"], allow)

    def zone_of(self, r):
        row = self.book["platform"].get(r)
        return identifiers.Zone(row["zone"]) if row else identifiers.Zone("")

    # what became of a dispatch

    def on_replied(self, ev):
        run = self.runs.pop(ev.dispatch, None)
        if run is None:
            return
        s = self.slot(run.replica)
        s.using = max(0, s.using - 1)
        q = self.queries.get(run.query)
        f = self.fact(run.item)
        if ev.outcome == "done":
            if ev.status < 500:
                f.served = self.now
            t = self.now - run.sent
            self.service[run.item] = (7 * self.service.get(run.item, t) + t) // 8
            if q is not None:
                self.tally["done"] = self.tally.get("done", 0) + 1
                self.queries.pop(q.id, None)
                if q.claim:
                    self.settle_claim(q, "yes", ev.status, ev.reply)
            self.pump()
            return
        if q is None or q.dispatch != ev.dispatch:
            self.pump()
            return
        getattr(self, "was_" + ev.outcome)(q, run, ev)
        self.pump()

    def was_refused(self, q, run, ev):
        """Proof that it never ran: it may go again, also once-only, within credit."""
        q.avoid = run.replica
        if ev.detail in ("not-held", "starting"):
            self.fact(q.item).served = None
        if ev.detail == "no-wire":
            self.down[run.replica] = self.now + DOWN
        if ev.detail == "stale-serial":
            q.avoid = ""
            self.serial_seen = max(self.serial_seen, ev.serial)
        if ev.detail == "busy":
            self.slot(run.replica).n = max(0, self.slot(run.replica).n - 1)
        free = ev.detail in UNWRITTEN
        if q.tries < MAX_TRIES and self.now < q.until and (free or self.resend_credit(q)):
            self.requeue(q, ev.detail)
            return
        self.refuse(q, 503, "replica-refused", ev.detail)

    def was_broken(self, q, run, ev):
        """The wire broke with the reply outstanding: it may have run."""
        q.avoid = run.replica
        self.fact(q.item).served = None
        self.down[run.replica] = self.now + DOWN // 4
        if not self.resend(q, "broken"):
            self.give_up(q, 502, "dispatch-broken", ev.detail)

    def was_cut(self, q, run, ev):
        """The reply broke off after a piece went out: the sender's wire was ended, nothing can follow."""
        self.queries.pop(q.id, None)
        if q.claim:
            self.settle_claim(q, "unknown")
        self.tally["cut"] = self.tally.get("cut", 0) + 1

    def was_late(self, q, run, ev):
        self.timed_out(q, run)

    # slots

    def tick_slots(self):
        if not self.leased():
            return
        for z in self.rules.zones:
            gap = NEED if self.hot else IDLE_NEED
            if self.now - self.need_at.get(z, -(10**9)) >= gap:
                self.need(z)

    def need(self, z):
        d = self.book["duties"].get("zone/" + z)
        addr = self.addr_of(d["owner"]) if d else None
        if not addr:
            return
        self.need_at[z] = self.now
        rows = {}
        want = {}
        for q in self.lines:
            if not q.ready:
                continue
            rs = self.usable(q.item)
            for r in rs:
                want[r] = want.get(r, 0) + 1 / len(rs)
        for r, row in self.book["platform"].items():
            if row["zone"] != z:
                continue
            s = self.slots.get(r)
            rows[r] = [s.using if s else 0, -int(-want.get(r, 0) // 1)]
        self.needs_k += 1
        k = self.needs_k
        self.need_sent[k] = self.now
        self.need_sent.pop(k - 500, None)
        seen = self.seen.get(z, (0, 0))
        fence = identifiers.Fence(d["fence"])
        n = seen[1] if seen[0] == fence else 0
        self.send(addr, messages.Need(self.me.seat, k, identifiers.Zone(z), fence, n, rows))

    def hear_grants(self, src, m):
        d = self.book["duties"].get("zone/" + m.zone)
        at = self.need_sent.get(m.echo)
        if d is None or d["fence"] != m.fence or at is None:
            return
        if (m.fence, m.n) <= self.seen.get(m.zone, (0, 0)):
            return
        self.seen[m.zone] = (m.fence, m.n)
        for r, n in m.rows.items():
            s = self.slot(r)
            s.n, s.until = n, at + SLOT_LEASE
        self.pump()

    # honest guesses

    def least(self, item):
        """What must remain for a reply to be likely in time."""
        t = self.service.get(item)
        return LEAST if t is None else t // 2

    def typical(self, item):
        return self.service.get(item, 0)

    def ahead(self, q):
        return sum(1 for x in self.lines if x.item == q.item and x.rule.urgency >= q.rule.urgency)

    def hopeless(self, q):
        t = self.typical(q.item)
        rs = self.usable(q.item)
        if not t or not rs or not self.warm(q.item):
            return False
        n = sum(max(self.slot(r).n, 1) for r in rs)
        busy = sum(self.slot(r).using for r in rs)
        return (2 * self.ahead(q) + busy) * t // (2 * n) + t > q.until - self.now
