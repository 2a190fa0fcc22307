"""A streamed reply as its replica tells it: numbered pieces of one dispatch, and a line that counts them."""

import enum
import typing


class Kind(enum.StrEnum):
    """What a line of a stream is: a piece, or the end with the count of all pieces."""

    PIECE = "piece"
    END = "end"


class Line(typing.NamedTuple):
    """A line that was taken: a piece with its number, or the end with the count."""

    kind: Kind
    number: int
    piece: typing.Any = None


class Pieces:
    """Takes a replica's lines in turn; anything out of order, or of another dispatch, is no reply."""

    __slots__ = ("dispatch", "n", "ended")

    def __init__(self, dispatch: str) -> None:
        """Expect the pieces of one dispatch, from number 0."""
        self.dispatch = dispatch
        self.n = 0
        self.ended = False

    def take(self, doc: object) -> Line:
        """The line of a document; ValueError where the stream can't be trusted."""
        if not isinstance(doc, dict) or doc.get("dispatch") != self.dispatch:
            raise ValueError("a line of another dispatch")
        if self.ended:
            raise ValueError("a line after the end")
        if doc.get("end"):
            if doc.get("pieces") != self.n:
                raise ValueError("the end does not count the pieces")
            self.ended = True
            return Line(Kind.END, self.n)
        if doc.get("n") != self.n:
            raise ValueError("a piece out of order")
        self.n += 1
        return Line(Kind.PIECE, self.n - 1, doc.get("piece"))
