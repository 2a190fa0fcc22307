"""The file `current`: whose folder this is, by which member id, and which snapshot and log are in force.

Identity and number stand in one file and change by one rename, so that neither survives without the other.
Format 1 kept member id and founders in files of their own; such folders are still read.
"""

import dataclasses
import json
import os
import typing

import result

import basaltport.consensus.storage.durable_files as durable_files
import basaltport.errors as errors

FORMAT = 2
SEPARATE_FILES = 1
NOTHING_WRITTEN = 0
CURRENT = "current"
MEMBER_ID = "seat"
FOUNDERS = "founders"
SEPARATE = (MEMBER_ID, MEMBER_ID + durable_files.NEW, FOUNDERS)


@dataclasses.dataclass(frozen=True)
class Identity:
    """The id that a member votes under; at the first start of all also the addresses that may found."""

    member_id: str
    founders: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True)
class Manifest:
    """What `current` says. With number 0 nothing but the identity was ever kept. `identity` is None where a
    folder of format 1 has lost its member id."""

    member: str
    number: int
    identity: Identity | None
    format: int = FORMAT


def path(folder: str) -> str:
    """The path of `current`."""
    return os.path.join(folder, CURRENT)


def load(folder: str, member: str) -> result.Result[Manifest | None, str]:
    """What is in force; Ok(None) in a folder without `current`."""
    if not os.path.exists(path(folder)):
        return result.Ok(None)
    with open(path(folder), "rb") as file:
        content = file.read()
    try:
        document = json.loads(content)
        form, owner, number = document["format"], document["member"], document["n"]
        identity = _identity(document) if form >= FORMAT else _separate_identity(folder)
    except (ValueError, KeyError, TypeError):
        return result.Err("the file `current` is garbled")
    if form > FORMAT:
        return result.Err(f"format {form} is newer than this program's {FORMAT}")
    if owner != member:
        return result.Err(f"the folder is of member {owner!r}, not {member!r}")
    return result.Ok(Manifest(owner, number, identity, form))


def _identity(document: dict[str, typing.Any]) -> Identity:
    founders = document["founders"]
    return Identity(document["seat"], None if founders is None else tuple(founders))


def _separate_identity(folder: str) -> Identity | None:
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
    """Write a manifest beside the one in force; `commit` switches to it. StorageError without an identity."""
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
    """Put the prepared manifest in force."""
    durable_files.commit(path(folder))
