"""The stored and sent form of the log and of the state: JSON documents with keys that all releases share.

Only this module knows these keys. Keys are written in a fixed order, so that equal states have equal bytes.
Unknown keys come from a newer release: they are kept as `unknown` and written after the others. Large
configurations are never copied: documents refer to the objects of the state, and `text` encodes each of them
once.
"""

import collections.abc
import hashlib
import json
import operator
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.errors as errors
import basaltport.identifiers as identifiers

Document = dict[str, typing.Any]
Converter = collections.abc.Callable[[typing.Any], typing.Any]
Record = typing.TypeVar("Record")

TERM_RECORD = "promise"
ENTRY_RECORD = "entry"
BATCH = "batch"
DIGEST_CHARACTERS = 16
UNKNOWN = "unknown"

_MALFORMED = (KeyError, TypeError, ValueError, AttributeError, IndexError)


class _Field(typing.NamedTuple):
    """A key of a document, the attribute for it, and how its value is encoded and decoded. `is_absent`:
    whether the key is omitted for a value."""

    key: str
    name: str
    encode: Converter | None = None
    decode: Converter | None = None
    is_absent: collections.abc.Callable[[typing.Any], bool] | None = None


class _Form(typing.Generic[Record]):
    """The document form of a record: its fields in the order in which they are written."""

    def __init__(self, record: collections.abc.Callable[..., Record], *fields: _Field) -> None:
        self.record = record
        self.fields = fields
        self.keys = frozenset(field.key for field in fields)

    def encode(self, record: Record) -> Document:
        """Return the document of a record."""
        document: Document = {}
        for key, name, encode, _, is_absent in self.fields:
            value = getattr(record, name)
            if is_absent is not None and is_absent(value):
                continue
            document[key] = value if encode is None or value is None else encode(value)
        unknown: log.Unknown = getattr(record, UNKNOWN)
        if unknown:
            document.update(unknown)
        return document

    def decode(self, document: Document) -> Record:
        """Return the record of a document; absent fields have their defaults."""
        values = {}
        for key, name, _, decode, _ in self.fields:
            if key in document:
                value = document[key]
                values[name] = value if decode is None or value is None else decode(value)
        if len(document) > len(values):
            unknown = tuple((key, value) for key, value in document.items() if key not in self.keys)
            return self.record(**values, unknown=unknown)
        return self.record(**values)


def _is_none(value: object) -> bool:
    return value is None


def _each(function: Converter) -> Converter:
    """Return a function that applies `function` to each value of a mapping."""
    return lambda mapping: {key: function(value) for key, value in mapping.items()}


def _list_of(function: Converter) -> Converter:
    return lambda values: [function(value) for value in values]


def _tuple_of(function: Converter) -> Converter:
    return lambda values: tuple([function(value) for value in values])


def _term(pair: collections.abc.Sequence[typing.Any]) -> identifiers.Term:
    count, name = pair
    return identifiers.Term(count, name)


# members, replicas, owners

_MEMBER = _Form(
    log.MemberRecord,
    _Field("name", "name"),
    _Field("seat", "member_id"),
    _Field("role", "role"),
    _Field("zone", "zone"),
    _Field("addr", "address"),
    _Field("http", "http_address"),
)
_REPLICA = _Form(log.ListedReplica, _Field("url", "url"), _Field("zone", "zone"), _Field("group", "group"))
_ROLE_OWNER = _Form(
    state_machine.RoleOwner,
    _Field("owner", "owner"),
    _Field("fence", "fence"),
    _Field("first", "first"),
    _Field("new", "is_new"),
)
_SHARD = _Form(
    state_machine.Shard,
    _Field("owner", "owner"),
    _Field("fence", "fence"),
    _Field("was", "former_owner"),
)
_HISTORY = _Form(
    state_machine.HistoryRecord,
    _Field("serial", "log_index"),
    _Field("op", "operation"),
    _Field("change", "change_id"),
)


def _encode_holder(holder: state_machine.KeyHolder) -> list[typing.Any]:
    return [holder.joined, holder.predecessors]


def _decode_holder(pair: collections.abc.Sequence[typing.Any]) -> state_machine.KeyHolder:
    joined, predecessors = pair
    return state_machine.KeyHolder(joined, predecessors)


_KEY_RANGE = _Form(
    state_machine.KeyRange,
    _Field("at", "since"),
    _Field("seats", "holders", _each(_encode_holder), _each(_decode_holder)),
)

encode_member = _MEMBER.encode
decode_member = _MEMBER.decode
encode_history_record = _HISTORY.encode


def _encode_replacement(replacement: log.Replacement) -> list[typing.Any]:
    return [replacement.former_id, encode_member(replacement.member)]


def _decode_replacement(pair: collections.abc.Sequence[typing.Any]) -> log.Replacement:
    former_id, member = pair
    return log.Replacement(former_id, decode_member(member))


_MEMBERS = (_each(encode_member), _each(decode_member))
_REPLACEMENTS = (_list_of(_encode_replacement), _tuple_of(_decode_replacement))
_STRING_TUPLE = (list, tuple)

# operations; the key "op" is written first, "change" after the operation's own keys

_CHANGE = _Field("change", "change_id", is_absent=_is_none)


def _operation(record: type[log.Operation], *fields: _Field) -> tuple[str, _Form[log.Operation]]:
    return record.KIND, _Form(record, _Field("op", "kind"), *fields, _CHANGE)


_OPERATIONS: dict[str, _Form[log.Operation]] = {
    kind: form
    for kind, form in (
        _operation(
            log.ClusterFounded,
            _Field("roster", "members", *_MEMBERS),
            _Field("ledgers", "disk_members", *_STRING_TUPLE),
            _Field("voters", "voting", is_absent=_is_none),
            _Field("keep", "kept_changes", is_absent=_is_none),
        ),
        _operation(
            log.TermBegun,
            _Field("swap", "replacements", *_REPLACEMENTS),
            _Field("drops", "removed", *_STRING_TUPLE),
            _Field("ledgers", "disk_members", *_STRING_TUPLE, is_absent=_is_none),
        ),
        _operation(
            log.MembersChanged,
            _Field("swap", "replacements", *_REPLACEMENTS),
            _Field("add", "added", encode_member, decode_member),
            _Field("drops", "removed", *_STRING_TUPLE, is_absent=operator.not_),
        ),
        _operation(
            log.JointChangeBegun,
            _Field("drops", "removed", *_STRING_TUPLE),
            _Field("adds", "added", _list_of(encode_member), _tuple_of(decode_member)),
        ),
        _operation(log.JointChangeCompleted),
        _operation(log.DiskMembersSet, _Field("ledgers", "disk_members", *_STRING_TUPLE)),
        _operation(log.ConfigurationPut, _Field("manifest", "configuration")),
        _operation(log.ConfigurationMerged, _Field("patch", "patch")),
        _operation(log.ItemsPatched, _Field("patch", "patch")),
        _operation(log.ZoneEvacuated, _Field("zone", "zone")),
        _operation(log.EvacuationWithdrawn, _Field("zone", "zone")),
        _operation(log.ReplicaLeaving, _Field("replica", "replica")),
        _operation(
            log.ReplicasListed,
            _Field("replicas", "replicas", _each(_REPLICA.encode), _each(_REPLICA.decode)),
        ),
        _operation(
            log.RolesAssigned,
            _Field("owners", "owners"),
            _Field("fresh", "after_restart", is_absent=operator.not_),
        ),
        _operation(
            log.ShardsAssigned,
            _Field("give", "owners", is_absent=operator.not_),
            _Field("ripe", "settled", *_STRING_TUPLE, is_absent=operator.not_),
        ),
    )
}


def encode_operation(operation: log.Operation) -> Document:
    """Return the document of an operation."""
    if isinstance(operation, log.UnknownOperation):
        return {"op": operation.kind, **dict(operation.fields)}
    document = _OPERATIONS[operation.KIND].encode(operation)
    if isinstance(operation, log.MembersChanged) and operation.replacements is None:
        del document["swap"]
        if operation.added is None:
            del document["add"]
    return document


def decode_operation(document: Document) -> log.Operation:
    """Return the operation of a document."""
    form = _OPERATIONS.get(document["op"])
    fields = {key: value for key, value in document.items() if key != "op"}
    if form is None:
        return log.UnknownOperation(document["op"], tuple(fields.items()))
    return form.decode(fields)


# entries, records


def encode_entry(entry: log.LogEntry) -> Document:
    """Return the document of an entry."""
    operation = encode_operation(entry.operation)
    document = {"s": int(entry.index), "g": [entry.term.count, entry.term.name], "op": operation}
    if entry.unknown:
        document.update(entry.unknown)
    return document


def decode_entry(document: Document) -> log.LogEntry:
    """Return the entry of a document; StoredFormError if it is malformed."""
    try:
        index, term = identifiers.LogIndex(document["s"]), _term(document["g"])
        unknown = tuple((key, value) for key, value in document.items() if key not in ("s", "g", "op"))
        return log.LogEntry(index, term, decode_operation(document["op"]), unknown)
    except _MALFORMED as error:
        raise errors.StoredFormError(f"malformed log entry: {type(error).__name__}: {error}") from error


def encode_entries(entries: collections.abc.Iterable[log.LogEntry]) -> list[Document]:
    """Return the documents of entries."""
    return [encode_entry(entry) for entry in entries]


def decode_entries(documents: collections.abc.Iterable[Document]) -> list[log.LogEntry]:
    """Return the entries of documents."""
    return [decode_entry(document) for document in documents]


def encode_record(record: log.DiskRecord) -> Document:
    """Return the document of a disk record."""
    if isinstance(record, log.TermRecord):
        return {TERM_RECORD: list(record.term)}
    return {ENTRY_RECORD: encode_entry(record.entry)}


def decode_record(document: Document) -> log.DiskRecord:
    """Return the disk record of a document; StoredFormError if it is malformed."""
    if TERM_RECORD in document:
        return log.TermRecord(_term(document[TERM_RECORD]))
    if ENTRY_RECORD in document:
        return log.EntryRecord(decode_entry(document[ENTRY_RECORD]))
    raise errors.StoredFormError(f"malformed disk record with the keys {sorted(document)}")


# the state

_INDEX = (int, identifiers.LogIndex)
_FEED_KEYS = ("serial", "gen", "mserial", "manifest", "drains", "roster", "voters", "slices")
_STATE = _Form(
    state_machine.ClusterState,
    _Field("serial", "log_index", *_INDEX),
    _Field("gen", "term", list, _term),
    _Field("mserial", "configuration_version", *_INDEX),
    _Field("manifest", "configuration"),
    _Field("changes", "recent_changes"),
    _Field("roster", "members", *_MEMBERS),
    _Field("ledgers", "disk_members", *_STRING_TUPLE),
    _Field("drains", "evacuated_zones"),
    _Field("leaving", "leaving_replicas"),
    _Field("platform", "listed_replicas", _each(_REPLICA.encode), _each(_REPLICA.decode)),
    _Field("duties", "role_owners", _each(_ROLE_OWNER.encode), _each(_ROLE_OWNER.decode)),
    _Field("history", "history", _list_of(_HISTORY.encode), _tuple_of(_HISTORY.decode)),
    _Field("keepers", "key_holders", _each(_KEY_RANGE.encode), _each(_KEY_RANGE.decode)),
    _Field("voters", "voting", is_absent=_is_none),
    _Field("keep", "kept_changes", is_absent=_is_none),
    _Field("slices", "shards", _each(_SHARD.encode), _each(_SHARD.decode), is_absent=operator.not_),
    _Field("former", "former_members", *_MEMBERS, is_absent=_is_none),
)
_STATE_FIELDS = {field.key: field for field in _STATE.fields}
_FEED_STATE = _Form(state_machine.ClusterState, *(_STATE_FIELDS[key] for key in _FEED_KEYS))

encode_state = _STATE.encode


def decode_state(document: Document) -> state_machine.ClusterState:
    """Return the state of a document; StoredFormError if it is malformed."""
    try:
        return _STATE.decode(document)
    except _MALFORMED as error:
        raise errors.StoredFormError(f"malformed cluster state: {type(error).__name__}: {error}") from error


def encode_replicated_state(replicated_state: state_machine.ReplicatedState | None) -> Document:
    """Return the document of a snapshot, an empty one for None."""
    if replicated_state is None:
        return {}
    return {
        "book": encode_state(replicated_state.cluster_state),
        "tail": encode_entries(replicated_state.uncommitted),
    }


def decode_replicated_state(document: Document) -> state_machine.ReplicatedState | None:
    """Return the snapshot of a document, None for an empty one; StoredFormError if it is malformed."""
    if not document:
        return None
    if "book" not in document or "tail" not in document:
        raise errors.StoredFormError(f"malformed snapshot with the keys {sorted(document)}")
    entries = tuple(decode_entries(document["tail"]))
    return state_machine.ReplicatedState(decode_state(document["book"]), entries)


def encode_feed_state(state: state_machine.ClusterState | None) -> Document:
    """Return the document of the part of the state that proxies need, an empty one for None."""
    return {} if state is None else _FEED_STATE.encode(state)


def decode_feed_state(document: Document) -> state_machine.ClusterState | None:
    """Return the part of the state that proxies need, None for an empty document."""
    return decode_state(document) if document else None


# digest

_digest: tuple[object, str] = (None, "")


def _configuration_digest(configuration: object) -> str:
    """Return the digest of a configuration; the last one is cached, since configurations may be large."""
    global _digest
    if _digest[0] is not configuration or not _digest[1]:
        raw = json.dumps(configuration, sort_keys=True).encode()
        _digest = (configuration, hashlib.sha256(raw).hexdigest())
    return _digest[1]


def digest(state: state_machine.ClusterState) -> str:
    """Return a digest of the committed state; members with equal states have equal digests."""
    rest = {key: value for key, value in encode_state(state).items() if key != "manifest"}
    raw = _configuration_digest(state.configuration) + json.dumps(rest, sort_keys=True)
    return hashlib.sha256(raw.encode()).hexdigest()[:DIGEST_CHARACTERS]
