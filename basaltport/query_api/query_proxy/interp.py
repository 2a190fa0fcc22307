"""The interpreter: runs a line's compiled program over a query until it waits or is refused."""

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.query_api.query_proxy.credits as credits
import basaltport.query_api.query_proxy.query as query


FIRST = 30_000
HOLD = 2500


class InterpMixin:
    """Needs the other mixins of Rostrum. Each instruction gives None or a refusal."""

    def on_arrived(self, ev):
        if not self.leased() and self.now - self.lease_end > HOLD:
            ran = "unknown" if ev.key else "no"
            d = "no leader is heard; this query was not run"
            self.final(ev.query, 503, "no-leader", d, ran, self.lease_back())
            return
        rule = self.rules.lines.get(ev.line)
        if rule is None:
            self.refuse_id(ev.query, 404, "unknown-line", f"no line {ev.line!r}")
            return
        model, adapter = ev.body.get("model"), ev.body.get("adapter")
        item = identifiers.Item(f"{model}/{adapter}" if adapter else str(model))
        q = query.Query(ev.query, ev.line, "", item, ev.body, self.now, 0, rule)
        self.run_program(q, 0, ev)

    def run_program(self, q, at, ev):
        for n, (op, arg) in enumerate(q.rule.program[at:], at + 1):
            bad = getattr(self, "do_" + op)(q, arg, ev)
            if bad:
                self.refuse_id(ev.query, *bad)
                return
            if q.state == query.KEY:
                q.claim.rest = (n, ev)
                return
        self.pump()

    def do_sender(self, q, arg, ev):
        s = arg.get(ev.token)
        if s is None:
            return 401, "unknown-token", "the bearer token is not one of this line's senders"
        q.sender = s

    def do_item(self, q, arg, ev):
        if q.item not in self.rules.items:
            return 404, "unknown-model", f"no model or adapter {q.item!r}"
        if q.item not in arg:
            return 403, "not-in-line", f"line {q.line!r} does not serve {q.item!r}"

    def do_deadline(self, q, arg, ev):
        wait = arg if ev.deadline < 0 else min(arg, ev.deadline)
        if wait == 0:
            return 504, "deadline-too-short", "no time is left", self.come_back(q)
        q.until = self.now + wait

    def do_claim(self, q, arg, ev):
        if ev.key:
            self.begin_claim(q, ev)

    def do_bound(self, q, arg, ev):
        if self.lines.size(q.line) >= credits.share(arg, self.seats(), self.me.seat):
            return 429, "line-full", f"line {q.line!r} is full here", self.come_back(q)

    def do_credit(self, q, arg, ev):
        p = self.rules.pools[arg]
        used = sum(n.size for k, n in self.lines.by_name.items() if self.pool_of(k) == arg)
        if used >= credits.share(p["waiting"], self.seats(), self.me.seat):
            return 429, "pool-empty", f"pool {arg!r} has no waiting credit left", self.come_back(q)

    def do_readiness(self, q, arg, ev):
        if self.hopeless(q):
            return 503, "too-busy", "it could not be answered in time", self.come_back(q)
        return self.ready_or_wait(q)

    def do_prewarm(self, q, arg, ev):
        """A line's first demand, or its first for a while, starts what it may need together."""
        last = self.demanded.get(q.line, -(10**9))
        self.demanded[q.line] = self.now
        if arg and self.now - last > FIRST:
            self.prewarm([identifiers.Item(i) for i in arg if i != q.item], q.rule.pool)

    def do_wait(self, q, arg, ev):
        self.queries[q.id] = q
        self.lines.put(q)

    def seats(self):
        return [s for s, r in self.book["roster"].items() if r["role"] == "rostrum"]

    def pool_of(self, line):
        r = self.rules.lines.get(line)
        return r.pool if r else ""

    def on_gone(self, ev):
        q = self.queries.get(ev.query)
        if q is None:
            return
        if q.claim and q.state in (query.RUN, query.ASK):
            q.gone = True
            return
        del self.queries[q.id]
        self.lines.drop(q)
        if q.claim:
            self.settle_claim(q, "unknown" if q.resent else "no")
        if q.dispatch in self.runs:
            self.emit(events.Abandon(identifiers.AttemptId(q.dispatch)))
        self.tally["sender-gone"] = self.tally.get("sender-gone", 0) + 1
