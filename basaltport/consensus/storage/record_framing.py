"""How records lie in the log: a header with length and checksum, then JSON.

All records of one append share one frame. Appends follow one another, each synced before the next, so a
loss of power can damage only the last frame, whichever of its bytes reached the disk: nothing whole stands
behind it.
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
_KEYS = "|".join((codec.BATCH, codec.ENTRY_RECORD, codec.TERM_RECORD))
BEGINNING = re.compile(rb'\{"(' + _KEYS.encode() + rb')":')


@dataclasses.dataclass(frozen=True)
class Scan:
    """The records of a log, and the length up to which its frames are whole."""

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
    """One record in a frame of its own."""
    return _frame(text.dumps(codec.encode_record(record)))


def encode_batch(frames: list[bytes]) -> bytes:
    """Records that were encoded singly, under one checksum."""
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
    """Whole frames from the start; Err where a damaged frame has whole ones behind it."""
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
    for match in BEGINNING.finditer(raw, length + HEADER_SIZE + 1):
        start = match.start() - HEADER_SIZE
        if _frame_at(raw, start) is not None:
            return result.Err(f"bad record at byte {length}, good ones behind it at byte {start}")
    return result.Ok(Scan(tuple(records), length))
