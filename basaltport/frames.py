"""The frame format of messages between members: magic number, version, kind, checksum, length, body."""

import collections.abc
import dataclasses
import functools
import json
import typing
import zlib

import construct
import result

import basaltport.consensus.codec as codec
import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.text as text

VERSION = 1
MAX_BODY_BYTES = 64 * 1024 * 1024

HEADER = construct.Struct(
    "magic" / construct.Const(b"BSLT"),
    "version" / construct.Int8ub,
    "kind" / construct.Int8ub,
    "crc" / construct.Int32ub,
    "length" / construct.Int32ub,
)
HEADER_SIZE: int = HEADER.sizeof()


class TermFields(typing.Protocol):
    """The parsed fields of a term."""

    count: int
    name: str


class Header(typing.Protocol):
    """The parsed fields of a frame header."""

    version: int
    kind: int
    crc: int
    length: int


def _decode_document(raw: bytes, context: object) -> object:
    try:
        return json.loads(raw)
    except ValueError as error:
        raise construct.ConstructError(str(error)) from error


def _encode_document(document: object, context: object) -> bytes:
    """Never called: `parts` inserts the text of documents without copying it."""
    raise NotImplementedError


def _decode_term(fields: TermFields, context: object) -> identifiers.Term:
    return identifiers.Term(fields.count, fields.name)


def _encode_term(term: identifiers.Term, context: object) -> dict[str, object]:
    return {"count": term.count, "name": term.name}


_BYTES = construct.Prefixed(construct.VarInt, construct.GreedyBytes)
_TEXT = construct.PascalString(construct.VarInt, "utf8")
_DOCUMENT = construct.ExprAdapter(_BYTES, _decode_document, _encode_document)
_TERM_FIELDS = construct.Struct("count" / construct.Int64ub, "name" / _TEXT)
_TERM = construct.ExprAdapter(_TERM_FIELDS, _decode_term, _encode_term)


def _construct_for(field_type: type) -> construct.Construct:
    if field_type is identifiers.Term:
        return _TERM
    if field_type is bool:
        return construct.Flag
    if issubclass(field_type, int):
        return construct.Int64sb
    if issubclass(field_type, str):
        return _TEXT
    return _DOCUMENT


class _Conversion(typing.NamedTuple):
    """The functions that convert values of a type to documents and back."""

    encode: collections.abc.Callable[[typing.Any], object]
    decode: collections.abc.Callable[[typing.Any], object]


_CONVERSIONS: dict[object, _Conversion] = {
    messages.Entries: _Conversion(codec.encode_entries, codec.decode_entries),
    messages.OptionalReplicatedState: _Conversion(
        codec.encode_replicated_state, codec.decode_replicated_state
    ),
    messages.FeedState: _Conversion(codec.encode_feed_state, codec.decode_feed_state),
}


class _Field(typing.NamedTuple):
    """A field of a message: its class without type parameters, its binary form, its default, and the
    conversion of values that are sent as documents of another form.

    Trailing fields that have their default value are not sent, and receivers ignore bytes after the fields
    they know. So a field with a default may be added at the end of a message without breaking older releases.
    """

    name: str
    type: type
    form: construct.Construct
    conversion: _Conversion | None
    is_document: bool
    default: object = dataclasses.MISSING

    def is_optional(self) -> bool:
        """Whether the field may be missing at the end of a frame."""
        return self.default is not dataclasses.MISSING


@functools.cache
def _layout(cls: collections.abc.Hashable) -> tuple[_Field, ...]:
    """Returns the fields of a message class."""
    out = []
    for field in dataclasses.fields(typing.cast(messages.MessageType, cls)):
        conversion = _CONVERSIONS.get(field.type)
        plain = object if conversion else typing.cast(type, typing.get_origin(field.type) or field.type)
        form = _construct_for(plain)
        is_document = form is _DOCUMENT
        default = _default(field)
        if default is not dataclasses.MISSING:
            form = construct.Optional(form)
        out.append(_Field(field.name, plain, form, conversion, is_document, default))
    return tuple(out)


def _default(field: "dataclasses.Field[typing.Any]") -> object:
    """Returns the default of a field, or MISSING."""
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


def _sent_fields(msg: object) -> list[_Field]:
    """Returns the fields of a message without trailing ones that have their default value."""
    fields = list(_layout(typing.cast(collections.abc.Hashable, type(msg))))
    while fields and fields[-1].is_optional() and getattr(msg, fields[-1].name) == fields[-1].default:
        fields.pop()
    return fields


@functools.cache
def _body(cls: collections.abc.Hashable) -> construct.Struct:
    return construct.Struct(*[field.name / field.form for field in _layout(cls)])


def parts(msg: object) -> list[bytes]:
    """Returns a frame as a list of its parts, so that large documents are not copied."""
    cls = typing.cast(messages.MessageType, type(msg))
    out: list[bytes] = []
    for field in _sent_fields(msg):
        value = getattr(msg, field.name)
        if field.is_document:
            raw = text.dumps(field.conversion.encode(value) if field.conversion else value)
            out += [construct.VarInt.build(len(raw)), raw]
            continue
        out.append(field.form.build(value))
    crc = 0
    for part in out:
        crc = zlib.crc32(part, crc)
    head = {"version": VERSION, "kind": cls.KIND, "crc": crc, "length": sum(map(len, out))}
    return [HEADER.build(head), *out]


def pack(msg: object) -> bytes:
    """Returns a frame as bytes."""
    return b"".join(parts(msg))


def header(raw: bytes) -> result.Result[Header, str]:
    """Parses and checks a header; returns Ok(header) or Err(reason)."""
    try:
        parsed = HEADER.parse(raw)
    except construct.ConstructError as error:
        return result.Err(f"garbled header: {type(error).__name__}")
    if parsed.version != VERSION:
        return result.Err(f"frame version {parsed.version}, this program speaks {VERSION}")
    if parsed.kind not in messages.KINDS:
        return result.Err(f"unknown kind {parsed.kind}")
    if parsed.length > MAX_BODY_BYTES:
        return result.Err(f"frame of {parsed.length} bytes is over {MAX_BODY_BYTES}")
    return result.Ok(parsed)


def body(parsed_header: Header, raw: bytes) -> result.Result[object, str]:
    """Parses the bytes after a header; returns Ok(message) or Err(reason)."""
    if zlib.crc32(raw) != parsed_header.crc:
        return result.Err("checksum differs")
    cls = messages.KINDS[parsed_header.kind]
    try:
        values = _body(cls).parse(raw)
        return result.Ok(cls(**{field.name: _value(field, values[field.name]) for field in _layout(cls)}))
    except (construct.ConstructError, ValueError, TypeError) as error:
        return result.Err(f"garbled body: {type(error).__name__}")


def _value(field: _Field, value: object) -> object:
    if value is None and field.is_optional():
        return field.default
    if field.conversion is not None:
        return field.conversion.decode(value)
    field_type = field.type
    if field_type in (dict, list) and not isinstance(value, field_type):
        raise TypeError(field_type.__name__)
    if field_type is identifiers.Term or not issubclass(field_type, (int, str)):
        return value
    convert: collections.abc.Callable[[object], object] = field_type
    return convert(value)


def unpack(raw: bytes) -> result.Result[object, str]:
    """Parses a complete frame; returns Ok(message) or Err(reason)."""
    parsed = header(raw[:HEADER_SIZE])
    if isinstance(parsed, result.Err):
        return parsed
    return body(parsed.ok_value, raw[HEADER_SIZE:])
