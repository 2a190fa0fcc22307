"""Requests that wait: in the queue for a replica, or held back until the feed is there."""

import collections.abc
import dataclasses

import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.request as request

MOST_WAITING = 2000
"""Requests that the queue takes; as many may be held for the feed."""
HELD_MS = 4000
"""How long a request is held for the feed at most."""


class AdmissionQueue(dict[int, request.Request]):
    """Requests that wait for a replica, by id."""

    def is_full(self) -> bool:
        """Whether it takes no more."""
        return len(self) >= MOST_WAITING

    def in_order(self) -> list[request.Request]:
        """The most urgent first, and of those the oldest."""
        return sorted(self.values(), key=lambda waiting: waiting.queue_key)

    def waiting_for(self, item: str) -> list[request.Request]:
        """Those that wait for an item."""
        return [waiting for waiting in self.values() if waiting.item == item]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldArrival:
    """An arrival that is held until the feed is there, until then at most."""

    until: float
    arrived: events.Arrived


class HeldArrivals(dict[int, HeldArrival]):
    """What came before the feed did, by request: a start takes a second or two."""

    def is_full(self) -> bool:
        """Whether it takes no more."""
        return len(self) >= MOST_WAITING

    def hold(self, arrived: events.Arrived, now: identifiers.Millis) -> None:
        """Hold an arrival for a part of its client's time."""
        held_ms = HELD_MS if arrived.deadline_ms < 0 else min(HELD_MS, arrived.deadline_ms * 2 // 3)
        self[arrived.request] = HeldArrival(now + held_ms, arrived)

    def take_all(self) -> list[events.Arrived]:
        """All that is held, in its order; nothing is held any more."""
        arrivals = [held.arrived for held in self.values()]
        self.clear()
        return arrivals

    def take_expired(self, now: identifiers.Millis) -> collections.abc.Iterable[int]:
        """Requests that were held for long enough, which are held no more."""
        expired = [request_id for request_id, held in self.items() if now >= held.until]
        for request_id in expired:
            del self[request_id]
        return expired
