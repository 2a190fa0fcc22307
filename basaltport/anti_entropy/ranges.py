"""Range digests over keyed rows: copies are compared by a few numbers and mended range by range."""

import json
import zlib

import bitarray

RANGES = 16


def range_of(key):
    return zlib.crc32(key.encode()) % RANGES


def digests(rows):
    """One digest for each range: order of insertion does not matter, content does."""
    out = [0] * RANGES
    for k, v in rows.items():
        out[range_of(k)] ^= zlib.crc32(json.dumps([k, v], sort_keys=True).encode()) | 1 << 32
    return out


def differ(a, b):
    """The ranges whose digests differ, as bits."""
    return bitarray.bitarray([x != y for x, y in zip(a, b, strict=True)])


def pack(bits):
    return bits.to01()


def unpack(text):
    if len(text) != RANGES or set(text) - {"0", "1"}:
        return bitarray.bitarray(RANGES)
    return bitarray.bitarray(text)


def all_of():
    return bitarray.bitarray("1" * RANGES)


def cut(rows, bits):
    return {k: v for k, v in rows.items() if bits[range_of(k)]}


def mend(rows, bits, newer):
    """The rows with the marked ranges replaced by those of the newer copy."""
    return {**{k: v for k, v in rows.items() if not bits[range_of(k)]}, **newer}
