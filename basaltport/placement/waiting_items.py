"""Items (models or adapters) that requests wait for because no reachable replica has them loaded."""

import collections
import collections.abc
import enum
import typing

EXTRA_COPY_MS = 800
"""Time for which requests may wait for an item that is loaded before another copy of it is loaded."""
HEAD_START_MS = 200
"""Time added to each wait in its rank, so that many requests that have just arrived count as well."""
MAX_COUNTED_REQUESTS = 100
"""Upper limit of the number of waiting requests in the rank."""


class OvertakingLoad(enum.StrEnum):
    """The kinds of loads that can overtake a longer wait."""

    DISK = "disk"
    """A load from a replica's disk, for other waiting requests."""
    STORE = "store"
    """A load from the store of weights, for other waiting requests."""
    COPY = "copy"
    """A load of another copy that no request waits for."""


class WaitingCount(typing.NamedTuple):
    """The number of requests that wait in a zone, and when it was reported."""

    requests: int
    reported_at: int


class AbandonedItem(typing.NamedTuple):
    """An item whose wait was abandoned. Times in ms."""

    since: int
    """When it was first requested."""
    abandoned_at: int


class WaitingItem:
    """The requests that wait for one item, by zone. Times in ms."""

    __slots__ = (
        *("first_requested_at", "last_requested_at", "zones", "extra_copy_at", "extra_copy_after_ms"),
        *("since", "most_requests", "overtaken"),
    )

    def __init__(self, now: int, since: int | None = None) -> None:
        """Start a wait at `now`; `since`: when an abandoned wait for the item began, if there was one."""
        self.since = now if since is None else since
        self.first_requested_at = self.last_requested_at = self.extra_copy_at = now
        self.zones: dict[str, WaitingCount] = {}
        self.extra_copy_after_ms = EXTRA_COPY_MS
        self.most_requests = 0
        """Highest number of requests that waited at the same time."""
        self.overtaken: collections.Counter[OvertakingLoad] = collections.Counter()

    def record_requests(self, now: int, zone: str, requests: int) -> None:
        """Record the number of waiting requests that was reported for a zone at `now`."""
        self.last_requested_at = now
        self.zones[zone] = WaitingCount(requests, now)
        self.most_requests = max(self.most_requests, self.requests())

    def extend_wait(self, time: int) -> None:
        """Extend the wait back to `time`, since when a proxy has had requests for the item."""
        self.since = min(self.since, time)

    def requests(self) -> int:
        """Return the number of waiting requests over all zones."""
        return sum(count.requests for count in self.zones.values())

    def needs_extra_copy(self, now: int) -> bool:
        """Whether another copy is due: requests still wait, so replicas with the item may be unreachable."""
        return now - self.extra_copy_at > self.extra_copy_after_ms

    def record_extra_copy(self, now: int) -> None:
        """Record that another copy is being loaded; the next one is due after twice the time."""
        self.extra_copy_at = now
        self.extra_copy_after_ms *= 2

    def rank(self, now: int) -> int:
        """Return the product of waiting time and number of requests; the highest rank is placed first."""
        return (now - self.first_requested_at + HEAD_START_MS) * min(MAX_COUNTED_REQUESTS, self.requests())

    def requests_by_zone(self) -> collections.abc.Mapping[str, int]:
        """Return the number of waiting requests by zone."""
        return {zone: count.requests for zone, count in self.zones.items()}

    def forget_before(self, time: int) -> None:
        """Drop the counts of zones that were last reported before `time`."""
        self.zones = {zone: count for zone, count in self.zones.items() if count.reported_at >= time}
