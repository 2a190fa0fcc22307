"""What a request of a route goes through before it waits for a replica."""

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
"""When the client of a request that was not taken may come back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is not taken, and when its client may come back."""

    detail: str
    retry_after_ms: int


class Admission:
    """The steps of routes. `item_uses`: requests by item since they were last reported."""

    def __init__(
        self,
        node: interfaces.FleetView,
        queue: admission_queue.AdmissionQueue,
        readiness: model_readiness.ModelReadiness,
        budgets: retry_budget.RetryBudgets,
    ) -> None:
        """Nothing was admitted yet."""
        self.node = node
        self.queue = queue
        self.readiness = readiness
        self.budgets = budgets
        self.item_uses: dict[str, int] = {}
        self.share_draws = share_draws.ShareDraws(node.rng)

    def check(
        self, arrived: request.Request, event: events.Arrived, service: str | None = None
    ) -> Rejection | None:
        """Take a request through the steps of its route, up to the queue; or why not.

        `service`: the one that it goes to; None lets it be drawn by weight.
        """
        for step in arrived.route.steps:
            rejection = self.take(step, arrived, event, service)
            if rejection is not None:
                return rejection
        return self.check_queue()

    def take(
        self,
        step: routing.AdmissionStep,
        arrived: request.Request,
        event: events.Arrived,
        service: str | None,
    ) -> Rejection | None:
        """One step."""
        match step:
            case routing.AdmissionStep.DEADLINE:
                return self.set_deadline(arrived, event)
            case routing.AdmissionStep.SERVICE:
                arrived.service = service or self.draw_service(arrived.route)
                return None
            case routing.AdmissionStep.ITEM:
                return self.check_item(arrived)
            case routing.AdmissionStep.LOAD_TIME:
                return self.check_load_time(arrived)

    def draw_service(self, route: routing.Route) -> str:
        """The service of a route's next request, by weight."""
        draw = self.share_draws.next(route.name) if route.is_shared else 0.0
        return route.service(draw)

    def set_deadline(self, arrived: request.Request, event: events.Arrived) -> Rejection | None:
        """The smaller of the client's deadline and the route's, from when the request's head was there."""
        longest_ms = arrived.route.deadline_ms
        remaining_ms = longest_ms if event.deadline_ms < 0 else min(event.deadline_ms, longest_ms)
        arrived.deadline = identifiers.Millis(event.now - event.body_ms + remaining_ms)
        return None if arrived.deadline > self.node.now else Rejection("no time is left", RETRY_AFTER_MS)

    def check_item(self, arrived: request.Request) -> Rejection | None:
        """The item counts if its service has items, and must then be known to it."""
        service = self.node.table.services.get(arrived.service)
        if service is None or service.load_ms is None:
            arrived.item = identifiers.Item("")
            return None
        if not service.knows(arrived.item):
            return Rejection("unknown model or adapter", RETRY_AFTER_MS)
        self.item_uses[arrived.item] = self.item_uses.get(arrived.item, 0) + 1
        return None

    def uncount_item(self, refused: request.Request) -> None:
        """What is beyond its tenant's limit is no use of its item."""
        if self.item_uses.get(refused.item):
            self.item_uses[refused.item] -= 1

    def check_load_time(self, arrived: request.Request) -> Rejection | None:
        """Fail before sending where the time left cannot cover the expected load (ADR 0041, section 6)."""
        if not arrived.item or self.readiness.on_arrival(arrived) is not cold_start.Arrival.FAIL:
            return None
        expected_ms = int(self.readiness.recently_expected_load_ms(arrived))
        return Rejection("a load takes longer than the time that is left", expected_ms)

    def check_queue(self) -> Rejection | None:
        """The queue must have room."""
        return Rejection("the queue is full", RETRY_AFTER_MS) if self.queue.is_full() else None

    def enqueue(self, arrived: request.Request) -> None:
        """Into the queue, once all checks let it pass."""
        self.queue[arrived.id] = arrived
        self.budgets.of(arrived.service).first_attempt(self.node.now)

    def take_item_uses(self) -> dict[str, int]:
        """Requests by item since the last call."""
        item_uses, self.item_uses = self.item_uses, {}
        return item_uses
