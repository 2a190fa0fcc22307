"""How long requests have waited for items that no replica holds, across gaps between requests.

The leader loads the item with the longest wait first. A new leader does not know the waits but proxies do, so
proxies report them with each demand.
"""

import basaltport.identifiers as identifiers

EXPIRY_MS = 60_000
"""After this time without a request for an item, its next wait starts at zero."""


class WaitAges:
    """The start of the wait and the time of the last request, by item. Times are in ms."""

    def __init__(self) -> None:
        """Start without any wait."""
        self._since: dict[str, int] = {}
        self._asked_at: dict[str, int] = {}

    def __bool__(self) -> bool:
        """Whether any item is being waited for."""
        return bool(self._since)

    def record_request(self, item: str, now: identifiers.Millis) -> int:
        """Record that requests wait for an item now; returns the age of the wait in ms."""
        self._remove_older_than(now - EXPIRY_MS)
        self._asked_at.pop(item, None)
        self._asked_at[item] = now
        return now - self._since.setdefault(item, now)

    def reset(self, item: str) -> None:
        """Remove the wait for an item that a replica now holds."""
        if item in self._since:
            del self._since[item], self._asked_at[item]

    def _remove_older_than(self, oldest_kept_at: int) -> None:
        """Remove waits whose last request is older than a time; entries are ordered by that time."""
        while self._asked_at:
            item = next(iter(self._asked_at))
            if self._asked_at[item] >= oldest_kept_at:
                return
            del self._since[item], self._asked_at[item]
