"""JSON encoding of replicated data.

A manifest may have tens of MB and is sent to every member and written to every log and snapshot, so the
encoded text of the last few large ones is cached.
"""

import json

MANIFEST_PATH_KEYS = ("book", "op", "tail", "manifest", "entry")
LARGE_BYTES = 1 << 16
MAX_CACHED = 4
SCALAR_SIZE = 8
OVERHEAD = 64

_cache: dict[int, tuple[object, bytes]] = {}


def plain(document: object) -> bytes:
    """Returns a document as compact JSON."""
    return json.dumps(document, separators=(",", ":")).encode()


def _cached_text(document: object) -> bytes:
    cached = _cache.get(id(document))
    if cached is not None and cached[0] is document:
        return cached[1]
    raw = plain(document)
    if len(raw) >= LARGE_BYTES:
        while len(_cache) >= MAX_CACHED:
            del _cache[next(iter(_cache))]
        _cache[id(document)] = document, raw
    return raw


def dumps(document: object) -> bytes:
    """Returns the same bytes as `plain`, using the cached text of manifests inside the document."""
    if type(document) is list and document and type(document[0]) is dict and "op" in document[0]:
        return b"[" + b",".join(dumps(entry) for entry in document) + b"]"
    if type(document) is not dict or not any(key in document for key in MANIFEST_PATH_KEYS):
        return plain(document)
    return (
        b"{"
        + b",".join(plain(name) + b":" + _encode_value(name, value) for name, value in document.items())
        + b"}"
    )


def size_of_configuration(configuration: object) -> int:
    """Returns the size of a configuration as JSON, in bytes."""
    return len(_cached_text(configuration))


def _encode_value(name: str, value: object) -> bytes:
    return _cached_text(value) if name == "manifest" else dumps(value)
