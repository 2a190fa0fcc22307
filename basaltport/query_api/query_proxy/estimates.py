"""How long requests take here, and which of them cannot be answered in time."""

import basaltport.identifiers as identifiers
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.request as request

LEAST_TIME_MS = 250
OLD_WEIGHT = 7


class EstimatesMixin(interface.Interface):
    """Moving averages of service times by item, in milliseconds."""

    def estimates_start(self) -> None:
        """Begin with nothing measured."""
        self.service_times = {}

    def record_time(self, item: identifiers.Item, took_ms: int) -> None:
        """Take the time of an attempt that was answered into the item's average."""
        average = self.service_times.get(item, took_ms)
        self.service_times[item] = (OLD_WEIGHT * average + took_ms) // (OLD_WEIGHT + 1)

    def least_time(self, item: identifiers.Item) -> int:
        """What must remain for an answer in time to be likely."""
        typical = self.service_times.get(item)
        return LEAST_TIME_MS if typical is None else typical // 2

    def typical_time(self, item: identifiers.Item) -> int:
        """The average of an item; 0 before one was measured."""
        return self.service_times.get(item, 0)

    def requests_ahead(self, waiting: request.Request) -> int:
        """How many requests for the same item wait that are as urgent or more."""
        urgency = waiting.rule.urgency
        return sum(1 for other in self.queues if other.item == waiting.item and other.rule.urgency >= urgency)

    def is_hopeless(self, waiting: request.Request) -> bool:
        """Whether a warm item's backlog leaves no time for a request; never, while nothing is measured."""
        typical = self.typical_time(waiting.item)
        replicas = self.usable(waiting.item)
        if not typical or not replicas or not self.is_warm(waiting.item):
            return False
        granted = sum(max(self.slot(name).granted, 1) for name in replicas)
        busy = sum(self.slot(name).using for name in replicas)
        backlog_ms = (2 * self.requests_ahead(waiting) + busy) * typical // (2 * granted)
        return backlog_ms + typical > waiting.deadline - self.now
