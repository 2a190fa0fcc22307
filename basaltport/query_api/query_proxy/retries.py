"""How a timeout is classified, and the one retry of a request that may have run."""

import http
import typing

import basaltport.cold_start.decision as decision
import basaltport.log_events as log_events
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.model_state as model_state
import basaltport.query_api.query_proxy.request as request

TIMEOUT_CHECK_MS = 400


class TimeoutCheck(typing.NamedTuple):
    """A request that timed out and waits, until a time, to hear how its model stands."""

    request: request.Request
    attempt: request.Attempt
    until: int


class RetriesMixin(interface.Interface):
    """A request that may have run goes again only where repeats are harmless."""

    def retries_start(self) -> None:
        """Begin with no request awaiting a check."""
        self.timeout_checks: dict[int, TimeoutCheck] = {}

    def timed_out(self, late: request.Request, attempt: request.Attempt) -> None:
        """Forget that the item was warm, and ask the controller once, without waking. Only a request that
        may be retried awaits the answer; any other is ended now, by what is known."""
        known = self.model_state(late.item)
        known.last_served_at = None
        known.kept = False
        number = self.request_status(late.item, self.zone_of(attempt.replica_id), False)
        if not self.may_retry(late):
            self.classify_timeout(TimeoutCheck(late, attempt, self.now), known)
            return
        late.state = request.RequestState.CHECKING_TIMEOUT
        self.timeout_checks[number] = TimeoutCheck(late, attempt, self.now + TIMEOUT_CHECK_MS)

    def classify_timeout(self, check: TimeoutCheck, known: model_state.ModelState | None) -> None:
        """Tell a cold load from a slow request by what the controller says; retry or end the request."""
        late, attempt = check.request, check.attempt
        if late.id not in self.requests:
            return
        state = known.state if known else decision.LoadState.UNKNOWN
        serving_since = known.serving_since if known else None
        code = decision.timeout_phase(state, serving_since, attempt.sent_at).value
        self.note(log_events.Event.TIMEOUT_CLASSIFIED, request_id=late.id, item=late.item, phase=code)
        if not self.retry(late):
            detail = f"{late.item} on {attempt.replica_id} after {self.now - attempt.sent_at} ms"
            self.give_up(late, http.HTTPStatus.GATEWAY_TIMEOUT, code, detail)

    def expire_timeout_checks(self) -> None:
        """Classify by nothing those timeouts of whose models nothing was heard in time."""
        for number, check in list(self.timeout_checks.items()):
            if self.now >= check.until:
                del self.timeout_checks[number]
                self.classify_timeout(check, None)

    def may_retry(self, failed: request.Request) -> bool:
        """Once, only where repeats are harmless, only within budget and time."""
        in_time = self.now < failed.deadline - self.least_time(failed.item)
        bounds = decision.ResendBounds(not failed.retried, in_time, self.retry_credit(failed, spend=False))
        return decision.may_resend(not failed.rule.once_only, bounds)

    def retry(self, failed: request.Request) -> bool:
        """Send a request that may have run again, after readiness; whether that may be."""
        if not self.may_retry(failed):
            return False
        self.retry_credit(failed)
        failed.retried = True
        self.requeue(failed)
        return True

    def requeue(self, waiting: request.Request) -> None:
        """Put a request back at the front of its queue."""
        waiting.state = request.RequestState.QUEUED
        waiting.attempt_id = ""
        rejection = self.ready_or_wait(waiting)
        if rejection:
            self.reject(waiting, *rejection)
            return
        self.queues.put(waiting, at_front=True)
        self.pump()
