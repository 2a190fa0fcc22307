"""The updates that are on their way to a proxy, and what the proxy's reports prove about them.

Updates go over one connection, so they arrive in the order in which they were sent, or not at all. A proxy
that reports an update has received, or will never receive, all earlier ones.
"""

import collections
import typing

import basaltport.consensus.replication as replication

MAX_BYTES = 1 << 18
"""No content is sent while more than this is on its way; so at most this, and one update, is."""
RESEND_MS = 300
"""Interval between two probes of a proxy, and the time that a proxy of an earlier release has for its
report."""


class SentUpdate(typing.NamedTuple):
    """An update: its number, what the proxy has once it arrives, its approximate size in bytes, and when it
    was sent in ms."""

    number: int
    log_index: int
    rows_version: int
    size: int
    sent_at: int


class UpdatesInFlight:
    """The updates to one proxy that it has not reported, the oldest first."""

    __slots__ = ("updates", "size")

    def __init__(self) -> None:
        """Initialize: nothing is on its way."""
        self.updates: collections.deque[SentUpdate] = collections.deque()
        self.size = 0

    def __bool__(self) -> bool:
        """Whether anything is on its way."""
        return bool(self.updates)

    def has_room(self) -> bool:
        """Whether more content may be sent."""
        return self.size <= MAX_BYTES

    def record(self, update: SentUpdate) -> None:
        """Add an update that is sent now."""
        self.updates.append(update)
        self.size += update.size

    def clear(self) -> None:
        """Forget all updates, because what they carry is sent again."""
        self.updates.clear()
        self.size = 0

    def remove_reported(self, number: int) -> SentUpdate | None:
        """Remove the updates up to a number that the proxy reports; returns the last of them."""
        last = None
        while self.updates and self.updates[0].number <= number:
            last = self.updates.popleft()
            self.size -= last.size
        return last

    def remove_held(self, log_index: int, rows_version: int) -> None:
        """Remove the first updates whose content the proxy holds, as it reports."""
        while self.updates:
            first = self.updates[0]
            if first.log_index > log_index or first.rows_version > rows_version:
                return
            self.size -= self.updates.popleft().size

    def is_overdue(self, now: int) -> bool:
        """Whether all updates must have arrived, even over the slowest supported link."""
        if not self.updates:
            return True
        transfer_ms = self.size // replication.SLOWEST_LINK_BYTES_PER_MS
        return now >= self.updates[-1].sent_at + RESEND_MS + transfer_ms
