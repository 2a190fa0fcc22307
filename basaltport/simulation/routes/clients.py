"""Clients: they choose a node that is ready, keep to what they are told, and come back as the rules allow."""

import basaltport.identifiers as identifiers
import basaltport.proxy.events as proxy_events

TRIES = 5
UNREAD = 1000
PROBE = 1000
JUST = 100
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)


class Op:
    """What a client wants: it may take several tries, each with an id of its own."""

    __slots__ = "id kind item zone born until service tries over n pieces".split()

    def __init__(self, id, kind, item, zone, born, ms, service):
        self.id, self.kind, self.item, self.zone, self.born = id, kind, item, zone, born
        self.until, self.service = born + ms, service
        self.tries, self.over, self.pieces = 0, "", 0


class Try:
    __slots__ = "id op node life request goes over pieces read".split()

    def __init__(self, id, op, node):
        self.id, self.op, self.node, self.life = id, op, node, node.life
        self.request, self.goes, self.over = 0, [], ""
        self.pieces, self.read = op.pieces, False


class ClientMixin:
    """The world's clients. `mix` gives rows of (share, kind, items, service)."""

    def clients_start(self):
        self.ops, self.tries, self.request_n, self.op_n = {}, {}, 0, 0
        self.taken_in, self.misses = set(), {}
        self.flow, self.mix = 0.0, []
        self.later(0, self.probe)

    def probe(self):
        """Readiness as the platform asks for it: out after two misses, in with the first good answer."""
        for n in self.proxies():
            ok = n.member is not None and not n.frozen and n.member.ready()
            self.misses[n.name] = 0 if ok else self.misses.get(n.name, 1) + 1
            if ok:
                self.taken_in.add(n.name)
            elif self.misses[n.name] >= 2:
                self.taken_in.discard(n.name)
        self.later(PROBE, self.probe)

    def traffic(self, per_s, mix):
        begin = not self.flow
        self.flow, self.mix = per_s, mix
        if begin and per_s:
            self.later(1, self.next_op)

    def next_op(self):
        if not self.flow:
            return
        _, kind, items, service = self.rng.choices(self.mix, [m[0] for m in self.mix])[0]
        self.start_op(kind, self.rng.choice(items), self.rng.choice(self.zones), service)
        self.later(max(1, int(self.rng.expovariate(self.flow / 1000))), self.next_op)

    def start_op(self, kind, item, zone, service="s"):
        self.op_n += 1
        ms = 5000 if kind in ("stream", "resume") else 3000
        o = self.ops[f"o{self.op_n}"] = Op(f"o{self.op_n}", kind, item, zone, self.now, ms, service)
        self.log("op", op=o.id, kind=kind, item=item, service=service)
        self.send_try(o)
        return o

    def nodes_for(self, zone):
        of = [n for n in self.proxies() if self.zone_of(n.name) == zone]
        good = [n for n in of if n.name in self.taken_in]
        if good and 2 * len(good) < len(of):
            return of
        return good or [n for n in self.proxies() if n.name in self.taken_in] or self.proxies()

    def send_try(self, o):
        if o.over:
            return
        left = o.until - self.now
        if left < 50 or o.tries >= TRIES:
            self.finish_op(o, "gave-up")
            return
        o.tries += 1
        n = self.rng.choice(self.nodes_for(o.zone))
        t = Try(f"{o.id}.{o.tries}", o, n)
        self.log("try", op=o.id, node=n.name, **{"try": t.id})
        if n.member is None:
            self.later(self.rng.randrange(2, 8), self.end_try, t, "unread", 0, 0)
            return
        self.request_n += 1
        t.request = self.request_n
        self.tries[n.name, n.life, t.request] = t
        host, path = "desk.example", f"/{o.kind}/1"
        ev = proxy_events.Arrived(self.now, t.request, host, path, identifiers.Item(o.item), int(left), 100)
        self.later(self.rng.randrange(1, 5), self.read, n, t, ev)
        self.later(left, self.end_try, t, "gone", 0, 0)
        if o.kind in ("safe", "plain", "resume"):
            self.later(min(UNREAD, left // 3), self.unread, t)

    def read(self, n, t, ev):
        if n.life != t.life or n.member is None:
            self.end_try(t, "unread", 0, 0)
            return
        if not n.frozen:
            t.read = True
        self.give(n, t.life, ev)

    def unread(self, t):
        if not t.read and not t.over:
            self.end_try(t, "unread", 0, 0)

    def end_try(self, t, outcome, status, retry):
        """A try's one end; what the client does next."""
        if t.over:
            return
        o, t.over = t.op, outcome
        running = any(not g.over or self.now - g.ended < JUST for g in t.goes)
        self.log(
            "end", op=o.id, **{"try": t.id}, node=t.node.name, outcome=outcome, status=status, retry=retry,
            running=running, touch=t.node.name in self.touching, left=int(o.until - self.now),
        )  # fmt: skip
        if outcome in ("gone", "unread"):
            self.give(t.node, t.life, proxy_events.Left(self.now, t.request))
        o.pieces = max(o.pieces, t.pieces) if o.kind == "resume" else 0
        if outcome == "done" or status in FINAL or outcome == "gone":
            self.finish_op(o, outcome if outcome != "own" else str(status))
            return
        current_term = status in PROMISES or outcome == "unread"
        if o.kind in ("once", "stream") and not current_term:
            self.finish_op(o, "unknown")
            return
        rest = max(0, o.until - self.now) / 3
        self.later(int(min(retry or 100, rest)) + 1, self.send_try, o)

    def finish_op(self, o, outcome):
        o.over = outcome
        self.log("op-end", op=o.id, outcome=outcome, item=o.item, kind=o.kind, ms=int(self.now - o.born))

    # what relays do

    def client_done(self, t):
        self.later(self.rng.randrange(1, 5), self.end_try, t, "done", 200, 0)

    def of(self, n, request):
        return self.tries.get((n.name, n.life, request))

    def do_close(self, n, e):
        t = self.of(n, e.request)
        self.later(1, self.end_try, t, "own", e.status, e.retry_after)

    def do_pass(self, n, e):
        self.later(1, self.end_try, self.of(n, e.request), "failed", 500, 0)

    def do_cut(self, n, e):
        self.later(1, self.end_try, self.of(n, e.request), "cut", 0, 0)

    def cut_clients(self, n):
        """The process ended: its clients see closed connections."""
        for k, t in list(self.tries.items()):
            if k[0] == n.name and k[1] == n.life and not t.over:
                self.later(2, self.end_try, t, "cut" if t.read else "unread", 0, 0)
