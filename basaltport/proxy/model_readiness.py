"""ADR 0041 for routes: the keeper's facts of an item, one shared wait for it here, polls at its spacing."""

import collections.abc
import typing

import basaltport.identifiers as identifiers
import basaltport.cold_start.limits as limits
import basaltport.proxy.interfaces as needs
import basaltport.proxy.request as request

AGAIN = 250
WEIGHT = 4
FAR_MORE = 2
RUN_KEPT = 0.9
LONG_AGO = identifiers.Millis(-(10**9))

if typing.TYPE_CHECKING:
    Needs = needs.NodeInterface
else:
    Needs = object


class Fact:
    """What the keeper last said of an item; `asked`: when it was last asked; `next`: when it may be again;
    `told`: the weight of what waited then."""

    __slots__ = ("state", "expected", "retry", "asked", "next", "told")

    def __init__(self) -> None:
        """It was not asked yet."""
        self.state = ""
        self.expected = 0
        self.retry = AGAIN
        self.asked = LONG_AGO
        self.next = identifiers.Millis(0)
        self.told = 0


class ReadinessMixin(Needs):
    """A held item stands in the feed, which is the keeper's word; only others are asked for."""

    def readiness_start(self) -> None:
        """Nothing is known yet."""
        self.facts: dict[str, Fact] = {}
        self.first: dict[str, float] = {}

    def fact(self, item: str) -> Fact:
        """What the keeper last said of an item."""
        fact = self.facts.get(item)
        if fact is None:
            fact = self.facts[item] = Fact()
        return fact

    def expected(self, waiting: request.Request) -> float:
        """Ms that a load of a request's item is expected to take."""
        fact = self.facts.get(waiting.item)
        if fact and fact.expected:
            return fact.expected
        service = self.table.services.get(waiting.service)
        if service is None or service.items is None:
            return 0
        model, _, adapter = waiting.item.partition("/")
        if adapter and self.holders(waiting.service, model):
            return 0
        return service.items.get(model, 0)

    def limit(self, waiting: request.Request) -> float:
        """When the shared wait ends for a request: the source's limit, never past the client's deadline."""
        longest: float = limits.limit(0, self.expected(waiting))
        return min(waiting.until, waiting.born + longest)

    def ask_missing(self) -> None:
        """Ask the keeper, which also orders loads, for all items that requests wait for and nobody holds.
        What waits is told by weight: one urgent request counts as several that can wait."""
        missing: dict[str, int] = {}
        for waiting in self.waiting.values():
            if waiting.item and not self.held(waiting):
                weight = max(1, WEIGHT - waiting.route.urgency)
                missing[waiting.item] = missing.get(waiting.item, 0) + weight
        due = {i: n for i, n in missing.items() if self.due(self.fact(i), n)}
        if not due:
            return
        for item, weight in due.items():
            fact = self.fact(item)
            fact.asked, fact.told = self.now, weight
            fact.next = identifiers.Millis(self.now + max(limits.POLL, fact.retry))
        self.want(due)

    def due(self, fact: Fact, weight: int) -> bool:
        """At the keeper's spacing; sooner where far more wait than it was told."""
        if self.now >= fact.next:
            return True
        return weight >= FAR_MORE * fact.told and self.now - fact.asked >= limits.POLL

    def on_facts(self, items: collections.abc.Mapping[str, needs.Row]) -> None:
        """The keeper's facts came."""
        for item, told in items.items():
            fact = self.fact(item)
            fact.state = told["state"]
            fact.expected = told.get("expected_ms", 0)
            fact.retry = max(limits.POLL, told.get("retry_after_ms", AGAIN))
            fact.next = identifiers.Millis(max(fact.next, fact.asked + fact.retry))
            if fact.state in ("loaded", "loading"):
                continue
            for waiting in [w for w in self.waiting.values() if w.item == item and not self.held(w)]:
                self.refuse(waiting, "unavailable", fact.retry)
        self.pump()

    def after_timeout(self, run: request.Run) -> None:
        """The keeper is asked once of the item, without waiting for its spacing."""
        if run.item:
            self.fact(run.item).next = identifiers.Millis(0)
            self.want({run.item: 0})

    def typical(self, service: str) -> float:
        """Smoothed ms to the first bytes of a service's answers, 0 if unknown."""
        return self.first.get(service, 0)

    def took(self, run: request.Run) -> None:
        """First bytes of an attempt came."""
        ms = self.now - run.sent
        self.health_of(run.replica).took(ms)
        was = self.first.get(run.service, 0)
        self.first[run.service] = ms if not was else RUN_KEPT * was + (1 - RUN_KEPT) * ms
