"""From a queue to a replica and back: which replica, under which slot, and what became of the attempt."""

import http

import basaltport.identifiers as identifiers
import basaltport.query_api.events as events
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.query_proxy.retry_budget as retry_budget

MAX_ATTEMPTS = 4
UNREACHABLE_MS = 1000
BROKEN_CONNECTION_MS = 250
NO_CONNECTION = "no-wire"
NEVER_WRITTEN = ("withheld", NO_CONNECTION)
NOT_SERVING = ("not-held", "starting")


class AttemptsMixin(interface.Interface):
    """Sends requests to replicas while this node holds a lease and slots."""

    def attempts_start(self) -> None:
        """Begin with nothing sent."""
        self.attempts = {}
        self.retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self.configuration_version_seen = 0
        self.unusable_until = {}

    def usable(self, item: identifiers.Item) -> list[str]:
        """The replicas that serve an item and may be used now."""
        return [
            name
            for _, name in self.holders.get(item, [])
            if self.may_use(name) and self.now >= self.unusable_until.get(name, 0)
        ]

    def choose_replica(self, waiting: request.Request) -> str | None:
        """The replica with most free slots; one that just failed the request comes last."""
        best, best_rank = None, (False, 0)
        for name in self.usable(waiting.item):
            room_left = self.slot(name).room_left(self.now)
            if room_left <= 0:
                continue
            rank = (name != waiting.avoided_replica, room_left)
            if best is None or rank > best_rank:
                best, best_rank = name, rank
        return best

    def may_send(self) -> bool:
        """Whether this node holds a lease and the newest configuration that any replica has seen."""
        return self.leased() and bool(
            self.cluster_state.configuration_version >= self.configuration_version_seen
        )

    def pump(self) -> None:
        """Send as many waiting requests as there are slots for."""
        if not self.may_send():
            return
        while True:
            has_slot: dict[identifiers.Item, bool] = {}

            def accepts(waiting: request.Request, has_slot: dict[identifiers.Item, bool] = has_slot) -> bool:
                """Whether a request that waits may go now. Each item is looked up once."""
                if not waiting.ready or self.is_too_late(waiting):
                    return False
                if waiting.item not in has_slot:
                    has_slot[waiting.item] = bool(self.choose_replica(waiting))
                return has_slot[waiting.item]

            taken = self.queues.take(accepts)
            chosen = self.choose_replica(taken) if taken else None
            if taken is None or chosen is None:
                break
            self.start_attempt(taken, chosen)
        self.demand_waits = self.queues.total() > 0

    def is_too_late(self, waiting: request.Request) -> bool:
        """Whether a request that had to wait has too little time left."""
        if waiting.arrived_at >= self.now:
            return False
        return self.now >= waiting.deadline - self.least_time(waiting.item)

    def start_attempt(self, sent: request.Request, replica_id: str) -> None:
        """Send a request to a replica."""
        sent.attempts += 1
        sent.state = request.RequestState.RUNNING
        sent.replica_id = replica_id
        attempt_id = identifiers.AttemptId(f"{sent.id}.{sent.attempts}")
        sent.attempt_id = attempt_id
        sent.sent_at = self.now
        timeout_ms = min(sent.rule.timeout, sent.deadline - self.now)
        self.slot(replica_id).using += 1
        self.attempts[attempt_id] = request.Attempt(
            attempt_id, sent.id, replica_id, sent.item, self.now, self.now + timeout_ms
        )
        if sent.attempts == 1:
            self.retry_budget_of(sent.rule.pool).record_first(self.now)
        self.emit(
            events.StartAttempt(
                attempt_id,
                sent.id,
                identifiers.ReplicaId(replica_id),
                self.cluster_state.listed_replicas[replica_id].url,
                sent.body,
                int(self.cluster_state.configuration_version),
                timeout_ms,
                sent.deadline - self.now,
                sent.claim is not None,
            )
        )

    def may_write(self, attempt_id: str) -> int | None:
        """The configuration version to write an attempt under, or None to write nothing; asked by the shell
        right before the write."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None or not self.may_send() or not self.may_use(attempt.replica_id):
            return None
        sent = self.requests.get(attempt.request_id)
        if self.now >= attempt.timeout_at or sent is None or not self.is_allowed(sent):
            return None
        return int(self.cluster_state.configuration_version)

    def is_allowed(self, waiting: request.Request) -> bool:
        """Whether the configuration in force still has a request's queue, model and client."""
        rule = self.rules.lines.get(waiting.queue)
        return rule is not None and waiting.item in rule.items and waiting.client in rule.senders

    def retry_budget_of(self, pool: str) -> retry_budget.RetryBudget:
        """The retry budget of a pool."""
        budget = self.retry_budgets.get(pool)
        if budget is None:
            budget = self.retry_budgets[pool] = retry_budget.RetryBudget()
        return budget

    def retry_credit(self, retried: request.Request, spend: bool = True) -> bool:
        """Whether a retry is within the pool's budget; with `spend` it is counted."""
        name = retried.rule.pool
        pool = self.rules.pools.get(name)
        if pool is None:
            return False
        allowance = retry_budget.member_share(pool["resend_allowance"], self.query_nodes(), self.me.seat)
        if self.now < self.shares_since:
            allowance = 0
        budget = self.retry_budget_of(name)
        take = budget.spend if spend else budget.has_room
        return take(self.now, pool["resend_percent"], allowance)

    # what became of an attempt

    def on_attempt_ended(self, event: events.AttemptEnded) -> None:
        """Free the slot, and go on with the request if it still waits for this attempt."""
        attempt = self.attempts.pop(event.attempt_id, None)
        if attempt is None:
            return
        known = self.slot(attempt.replica_id)
        known.using = max(0, known.using - 1)
        ended = self.requests.get(attempt.request_id)
        if event.outcome == "done":
            self.attempt_done(ended, attempt, event)
        elif ended is not None and ended.attempt_id == event.attempt_id:
            handlers = {
                "refused": self.attempt_refused,
                "broken": self.attempt_broken,
                "cut": self.attempt_cut,
                "late": self.attempt_late,
            }
            handlers[event.outcome](ended, attempt, event)
        self.pump()

    def attempt_done(
        self, ended: request.Request | None, attempt: request.Attempt, event: events.AttemptEnded
    ) -> None:
        """The replica answered, and its answer went to the client."""
        state = self.model_state(attempt.item)
        if event.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            state.last_served_at = self.now
        self.record_time(attempt.item, self.now - attempt.sent_at)
        if ended is None:
            return
        self.outcome_counts["done"] += 1
        self.requests.pop(ended.id, None)
        if ended.claim:
            self.end_claim(ended, "yes", event.status, event.response)

    def attempt_refused(
        self, ended: request.Request, attempt: request.Attempt, event: events.AttemptEnded
    ) -> None:
        """Proof that it never ran: it may go again, also where it must not run twice, within the budget."""
        self.learn_from_refusal(ended, attempt, event)
        never_written = event.detail in NEVER_WRITTEN
        in_time = ended.attempts < MAX_ATTEMPTS and self.now < ended.deadline
        if in_time and (never_written or self.retry_credit(ended)):
            self.requeue(ended)
            return
        self.reject(ended, http.HTTPStatus.SERVICE_UNAVAILABLE, "replica-refused", event.detail)

    def learn_from_refusal(
        self, ended: request.Request, attempt: request.Attempt, event: events.AttemptEnded
    ) -> None:
        """Take what a refusal tells of the replica."""
        ended.avoided_replica = attempt.replica_id
        if event.detail in NOT_SERVING:
            self.model_state(ended.item).last_served_at = None
        if event.detail == NO_CONNECTION:
            self.unusable_until[attempt.replica_id] = self.now + UNREACHABLE_MS
        if event.detail == "stale-serial":
            ended.avoided_replica = ""
            newest = max(self.configuration_version_seen, event.configuration_version)
            self.configuration_version_seen = newest
        if event.detail == "busy":
            known = self.slot(attempt.replica_id)
            known.granted = max(0, known.granted - 1)

    def attempt_broken(
        self, ended: request.Request, attempt: request.Attempt, event: events.AttemptEnded
    ) -> None:
        """The connection broke with the answer outstanding: it may have run."""
        ended.avoided_replica = attempt.replica_id
        self.model_state(ended.item).last_served_at = None
        self.unusable_until[attempt.replica_id] = self.now + BROKEN_CONNECTION_MS
        if not self.retry(ended):
            self.give_up(ended, http.HTTPStatus.BAD_GATEWAY, "dispatch-broken", event.detail)

    def attempt_cut(
        self, ended: request.Request, attempt: request.Attempt, event: events.AttemptEnded
    ) -> None:
        """The answer broke off after a part went out: the client's connection was ended, nothing follows."""
        self.requests.pop(ended.id, None)
        if ended.claim:
            self.end_claim(ended, "unknown")
        self.outcome_counts["cut"] += 1

    def attempt_late(
        self, ended: request.Request, attempt: request.Attempt, event: events.AttemptEnded
    ) -> None:
        """The attempt's time ended."""
        self.timed_out(ended, attempt)
