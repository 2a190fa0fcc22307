"""Attempts at replicas: launched, watched, and what became of each."""

import typing

import basaltport.relay.budget as budget
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

    def launch(self, q, r):
        row, h = self.rows[r], self.health_of(r)
        self.run_n += 1
        run = request.Run(self.run_n, q, r, self.now)
        if q.arrivals:
            self.retry_of(q.service).spend(self.now)
        q.run = run
        q.state = request.RUN
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
        q = self.requests.get(run.request)
        if q is not None and q.run is not run:
            q = None
        result = ev.result
        if q is not None and result.outcome is not Outcome.UNSENT:
            q.arrivals += 1
            q.sent_to.add(run.replica)
            q.ran = q.ran or result.outcome.may_have_run
        label = result.outcome.value
        self.tally[label] = self.tally.get(label, 0) + 1
        self.ended(q, run, h, result)
        self.pump()

    def ended(self, q, run, h, result):
        """`q`: the request, or None where it is answered or its client has left."""
        match result.outcome:
            case Outcome.DONE:
                self.was_done(q, run, h, result)
            case Outcome.REFUSED:
                self.was_refused(q, run, h, result)
            case Outcome.ABSENT:
                self.was_absent(q, run, h, result)
            case Outcome.MOVED:
                self.was_moved(q, run, h, result)
            case Outcome.UNSENT:
                self.was_unsent(q, run, h, result)
            case Outcome.FAILED:
                self.was_failed(q, run, h, result)
            case Outcome.BROKEN:
                self.was_broken(q, run, h, result)
            case Outcome.CUT:
                self.was_cut(q, run, h, result)
            case Outcome.LATE:
                self.was_late(q, run, h, result)
            case Outcome.GONE:
                self.was_gone(q, run, h, result)
            case _:
                typing.assert_never(result.outcome)

    def again(self, q, run, result, free=False):
        """Back into the queue, if it may go again; False if not. A route's attempts bound how many replicas
        it goes to; one that only refused it may be asked again."""
        if q.unsent > UNSENT or q.arrivals > ARRIVALS or q.until - self.now < LEAST:
            return False
        if not q.spare() and result.outcome is not Outcome.REFUSED:
            return False
        if not free and not self.retry_of(q.service).room(self.now, self.peers()):
            return False
        q.avoid.add(run.replica)
        q.run = None
        q.state = request.WAIT
        self.waiting[q.id] = q
        return True

    def was_done(self, q, run, h, result):
        h.good(self.now)
        self.fact(run.item).served = self.now
        if q is not None:
            self.finish(q)

    def was_refused(self, q, run, h, result):
        """The replica says that it never ran: it is full, or loads what is asked for."""
        h.absent[run.item] = self.now + REFUSED
        if q is not None and not self.again(q, run, result):
            self.refuse(q, result.detail or "refused by the replica", SOON)

    def was_absent(self, q, run, h, result):
        h.absent[run.item] = self.now + ABSENT
        self.fact(run.item).served = None
        if q is not None and not self.again(q, run, result):
            self.refuse(q, "not held", SOON)

    def was_moved(self, q, run, h, result):
        h.dead = True
        if q is not None and not self.again(q, run, result):
            self.refuse(q, "the replica is gone", SOON)

    def was_unsent(self, q, run, h, result):
        h.bad(self.now)
        if q is None:
            return
        q.unsent += 1
        if not self.again(q, run, result, free=q.arrivals == 0):
            self.refuse(q, "no connection", SOON)

    def was_failed(self, q, run, h, result):
        """A whole answer of failure: it counts as run."""
        if result.status >= 500:
            h.bad(self.now)
        if q is None:
            return
        if result.status >= 500 and q.route.repeatable() and not q.begun and self.again(q, run, result):
            return
        self.drop(q)
        if q.begun:
            self.emit(events.Cut(q.id))
            return
        self.emit(events.Pass(q.id, run.id))

    def was_broken(self, q, run, h, result):
        if run.aborted != "gone":
            h.bad(self.now)
            self.after_timeout(run)
        if q is None or q.route.repeatable() and self.again(q, run, result):
            return
        self.fail(q, 502, result.detail or "the connection to the replica broke")

    def was_cut(self, q, run, h, result):
        if run.aborted != "gone":
            h.bad(self.now)
        if q is None:
            return
        q.begun = True
        if result.resumes and q.route.resumable and self.again(q, run, result):
            return
        self.drop(q)
        self.emit(events.Cut(q.id))

    def was_gone(self, q, run, h, result):
        """The client takes no more: nothing is known of the replica."""
        if q is not None:
            self.drop(q)
            self.emit(events.Cut(q.id))

    def was_late(self, q, run, h, result):
        self.after_timeout(run)
        if q is not None:
            self.fail(q, 504, "the time is over")

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
            run.aborted = "silent"
            self.emit(events.Abort(run.id))

    def patience(self, q, run):
        """Ms of silence from a replica as a whole that are no longer taken for work."""
        if run.heard and q.route.kind == "stream":
            return max(STALL, 2 * q.route.gap)
        return max(QUIET, 5 * self.typical(q.service))
