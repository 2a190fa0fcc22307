"""The frames of the write-ahead log: a header with length and checksum, then JSON.

All records of one append share one frame. Each append is synced before the next one, so a power loss can
damage only the last frame: no intact frame follows a damaged one, whichever bytes reached the disk.
"""

import dataclasses
import json
import re
import zlib

import construct
import result

import basaltport.consensus.codec as codec
import basaltport.consensus.log as log
import basaltport.errors as errors
import basaltport.text as text

HEADER = construct.Struct("length" / construct.Int32ub, "crc" / construct.Int32ub)
HEADER_SIZE: int = HEADER.sizeof()
_RECORD_KEYS = "|".join((codec.BATCH, codec.ENTRY_RECORD, codec.TERM_RECORD))
RECORD_START = re.compile(rb'\{"(' + _RECORD_KEYS.encode() + rb')":')


@dataclasses.dataclass(frozen=True)
class Scan:
    """The records of a log, and the length in bytes of its intact frames."""

    records: tuple[log.DiskRecord, ...]
    length: int


@dataclasses.dataclass(frozen=True)
class _Frame:
    document: codec.Document
    end: int


def _frame(body: bytes) -> bytes:
    header: bytes = HEADER.build({"length": len(body), "crc": zlib.crc32(body)})
    return header + body


def encode(record: log.DiskRecord) -> bytes:
    """Return a record in a frame of its own."""
    return _frame(text.dumps(codec.encode_record(record)))


def encode_batch(frames: list[bytes]) -> bytes:
    """Return records that were encoded one by one as one frame with one checksum."""
    if len(frames) == 1:
        return frames[0]
    return _frame(b'{"batch":[' + b",".join(frame[HEADER_SIZE:] for frame in frames) + b"]}")


def _frame_at(raw: bytes, start: int) -> _Frame | None:
    body_start = start + HEADER_SIZE
    if body_start > len(raw):
        return None
    header = HEADER.parse(raw[start:body_start])
    end = body_start + header.length
    body = raw[body_start:end]
    if header.length == 0 or len(body) < header.length or zlib.crc32(body) != header.crc:
        return None
    return _Frame(json.loads(body), end)


def scan(raw: bytes) -> result.Result[Scan, str]:
    """Return the records of the intact frames from the start; Err if intact frames follow a damaged one."""
    records: list[log.DiskRecord] = []
    length = 0
    while length < len(raw):
        frame = _frame_at(raw, length)
        if frame is None:
            break
        documents = frame.document.get(codec.BATCH, [frame.document])
        try:
            records += map(codec.decode_record, documents)
        except errors.StoredFormError as error:
            return result.Err(f"the record at byte {length} cannot be understood: {error}")
        length = frame.end
    for match in RECORD_START.finditer(raw, length + HEADER_SIZE + 1):
        start = match.start() - HEADER_SIZE
        if _frame_at(raw, start) is not None:
            return result.Err(f"bad record at byte {length}, good ones behind it at byte {start}")
    return result.Ok(Scan(tuple(records), length))
