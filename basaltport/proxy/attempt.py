"""Attempts at replicas: launched, watched, and what became of each."""

import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.retry_budget as retry_budget
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.events as events
import basaltport.proxy.health as health
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.attempt_outcome as attempt_outcome
import basaltport.proxy.request as request

Outcome = attempt_outcome.Outcome
UNSENT = 6
"""Connections that may fail for one request."""
ARRIVALS = 4
"""Attempts that may reach replicas for one request, and one more."""
SOON = 150
ABSENT = 1000
REFUSED = 60
QUIET = 350
QUIET_RUNS = 5
STALL = 1500
STALL_GAPS = 2
LEAST = 120
LEAST_URGENT = 9
MS = 1000
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
WHY = {
    Outcome.REFUSED: "refused by the replica",
    Outcome.ABSENT: "not held",
    Outcome.MOVED: "the replica is gone",
    Outcome.UNSENT: "no connection",
    Outcome.FAILED: "the replica's failure can't be passed on",
    Outcome.BROKEN: "the connection to the replica broke",
    Outcome.LATE: "the time is over",
}

if typing.TYPE_CHECKING:
    Needs = interfaces.NodeInterface
else:
    Needs = object


class AttemptMixin(Needs):
    """What is not proven refused may have run; only what can be repeated goes again."""

    def attempts_start(self) -> None:
        """No attempts yet."""
        self.runs: dict[int, request.Run] = {}
        self.run_n = 0
        self.retries: dict[str, retry_budget.Retries] = {}

    def retry_of(self, service: str) -> retry_budget.Retries:
        """The budget of further attempts at a service."""
        retries = self.retries.get(service)
        if retries is None:
            timings = self.timings
            window = int(MS * timings["retry_window_s"])
            retries = retry_budget.Retries(self.born, timings["retry_ratio"], window, timings["retry_slack"])
            self.retries[service] = retries
        return retries

    def reserve(self, again: request.Request) -> None:
        """A part of the budget is kept for a further arrival until it goes or is given up."""
        if not again.reserved:
            again.reserved = True
            self.retry_of(again.service).reserved += 1

    def release(self, again: request.Request) -> None:
        """Gives back what was reserved."""
        if again.reserved:
            again.reserved = False
            self.retry_of(again.service).reserved -= 1

    def launch(self, waiting: request.Request, replica: str) -> None:
        """Send a request to a replica."""
        replica_health = self.health_of(replica)
        self.run_n += 1
        run = request.Run(self.run_n, waiting, replica, self.now)
        if waiting.arrivals:
            self.release(waiting)
            self.retry_of(waiting.service).spend(self.now)
        waiting.run = run
        self.runs[run.id] = run
        replica_health.running += 1
        replica_health.cold.sent.add(self.now)
        route = waiting.route
        self.emit(
            events.Attempt(
                waiting.id,
                run.id,
                replica,
                self.rows[replica]["address"],
                waiting.until - self.now,
                min(LEAST_URGENT, route.urgency),
                route.repeatable(),
            )
        )

    def on_progress(self, ev: events.Progress) -> None:
        """Bytes of an answer came."""
        run = self.runs.get(ev.attempt)
        if run is None:
            return
        run.last = self.now
        self.health_of(run.replica).last = self.now
        if not run.heard:
            run.heard = self.now
            self.took(run)

    def on_ended(self, ev: events.Ended) -> None:
        """An attempt ended."""
        run = self.runs.pop(ev.attempt, None)
        if run is None:
            return
        replica_health = self.health_of(run.replica)
        replica_health.running = max(0, replica_health.running - 1)
        result = ev.result
        label = result.outcome.value
        self.tally[label] = self.tally.get(label, 0) + 1
        self.learn(run, replica_health, result)
        sent = self.requests.get(run.request)
        if sent is not None and sent.run is run:
            self.settle(sent, run, result)
        self.pump()

    def learn(self, run: request.Run, of_replica: health.Health, result: attempt_outcome.Result) -> None:
        """What an attempt's end tells of its replica, whether or not its request is still here."""
        ours = run.aborted in (request.Aborted.CLIENT_LEFT, request.Aborted.PROCESS_ENDS)
        match result.outcome:
            case Outcome.DONE:
                of_replica.good(self.now)
            case Outcome.REFUSED:
                of_replica.absent[run.item] = identifiers.Millis(self.now + REFUSED)
            case Outcome.ABSENT:
                of_replica.absent[run.item] = identifiers.Millis(self.now + ABSENT)
            case Outcome.MOVED:
                of_replica.dead = True
            case Outcome.UNSENT | Outcome.CUT if not ours:
                of_replica.bad(self.now)
            case Outcome.FAILED if result.status >= retry_decision.SERVER_ERROR:
                of_replica.bad(self.now)
            case Outcome.BROKEN if not ours:
                of_replica.bad(self.now)
                self.after_timeout(run)
            case Outcome.LATE:
                self.after_timeout(run)

    def settle(self, sent: request.Request, run: request.Run, result: attempt_outcome.Result) -> None:
        """What becomes of a request whose attempt ended."""
        self.release(sent)
        if result.outcome is Outcome.UNSENT:
            sent.unsent += 1
        else:
            sent.arrivals += 1
            sent.sent_to.add(run.replica)
        if result.outcome is Outcome.DONE:
            self.drop(sent)
            return
        sent.ran = sent.ran or result.outcome.may_have_run
        sent.begun = sent.begun or result.outcome is Outcome.CUT
        self.carry_out(retry_decision.decide(self.known(sent, result)), sent, run, result)

    def known(self, sent: request.Request, result: attempt_outcome.Result) -> retry_decision.Known:
        """All that the decision depends on."""
        within = sent.unsent <= UNSENT and sent.arrivals <= ARRIVALS
        return retry_decision.Known(
            outcome=result.outcome,
            repeats=sent.route.repeats,
            status=result.status,
            joins=result.resumes,
            begun=sent.begun,
            ran=sent.ran,
            arrived=sent.arrivals > 0,
            budget=self.retry_of(sent.service).room(self.now, self.peers()),
            replicas=sent.spare(),
            sends=within and not self.ending,
            time=sent.until - self.now >= LEAST,
        )

    def carry_out(
        self,
        move: retry_decision.Move,
        sent: request.Request,
        run: request.Run,
        result: attempt_outcome.Result,
    ) -> None:
        """Do what was decided."""
        match move:
            case retry_decision.Move.REPEAT | retry_decision.Move.RESUME:
                self.requeue(sent, run)
            case retry_decision.Move.PASS:
                self.drop(sent)
                self.emit(events.Pass(sent.id, run.id))
            case retry_decision.Move.REFUSE:
                self.refuse(sent, result.detail or WHY[result.outcome], SOON)
            case retry_decision.Move.FAIL:
                broken = result.outcome in (Outcome.BROKEN, Outcome.FAILED)
                status = BAD_GATEWAY if broken else GATEWAY_TIMEOUT
                self.fail(sent, status, result.detail or WHY[result.outcome])
            case retry_decision.Move.CUT:
                self.drop(sent)
                self.emit(events.Cut(sent.id))

    def requeue(self, sent: request.Request, run: request.Run) -> None:
        """Back into the queue."""
        if sent.arrivals:
            self.reserve(sent)
        sent.avoid.add(run.replica)
        sent.run = None
        self.waiting[sent.id] = sent

    def fail(self, sent: request.Request, status: int, detail: str) -> None:
        """The end of a request that may have run."""
        self.drop(sent)
        if sent.begun:
            self.emit(events.Cut(sent.id))
            return
        self.emit(events.Close(sent.id, status, detail))

    def watch(self) -> None:
        """Replicas that say nothing: what can be repeated goes elsewhere, nothing new goes there."""
        for run in list(self.runs.values()):
            sent = self.requests.get(run.request)
            if run.aborted or sent is None or sent.run is not run:
                continue
            of_replica = self.health_of(run.replica)
            if self.now - max(run.last, of_replica.last) < self.patience(sent, run):
                continue
            if self.now >= of_replica.down:
                of_replica.bad(self.now)
            if self.better_elsewhere(sent, run):
                self.reserve(sent)
                run.aborted = request.Aborted.SILENT
                self.emit(events.Abort(run.id))

    def better_elsewhere(self, sent: request.Request, run: request.Run) -> bool:
        """Whether a request at a silent replica may go to another one, and can."""
        route = sent.route
        if not route.repeatable() or len(sent.sent_to | {run.replica}) >= route.attempts:
            return False
        if sent.until - self.now < 2 * LEAST:
            return False
        if not self.retry_of(sent.service).room(self.now, self.peers()):
            return False
        return any(replica != run.replica for replica in self.usable(sent))

    def patience(self, sent: request.Request, run: request.Run) -> float:
        """Ms of silence from a replica as a whole that are no longer taken for work."""
        if run.heard and sent.route.kind == "stream":
            return max(STALL, STALL_GAPS * sent.route.gap)
        return max(QUIET, QUIET_RUNS * self.typical(sent.service))
