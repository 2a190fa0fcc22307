"""The exceptions of this package's own."""


class BasaltportError(Exception):
    """What this package raises where it cannot go on; the text says what went wrong with which value."""


class StoredFormError(BasaltportError, ValueError):
    """A document that was stored or sent is not of the form that it should have."""


class UnknownOperationError(BasaltportError, LookupError):
    """An agreed entry carries an operation of a newer release, which cannot be applied here."""

    def __init__(self, kind: str, index: int) -> None:
        """`kind`: the operation's name; `index`: the entry's place in the log."""
        super().__init__(f"entry {index} carries the operation {kind!r}, which this release does not know")
        self.kind = kind
        self.index = index


class LogGapError(BasaltportError, ValueError):
    """Entries of the log do not follow one another."""

    def __init__(self, index: int) -> None:
        """`index`: the last entry before the gap."""
        super().__init__(f"the log has a gap behind entry {index}")
        self.index = index


class StorageError(BasaltportError, OSError):
    """A write to a member's disk cannot be made."""


class SnapshotNeededError(StorageError):
    """The log on the disk broke off; nothing but a snapshot can be written until one is."""

    def __init__(self, folder: str) -> None:
        """`folder`: that of the member's disk."""
        super().__init__(f"the log in {folder} broke off: a snapshot must be written before more records")
        self.folder = folder
