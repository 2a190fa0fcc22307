"""Events of a stream as bytes: whole ones are passed on, the last one's id is kept."""

END = b"\n\n"
END_CRLF = b"\r\n\r\n"
ID = b"id:"


class Pieces:
    """`take` gives the bytes that end with a whole event; `rest` holds what is not whole yet."""

    __slots__ = ("rest", "last", "expect", "whole")

    def __init__(self, whole: bool = True) -> None:
        """`whole`: whether only whole events are passed on."""
        self.rest = b""
        self.last = ""
        self.expect: str | None = None
        self.whole = whole

    def take(self, raw: bytes) -> bytes | None:
        """What can be passed on once `raw` came; None where a run does not go on where it should."""
        if not self.whole:
            return raw
        self.rest += raw
        at = self.end_of_events()
        if not at:
            return b""
        out, self.rest = self.rest[:at], self.rest[at:]
        return out if self.note(out) else None

    def end_of_events(self) -> int:
        """Where the last whole event ends; 0 if there is none."""
        at = self.rest.rfind(END)
        plain = at + len(END) if at >= 0 else 0
        if b"\r" not in self.rest:
            return plain
        at = self.rest.rfind(END_CRLF)
        return max(plain, at + len(END_CRLF) if at >= 0 else 0)

    def note(self, out: bytes) -> bool:
        """Keeps the last id; False where the first event of a run that goes on is not the next one."""
        for line in out.split(b"\n"):
            if not line.startswith(ID):
                continue
            event_id = line[len(ID) :].strip().decode("latin-1")
            if self.expect is not None and event_id != self.expect:
                return False
            self.expect = None
            self.last = event_id
        return True

    def resume(self) -> str:
        """The id to go on from, once what was not whole is dropped; "" where no event was passed on."""
        self.rest = b""
        self.expect = str(int(self.last) + 1) if self.last.isdigit() else None
        return self.last
