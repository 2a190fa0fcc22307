"""JSON of agreed things. A manifest may be tens of MB and goes to every seat, journal and snapshot: the
text of the last few large ones is made once."""

import json

HEAVY = ("book", "op", "tail", "manifest", "entry")
LARGE_BYTES = 1 << 16
MOST_KEPT = 4
SCALAR_SIZE = 8
OVERHEAD = 64

_made: dict[int, tuple[object, bytes]] = {}


def plain(document: object) -> bytes:
    """The compact JSON of a document."""
    return json.dumps(document, separators=(",", ":")).encode()


def _once(document: object) -> bytes:
    got = _made.get(id(document))
    if got is not None and got[0] is document:
        return got[1]
    raw = plain(document)
    if len(raw) >= LARGE_BYTES:
        while len(_made) >= MOST_KEPT:
            del _made[next(iter(_made))]
        _made[id(document)] = document, raw
    return raw


def dumps(document: object) -> bytes:
    """The same bytes as `plain`, made of parts wherever a manifest may stand."""
    if type(document) is list and document and type(document[0]) is dict and "op" in document[0]:
        return b"[" + b",".join(dumps(entry) for entry in document) + b"]"
    if type(document) is not dict or not any(k in document for k in HEAVY):
        return plain(document)
    return (
        b"{" + b",".join(plain(name) + b":" + _part(name, value) for name, value in document.items()) + b"}"
    )


def size_of_configuration(configuration: object) -> int:
    """How many bytes the text of a configuration has."""
    return len(_once(configuration))


def _part(name: str, value: object) -> bytes:
    return _once(value) if name == "manifest" else dumps(value)
