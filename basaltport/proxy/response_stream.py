"""Splits a stream of Server-Sent Events: complete events are passed on, and the id of the last one is
stored."""

import basaltport.proxy.event_boundaries as event_boundaries

ID_FIELD = b"id:"
MAX_ID_DIGITS = 1000
"""Longer ids are not read as numbers."""


class EventStream:
    """The state of a stream over all attempts of its request.

    `incomplete` holds the bytes of an unfinished event that were not passed on. `last_id` is the id of the
    last event that was passed on. `expected_id` is the id that a resumed attempt must start with, None for
    any.
    """

    __slots__ = ("incomplete", "last_id", "expected_id", "passes_complete_events", "boundaries")

    def __init__(self, passes_complete_events: bool = True) -> None:
        """`passes_complete_events` says whether only complete events are passed on; otherwise all bytes are
        passed on as they arrive."""
        self.incomplete = b""
        self.last_id = ""
        self.expected_id: str | None = None
        self.passes_complete_events = passes_complete_events
        self.boundaries = event_boundaries.EventBoundaries()

    def feed(self, raw: bytes) -> bytes | None:
        """Returns the bytes to pass on after `raw` arrived, or None if a resumed attempt starts at the
        wrong event."""
        end = self.boundaries.feed(raw)
        if not self.passes_complete_events:
            return raw
        if not end:
            self.incomplete += raw
            return b""
        events, self.incomplete = self.incomplete + raw[:end], raw[end:]
        return events if self.record_ids(events) else None

    def record_ids(self, events: bytes) -> bool:
        """Store the last event id; returns False if the first event of a resumed attempt is not the
        expected one."""
        for line in events.splitlines():
            if not line.startswith(ID_FIELD):
                continue
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
            if self.expected_id is not None and event_id != self.expected_id:
                return False
            self.expected_id = None
            self.last_id = event_id
        return True

    def resume(self) -> str:
        """Returns the id to resume after, "" if no event was passed on, and drops the unfinished event."""
        self.incomplete = b""
        self.boundaries.restart()
        self.expected_id = id_after(self.last_id)
        return self.last_id

    def is_inside_event(self) -> bool:
        """Whether the bytes that arrived in this attempt end inside an event."""
        return self.boundaries.is_inside_event()

    def take_incomplete(self) -> bytes:
        """Returns the bytes that are left when the stream ends."""
        rest, self.incomplete = self.incomplete, b""
        return rest


def id_after(event_id: str) -> str | None:
    """Returns the id of the next event, or None if the id is no number."""
    is_number = event_id.isascii() and event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS
    return str(int(event_id) + 1) if is_number else None
