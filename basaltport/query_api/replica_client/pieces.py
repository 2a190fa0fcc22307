"""A streamed response as a replica sends it: numbered pieces of an attempt, and a line that counts them."""

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


class PieceReader:
    """Takes a replica's lines in turn; anything out of order, or of another attempt, is no response."""

    __slots__ = ("attempt_id", "next_number", "ended")

    def __init__(self, attempt_id: str) -> None:
        """Expect the pieces of one attempt, from number 0."""
        self.attempt_id = attempt_id
        self.next_number = 0
        self.ended = False

    def take(self, doc: object) -> Line:
        """The line of a document; ValueError where the stream can't be trusted."""
        if not isinstance(doc, dict) or doc.get("dispatch") != self.attempt_id:
            raise ValueError("a line of another dispatch")
        if self.ended:
            raise ValueError("a line after the end")
        if doc.get("end"):
            if doc.get("pieces") != self.next_number:
                raise ValueError("the end does not count the pieces")
            self.ended = True
            return Line(Kind.END, self.next_number)
        if doc.get("n") != self.next_number:
            raise ValueError("a piece out of order")
        self.next_number += 1
        return Line(Kind.PIECE, self.next_number - 1, doc.get("piece"))
