"""Events of a stream as bytes: whole ones are passed on, the last one's id is kept."""


class Pieces:
    """`take` gives the bytes that end with a whole event; `rest` holds what is not whole yet."""

    __slots__ = ("rest", "last", "expect", "whole")

    def __init__(self, whole=True):
        self.rest = b""
        self.last = ""
        self.expect = None
        self.whole = whole

    def take(self, raw):
        if not self.whole:
            return raw
        self.rest += raw
        at = max(self.rest.rfind(b"\n\n") + 2, self.rest.rfind(b"\r\n\r\n") + 4 if b"\r" in self.rest else 0)
        if at < 2 or self.rest.rfind(b"\n\n") < 0 and at < 4:
            return b""
        out, self.rest = self.rest[:at], self.rest[at:]
        return out if self.note(out) else None

    def note(self, out):
        """Keeps the last id; False where the first event of a run that goes on is not the next one."""
        for line in out.split(b"\n"):
            if line[:3] != b"id:":
                continue
            i = line[3:].strip().decode("latin-1")
            if self.expect is not None and i != self.expect:
                return False
            self.expect = None
            self.last = i
        return True

    def resume(self):
        """The id to go on from, once what was not whole is dropped; "" where no event was passed on."""
        self.rest = b""
        self.expect = str(int(self.last) + 1) if self.last.isdigit() else None
        return self.last
