"""Attempts at replicas: launched, watched, and what became of each."""

import basaltport.relay.budget as budget
import basaltport.relay.decision as decision
import basaltport.relay.events as events
import basaltport.relay.outcomes as outcomes
import basaltport.relay.request as request

Outcome = outcomes.Outcome
UNSENT = 6
ARRIVALS = 4
SOON = 150
ABSENT = 1000
REFUSED = 60
QUIET = 350
STALL = 1500
LEAST = 120
SERVER_ERROR = 500
WHY = {
    Outcome.REFUSED: "refused by the replica",
    Outcome.ABSENT: "not held",
    Outcome.MOVED: "the replica is gone",
    Outcome.UNSENT: "no connection",
    Outcome.FAILED: "the replica's failure can't be passed on",
    Outcome.BROKEN: "the connection to the replica broke",
    Outcome.LATE: "the time is over",
}


class AttemptMixin:
    """Needs Relay. What is not proven refused may have run; only what can be repeated goes again."""

    def attempts_start(self):
        self.runs = {}
        self.run_n = 0
        self.retries = {}

    def retry_of(self, service):
        w = self.retries.get(service)
        if w is None:
            t = self.timings
            w = self.retries[service] = budget.Retries(
                self.born, t["retry_ratio"], int(1000 * t["retry_window_s"]), t["retry_slack"]
            )
        return w

    def reserve(self, q):
        """A part of the budget is kept for a further arrival until it goes or is given up."""
        if not q.reserved:
            q.reserved = True
            self.retry_of(q.service).reserved += 1

    def release(self, q):
        if q.reserved:
            q.reserved = False
            self.retry_of(q.service).reserved -= 1

    def launch(self, q, r):
        row, h = self.rows[r], self.health_of(r)
        self.run_n += 1
        run = request.Run(self.run_n, q, r, self.now)
        if q.arrivals:
            self.release(q)
            self.retry_of(q.service).spend(self.now)
        q.run = run
        self.runs[run.id] = run
        h.running += 1
        h.cold.sent.add(self.now)
        left = q.until - self.now
        self.emit(
            events.Attempt(
                q.id, run.id, r, row["address"], left, min(9, q.route.urgency), q.route.repeatable()
            )
        )

    def on_progress(self, ev):
        run = self.runs.get(ev.attempt)
        if run is None:
            return
        run.last = self.now
        self.health_of(run.replica).last = self.now
        if not run.heard:
            run.heard = self.now
            self.took(run)

    def on_ended(self, ev):
        run = self.runs.pop(ev.attempt, None)
        if run is None:
            return
        h = self.health_of(run.replica)
        h.running = max(0, h.running - 1)
        result = ev.result
        label = result.outcome.value
        self.tally[label] = self.tally.get(label, 0) + 1
        self.learn(run, h, result)
        q = self.requests.get(run.request)
        if q is not None and q.run is run:
            self.settle(q, run, result)
        self.pump()

    def learn(self, run, h, result):
        """What an attempt's end tells of its replica, whether or not its request is still here."""
        ours = run.aborted in (request.Aborted.CLIENT_LEFT, request.Aborted.PROCESS_ENDS)
        match result.outcome:
            case Outcome.DONE:
                h.good(self.now)
            case Outcome.REFUSED:
                h.absent[run.item] = self.now + REFUSED
            case Outcome.ABSENT:
                h.absent[run.item] = self.now + ABSENT
            case Outcome.MOVED:
                h.dead = True
            case Outcome.UNSENT | Outcome.CUT if not ours:
                h.bad(self.now)
            case Outcome.FAILED if result.status >= SERVER_ERROR:
                h.bad(self.now)
            case Outcome.BROKEN if not ours:
                h.bad(self.now)
                self.after_timeout(run)
            case Outcome.LATE:
                self.after_timeout(run)

    def settle(self, q, run, result):
        """What becomes of a request whose attempt ended."""
        self.release(q)
        if result.outcome is Outcome.UNSENT:
            q.unsent += 1
        else:
            q.arrivals += 1
            q.sent_to.add(run.replica)
        if result.outcome is Outcome.DONE:
            self.drop(q)
            return
        q.ran = q.ran or result.outcome.may_have_run
        q.begun = q.begun or result.outcome is Outcome.CUT
        self.carry_out(decision.decide(self.known(q, result)), q, run, result)

    def known(self, q, result):
        return decision.Known(
            outcome=result.outcome,
            repeats=q.route.repeats,
            status=result.status,
            joins=result.resumes,
            begun=q.begun,
            ran=q.ran,
            arrived=q.arrivals > 0,
            budget=self.retry_of(q.service).room(self.now, self.peers()),
            replicas=q.spare(),
            sends=q.unsent <= UNSENT and q.arrivals <= ARRIVALS and not self.ending,
            time=q.until - self.now >= LEAST,
        )

    def carry_out(self, move, q, run, result):
        match move:
            case decision.Move.REPEAT | decision.Move.RESUME:
                self.requeue(q, run)
            case decision.Move.PASS:
                self.drop(q)
                self.emit(events.Pass(q.id, run.id))
            case decision.Move.REFUSE:
                self.refuse(q, result.detail or WHY[result.outcome], SOON)
            case decision.Move.FAIL:
                broken = result.outcome in (Outcome.BROKEN, Outcome.FAILED)
                self.fail(q, 502 if broken else 504, result.detail or WHY[result.outcome])
            case decision.Move.CUT:
                self.drop(q)
                self.emit(events.Cut(q.id))

    def requeue(self, q, run):
        if q.arrivals:
            self.reserve(q)
        q.avoid.add(run.replica)
        q.run = None
        self.waiting[q.id] = q

    def fail(self, q, status, detail):
        """The end of a request that may have run."""
        self.drop(q)
        if q.begun:
            self.emit(events.Cut(q.id))
            return
        self.emit(events.Close(q.id, status, detail))

    def watch(self):
        """Replicas that say nothing: what can be repeated goes elsewhere, nothing new goes there."""
        for run in list(self.runs.values()):
            q = self.requests.get(run.request)
            if run.aborted or q is None or q.run is not run:
                continue
            h = self.health_of(run.replica)
            wait = self.patience(q, run)
            if self.now - max(run.last, h.last) < wait:
                continue
            if self.now >= h.down:
                h.bad(self.now)
            if not q.route.repeatable() or len(q.sent_to | {run.replica}) >= q.route.attempts:
                continue
            if q.until - self.now < 2 * LEAST or not self.retry_of(q.service).room(self.now, self.peers()):
                continue
            if not any(x != run.replica for x in self.usable(q)):
                continue
            self.reserve(q)
            run.aborted = request.Aborted.SILENT
            self.emit(events.Abort(run.id))

    def patience(self, q, run):
        """Ms of silence from a replica as a whole that are no longer taken for work."""
        if run.heard and q.route.kind == "stream":
            return max(STALL, 2 * q.route.gap)
        return max(QUIET, 5 * self.typical(q.service))
