"""One frame format between members: magic, version, kind, checksum, length, body."""

import dataclasses
import functools
import json
import zlib

import construct
import result

import basaltport.kinds as kinds
import basaltport.messages as messages
import basaltport.text as text

VERSION = 1
LIMIT = 64 * 1024 * 1024

HEADER = construct.Struct(
    "magic" / construct.Const(b"BSLT"),
    "version" / construct.Int8ub,
    "kind" / construct.Int8ub,
    "crc" / construct.Int32ub,
    "length" / construct.Int32ub,
)
HEADER_SIZE = HEADER.sizeof()


class Doc(construct.Adapter):
    def _decode(self, obj, context, path):
        try:
            return json.loads(obj)
        except ValueError as e:
            raise construct.ConstructError(str(e))

    def _encode(self, obj, context, path):
        raise NotImplementedError


class Pair(construct.Adapter):
    def _decode(self, obj, context, path):
        return kinds.Generation(obj.count, obj.name)

    def _encode(self, obj, context, path):
        return {"count": obj.count, "name": obj.name}


_BYTES = construct.Prefixed(construct.VarInt, construct.GreedyBytes)
_TEXT = construct.PascalString(construct.VarInt, "utf8")
_DOC = Doc(_BYTES)
_GEN = Pair(construct.Struct("count" / construct.Int64ub, "name" / _TEXT))


def _form(t):
    if t is kinds.Generation:
        return _GEN
    if t is bool:
        return construct.Flag
    if issubclass(t, int):
        return construct.Int64sb
    if issubclass(t, str):
        return _TEXT
    return _DOC


@functools.cache
def _body(cls):
    return construct.Struct(*[f.name / _form(f.type) for f in dataclasses.fields(cls)])


def parts(msg):
    """A frame as its parts; large documents are not copied on the way."""
    cls = type(msg)
    out = []
    for f in dataclasses.fields(cls):
        form, v = _form(f.type), getattr(msg, f.name)
        if form is _DOC:
            raw = text.dumps(v)
            out += [construct.VarInt.build(len(raw)), raw]
            continue
        out.append(form.build(v))
    crc = 0
    for p in out:
        crc = zlib.crc32(p, crc)
    head = {"version": VERSION, "kind": cls.KIND, "crc": crc, "length": sum(map(len, out))}
    return [HEADER.build(head), *out]


def pack(msg):
    return b"".join(parts(msg))


def header(raw):
    """Ok(header) or Err(reason) for the fixed bytes before a body."""
    try:
        h = HEADER.parse(raw)
    except construct.ConstructError as e:
        return result.Err(f"garbled header: {type(e).__name__}")
    if h.version != VERSION:
        return result.Err(f"frame version {h.version}, this program speaks {VERSION}")
    if h.kind not in messages.KINDS:
        return result.Err(f"unknown kind {h.kind}")
    if h.length > LIMIT:
        return result.Err(f"frame of {h.length} bytes is over {LIMIT}")
    return result.Ok(h)


def body(h, raw):
    if zlib.crc32(raw) != h.crc:
        return result.Err("checksum differs")
    cls = messages.KINDS[h.kind]
    try:
        got = _body(cls).parse(raw)
        return result.Ok(cls(**{f.name: _cast(f.type, got[f.name]) for f in dataclasses.fields(cls)}))
    except (construct.ConstructError, ValueError, TypeError) as e:
        return result.Err(f"garbled body: {type(e).__name__}")


def _cast(t, v):
    if t in (dict, list) and not isinstance(v, t):
        raise TypeError(t.__name__)
    return t(v) if t is not kinds.Generation and issubclass(t, (int, str)) else v


def unpack(raw):
    h = header(raw[:HEADER_SIZE])
    if h.is_err():
        return h
    return body(h.ok_value, raw[HEADER_SIZE:])
