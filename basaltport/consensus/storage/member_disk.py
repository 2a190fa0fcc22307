"""The disk of a member: its identity, a snapshot of its state, and the write-ahead log after that snapshot.

A switch writes a new snapshot and an empty log beside the current ones, syncs them and their names, and makes
them current by one rename. docs/design/storage.md describes what holds after a power loss, and why.
"""

import collections.abc
import dataclasses
import os
import re
import typing

import result

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.storage.durable_files as durable_files
import basaltport.consensus.storage.member_identity as member_identity
import basaltport.consensus.storage.record_framing as record_framing
import basaltport.consensus.storage.snapshot_store as snapshot_store
import basaltport.consensus.storage.write_ahead_log as write_ahead_log
import basaltport.errors as errors
import basaltport.identifiers as identifiers

NUMBERED_FILE = re.compile(r"(snap|journal)\.(\d+)(\.\w+)?")

SnapshotSource = snapshot_store.Snapshot | snapshot_store.Encoded


@dataclasses.dataclass(frozen=True)
class Recovered:
    """What a start reads back: the member's identity, its log (`replicated_state`, None if nothing was ever
    written), and its term. `is_new_member`: the folder cannot prove the member id under which it voted, so
    this member has a new id from now on, and votes only once it is added again."""

    identity: member_identity.Identity
    replicated_state: state_machine.ReplicatedState | None
    current_term: identifiers.Term
    is_new_member: bool = False


class WriteRequest(typing.NamedTuple):
    """A queued write. `token`: the caller's identifier of it; `records`: encoded one by one; `snapshot`:
    written before the records, None for no snapshot."""

    token: int
    records: list[bytes]
    snapshot: SnapshotSource | None


class Disk:
    """The files of one member. All methods block; a single writer thread calls them."""

    def __init__(self, folder: str, member: str) -> None:
        """Use a folder; the member's name prevents another member from using the same one."""
        self.folder = folder
        self.member = member
        self.identity: member_identity.Identity | None = None
        self.number = member_identity.NOTHING_WRITTEN
        self.last_number = self.number
        self.log: write_ahead_log.WriteAheadLog | None = None
        self.needs_snapshot = False

    # opening

    def open(self, new_identity: member_identity.Identity) -> result.Result[Recovered, str]:
        """Read the folder; `new_identity` is used if the folder holds no identity. Everything returned is
        durable: names and records that an earlier process had not synced are synced first."""
        try:
            durable_files.make_folder(self.folder)
            durable_files.sync(self.folder)
            loaded = member_identity.load(self.folder, self.member)
            if isinstance(loaded, result.Err):
                return loaded
            manifest = loaded.ok_value
            if manifest is None:
                return result.Ok(self._first_start(new_identity))
            return self._recover(manifest, new_identity)
        except OSError as error:
            return result.Err(f"it cannot be read or written: {type(error).__name__}: {error}")

    def _first_start(self, new_identity: member_identity.Identity) -> Recovered:
        """Write the identity before anything else. If other files exist without `current`, this is not the
        member's first start, whatever the settings say, and it must not found a cluster."""
        has_orphans = bool(self._numbered_files(lambda number: True))
        identity = dataclasses.replace(new_identity, founders=None) if has_orphans else new_identity
        self._keep_identity(identity)
        self.switch(snapshot_store.Snapshot())
        return Recovered(identity, None, identifiers.Term(), has_orphans)

    def _recover(
        self, manifest: member_identity.Manifest, new_identity: member_identity.Identity
    ) -> result.Result[Recovered, str]:
        identity = manifest.identity or dataclasses.replace(new_identity, founders=None)
        self.identity = identity
        self.number = self.last_number = manifest.number
        if self.number == member_identity.NOTHING_WRITTEN:
            self.switch(snapshot_store.Snapshot())
            return result.Ok(Recovered(identity, None, identifiers.Term()))
        snapshot = snapshot_store.read(self.folder, self.number)
        if isinstance(snapshot, result.Err):
            return snapshot
        scan = write_ahead_log.WriteAheadLog.scan(self.folder, self.number)
        if isinstance(scan, result.Err):
            return scan
        self.log = write_ahead_log.WriteAheadLog.reopen(self.folder, self.number, scan.ok_value.length)
        if manifest.format == member_identity.FORMAT_1:
            self._keep_identity(identity)
        state = write_ahead_log.replay(snapshot.ok_value, scan.ok_value.records)
        return result.Ok(
            Recovered(identity, state.replicated_state, state.current_term, manifest.identity is None)
        )

    def _keep_identity(self, identity: member_identity.Identity) -> None:
        self.identity = identity
        member_identity.prepare(self.folder, self._manifest(self.number))
        member_identity.commit(self.folder)

    def _manifest(self, number: int) -> member_identity.Manifest:
        return member_identity.Manifest(self.member, number, self.identity)

    # snapshots

    def switch(self, snapshot: SnapshotSource) -> None:
        """Replace the snapshot and the log. A number is never reused: after an error in `commit` the files of
        the failed switch may be the current ones."""
        self.last_number += 1
        number = self.last_number
        prepared = self._prepare(number, snapshot)
        try:
            member_identity.commit(self.folder)
        except OSError:
            prepared.close()
            raise
        self.close()
        self.number, self.log = number, prepared
        self._remove_all_but_current()

    def _prepare(self, number: int, snapshot: SnapshotSource) -> write_ahead_log.WriteAheadLog:
        """Write and sync all files of a switch. If that fails, remove them to free their space."""
        prepared = None
        try:
            snapshot_store.write(self.folder, number, snapshot)
            prepared = write_ahead_log.WriteAheadLog.create(self.folder, number)
            member_identity.prepare(self.folder, self._manifest(number))
            durable_files.sync(self.folder)
            return prepared
        except OSError:
            if prepared is not None:
                prepared.close()
            self._remove(self._numbered_files(lambda other: other == number))
            raise

    def _numbered_files(self, is_wanted: collections.abc.Callable[[int], bool]) -> list[str]:
        matches = [NUMBERED_FILE.fullmatch(name) for name in os.listdir(self.folder)]
        return [match[0] for match in matches if match and is_wanted(int(match[2]))]

    def _remove_all_but_current(self) -> None:
        """Remove files of earlier numbers, of interrupted switches and of the older format."""
        try:
            names = self._numbered_files(lambda number: number != self.number)
        except OSError:
            return
        self._remove([*names, *member_identity.FORMAT_1_FILES])

    def _remove(self, names: list[str]) -> None:
        for name in names:
            durable_files.remove(os.path.join(self.folder, name))

    # writing

    def write(
        self, records: collections.abc.Sequence[bytes | log.DiskRecord], snapshot: SnapshotSource | None
    ) -> None:
        """Write a snapshot, then records. After a failure only a snapshot is accepted, and records without
        one raise SnapshotNeededError: the log may end in a partial frame, or may no longer be the current
        one."""
        if snapshot is not None:
            self.needs_snapshot = True
            self.switch(snapshot)
            self.needs_snapshot = False
        if not records:
            return
        if self.needs_snapshot or self.log is None:
            raise errors.SnapshotNeededError(self.folder)
        self.needs_snapshot = True
        self.log.append(
            [record if isinstance(record, bytes) else record_framing.encode(record) for record in records]
        )
        self.needs_snapshot = False

    def write_all(
        self, requests: collections.abc.Iterable[tuple[int, list[bytes], SnapshotSource | None]]
    ) -> None:
        """Perform writes in order (see WriteRequest); the records after the last snapshot share one sync."""
        records: list[bytes] = []
        for _, batch, snapshot in requests:
            if snapshot is not None:
                self.write([], snapshot)
                records = []
            records += batch
        self.write(records, None)

    def close(self) -> None:
        """Close the log; nothing may be written afterwards."""
        if self.log is not None:
            self.log.close()
