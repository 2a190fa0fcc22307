"""Sends attempts to replicas, detects silent replicas, and handles the ends of attempts."""

import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.admission_queue as admission_queue
import basaltport.proxy.attempt_outcome as attempt_outcome
import basaltport.proxy.events as events
import basaltport.proxy.health as health
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.latency_histograms as latency_histograms
import basaltport.proxy.load_balancing as load_balancing
import basaltport.proxy.model_readiness as model_readiness
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.request as request
import basaltport.proxy.retry_budget as retry_budget
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.routing as routing
import basaltport.proxy.tenant_access as tenant_access

Outcome = attempt_outcome.Outcome
MAX_UNSENT_RETRIES = 6
"""Maximum number of retries of one request after attempts that got no connection."""
MAX_RETRIES = 4
"""Maximum number of retries of one request after attempts that were sent."""
RETRY_AFTER_MS = 150
"""Retry time that is sent to the client of a rejected request."""
ITEM_ABSENT_MS = 1000
"""How long a replica that does not hold an item is not asked for it again."""
REPLICA_FULL_MS = 60
"""How long a replica that refused a request is not asked again for the same item."""
SILENCE_MS = 350
"""How long a replica may be silent before the first byte of a response until it counts as silent."""
SILENCE_FACTOR = 5
"""A replica may be silent for at least this multiple of its service's typical time to first byte."""
STREAM_SILENCE_MS = 1500
"""How long a replica may be silent within a stream until it counts as silent."""
STREAM_SILENCE_FACTOR = 2
"""A replica may be silent within a stream for at least this multiple of the route's target gap."""
MIN_TIME_LEFT_MS = 120
"""No attempt starts with less time than this before the deadline."""
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
OUTCOME_DETAILS = {
    Outcome.REFUSED: "refused by the replica",
    Outcome.ABSENT: "not held",
    Outcome.MOVED: "the replica is gone",
    Outcome.UNSENT: "no connection",
    Outcome.FAILED: "the replica's failure can't be passed on",
    Outcome.BROKEN: "the connection to the replica broke",
    Outcome.TIMED_OUT: "the time is over",
}
"""Error details for clients by the outcome of the last attempt."""


class RequestOwner(interfaces.FleetView, typing.Protocol):
    """The parts of the node that attempts use: the requests and the ways to end them.

    `requests` holds all unfinished requests, `queue` those that wait for a replica. `outcome_counts` counts
    ended attempts by outcome, `histograms` records latencies, `access` checks whether a request may still be
    sent.
    """

    requests: dict[int, request.Request]
    queue: admission_queue.AdmissionQueue
    outcome_counts: dict[str, int]
    histograms: latency_histograms.LatencyHistograms
    access: tenant_access.TenantAccess
    is_ending: bool

    def emit(self, effect: object) -> None:
        """Add an effect to the output of this step."""

    def report_demand(self, items: dict[str, int], waited_ms: dict[str, int] | None = None) -> None:
        """Request items from the placement; for each, report its demand and how long requests have waited
        for it."""

    def forget(self, ended_request: request.Request) -> None:
        """Remove a request that has ended."""

    def reject(self, ended_request: request.Request, detail: str, retry_after_ms: int) -> None:
        """End a request that gets no further attempt; the response states that it did not run if that is
        certain."""

    def fail(self, ended_request: request.Request, status: int, detail: str) -> None:
        """End a request that may have run."""

    def end_denied(self, ended_request: request.Request, denial: tenant_access.Denied) -> None:
        """End a request that is no longer allowed to be sent."""


class AttemptTracker:
    """Tracks attempts in flight and decides about retries.

    A request counts as possibly run unless the replica proved that it refused it; only requests that may run
    more than once are retried after that.
    """

    def __init__(
        self,
        node: RequestOwner,
        balancer: load_balancing.LoadBalancer,
        readiness: model_readiness.ModelReadiness,
        budgets: retry_budget.RetryBudgets,
    ) -> None:
        """Start with no attempts."""
        self.node = node
        self.balancer = balancer
        self.readiness = readiness
        self.budgets = budgets
        self.in_flight: dict[int, request.Attempt] = {}
        self.last_id = 0

    # retry budget

    def reserve_retry(self, pending_request: request.Request) -> None:
        """Reserve one retry of the budget until the request is sent again or given up."""
        if not pending_request.has_reserved_retry:
            pending_request.has_reserved_retry = True
            self.budgets.for_service(pending_request.service).reserved += 1

    def release_retry(self, pending_request: request.Request) -> None:
        """Return a reserved retry to the budget."""
        if pending_request.has_reserved_retry:
            pending_request.has_reserved_retry = False
            self.budgets.for_service(pending_request.service).reserved -= 1

    def has_budget(self, service: str) -> bool:
        """Whether the retry budget of a service allows one more retry."""
        return self.budgets.for_service(service).has_room(self.node.now, self.node.max_proxy_count())

    # launching and tracking

    def launch(self, waiting_request: request.Request, replica: replica_table.ReplicaRow) -> None:
        """Send a request to a replica."""
        now = self.node.now
        self.last_id += 1
        attempt = request.Attempt.begin(self.last_id, waiting_request, replica.replica_id, now)
        if waiting_request.sent_attempts:
            self.release_retry(waiting_request)
            self.budgets.for_service(waiting_request.service).count_retry(now)
        waiting_request.attempt = attempt
        self.node.histograms.add(
            attempt.route, latency_histograms.Phase.QUEUE, now - waiting_request.queued_at
        )
        self.in_flight[attempt.id] = attempt
        replica_health = self.balancer.health.for_replica(replica.replica_id)
        replica_health.running_attempts += 1
        replica_health.unanswered[attempt.id] = now
        replica_health.slow_start.sent.add(now)
        tenant = self.node.access.tenant_of(waiting_request)
        self.node.emit(
            events.Attempt(
                waiting_request.id,
                attempt.id,
                replica.replica_id,
                replica.address,
                waiting_request.deadline - now,
                self.node.table.tenants.priority(tenant, waiting_request.route.urgency),
                waiting_request.route.is_repeatable(),
                events.NO_TENANT if tenant is None else tenant.name,
            )
        )

    def record_progress(self, attempt_id: int, connect_ms: int) -> None:
        """Record that response bytes arrived; `connect_ms` is the connect time as in the event."""
        attempt = self.in_flight.get(attempt_id)
        if attempt is None:
            return
        now = self.node.now
        replica_health = self.balancer.health.for_replica(attempt.replica_id)
        if attempt.first_byte_at:
            self.node.histograms.add(attempt.route, latency_histograms.Phase.GAP, now - attempt.last_byte_at)
        attempt.last_byte_at = replica_health.last_byte_at = now
        if not attempt.first_byte_at:
            attempt.first_byte_at = now
            elapsed_ms = now - attempt.sent_at
            self.record_first_byte(attempt, connect_ms, elapsed_ms)
            latency = self.balancer.latency
            latency.add(attempt.service, elapsed_ms)
            latency.add_route(attempt.route, elapsed_ms)
            replica_health.record_first_byte(
                latency.normalize_for_service(attempt.service, attempt.route, elapsed_ms), now
            )
            replica_health.unanswered.pop(attempt_id, None)

    def record_first_byte(self, attempt: request.Attempt, connect_ms: int, elapsed_ms: int) -> None:
        """Record the connect time and the time to first byte of an attempt."""
        histograms = self.node.histograms
        histograms.add(attempt.route, latency_histograms.Phase.FIRST_BYTE, elapsed_ms)
        if connect_ms >= 0:
            histograms.add(attempt.route, latency_histograms.Phase.CONNECT, connect_ms)

    def record_end(self, attempt_id: int, result: attempt_outcome.Result) -> request.Attempt | None:
        """Record the end of an attempt; returns the attempt, or None if it is unknown."""
        attempt = self.in_flight.pop(attempt_id, None)
        if attempt is None:
            return None
        replica_health = self.balancer.health.for_replica(attempt.replica_id)
        replica_health.running_attempts = max(0, replica_health.running_attempts - 1)
        replica_health.unanswered.pop(attempt_id, None)
        label, outcome_counts = result.outcome.value, self.node.outcome_counts
        outcome_counts[label] = outcome_counts.get(label, 0) + 1
        self.update_replica_health(attempt, replica_health, result)
        pending_request = self.node.requests.get(attempt.request_id)
        if pending_request is not None and pending_request.attempt is attempt:
            self.handle_end(pending_request, attempt, result)
        return attempt

    def update_replica_health(
        self, attempt: request.Attempt, replica_health: health.ReplicaHealth, result: attempt_outcome.Result
    ) -> None:
        """Update the health of a replica from the end of an attempt, also if its request has already
        ended."""
        now = self.node.now
        is_stopped_by_proxy = attempt.stop_reason in (
            request.StopReason.CLIENT_LEFT,
            request.StopReason.PROCESS_ENDS,
        )
        match result.outcome:
            case Outcome.DONE:
                replica_health.record_success()
            case Outcome.REFUSED:
                replica_health.missing_until[attempt.item] = identifiers.Millis(now + REPLICA_FULL_MS)
            case Outcome.ABSENT:
                replica_health.missing_until[attempt.item] = identifiers.Millis(now + ITEM_ABSENT_MS)
            case Outcome.MOVED:
                replica_health.is_replaced = True
            case Outcome.UNSENT | Outcome.CUT if not is_stopped_by_proxy:
                replica_health.record_failure(now)
            case Outcome.FAILED if result.status >= retry_decision.SERVER_ERROR:
                replica_health.record_failure(now)
            case Outcome.BROKEN if not is_stopped_by_proxy:
                replica_health.record_failure(now)
                self.request_item_after_timeout(attempt)
            case Outcome.TIMED_OUT:
                self.request_item_after_timeout(attempt)

    def request_item_after_timeout(self, attempt: request.Attempt) -> None:
        """Ask the placement for the item of an attempt that was lost without a response."""
        if attempt.item:
            self.readiness.allow_request_after_timeout(attempt.item)
            self.node.report_demand({attempt.item: 0})

    # requests whose attempt ended

    def handle_end(
        self, pending_request: request.Request, attempt: request.Attempt, result: attempt_outcome.Result
    ) -> None:
        """Decide what happens to the request of an ended attempt."""
        self.release_retry(pending_request)
        if result.outcome is Outcome.UNSENT:
            pending_request.unsent_attempts += 1
        else:
            pending_request.sent_attempts += 1
            pending_request.reached_replicas.add(attempt.replica_id)
        if result.outcome is Outcome.DONE:
            total_ms = self.node.now - pending_request.arrived_at
            self.node.histograms.add(attempt.route, latency_histograms.Phase.TOTAL, total_ms)
            self.node.forget(pending_request)
            return
        pending_request.may_have_run = pending_request.may_have_run or result.outcome.may_have_run
        pending_request.is_response_started = (
            pending_request.is_response_started or result.outcome is Outcome.CUT
        )
        denial = self.node.access.recheck(pending_request)
        action = retry_decision.decide(self.retry_facts(pending_request, result, denial is None))
        if denial is not None and action is retry_decision.Action.REFUSE:
            self.node.end_denied(pending_request, denial)
            return
        self.apply_action(action, pending_request, attempt, result)

    def retry_facts(
        self, pending_request: request.Request, result: attempt_outcome.Result, may_be_sent: bool
    ) -> retry_decision.AttemptFacts:
        """Returns the input of the retry decision; `may_be_sent` says that the key still belongs to the
        tenant."""
        is_within_attempt_limits = (
            pending_request.unsent_attempts <= MAX_UNSENT_RETRIES
            and pending_request.sent_attempts <= MAX_RETRIES
        )
        return retry_decision.AttemptFacts(
            outcome=result.outcome,
            repeat_policy=pending_request.route.repeat_policy,
            status=result.status,
            can_resume=result.resumes,
            is_response_started=pending_request.is_response_started,
            has_run=pending_request.may_have_run,
            was_sent=pending_request.sent_attempts > 0,
            has_budget=self.has_budget(pending_request.service),
            has_replica=pending_request.may_use_new_replica(),
            has_attempts=is_within_attempt_limits and may_be_sent and not self.node.is_ending,
            has_time=pending_request.deadline - self.node.now >= MIN_TIME_LEFT_MS,
        )

    def apply_action(
        self,
        action: retry_decision.Action,
        pending_request: request.Request,
        attempt: request.Attempt,
        result: attempt_outcome.Result,
    ) -> None:
        """Carry out the decided action."""
        match action:
            case retry_decision.Action.RETRY | retry_decision.Action.RESUME:
                self.requeue(pending_request, attempt)
            case retry_decision.Action.PASS_THROUGH:
                self.node.forget(pending_request)
                self.node.emit(events.Pass(pending_request.id, attempt.id))
            case retry_decision.Action.REFUSE:
                self.node.reject(
                    pending_request, result.detail or OUTCOME_DETAILS[result.outcome], RETRY_AFTER_MS
                )
            case retry_decision.Action.FAIL:
                is_broken = result.outcome in (Outcome.BROKEN, Outcome.FAILED)
                status = BAD_GATEWAY if is_broken else GATEWAY_TIMEOUT
                self.node.fail(pending_request, status, result.detail or OUTCOME_DETAILS[result.outcome])
            case retry_decision.Action.CUT:
                self.node.forget(pending_request)
                self.node.emit(events.Cut(pending_request.id))

    def requeue(self, pending_request: request.Request, attempt: request.Attempt) -> None:
        """Return a request to the queue for another attempt."""
        if pending_request.sent_attempts:
            self.reserve_retry(pending_request)
        pending_request.tried_replicas.add(attempt.replica_id)
        pending_request.attempt = None
        pending_request.queued_at = self.node.now
        self.node.queue[pending_request.id] = pending_request

    # stopping

    def stop(self, attempt: request.Attempt, reason: request.StopReason) -> None:
        """Cancel an attempt; its end is still reported."""
        attempt.stop_reason = reason
        self.node.emit(events.Abort(attempt.id))

    def stop_all(self) -> None:
        """Cancel the attempts of all unfinished requests because the process ends."""
        for attempt in self.in_flight.values():
            if attempt.request_id in self.node.requests:
                self.stop(attempt, request.StopReason.PROCESS_ENDS)

    def stop_silent_attempts(self) -> None:
        """Eject replicas that stopped sending bytes, and cancel their attempts that can be retried
        elsewhere."""
        now = self.node.now
        for attempt in list(self.in_flight.values()):
            pending_request = self.node.requests.get(attempt.request_id)
            if attempt.stop_reason or pending_request is None or pending_request.attempt is not attempt:
                continue
            replica_health = self.balancer.health.for_replica(attempt.replica_id)
            silent_ms = now - max(attempt.last_byte_at, replica_health.last_byte_at)
            if silent_ms < self.silence_limit_ms(pending_request, attempt):
                continue
            if now >= replica_health.ejected_until:
                replica_health.record_failure(now)
            if self.can_retry_elsewhere(pending_request, attempt):
                self.reserve_retry(pending_request)
                self.stop(attempt, request.StopReason.SILENT_REPLICA)

    def can_retry_elsewhere(self, pending_request: request.Request, attempt: request.Attempt) -> bool:
        """Whether a request at a silent replica can be retried at another one."""
        route = pending_request.route
        reached = len(pending_request.reached_replicas | {attempt.replica_id})
        if not route.is_repeatable() or reached >= route.attempts:
            return False
        if pending_request.deadline - self.node.now < 2 * MIN_TIME_LEFT_MS:
            return False
        if (
            not self.has_budget(pending_request.service)
            or self.node.access.recheck(pending_request) is not None
        ):
            return False
        return any(
            replica.replica_id != attempt.replica_id
            for replica in self.balancer.usable_replicas(pending_request)
        )

    def silence_limit_ms(self, pending_request: request.Request, attempt: request.Attempt) -> float:
        """Returns for how many ms a replica may send no bytes on any connection until it counts as silent."""
        if attempt.first_byte_at and pending_request.route.kind is routing.Kind.STREAM:
            return max(STREAM_SILENCE_MS, STREAM_SILENCE_FACTOR * pending_request.route.gap_target_ms)
        return max(SILENCE_MS, SILENCE_FACTOR * self.balancer.latency.for_service(pending_request.service))
