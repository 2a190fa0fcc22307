"""The disk of a member: its identity, a snapshot of its state, and the log of what came after it.

A switch writes a new snapshot and an empty log beside those in force, syncs them and their names, and puts
them in force by one rename. docs/design/storage.md says what holds after a loss of power, and why.
"""

import dataclasses
import os
import re
import typing

import result

import basaltport.consensus.durable_files as durable_files
import basaltport.consensus.log as log
import basaltport.consensus.member_identity as member_identity
import basaltport.consensus.record_framing as record_framing
import basaltport.consensus.snapshot_store as snapshot_store
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.write_ahead_log as write_ahead_log
import basaltport.identifiers as identifiers

GENERATION_FILE = re.compile(r"(snap|journal)\.(\d+)(\.\w+)?")

Snapshot = snapshot_store.Snapshot
Contents = snapshot_store.Snapshot | snapshot_store.Encoded

encode = record_framing.encode
empty = snapshot_store.empty
parts = snapshot_store.parts


@dataclasses.dataclass(frozen=True)
class Recovered:
    """What a start reads back. `held` is None where nothing was ever kept. `new_seat`: the folder cannot
    prove the seat that it voted under, so that this member is another one from now on, and votes once it is
    let in anew."""

    identity: member_identity.Identity
    held: state_machine.ReplicatedState | None
    current_term: identifiers.Term
    new_seat: bool = False


class Disk:
    """Blocking; one writer thread calls it. `name` guards the folder against another member's start."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = folder
        self.name = name
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
            loaded = member_identity.load(self.folder, self.name)
            if loaded.is_err():
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
        orphans = self._generation_files(lambda number: True)
        self.identity = dataclasses.replace(fresh, founders=None) if orphans else fresh
        self._keep_identity()
        self.switch(snapshot_store.empty())
        return Recovered(self.identity, None, identifiers.Term(), bool(orphans))

    def _recover(
        self, manifest: member_identity.Manifest, fresh: member_identity.Identity
    ) -> result.Result[Recovered, str]:
        new_seat = manifest.identity is None
        self.identity = dataclasses.replace(fresh, founders=None) if new_seat else manifest.identity
        self.number = self.last_number = manifest.number
        if self.number == member_identity.NOTHING_WRITTEN:
            self.switch(snapshot_store.empty())
            return result.Ok(Recovered(self.identity, None, identifiers.Term()))
        snapshot = snapshot_store.read(self.folder, self.number)
        if snapshot.is_err():
            return snapshot
        scan = write_ahead_log.WriteAheadLog.scan(self.folder, self.number)
        if scan.is_err():
            return scan
        self.log = write_ahead_log.WriteAheadLog.reopen(self.folder, self.number, scan.ok_value.length)
        if manifest.format == member_identity.SEPARATE_FILES:
            self._keep_identity()
        state = write_ahead_log.replay(snapshot.ok_value, scan.ok_value.records)
        return result.Ok(Recovered(self.identity, state.held, state.current_term, new_seat))

    def _keep_identity(self) -> None:
        member_identity.prepare(self.folder, self._manifest(self.number))
        member_identity.commit(self.folder)

    def _manifest(self, number: int) -> member_identity.Manifest:
        return member_identity.Manifest(self.name, number, self.identity)

    # snapshots

    def switch(self, state: Contents) -> None:
        """Replace snapshot and log. A number is never used twice: after an error in `commit` the files of a
        failed switch may be the ones in force."""
        self.last_number += 1
        number = self.last_number
        log = self._prepare(number, state)
        try:
            member_identity.commit(self.folder)
        except OSError:
            log.close()
            raise
        self.close()
        self.number, self.log = number, log
        self._remove_all_but_current()

    def _prepare(self, number: int, state: Contents) -> write_ahead_log.WriteAheadLog:
        """All that a switch needs, synced under its names. Where it fails, room is given back."""
        log = None
        try:
            snapshot_store.write(self.folder, number, state)
            log = write_ahead_log.WriteAheadLog.create(self.folder, number)
            member_identity.prepare(self.folder, self._manifest(number))
            durable_files.sync(self.folder)
            return log
        except OSError:
            if log is not None:
                log.close()
            self._remove(self._generation_files(lambda other: other == number))
            raise

    def _generation_files(self, wanted: typing.Callable[[int], bool]) -> list[str]:
        matches = [GENERATION_FILE.fullmatch(name) for name in os.listdir(self.folder)]
        return [match[0] for match in matches if match and wanted(int(match[2]))]

    def _remove_all_but_current(self) -> None:
        """Files of earlier generations, of interrupted switches and of the older format."""
        try:
            names = self._generation_files(lambda number: number != self.number)
        except OSError:
            return
        self._remove([*names, *member_identity.SEPARATE])

    def _remove(self, names: list[str]) -> None:
        for name in names:
            durable_files.remove(os.path.join(self.folder, name))

    # writing

    def write(self, records: list[bytes | log.DiskRecord], whole: Contents | None) -> None:
        """A snapshot, then records. After a failure only a snapshot is taken: the log may end in part of a
        frame, or may not be the one in force any more."""
        if whole is not None:
            self.broken = True
            self.switch(whole)
            self.broken = False
        if not records:
            return
        if self.broken:
            raise OSError("the log broke off; a snapshot is needed")
        self.broken = True
        self.log.append([r if type(r) is bytes else encode(r) for r in records])
        self.broken = False

    def write_all(self, batch: list[tuple[int, list[bytes], Contents | None]]) -> None:
        """Writes in their order; records after the last snapshot share one sync."""
        records: list[bytes] = []
        for _, more, whole in batch:
            if whole is not None:
                self.write([], whole)
                records = []
            records += more
        self.write(records, None)

    def close(self) -> None:
        if self.log is not None:
            self.log.close()
