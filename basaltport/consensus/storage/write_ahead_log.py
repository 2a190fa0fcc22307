"""The write-ahead log after a snapshot: records are synced to it before this member sends anything that
depends on them."""

import os
import typing

import result

import basaltport.consensus.storage.durable_files as durable_files
import basaltport.consensus.log as log
import basaltport.consensus.storage.record_framing as record_framing
import basaltport.consensus.storage.snapshot_store as snapshot_store
import basaltport.consensus.state_machine as state_machine


def replay(
    snapshot: snapshot_store.Snapshot, records: typing.Iterable[log.DiskRecord]
) -> snapshot_store.Snapshot:
    """Return a snapshot with the records of its log applied. The term never decreases."""
    entries = list(snapshot.replicated_state.uncommitted)
    term = snapshot.current_term
    for record in records:
        if isinstance(record, log.TermRecord):
            term = max(term, record.term)
            continue
        while entries and entries[-1].index >= record.entry.index:
            entries.pop()
        entries.append(record.entry)
        term = max(term, record.entry.term)
    replicated_state = state_machine.ReplicatedState(snapshot.replicated_state.cluster_state, tuple(entries))
    return snapshot_store.Snapshot(replicated_state, term)


def _path(folder: str, number: int) -> str:
    return os.path.join(folder, f"journal.{number}")


class WriteAheadLog:
    """A log file, open for appending."""

    def __init__(self, file: typing.BinaryIO) -> None:
        """Wrap `file`, which must be open for writing at its end, unbuffered."""
        self.file = file

    @staticmethod
    def create(folder: str, number: int) -> "WriteAheadLog":
        """Create an empty log; its name is durable once the folder is synced."""
        path = _path(folder, number)
        durable_files.clear(path)
        log = WriteAheadLog(open(path, "w+b", buffering=0))
        try:
            log.sync()
        except OSError:
            log.close()
            raise
        return log

    @staticmethod
    def scan(folder: str, number: int) -> result.Result[record_framing.Scan, str]:
        """Read the records of a log without changing it."""
        with open(_path(folder, number), "rb") as file:
            return record_framing.scan(file.read())

    @staticmethod
    def reopen(folder: str, number: int, length: int) -> "WriteAheadLog":
        """Open a log and truncate it to its intact frames. The sync also covers frames that an earlier
        process wrote and did not sync: from now on this process relies on them."""
        log = WriteAheadLog(open(_path(folder, number), "r+b", buffering=0))
        try:
            log.file.truncate(length)
            log.file.seek(length)
            log.sync()
        except OSError:
            log.close()
            raise
        return log

    def append(self, frames: list[bytes]) -> None:
        """Write and sync records as one frame. After an error the log may end in a part of it."""
        raw = record_framing.encode_batch(frames)
        while raw:
            raw = raw[self.file.write(raw) :]
        self.sync()

    def sync(self) -> None:
        """Sync the file; OSError if its contents may not be durable."""
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Close the file."""
        self.file.close()
