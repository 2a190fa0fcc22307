"""Events of a stream as bytes: whole ones are passed on, the last one's id is kept (Server-Sent Events)."""

EVENT_END = b"\n\n"
EVENT_END_CRLF = b"\r\n\r\n"
ID_FIELD = b"id:"


class EventStream:
    """What came of a stream, over all attempts at it.

    `incomplete`: bytes of an event that is not whole yet. `last_id`: of the last event that was passed on.
    `expected_id`: that of the first event of an attempt that goes on; None: any.
    """

    __slots__ = ("incomplete", "last_id", "expected_id", "passes_whole_events")

    def __init__(self, passes_whole_events: bool = True) -> None:
        """`passes_whole_events`: whether only whole events are passed on; else all bytes as they come."""
        self.incomplete = b""
        self.last_id = ""
        self.expected_id: str | None = None
        self.passes_whole_events = passes_whole_events

    def take(self, raw: bytes) -> bytes | None:
        """What can be passed on once `raw` came; None where an attempt does not go on where it should."""
        if not self.passes_whole_events:
            return raw
        self.incomplete += raw
        end = self.end_of_events()
        if not end:
            return b""
        events, self.incomplete = self.incomplete[:end], self.incomplete[end:]
        return events if self.note_ids(events) else None

    def end_of_events(self) -> int:
        """Where the last whole event ends; 0 if there is none."""
        at = self.incomplete.rfind(EVENT_END)
        end = at + len(EVENT_END) if at >= 0 else 0
        if b"\r" not in self.incomplete:
            return end
        at = self.incomplete.rfind(EVENT_END_CRLF)
        return max(end, at + len(EVENT_END_CRLF) if at >= 0 else 0)

    def note_ids(self, events: bytes) -> bool:
        """Keep the last id; False where the first event of an attempt that goes on is not the next one."""
        for line in events.split(b"\n"):
            if not line.startswith(ID_FIELD):
                continue
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
            if self.expected_id is not None and event_id != self.expected_id:
                return False
            self.expected_id = None
            self.last_id = event_id
        return True

    def resume(self) -> str:
        """The id to go on from, once what was not whole is dropped; "" where no event was passed on."""
        self.incomplete = b""
        self.expected_id = str(int(self.last_id) + 1) if self.last_id.isdigit() else None
        return self.last_id

    def take_incomplete(self) -> bytes:
        """What is left when the stream ends."""
        rest, self.incomplete = self.incomplete, b""
        return rest
