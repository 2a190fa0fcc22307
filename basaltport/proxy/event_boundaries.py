"""Finds the ends of events in a stream of Server-Sent Events that arrives in parts (WHATWG HTML, section
9.2.6)."""

EMPTY_LINE = b"\n\n"
LINE_ENDS = (b"\n", b"\r")
COMMENT_START = b":"


class EventBoundaries:
    """The position in a stream: between two events, or inside one.

    A line ends with LF, CR or CRLF, an event with an empty line. Lines that start with a colon are comments;
    complete ones between two events belong to no event.
    """

    __slots__ = ("has_fields", "is_in_line", "is_in_comment", "is_after_event", "ends_with_cr")

    def __init__(self) -> None:
        """Start between two events."""
        self.restart()

    def restart(self) -> None:
        """Start again between two events, as another stream does."""
        self.has_fields = False
        self.is_in_line = False
        self.is_in_comment = False
        self.is_after_event = True
        self.ends_with_cr = False

    def is_inside_event(self) -> bool:
        """Whether an event, or a line, has begun and not ended."""
        return self.has_fields or self.is_in_line

    def feed(self, raw: bytes) -> int:
        """Process the next bytes; returns the offset in `raw` at which the last complete event ends, 0 if
        none ends there."""
        if not raw:
            return 0
        position = int(self.ends_with_cr and raw.startswith(b"\n"))
        end = position if self.is_after_event else 0
        self.ends_with_cr = raw.endswith(b"\r")
        empty_line_at = raw.rfind(EMPTY_LINE, position)
        if empty_line_at >= 0:
            position = end = empty_line_at + len(EMPTY_LINE)
            self.has_fields = self.is_in_line = False
            self.is_after_event = True
        for line in raw[position:].splitlines(keepends=True):
            position += len(line)
            if self.take_line(line):
                end = position
        return end

    def take_line(self, line: bytes) -> bool:
        """Process a line or a part of one, with its end if it has one; returns whether an event ends."""
        content = line.rstrip(b"\r\n")
        if content and not self.is_in_line:
            self.is_in_line = True
            self.is_after_event = False
            self.is_in_comment = content.startswith(COMMENT_START)
        if not line.endswith(LINE_ENDS):
            return False
        if self.is_in_line:
            self.has_fields = self.has_fields or not self.is_in_comment
            self.is_in_line = False
            return False
        self.has_fields = False
        self.is_after_event = True
        return True
