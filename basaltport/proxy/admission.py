"""The admission checks that a request passes before it waits for a replica."""

import dataclasses

import basaltport.cold_start.decision as cold_start
import basaltport.identifiers as identifiers
import basaltport.proxy.admission_queue as admission_queue
import basaltport.proxy.events as events
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.model_readiness as model_readiness
import basaltport.proxy.request as request
import basaltport.proxy.retry_budget as retry_budget
import basaltport.proxy.routing as routing
import basaltport.proxy.share_draws as share_draws

RETRY_AFTER_MS = 1000
"""Retry time that is sent to the client of a request that was not admitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The reason why a request is not admitted, and when its client may retry."""

    detail: str
    retry_after_ms: int


class Admission:
    """Runs the admission steps of routes. `item_uses` counts requests by item since the last report."""

    def __init__(
        self,
        node: interfaces.FleetView,
        queue: admission_queue.AdmissionQueue,
        readiness: model_readiness.ModelReadiness,
        budgets: retry_budget.RetryBudgets,
    ) -> None:
        """Start with no admitted requests."""
        self.node = node
        self.queue = queue
        self.readiness = readiness
        self.budgets = budgets
        self.item_uses: dict[str, int] = {}
        self.share_draws = share_draws.ShareDraws(node.rng)

    def check(
        self, arriving_request: request.Request, event: events.Arrived, service: str | None = None
    ) -> Rejection | None:
        """Run a request through the admission steps of its route and the queue limit; returns a rejection or
        None.

        `service` is the service to use; None selects one at random by weight.
        """
        for step in arriving_request.route.steps:
            rejection = self.apply_step(step, arriving_request, event, service)
            if rejection is not None:
                return rejection
        return self.check_queue()

    def apply_step(
        self,
        step: routing.AdmissionStep,
        arriving_request: request.Request,
        event: events.Arrived,
        service: str | None,
    ) -> Rejection | None:
        """Run one admission step; returns a rejection or None."""
        match step:
            case routing.AdmissionStep.DEADLINE:
                return self.set_deadline(arriving_request, event)
            case routing.AdmissionStep.SERVICE:
                arriving_request.service = service or self.draw_service(arriving_request.route)
                return None
            case routing.AdmissionStep.ITEM:
                return self.check_item(arriving_request)
            case routing.AdmissionStep.LOAD_TIME:
                return self.check_load_time(arriving_request)

    def draw_service(self, route: routing.Route) -> str:
        """Returns the service for the next request of a route, drawn by weight."""
        draw = self.share_draws.next(route.name) if route.is_shared else 0.0
        return route.service(draw)

    def set_deadline(self, arriving_request: request.Request, event: events.Arrived) -> Rejection | None:
        """Set the deadline to the earlier one of client and route, counted from when the request's head
        was complete."""
        limit_ms = arriving_request.route.deadline_ms
        remaining_ms = limit_ms if event.deadline_ms < 0 else min(event.deadline_ms, limit_ms)
        arriving_request.deadline = identifiers.Millis(event.now - event.body_ms + remaining_ms)
        return (
            None
            if arriving_request.deadline > self.node.now
            else Rejection("no time is left", RETRY_AFTER_MS)
        )

    def check_item(self, arriving_request: request.Request) -> Rejection | None:
        """Check that the service knows the requested item, and count its use; a service without items
        ignores the item."""
        service = self.node.table.services.get(arriving_request.service)
        if service is None or service.load_ms is None:
            arriving_request.item = identifiers.Item("")
            return None
        if not service.has_item(arriving_request.item):
            return Rejection("unknown model or adapter", RETRY_AFTER_MS)
        self.item_uses[arriving_request.item] = self.item_uses.get(arriving_request.item, 0) + 1
        return None

    def remove_item_use(self, refused_request: request.Request) -> None:
        """Remove a request over its tenant's limit from the counted uses of its item."""
        if self.item_uses.get(refused_request.item):
            self.item_uses[refused_request.item] -= 1

    def check_load_time(self, arriving_request: request.Request) -> Rejection | None:
        """Reject a request whose remaining time is shorter than the expected load (ADR 0041, section 6)."""
        if (
            not arriving_request.item
            or self.readiness.on_arrival(arriving_request) is not cold_start.Arrival.FAIL
        ):
            return None
        expected_ms = int(self.readiness.recently_expected_load_ms(arriving_request))
        return Rejection("a load takes longer than the time that is left", expected_ms)

    def check_queue(self) -> Rejection | None:
        """Reject a request if the queue is full."""
        return Rejection("the queue is full", RETRY_AFTER_MS) if self.queue.is_full() else None

    def enqueue(self, arriving_request: request.Request) -> None:
        """Add a request that passed all checks to the queue."""
        self.queue[arriving_request.id] = arriving_request
        self.budgets.for_service(arriving_request.service).count_first_attempt(self.node.now)

    def take_item_uses(self) -> dict[str, int]:
        """Returns the number of requests by item since the last call, and resets the counts."""
        item_uses, self.item_uses = self.item_uses, {}
        return item_uses
