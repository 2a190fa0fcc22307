"""ADR 0041 for routes: what the placement says of items that nobody holds, and when it may be asked of them.

A held item stands in the feed, which is the placement's own word; only others are asked for. The rules are
those of `cold_start.decision`, with its policy for routes.
"""

import collections.abc
import dataclasses
import typing

import basaltport.cold_start.decision as cold_start
import basaltport.cold_start.limits as limits
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.request as request

RETRY_AFTER_DEFAULT_MS = 250
LEAST_URGENT_WEIGHT = 4
"""A request of urgency 0 counts as so many in the demand that is told; each step of urgency takes one off."""
FIRST_BYTE_KEPT = 0.9
"""The share of the old value in the smoothed time to first bytes."""

if typing.TYPE_CHECKING:
    Needs = interfaces.NodeInterface
else:
    Needs = object


@dataclasses.dataclass(slots=True)
class ItemStatus:
    """What the placement last said of an item, and when it may be asked again."""

    state: str = cold_start.LoadState.UNKNOWN
    expected_load_ms: int = 0
    retry_after_ms: int = RETRY_AFTER_DEFAULT_MS
    schedule: cold_start.AskSchedule = cold_start.AskSchedule()

    def asked(self, now: int, demand: int) -> None:
        """The placement is being asked, and told of a demand."""
        next_ask_at = now + limits.poll_spacing_ms(self.retry_after_ms)
        self.schedule = cold_start.AskSchedule(now, next_ask_at, demand)

    def answered(self, now: int, answer: collections.abc.Mapping[str, typing.Any]) -> None:
        """The placement's answer came."""
        self.state = answer["state"]
        self.expected_load_ms = answer.get("expected_ms", 0)
        self.retry_after_ms = limits.poll_spacing_ms(answer.get("retry_after_ms", RETRY_AFTER_DEFAULT_MS))
        asked_at, next_ask_at, demand = self.schedule
        answered = cold_start.next_ask_at(cold_start.ROUTES, asked_at, now, self.retry_after_ms)
        self.schedule = cold_start.AskSchedule(asked_at, max(next_ask_at, answered), demand)

    def ask_at_once(self) -> None:
        """The placement may be asked without waiting for its spacing."""
        self.schedule = self.schedule._replace(next_ask_at=0)


class ReadinessMixin(Needs):
    """Requests of an item that nobody holds share one wait for it."""

    def readiness_start(self) -> None:
        """Nothing is known yet."""
        self.item_statuses: dict[str, ItemStatus] = {}
        self.first_byte_ms: dict[str, float] = {}

    def item_status(self, item: str) -> ItemStatus:
        """What the placement last said of an item."""
        status = self.item_statuses.get(item)
        if status is None:
            status = self.item_statuses[item] = ItemStatus()
        return status

    def expected(self, waiting: request.Request) -> float:
        """Milliseconds that a load of a request's item is expected to take; 0 where that is not known."""
        status = self.item_statuses.get(waiting.item)
        if status and status.expected_load_ms:
            return status.expected_load_ms
        service = self.table.services.get(waiting.service)
        if service is None or service.items is None:
            return 0
        model, _, adapter = waiting.item.partition("/")
        if adapter and self.holders(waiting.service, model):
            return 0
        return service.items.get(model, 0)

    def limit(self, waiting: request.Request) -> float:
        """When the shared wait ends for a request."""
        wait = cold_start.Wait(waiting.born, waiting.until, 0, self.expected(waiting))
        return cold_start.wait_ends_at(cold_start.ROUTES, wait)

    def on_waiting_arrival(self, arrived: request.Request) -> cold_start.Arrival:
        """Whether a request of an item may go out, waits for its load, or can't outlast that."""
        if self.held(arrived):
            return cold_start.Arrival.SEND
        return cold_start.on_arrival(
            is_warm=False,
            may_be_held=False,
            remaining_ms=arrived.until - self.now,
            expected_load_ms=self.expected(arrived),
        )

    def ask_missing(self) -> None:
        """Ask the placement, which also orders loads, for all items that requests wait for and nobody holds.
        The demand is told by weight: one urgent request counts as several that can wait."""
        demand: dict[str, int] = {}
        for waiting in self.waiting.values():
            if waiting.item and not self.held(waiting):
                weight = max(1, LEAST_URGENT_WEIGHT - waiting.route.urgency)
                demand[waiting.item] = demand.get(waiting.item, 0) + weight
        due = {item: weight for item, weight in demand.items() if self.may_ask(item, weight)}
        if not due:
            return
        for item, weight in due.items():
            self.item_status(item).asked(self.now, weight)
        self.want(due)

    def may_ask(self, item: str, demand: int) -> bool:
        """Whether the placement may be asked for an item now."""
        schedule = self.item_status(item).schedule
        return cold_start.may_ask(cold_start.ROUTES, schedule, self.now, demand)

    def on_facts(self, items: collections.abc.Mapping[str, interfaces.Row]) -> None:
        """The placement's answers came, by item."""
        for item, answer in items.items():
            status = self.item_status(item)
            status.answered(self.now, answer)
            if cold_start.after_answer(status.state) is not cold_start.WaitStep.END:
                continue
            for waiting in [w for w in self.waiting.values() if w.item == item and not self.held(w)]:
                self.refuse(waiting, "unavailable", status.retry_after_ms)
        self.pump()

    def after_timeout(self, run: request.Run) -> None:
        """The placement is asked once of the item, without waiting for its spacing (ADR 0041, section 4)."""
        if run.item:
            self.item_status(run.item).ask_at_once()
            self.want({run.item: 0})

    def typical(self, service: str) -> float:
        """Smoothed milliseconds to the first bytes of a service's answers, 0 if unknown."""
        return self.first_byte_ms.get(service, 0)

    def took(self, run: request.Run) -> None:
        """First bytes of an attempt came."""
        elapsed_ms = self.now - run.sent
        self.health_of(run.replica).took(elapsed_ms)
        before = self.first_byte_ms.get(run.service, 0)
        smoothed = FIRST_BYTE_KEPT * before + (1 - FIRST_BYTE_KEPT) * elapsed_ms
        self.first_byte_ms[run.service] = smoothed if before else elapsed_ms
