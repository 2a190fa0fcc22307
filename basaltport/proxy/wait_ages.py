"""Since when items have been asked for that nobody holds, over gaps between their requests.

The leader loads what has waited longest first. It forgets ages when another one leads, and proxies do not; so
they tell them with each demand.
"""

import basaltport.identifiers as identifiers

KEPT_MS = 60_000
"""An item that was not asked for for so long begins anew."""


class WaitAges:
    """By item, since when it has been asked for, and when it was asked for last. Times in ms."""

    def __init__(self) -> None:
        """Nothing was asked for."""
        self._since: dict[str, int] = {}
        self._asked_at: dict[str, int] = {}

    def __bool__(self) -> bool:
        """Whether any item has been asked for."""
        return bool(self._since)

    def asked(self, item: str, now: identifiers.Millis) -> int:
        """Requests wait for an item now; for how long it has been asked for."""
        self._forget_before(now - KEPT_MS)
        self._asked_at.pop(item, None)
        self._asked_at[item] = now
        return now - self._since.setdefault(item, now)

    def found(self, item: str) -> None:
        """A replica holds an item: its next wait begins anew."""
        if item in self._since:
            del self._since[item], self._asked_at[item]

    def _forget_before(self, time: int) -> None:
        """Drop what was asked for before a time; the oldest stand first."""
        while self._asked_at:
            item = next(iter(self._asked_at))
            if self._asked_at[item] >= time:
                return
            del self._since[item], self._asked_at[item]
