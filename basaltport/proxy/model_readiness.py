"""Readiness of items according to ADR 0041 for routes: the placement's answers about items that no replica
holds, and when the placement may be asked again.

Items that are held appear in the feed, which comes from the placement; only other items are requested. The
rules are those of `cold_start.decision` with its policy for routes.
"""

import collections.abc
import dataclasses
import typing

import basaltport.cold_start.decision as cold_start
import basaltport.cold_start.limits as limits
import basaltport.identifiers as identifiers
import basaltport.proxy.admission_queue as admission_queue
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.load_balancing as load_balancing
import basaltport.proxy.request as request
import basaltport.proxy.wait_ages as wait_ages

RETRY_AFTER_DEFAULT_MS = 250
EXPECTED_LOAD_VALID_MS = 2000
"""How long after the placement's answer its expected load time may reject requests. Rejected requests do
not ask the placement again, so nothing else would correct an outdated value."""


class Demand(typing.NamedTuple):
    """The demand for items that is reported to the placement, by item."""

    weights: dict[str, int]
    """Number of waiting requests, weighted by urgency."""
    waited_ms: dict[str, int]
    """How long requests have waited for the item."""


@dataclasses.dataclass(slots=True)
class ItemStatus:
    """The placement's last answer about an item, and when it may be asked again."""

    state: str = cold_start.LoadState.UNKNOWN
    expected_load_ms: int = 0
    answered_at: int = 0
    retry_after_ms: int = RETRY_AFTER_DEFAULT_MS
    schedule: cold_start.AskSchedule = cold_start.AskSchedule()

    def record_request(self, now: int, demand: int) -> None:
        """Record that the placement is being asked and which demand it was told."""
        next_ask_at = now + limits.poll_spacing_ms(self.retry_after_ms)
        self.schedule = cold_start.AskSchedule(now, next_ask_at, demand)

    def record_answer(self, now: int, answer: collections.abc.Mapping[str, typing.Any]) -> None:
        """Record the placement's answer."""
        self.state, self.answered_at = answer["state"], now
        self.expected_load_ms = answer.get("expected_ms", 0)
        self.retry_after_ms = limits.poll_spacing_ms(answer.get("retry_after_ms", RETRY_AFTER_DEFAULT_MS))
        asked_at, next_ask_at, demand = self.schedule
        spaced_ask_at = cold_start.next_ask_at(cold_start.ROUTES, asked_at, now, self.retry_after_ms)
        self.schedule = cold_start.AskSchedule(asked_at, max(next_ask_at, spaced_ask_at), demand)

    def allow_immediate_request(self) -> None:
        """Allow the next request to the placement without the usual minimum interval."""
        self.schedule = self.schedule._replace(next_ask_at=0)


class ModelReadiness:
    """Decides whether requests are sent, wait or fail depending on their items; all requests for an item
    that no replica holds share one wait."""

    def __init__(self, node: interfaces.FleetView, balancer: load_balancing.LoadBalancer) -> None:
        """Start without any known item status."""
        self.node = node
        self.balancer = balancer
        self.statuses: dict[str, ItemStatus] = {}
        self.wait_ages = wait_ages.WaitAges()

    def status(self, item: str) -> ItemStatus:
        """Returns the placement's last answer about an item."""
        status = self.statuses.get(item)
        if status is None:
            status = self.statuses[item] = ItemStatus()
        return status

    def expected_load_ms(self, waiting_request: request.Request) -> float:
        """Returns the expected load time of a request's item; 0 if unknown."""
        status = self.statuses.get(waiting_request.item)
        if status and status.expected_load_ms:
            return status.expected_load_ms
        return self.configured_load_ms(waiting_request)

    def recently_expected_load_ms(self, arriving_request: request.Request) -> float:
        """Returns the expected load time of a request's item, ignoring an answer of the placement that is
        too old to reject a request."""
        status = self.statuses.get(arriving_request.item)
        if status and self.node.now - status.answered_at > EXPECTED_LOAD_VALID_MS:
            return self.configured_load_ms(arriving_request)
        return self.expected_load_ms(arriving_request)

    def configured_load_ms(self, waiting_request: request.Request) -> float:
        """Returns the configured load time of a request's item; 0 if not configured, or for an adapter
        whose model is held."""
        service = self.node.table.services.get(waiting_request.service)
        if service is None or service.load_ms is None:
            return 0
        model, _, adapter = waiting_request.item.partition("/")
        if adapter and self.balancer.holders(waiting_request.service, model):
            return 0
        return service.load_ms.get(model, 0)

    def on_arrival(self, arriving_request: request.Request) -> cold_start.Arrival:
        """Decide whether a request can be sent, must wait for its item to load, or fails because its
        deadline is too short."""
        if self.balancer.is_item_available(arriving_request):
            return cold_start.Arrival.SEND
        return cold_start.on_arrival(
            is_warm=False,
            may_be_held=False,
            remaining_ms=arriving_request.deadline - self.node.now,
            expected_load_ms=self.recently_expected_load_ms(arriving_request),
        )

    def wait_ends_at(self, waiting_request: request.Request) -> float:
        """Returns when the shared wait ends for a request."""
        expected_ms = self.expected_load_ms(waiting_request)
        wait = cold_start.Wait(waiting_request.arrived_at, waiting_request.deadline, 0, expected_ms)
        return cold_start.wait_ends_at(cold_start.ROUTES, wait)

    def retry_after_ms(self, waiting_request: request.Request) -> int:
        """Returns when to ask the placement again for a request's item; 0 without an item."""
        return self.status(waiting_request.item).retry_after_ms if waiting_request.item else 0

    def take_due_items(
        self, queue: admission_queue.AdmissionQueue, items: collections.abc.Iterable[str]
    ) -> Demand:
        """Returns the demand for those of the given items that requests wait for, that no replica holds
        and that may be requested now; marks them as requested."""
        demand = Demand({}, {})
        for item in items:
            weight = self.demand_for_item(queue, item)
            if not weight:
                continue
            waited_ms = self.wait_ages.record_request(item, self.node.now)
            if self.may_request(item, weight):
                self.status(item).record_request(self.node.now, weight)
                demand.weights[item] = weight
                demand.waited_ms[item] = waited_ms
        return demand

    def rows_changed(self, replica_ids: collections.abc.Iterable[str]) -> None:
        """End the waits for items that the given replicas hold and are open for."""
        replicas = self.balancer.replicas() if self.wait_ages else {}
        for replica_id in replica_ids:
            replica = replicas.get(replica_id)
            if replica is not None and self.balancer.accepts_requests(replica):
                for item in replica.items():
                    self.wait_ages.reset(item)

    def demand_for_item(self, queue: admission_queue.AdmissionQueue, item: str) -> int:
        """Returns the weight of the requests that wait for an item that no replica of their service holds."""
        if not item:
            return 0
        groups = queue.groups_for_item(item)
        return sum(
            group.demand for group in groups if not self.balancer.has_available_holder(*group.need[:2])
        )

    def may_request(self, item: str, demand: int) -> bool:
        """Whether the placement may be asked for an item now."""
        schedule = self.status(item).schedule
        return cold_start.may_ask(cold_start.ROUTES, schedule, self.node.now, demand)

    def handle_answer(
        self, item: str, answer: collections.abc.Mapping[str, typing.Any]
    ) -> cold_start.WaitStep:
        """Record the placement's answer about an item; returns how the wait continues."""
        status = self.status(item)
        status.record_answer(self.node.now, answer)
        return cold_start.after_answer(status.state)

    def allow_request_after_timeout(self, item: identifiers.Item) -> None:
        """Allow one request to the placement about an item without the minimum interval (ADR 0041, section
        4)."""
        self.status(item).allow_immediate_request()
