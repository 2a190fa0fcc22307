"""JSON of agreed things. A manifest may be tens of MB and goes to every seat, journal and snapshot: the
text of the last few large ones is made once."""

import json

HEAVY = ("book", "op", "tail", "manifest", "entry")
LARGE = 1 << 16
KEEP = 4
SCALAR_SIZE = 8
OVERHEAD = 64

_made: dict[int, tuple[object, bytes]] = {}


def plain(doc: object) -> bytes:
    """The compact JSON of a document."""
    return json.dumps(doc, separators=(",", ":")).encode()


def _once(doc: object) -> bytes:
    got = _made.get(id(doc))
    if got is not None and got[0] is doc:
        return got[1]
    raw = plain(doc)
    if len(raw) >= LARGE:
        while len(_made) >= KEEP:
            del _made[next(iter(_made))]
        _made[id(doc)] = doc, raw
    return raw


def dumps(doc: object) -> bytes:
    """The same bytes as `plain`, made of parts wherever a manifest may stand."""
    if type(doc) is list and doc and type(doc[0]) is dict and "op" in doc[0]:
        return b"[" + b",".join(dumps(x) for x in doc) + b"]"
    if type(doc) is not dict or not any(k in doc for k in HEAVY):
        return plain(doc)
    return b"{" + b",".join(plain(k) + b":" + _part(k, v) for k, v in doc.items()) + b"}"


def size_of_configuration(configuration: object) -> int:
    """How many bytes the text of a configuration has."""
    return len(_once(configuration))


def _part(k: str, v: object) -> bytes:
    return _once(v) if k == "manifest" else dumps(v)
