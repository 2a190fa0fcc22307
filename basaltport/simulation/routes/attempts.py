"""Attempts of proxies at replicas: what is sent, what is passed on, what is proven when one is lost."""

import basaltport.proxy.events as proxy_events
import basaltport.proxy.attempt_outcome as outcomes

Outcome = outcomes.Outcome
CONNECT = 400
PIECES = 4


class Go:
    """An attempt on its way. `on` is the replica that has it; `part` the next piece of a stream."""

    def __init__(self, n, e, t, item, at):
        self.n, self.incarnation, self.e, self.t, self.item, self.at = n, n.incarnation, e, t, item, at
        self.written = self.begun = self.over = False
        self.on, self.part, self.beat, self.ended = None, 0, None, 0


class AttemptMixin:
    """Needs ReplicaMixin. Does for the relay's reducer what its shell does."""

    def attempts_start(self):
        self.goes, self.kept = {}, set()

    def do_attempt(self, n, e):
        q = n.member.requests[e.request]
        go = Go(n, e, self.tries[n.name, n.incarnation, e.request], q.item, self.now)
        self.goes[n.name, n.incarnation, e.attempt] = go
        go.t.goes.append(go)
        go.touch = n.name in self.touching
        self.later(e.left, self.late, go)
        r = self.at_place.get(e.address)
        known = (n.name, n.incarnation, e.address)
        if r is None:
            self.kept.discard(known)
            self.later(self.rng.randrange(2, 8), self.lose, go, "refused to connect")
            return
        shut = r.dark or (n.name, r.id) in self.cuts or (r.id, n.name) in self.cuts
        if known not in self.kept and shut:
            self.later(CONNECT, self.lose, go, "no connection")
            return
        go.written = known in self.kept
        ms = self.rng.randrange(1, 6) * (1 if go.written else 3)
        self.kept.add(known)
        self.later(ms, self.comes, go, r)

    def comes(self, go, r):
        if go.over or go.n.incarnation != go.incarnation:
            return
        if (go.n.name, r.id) in self.cuts:
            self.keep(self.comes, go, r)
            return
        if self.at_place.get(r.address) is not r:
            self.lose(go, "reset")
            return
        go.written = True
        if r.dark:
            return
        go.on = r
        got = r.verdict(go)
        m = go.t.op
        self.log(
            "arrive",
            replica=r.id,
            zone=r.zone,
            service=r.service,
            **{"try": go.t.id},
            proxy=go.n.name,
            sent=self.t(go.at),
            touch=go.touch,
            said=got,
            item=go.item,
            meant=m.service,
        )
        if got == "run":
            self.begin(go, r)
            return
        if got == "wait":
            r.queue.append(go)
            return
        go.on = None
        self.tell(go, Outcome(got), 421 if got in ("absent", "moved") else 503)

    def begin(self, go, r):
        r.works[id(go)] = go
        m = go.item.partition("/")[0]
        r.runs[m] += 1
        self.log("ran", replica=r.id, **{"try": go.t.id}, op=go.t.op.id, kind=go.t.op.kind)
        slow = 1.5 if self.now < r.cold_until else 1.0
        go.beat = self.rng.uniform(40, 120) * r.speed * slow * (1 + len(r.works) / r.slots)
        go.part = go.t.pieces if go.t.op.kind in ("stream", "resume") else PIECES - 1
        if self.rng.random() < r.ill:
            self.later(int(go.beat), self.fail, go, r)
            return
        self.later(int(go.beat), self.piece, go, r)

    def working(self, go, r):
        return r.works.get(id(go)) is go

    def piece(self, go, r):
        """One part of the answer; the last one ends it."""
        if not self.working(go, r):
            return
        if r.dark or (r.id, go.n.name) in self.cuts:
            self.later(100, self.piece, go, r)
            return
        go.part += 1
        last = go.part >= PIECES
        if last:
            self.free(go, r)
        self.later(self.rng.randrange(1, 6), self.passed, go, go.part, last)
        if not last:
            self.later(int(go.beat), self.piece, go, r)

    def fail(self, go, r):
        """An answer of failure, or one that breaks off."""
        if not self.working(go, r):
            return
        self.free(go, r)
        if self.rng.random() < 0.5:
            self.tell(go, Outcome.FAILED, 500)
            return
        self.lose(go, "torn")

    def free(self, go, r):
        """Out of its slot; who waits there longest begins."""
        if r.works.pop(id(go), None) is None:
            if go in r.queue:
                r.queue.remove(go)
            return
        r.runs[go.item.partition("/")[0]] -= 1
        while r.queue and len(r.works) < r.slots:
            nxt = r.queue.popleft()
            got = r.verdict(nxt) if not nxt.over else None
            if got == "run":
                self.begin(nxt, r)
            elif got:
                nxt.on = None
                self.tell(nxt, Outcome.ABSENT if got == "absent" else Outcome.REFUSED, 503)

    def passed(self, go, part, last):
        """Bytes reach the proxy, and through it the client."""
        if go.over or go.n.incarnation != go.incarnation:
            return
        if go.n.frozen:
            self.later(50, self.passed, go, part, last)
            return
        go.begun = True
        if not go.t.over and go.t.op.kind in ("stream", "resume"):
            go.t.pieces = max(go.t.pieces, part)
        self.give(go.n, go.incarnation, proxy_events.Progress(self.now, go.e.attempt))
        if last and not go.over:
            go.over, go.ended = True, self.now
            self.client_done(go.t)
            result = outcomes.Result(Outcome.DONE, 200)
            self.give(go.n, go.incarnation, proxy_events.Ended(self.now, go.e.attempt, result))

    def tell(self, go, outcome, status):
        self.later(self.rng.randrange(1, 6), self.over, go, outcome, status)

    def over(self, go, outcome, status=0, detail="", resumes=False):
        """The attempt's end at its proxy."""
        if go.over or go.n.incarnation != go.incarnation:
            return
        go.over, go.ended = True, self.now
        if go.on is not None:
            self.later(1, self.free, go, go.on)
        ev = proxy_events.Ended(self.now, go.e.attempt, outcomes.Result(outcome, status, detail, resumes))
        self.give(go.n, go.incarnation, ev)

    def lose(self, go, why, late=False):
        """As the relay's shell tells what is proven of a connection that is lost."""
        if not go.written:
            self.over(go, Outcome.UNSENT, 0, why)
            return
        stream = go.t.op.kind in ("stream", "resume")
        if go.begun and stream:
            self.over(go, Outcome.CUT, 0, why, go.t.op.kind == "resume" and not late)
            return
        self.over(go, Outcome.LATE if late else Outcome.BROKEN, 0, why)

    def late(self, go):
        if not go.over and go.n.incarnation == go.incarnation:
            self.lose(go, "the time is over", True)

    def do_abort(self, n, e):
        go = self.goes.get((n.name, n.incarnation, e.attempt))
        if go:
            self.later(0, self.lose, go, "stopped")

    def drop_goes(self, n, incarnation):
        """The process is gone and its connections with it."""
        for k in [k for k in self.goes if k[0] == n.name and k[1] == incarnation]:
            go = self.goes.pop(k)
            go.over, go.ended = True, self.now
            if go.on is not None:
                self.later(1, self.free, go, go.on)
