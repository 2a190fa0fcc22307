"""Range digests over keyed rows: copies are compared by a few numbers and mended range by range."""

import json
import typing
import zlib

import bitarray

RANGES = 16

Rows = dict[str, typing.Any]


def range_of(key: str) -> int:
    """The range that a key is in."""
    return zlib.crc32(key.encode()) % RANGES


def digests(rows: Rows) -> list[int]:
    """One digest for each range: order of insertion does not matter, content does."""
    out = [0] * RANGES
    for k, v in rows.items():
        out[range_of(k)] ^= zlib.crc32(json.dumps([k, v], sort_keys=True).encode()) | 1 << 32
    return out


def differ(a: list[int], b: list[int]) -> bitarray.bitarray:
    """The ranges whose digests differ, as bits."""
    return bitarray.bitarray([x != y for x, y in zip(a, b, strict=True)])


def pack(bits: bitarray.bitarray) -> str:
    """Marks of ranges as a text."""
    return bits.to01()


def unpack(text: str) -> bitarray.bitarray:
    """The marks of a text; none where it is garbled."""
    if len(text) != RANGES or set(text) - {"0", "1"}:
        return bitarray.bitarray(RANGES)
    return bitarray.bitarray(text)


def all_of() -> bitarray.bitarray:
    """Marks of all ranges."""
    return bitarray.bitarray("1" * RANGES)


def cut(rows: Rows, bits: bitarray.bitarray) -> Rows:
    """The rows of the marked ranges."""
    return {k: v for k, v in rows.items() if bits[range_of(k)]}


def mend(rows: Rows, bits: bitarray.bitarray, newer: Rows) -> Rows:
    """The rows with the marked ranges replaced by those of the newer copy."""
    return {**{k: v for k, v in rows.items() if not bits[range_of(k)]}, **newer}
