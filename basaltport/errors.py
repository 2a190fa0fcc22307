"""The exceptions that this package defines."""


class BasaltportError(Exception):
    """Base class of this package's exceptions; the message names the failure and the value that caused it."""


class StoredFormError(BasaltportError, ValueError):
    """Raised when a stored or received document does not have the expected structure."""


class UnknownOperationError(BasaltportError, LookupError):
    """Raised when a committed log entry contains an operation of a newer release, which cannot be applied."""

    def __init__(self, kind: str, index: int) -> None:
        """Build the message from the operation's name (`kind`) and the log index of the entry."""
        super().__init__(f"entry {index} carries the operation {kind!r}, which this release does not know")
        self.kind = kind
        self.index = index


class LogGapError(BasaltportError, ValueError):
    """Raised when the indices of log entries are not consecutive."""

    def __init__(self, index: int) -> None:
        """Build the message from the index of the last entry before the gap."""
        super().__init__(f"the log has a gap behind entry {index}")
        self.index = index


class StorageError(BasaltportError, OSError):
    """Raised when a write to a member's disk is not possible."""


class SnapshotNeededError(StorageError):
    """Raised when the log on the disk ends in an incomplete write: no record can be written before a
    snapshot."""

    def __init__(self, folder: str) -> None:
        """Build the message from the path of the member's data folder."""
        super().__init__(f"the log in {folder} broke off: a snapshot must be written before more records")
        self.folder = folder
