"""Admission: runs the steps that a queue's rule was compiled to, until a request waits or is rejected."""

import http

import basaltport.identifiers as identifiers
import basaltport.query_api.events as events
import basaltport.query_api.query_proxy.final_answers as final_answers
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.query_proxy.retry_budget as retry_budget

PREWARM_INTERVAL_MS = 30_000
LEASE_GAP_WAITED_MS = 2500
LONG_AGO = -(10**9)

Rejection = final_answers.Rejection
Arrived = events.RequestArrived


class AdmissionMixin(interface.Interface):
    """Steps are methods `admit_` + the step's name; each gives None to go on, or a rejection."""

    def on_request_arrived(self, event: events.RequestArrived) -> None:
        """A client's request is here."""
        if not self.leased() and self.now - self.lease_expires_at_ms > LEASE_GAP_WAITED_MS:
            ran = "unknown" if event.idempotency_key else "no"
            detail = "no leader is heard; this query was not run"
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            self.finish(event.request_id, status, "no-leader", detail, ran, self.lease_retry_after())
            return
        rule = self.rules.lines.get(event.queue)
        if rule is None:
            detail = f"no line {event.queue!r}"
            self.reject_id(event.request_id, http.HTTPStatus.NOT_FOUND, "unknown-line", detail)
            return
        model, adapter = event.body.get("model"), event.body.get("adapter")
        item = identifiers.Item(f"{model}/{adapter}" if adapter else str(model))
        arriving = request.Request(event.request_id, event.queue, "", item, event.body, self.now, 0, rule)
        self.run_admission(arriving, 0, event)

    def run_admission(self, arriving: request.Request, step: int, event: events.RequestArrived) -> None:
        """Run the steps from one on; after a claim that waits for its key's holders, the rest runs later."""
        for next_step, (name, argument) in enumerate(arriving.rule.program[step:], step + 1):
            rejection = getattr(self, "admit_" + name)(arriving, argument, event)
            if rejection:
                self.reject_id(event.request_id, *rejection)
                return
            if arriving.claim and arriving.state is request.RequestState.CLAIMING_KEY:
                arriving.claim.next_step, arriving.claim.arrival = next_step, event
                return
        self.pump()

    def admit_sender(
        self, arriving: request.Request, clients: dict[str, str], event: Arrived
    ) -> Rejection | None:
        """The client's token must be one of the queue's."""
        client = clients.get(event.token_hash)
        if client is None:
            detail = "the bearer token is not one of this line's senders"
            return Rejection(http.HTTPStatus.UNAUTHORIZED, "unknown-token", detail)
        arriving.client = client
        return None

    def admit_item(
        self, arriving: request.Request, served: frozenset[str], event: Arrived
    ) -> Rejection | None:
        """The item must be known, and one that the queue serves."""
        item = arriving.item
        if item not in self.rules.items:
            return Rejection(http.HTTPStatus.NOT_FOUND, "unknown-model", f"no model or adapter {item!r}")
        if item not in served:
            detail = f"line {arriving.queue!r} does not serve {item!r}"
            return Rejection(http.HTTPStatus.FORBIDDEN, "not-in-line", detail)
        return None

    def admit_deadline(self, arriving: request.Request, patience_ms: int, event: Arrived) -> Rejection | None:
        """The client's deadline, within the queue's patience."""
        wait_ms = patience_ms if event.deadline_ms < 0 else min(patience_ms, event.deadline_ms)
        if wait_ms == 0:
            retry_after_ms = self.estimate_retry_after(arriving)
            status = http.HTTPStatus.GATEWAY_TIMEOUT
            return Rejection(status, "deadline-too-short", "no time is left", retry_after_ms)
        arriving.deadline = self.now + wait_ms
        return None

    def admit_claim(self, arriving: request.Request, argument: None, event: Arrived) -> None:
        """A request with an idempotency key claims it first."""
        if event.idempotency_key:
            self.begin_claim(arriving, event)

    def admit_bound(self, arriving: request.Request, bound: int, event: Arrived) -> Rejection | None:
        """The queue's bound, by this node's share of it."""
        own_share = retry_budget.member_share(bound, self.query_nodes(), self.me.seat)
        if self.queues.size(arriving.queue) < own_share:
            return None
        detail = f"line {arriving.queue!r} is full here"
        retry_after_ms = self.estimate_retry_after(arriving)
        return Rejection(http.HTTPStatus.TOO_MANY_REQUESTS, "line-full", detail, retry_after_ms)

    def admit_credit(self, arriving: request.Request, pool: str, event: Arrived) -> Rejection | None:
        """The bound of waiting requests of the queue's pool, by this node's share of it."""
        waiting = sum(q.size for name, q in self.queues.by_name.items() if self.pool_of(name) == pool)
        bound = self.rules.pools[pool]["waiting"]
        if waiting < retry_budget.member_share(bound, self.query_nodes(), self.me.seat):
            return None
        detail = f"pool {pool!r} has no waiting credit left"
        retry_after_ms = self.estimate_retry_after(arriving)
        return Rejection(http.HTTPStatus.TOO_MANY_REQUESTS, "pool-empty", detail, retry_after_ms)

    def admit_readiness(self, arriving: request.Request, argument: None, event: Arrived) -> Rejection | None:
        """Ready, or waiting for the load of its item; rejected where it could not be answered in time."""
        if self.is_hopeless(arriving):
            detail = "it could not be answered in time"
            retry_after_ms = self.estimate_retry_after(arriving)
            return Rejection(http.HTTPStatus.SERVICE_UNAVAILABLE, "too-busy", detail, retry_after_ms)
        return self.ready_or_wait(arriving)

    def admit_prewarm(self, arriving: request.Request, items: list[str], event: Arrived) -> None:
        """A queue's first demand, or its first for a while, starts what it may need together."""
        last = self.last_demand.get(arriving.queue, LONG_AGO)
        self.last_demand[arriving.queue] = self.now
        if items and self.now - last > PREWARM_INTERVAL_MS:
            others = [identifiers.Item(item) for item in items if item != arriving.item]
            self.prewarm(others, arriving.rule.pool)

    def admit_wait(self, arriving: request.Request, argument: None, event: Arrived) -> None:
        """Admitted: it waits in its queue."""
        self.requests[arriving.id] = arriving
        self.queues.put(arriving)

    def query_nodes(self) -> list[str]:
        """The member ids of all query nodes in the agreed state."""
        members = self.cluster_state.members.items()
        return [member_id for member_id, row in members if row.role == "rostrum"]

    def pool_of(self, queue: str) -> str:
        """The pool of a queue, or "" for an unknown one."""
        rule = self.rules.lines.get(queue)
        return rule.pool if rule else ""

    def on_client_gone(self, event: events.ClientGone) -> None:
        """Forget a request whose client is gone; one with a key that may run goes on to its end."""
        left = self.requests.get(event.request_id)
        if left is None:
            return
        may_run = (request.RequestState.RUNNING, request.RequestState.CHECKING_TIMEOUT)
        if left.claim and left.state in may_run:
            left.client_gone = True
            return
        del self.requests[left.id]
        self.queues.remove(left)
        if left.claim:
            self.end_claim(left, "unknown" if left.retried else "no")
        if left.attempt_id in self.attempts:
            self.emit(events.CancelAttempt(identifiers.AttemptId(left.attempt_id)))
        self.outcome_counts["sender-gone"] += 1
