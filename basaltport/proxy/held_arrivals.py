"""Requests that arrived before the first data of the feed; they are held until they can be routed."""

import collections.abc
import dataclasses

import basaltport.identifiers as identifiers
import basaltport.proxy.events as events

MAX_HELD = 2000
"""Maximum number of held requests."""
MAX_HOLD_MS = 4000
"""Maximum time that a request is held for the feed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldArrival:
    """An arrival that is held until the feed arrives, at the longest until the time `expires_at`."""

    expires_at: float
    arrived: events.Arrived


class HeldArrivals(dict[int, HeldArrival]):
    """Held arrivals by request id. They exist only in the first one or two seconds after a start."""

    def is_full(self) -> bool:
        """Whether no more requests are held."""
        return len(self) >= MAX_HELD

    def hold(self, arrived: events.Arrived, now: identifiers.Millis) -> None:
        """Hold an arrival for at most two thirds of the time that its client waits."""
        hold_ms = MAX_HOLD_MS if arrived.deadline_ms < 0 else min(MAX_HOLD_MS, arrived.deadline_ms * 2 // 3)
        self[arrived.request] = HeldArrival(now + hold_ms, arrived)

    def take_all(self) -> list[events.Arrived]:
        """Remove and return all held arrivals in order."""
        arrivals = [held.arrived for held in self.values()]
        self.clear()
        return arrivals

    def take_expired(self, now: identifiers.Millis) -> collections.abc.Iterable[int]:
        """Remove the arrivals that were held for their maximum time; returns their request ids."""
        expired = [request_id for request_id, held in self.items() if now >= held.expires_at]
        for request_id in expired:
            del self[request_id]
        return expired
