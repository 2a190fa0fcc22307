"""Zones that were readmitted after the platform's list was read: replicas there may be cold unseen."""

import collections.abc

ALL_ZONES = "*"
"""Stands for all zones."""
MAX_UNCONFIRMED_MS = 10_000
"""A zone counts as confirmed after this time even without a list: replicas are cold for seconds."""


class ReadmittedZones:
    """The zones that were readmitted, each since when, until a list that shows a later state was read.

    A process that has just started does not know which zones were readmitted before, so all may have been.
    Times are in ms.
    """

    __slots__ = ("evacuated", "readmitted_at")

    def __init__(self, now: int) -> None:
        """Start without knowledge of earlier evacuations."""
        self.evacuated: collections.abc.Collection[str] = ()
        self.readmitted_at: dict[str, int] = {ALL_ZONES: now}

    def observe(self, evacuated: collections.abc.Collection[str], now: int) -> bool:
        """Compare the evacuated zones with those before; returns whether one was readmitted."""
        if evacuated is self.evacuated:
            return False
        readmitted = [zone for zone in self.evacuated if zone not in evacuated]
        self.evacuated = evacuated
        self.readmitted_at |= dict.fromkeys(readmitted, now)
        return bool(readmitted)

    def confirm(self, as_of: int) -> None:
        """Forget the zones that were readmitted before the state that a list shows."""
        self.readmitted_at = {zone: at for zone, at in self.readmitted_at.items() if at > as_of}

    def unconfirmed(self, now: int) -> list[str]:
        """Returns the zones whose replicas may be cold unseen."""
        if self.readmitted_at:
            self.confirm(now - MAX_UNCONFIRMED_MS)
        return sorted(self.readmitted_at)
