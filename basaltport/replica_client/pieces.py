"""A streamed reply as its replica tells it: numbered pieces of one dispatch, and a line that counts them."""


class Pieces:
    """Takes a replica's lines in turn; anything out of order, or of another dispatch, is no reply."""

    __slots__ = ("dispatch", "n", "ended")

    def __init__(self, dispatch):
        self.dispatch = dispatch
        self.n = 0
        self.ended = False

    def take(self, doc):
        """("piece", number, piece) or ("end", count, None); ValueError where the stream can't be trusted."""
        if not isinstance(doc, dict) or doc.get("dispatch") != self.dispatch:
            raise ValueError("a line of another dispatch")
        if self.ended:
            raise ValueError("a line after the end")
        if doc.get("end"):
            if doc.get("pieces") != self.n:
                raise ValueError("the end does not count the pieces")
            self.ended = True
            return "end", self.n, None
        if doc.get("n") != self.n:
            raise ValueError("a piece out of order")
        self.n += 1
        return "piece", self.n - 1, doc.get("piece")
