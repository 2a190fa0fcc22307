"""Anti-entropy for keyed rows: replicas compare one digest for each hash range and copy the ranges that
differ."""

import json
import typing
import zlib

import bitarray

RANGES = 16

Rows = dict[str, typing.Any]


def range_of(key: str) -> int:
    """Returns the number of the range to which a key belongs."""
    return zlib.crc32(key.encode()) % RANGES


def digests(rows: Rows) -> list[int]:
    """Returns one digest for each range; it depends on the rows, but not on their order."""
    result = [0] * RANGES
    for key, row in rows.items():
        result[range_of(key)] ^= zlib.crc32(json.dumps([key, row], sort_keys=True).encode()) | 1 << 32
    return result


def differ(first: list[int], second: list[int]) -> bitarray.bitarray:
    """Returns a bit for each range: whether its digests differ."""
    return bitarray.bitarray([a != b for a, b in zip(first, second, strict=True)])


def pack(bits: bitarray.bitarray) -> str:
    """Returns the bits of ranges as a text of "0" and "1"."""
    return bits.to01()


def unpack(text: str) -> bitarray.bitarray:
    """Returns the bits of a text; no bit is set if the text is malformed."""
    if len(text) != RANGES or set(text) - {"0", "1"}:
        return bitarray.bitarray(RANGES)
    return bitarray.bitarray(text)


def all_ranges() -> bitarray.bitarray:
    """Returns bits that select all ranges."""
    return bitarray.bitarray("1" * RANGES)


def select_ranges(rows: Rows, bits: bitarray.bitarray) -> Rows:
    """Returns the rows of the selected ranges."""
    return {key: row for key, row in rows.items() if bits[range_of(key)]}


def replace_ranges(rows: Rows, bits: bitarray.bitarray, newer: Rows) -> Rows:
    """Returns the rows after replacing those of the selected ranges by the rows of a newer copy."""
    return {**{key: row for key, row in rows.items() if not bits[range_of(key)]}, **newer}
