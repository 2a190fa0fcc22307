"""The disk of a member: its identity, a snapshot of its state, and the log of what came after it.

A switch writes a new snapshot and an empty log beside those in force, syncs them and their names, and puts
them in force by one rename. docs/design/storage.md says what holds after a loss of power, and why.
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
    """What a start reads back: who this member is, what it holds of the log (None where nothing was ever
    kept), and its term. `is_new_member`: the folder cannot prove the member id that it voted under, so that
    this member is another one from now on, and votes once it is let in anew."""

    identity: member_identity.Identity
    held: state_machine.ReplicatedState | None
    current_term: identifiers.Term
    is_new_member: bool = False


class WriteRequest(typing.NamedTuple):
    """A write that waits its turn. `token`: the caller's mark of it; `records`: encoded singly; `snapshot`:
    written before them, where there is one."""

    token: int
    records: list[bytes]
    snapshot: SnapshotSource | None


class Disk:
    """The files of one member. Blocking; one writer thread calls it."""

    def __init__(self, folder: str, member: str) -> None:
        """`member`: the member's name, which guards the folder against another member's start."""
        self.folder = folder
        self.member = member
        self.identity: member_identity.Identity | None = None
        self.number = member_identity.NOTHING_WRITTEN
        self.last_number = self.number
        self.log: write_ahead_log.WriteAheadLog | None = None
        self.broken = False

    # opening

    def open(self, fresh: member_identity.Identity) -> result.Result[Recovered, str]:
        """What is kept here; `fresh` is who this member is where nothing says otherwise. All that is given
        back is safe: names and records that an earlier process had not yet synced are synced first."""
        try:
            durable_files.make_folder(self.folder)
            durable_files.sync(self.folder)
            loaded = member_identity.load(self.folder, self.member)
            if isinstance(loaded, result.Err):
                return loaded
            manifest = loaded.ok_value
            if manifest is None:
                return result.Ok(self._first_start(fresh))
            return self._recover(manifest, fresh)
        except OSError as error:
            return result.Err(f"it cannot be read or written: {type(error).__name__}: {error}")

    def _first_start(self, fresh: member_identity.Identity) -> Recovered:
        """The identity is kept before anything else. Where `current` is missing beside other files, this is
        not the first start of all, whatever the settings say."""
        has_orphans = bool(self._numbered_files(lambda number: True))
        identity = dataclasses.replace(fresh, founders=None) if has_orphans else fresh
        self._keep_identity(identity)
        self.switch(snapshot_store.Snapshot())
        return Recovered(identity, None, identifiers.Term(), has_orphans)

    def _recover(
        self, manifest: member_identity.Manifest, fresh: member_identity.Identity
    ) -> result.Result[Recovered, str]:
        identity = manifest.identity or dataclasses.replace(fresh, founders=None)
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
        if manifest.format == member_identity.SEPARATE_FILES:
            self._keep_identity(identity)
        state = write_ahead_log.replay(snapshot.ok_value, scan.ok_value.records)
        return result.Ok(Recovered(identity, state.held, state.current_term, manifest.identity is None))

    def _keep_identity(self, identity: member_identity.Identity) -> None:
        self.identity = identity
        member_identity.prepare(self.folder, self._manifest(self.number))
        member_identity.commit(self.folder)

    def _manifest(self, number: int) -> member_identity.Manifest:
        return member_identity.Manifest(self.member, number, self.identity)

    # snapshots

    def switch(self, snapshot: SnapshotSource) -> None:
        """Replace snapshot and log. A number is never used twice: after an error in `commit` the files of a
        failed switch may be the ones in force."""
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
        """All that a switch needs, synced under its names. Where it fails, room is given back."""
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
        """Files of earlier numbers, of interrupted switches and of the older format."""
        try:
            names = self._numbered_files(lambda number: number != self.number)
        except OSError:
            return
        self._remove([*names, *member_identity.SEPARATE])

    def _remove(self, names: list[str]) -> None:
        for name in names:
            durable_files.remove(os.path.join(self.folder, name))

    # writing

    def write(
        self, records: collections.abc.Sequence[bytes | log.DiskRecord], snapshot: SnapshotSource | None
    ) -> None:
        """A snapshot, then records. After a failure only a snapshot is taken, and records without one raise
        SnapshotNeededError: the log may end in part of a frame, or may not be the one in force any more."""
        if snapshot is not None:
            self.broken = True
            self.switch(snapshot)
            self.broken = False
        if not records:
            return
        if self.broken or self.log is None:
            raise errors.SnapshotNeededError(self.folder)
        self.broken = True
        self.log.append([r if isinstance(r, bytes) else record_framing.encode(r) for r in records])
        self.broken = False

    def write_all(
        self, requests: collections.abc.Iterable[tuple[int, list[bytes], SnapshotSource | None]]
    ) -> None:
        """Writes in their order (see WriteRequest); records after the last snapshot share one sync."""
        records: list[bytes] = []
        for _, more, snapshot in requests:
            if snapshot is not None:
                self.write([], snapshot)
                records = []
            records += more
        self.write(records, None)

    def close(self) -> None:
        """Close the log. The disk is not written any more."""
        if self.log is not None:
            self.log.close()
