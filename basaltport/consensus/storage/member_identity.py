"""The file `current`: the member that owns the folder, its id, and the number of the current snapshot and
log.

Identity and number are in one file and change by one rename, so that neither survives without the other.
Format 1 kept the member id and the founders in separate files; such folders are still read.
"""

import dataclasses
import json
import os
import typing

import result

import basaltport.consensus.storage.durable_files as durable_files
import basaltport.errors as errors

FORMAT = 2
FORMAT_1 = 1
NOTHING_WRITTEN = 0
CURRENT = "current"
MEMBER_ID = "seat"
FOUNDERS = "founders"
FORMAT_1_FILES = (MEMBER_ID, MEMBER_ID + durable_files.NEW, FOUNDERS)


@dataclasses.dataclass(frozen=True)
class Identity:
    """The id under which the member votes; `founders`: on the first start, the addresses of the members that
    may found the cluster."""

    member_id: str
    founders: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True)
class Manifest:
    """The contents of `current`. Number 0 means that nothing but the identity was written. `identity` is None
    if a folder of format 1 has lost its member id."""

    member: str
    number: int
    identity: Identity | None
    format: int = FORMAT


def path(folder: str) -> str:
    """Return the path of `current`."""
    return os.path.join(folder, CURRENT)


def load(folder: str, member: str) -> result.Result[Manifest | None, str]:
    """Return the current manifest, Ok(None) for a folder without `current`."""
    if not os.path.exists(path(folder)):
        return result.Ok(None)
    with open(path(folder), "rb") as file:
        content = file.read()
    try:
        document = json.loads(content)
        format_number, member_name, number = document["format"], document["member"], document["n"]
        identity = _identity(document) if format_number >= FORMAT else _identity_of_format_1(folder)
    except (ValueError, KeyError, TypeError):
        return result.Err("the file `current` is garbled")
    if format_number > FORMAT:
        return result.Err(f"format {format_number} is newer than this program's {FORMAT}")
    if member_name != member:
        return result.Err(f"the folder is of member {member_name!r}, not {member!r}")
    return result.Ok(Manifest(member_name, number, identity, format_number))


def _identity(document: dict[str, typing.Any]) -> Identity:
    founders = document["founders"]
    return Identity(document["seat"], None if founders is None else tuple(founders))


def _identity_of_format_1(folder: str) -> Identity | None:
    member_id = _read(folder, MEMBER_ID).decode().strip()
    if not member_id:
        return None
    try:
        return Identity(member_id, tuple(json.loads(_read(folder, FOUNDERS))))
    except ValueError:
        return Identity(member_id)


def _read(folder: str, name: str) -> bytes:
    try:
        with open(os.path.join(folder, name), "rb") as file:
            return file.read()
    except FileNotFoundError:
        return b""


def prepare(folder: str, manifest: Manifest) -> None:
    """Write a manifest beside the current one; `commit` switches to it. StorageError without an identity."""
    identity = manifest.identity
    if identity is None:
        raise errors.StorageError(f"the folder {folder} of member {manifest.member!r} has no member id")
    document = {
        "format": manifest.format,
        "member": manifest.member,
        "n": manifest.number,
        "seat": identity.member_id,
        "founders": None if identity.founders is None else list(identity.founders),
    }
    durable_files.prepare(path(folder), json.dumps(document).encode())


def commit(folder: str) -> None:
    """Make the prepared manifest the current one."""
    durable_files.commit(path(folder))
