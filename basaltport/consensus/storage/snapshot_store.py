"""Snapshots of a member's state in dbm.dumb files, one set of files for each snapshot, with a checksum of
each value."""

import dataclasses
import dbm.dumb
import json
import os
import typing
import zlib

import result

import basaltport.consensus.codec as codec
import basaltport.consensus.storage.durable_files as durable_files
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.text as text

STATE = "book/"
ENTRIES = "tail"
TERM = "promised"
CHECKSUMS = "sum"
SYNCED = ("dat", "dir")
ALL_FILES = ("dat", "dir", "bak")
FILE_MODE = 0o666

Encoded = dict[str, bytes]
"""The encoded values of a snapshot, by key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All durable state of a member: its log and its term."""

    replicated_state: state_machine.ReplicatedState = state_machine.ReplicatedState()
    current_term: identifiers.Term = identifiers.Term()


class Database(dbm.dumb._Database):
    """A dbm.dumb database without the `chmod` of `dbm.dumb.open`, which some file systems do not support."""

    def __init__(self, path: str, flag: str) -> None:
        """Open the files of `path`, given without extensions; `flag`: "n" to create a new database, "r" to
        read."""
        mode: typing.Any = FILE_MODE
        super().__init__(path, mode, flag)

    def _chmod(self, file: str) -> None:
        pass


def encode(snapshot: Snapshot) -> Encoded:
    """Return the encoded values of a snapshot, by key."""
    document = codec.encode_state(snapshot.replicated_state.cluster_state)
    values = {STATE + key: text.dumps({key: value})[len(key) + 4 : -1] for key, value in document.items()}
    values[ENTRIES] = text.dumps(codec.encode_entries(snapshot.replicated_state.uncommitted))
    values[TERM] = text.plain(list(snapshot.current_term))
    return values


def decode(values: Encoded) -> Snapshot:
    """Return the snapshot of encoded values."""
    document = {
        key.removeprefix(STATE): json.loads(value) for key, value in values.items() if key.startswith(STATE)
    }
    entries = tuple(codec.decode_entries(json.loads(values[ENTRIES])))
    replicated_state = state_machine.ReplicatedState(codec.decode_state(document), entries)
    return Snapshot(replicated_state, identifiers.Term(*json.loads(values[TERM])))


def _path(folder: str, number: int) -> str:
    return os.path.join(folder, f"snap.{number}")


def write(folder: str, number: int, snapshot: Snapshot | Encoded) -> None:
    """Write and sync the files of a snapshot; their names are durable once the folder is synced. Leftover
    files are removed first, since dbm.dumb reuses an index file that it could not remove."""
    values = encode(snapshot) if isinstance(snapshot, Snapshot) else dict(snapshot)
    checksums = {key: zlib.crc32(value) for key, value in values.items()}
    values[CHECKSUMS] = json.dumps(checksums).encode()
    path = _path(folder, number)
    for extension in ALL_FILES:
        durable_files.clear(f"{path}.{extension}")
    with Database(path, "n") as database:
        for key, value in values.items():
            database[key] = value
    for extension in SYNCED:
        durable_files.sync(f"{path}.{extension}")


def read(folder: str, number: int) -> result.Result[Snapshot, str]:
    """Return the snapshot of a number, or the reason why it cannot be read."""
    try:
        with Database(_path(folder, number), "r") as database:
            checksums = json.loads(database[CHECKSUMS])
            names = [key.decode() for key in database.keys() if isinstance(key, bytes)]
            values = {name: database[name] for name in names if name != CHECKSUMS}
        if {key: zlib.crc32(value) for key, value in values.items()} != checksums:
            return result.Err("a snapshot record's checksum differs")
        return result.Ok(decode(values))
    except (dbm.dumb.error, OSError, ValueError, KeyError, SyntaxError, TypeError) as error:
        return result.Err(f"snapshot {number} cannot be read: {type(error).__name__}")
