"""Snapshots of a member's state in dbm.dumb files, one pair of files to a snapshot, each value with its
checksum."""

import dbm.dumb
import json
import os
import typing
import zlib

import result

import basaltport.consensus.book as book
import basaltport.consensus.durable_files as durable_files
import basaltport.text as text

BOOK = "book/"
CHECKSUMS = "sum"
SYNCED = ("dat", "dir")
ALL_FILES = ("dat", "dir", "bak")

State = dict[str, typing.Any]


class Database(dbm.dumb._Database):
    """As `dbm.dumb.open` gives it, but without `chmod`, which not every place offers."""

    def __init__(self, path: str, flag: str) -> None:
        super().__init__(path, 0o666, flag)

    def _chmod(self, file: str) -> None:
        pass


def empty() -> State:
    """The state of a member that was never told anything."""
    return {"book": book.new(), "tail": [], "promised": [0, ""]}


def parts(state: State) -> dict[str, bytes]:
    """A state as the values of its snapshot; where the caller made them already, as they are."""
    if "parts" in state:
        return dict(state["parts"])
    values = {BOOK + k: text.dumps({k: v})[len(k) + 4 : -1] for k, v in state["book"].items()}
    values["tail"] = text.dumps(state["tail"])
    values["promised"] = text.plain(list(state["promised"]))
    return values


def _path(folder: str, number: int) -> str:
    return os.path.join(folder, f"snap.{number}")


def write(folder: str, number: int, state: State) -> None:
    """Write and sync the files of a snapshot; their names are safe once the folder is synced. Leftovers are
    removed here, since dbm.dumb goes on with an index whose removal was refused."""
    values = parts(state)
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


def read(folder: str, number: int) -> result.Result[State, str]:
    """The state that a snapshot holds, or why it cannot be had."""
    try:
        with Database(_path(folder, number), "r") as database:
            checksums = json.loads(database[CHECKSUMS])
            values = {key.decode(): database[key] for key in database.keys() if key != CHECKSUMS.encode()}
        if {key: zlib.crc32(value) for key, value in values.items()} != checksums:
            return result.Err("a snapshot record's checksum differs")
        items = {k.removeprefix(BOOK): json.loads(v) for k, v in values.items() if k.startswith(BOOK)}
        return result.Ok(
            {
                "book": {**book.new(), **items},
                "tail": json.loads(values["tail"]),
                "promised": json.loads(values["promised"]),
            }
        )
    except (dbm.dumb.error, OSError, ValueError, KeyError, SyntaxError, TypeError) as error:
        return result.Err(f"snapshot {number} cannot be read: {type(error).__name__}")
