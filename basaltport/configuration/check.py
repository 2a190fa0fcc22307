"""Validates manifests and the platform's list of replicas; reports all findings, each with its place in the
document."""

import collections.abc
import re
import typing

import result
import trafaret

import basaltport.configuration.items as items

Document = dict[str, typing.Any]
Finding = dict[str, str]
Findings = list[Finding]
AddFinding = collections.abc.Callable[[str, str], None]

MAX_TIMEOUT_MS = 600_000
"""The longest timeout that a line may have, in ms."""

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}").fullmatch
_HASH = re.compile(r"sha256:[0-9a-f]{64}").fullmatch
NAME = trafaret.Regexp(re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$"))
HASH = trafaret.Regexp(re.compile(r"^sha256:[0-9a-f]{64}$"))


def _check_integer(value: object) -> object:
    return value if type(value) is int else trafaret.DataError("value is not a whole number")


def integer(gte: int, lte: int | None = None) -> trafaret.Trafaret:
    """Returns the schema of an integer within bounds; booleans and floats are rejected."""
    return trafaret.Call(_check_integer) & trafaret.Int(gte=gte, lte=lte)


_MS = integer(1, 86_400_000)
_COUNT = integer(0, 1_000_000)


def _key(name: str, default: object = None, optional: bool = False) -> trafaret.Key:
    if default is not None:
        return trafaret.Key(name, default=default)
    return trafaret.Key(name, optional=optional)


_SENDERS = trafaret.Mapping(NAME, HASH)


def _senders(value: object) -> object:
    """Validate the senders of a line. A line may have very many, so valid ones skip the slow check by
    trafaret."""
    if type(value) is dict:
        if all(type(token) is str and _HASH(token) and _NAME(name) for name, token in value.items()):
            return value
    return _SENDERS.check(value)


LINE = trafaret.Dict(
    {
        _key("senders"): trafaret.Call(_senders),
        _key("urgency"): integer(1, 9),
        _key("patience_ms"): _MS,
        _key("bound"): integer(1, 100_000),
        _key("once_only"): trafaret.Bool(),
        _key("items"): trafaret.List(trafaret.String(max_length=200), min_length=1),
        _key("pool"): NAME,
        _key("timeout_ms"): _MS,
        _key("ready_timeout_ms", optional=True): _MS,
        _key("prewarm", optional=True): trafaret.List(trafaret.String(max_length=200)),
    }
)
POOL = trafaret.Dict(
    {
        _key("waiting"): _COUNT,
        _key("resend_percent"): integer(0, 20),
        _key("resend_allowance"): integer(0, 100),
        _key("loading"): _COUNT,
    }
)
ADAPTER = trafaret.Dict({_key("size"): integer(1), _key("kept", optional=True): trafaret.Bool()})
MODEL = trafaret.Dict(
    {
        _key("size"): integer(1),
        _key("group"): NAME,
        _key("kept", optional=True): trafaret.Bool(),
        _key("copies", optional=True): integer(1, 100),
        _key("idle_window_ms", optional=True): _MS,
        _key("ready_timeout_ms", optional=True): _MS,
        _key("expected_load_ms", optional=True): _MS,
        _key("adapters", optional=True): trafaret.Mapping(NAME, ADAPTER),
    }
)
GROUP = trafaret.Dict(
    {
        _key("room"): integer(1),
        _key("slots"): integer(1, 10_000),
        _key("fresh_slots", optional=True): integer(1, 10_000),
    }
)
KEYS = trafaret.Dict(
    {_key("keep_ms", optional=True): _MS, _key("bound", optional=True): integer(1, 1_000_000)},
)
MANIFEST = trafaret.Dict(
    {
        _key("lines"): trafaret.Mapping(NAME, LINE),
        _key("pools"): trafaret.Mapping(NAME, POOL),
        _key("models"): trafaret.Mapping(NAME, MODEL),
        _key("groups"): trafaret.Mapping(NAME, GROUP),
        _key("zones"): trafaret.Mapping(NAME, trafaret.Dict({})),
        _key("keys", optional=True): KEYS,
        _key("store"): trafaret.Dict({_key("loads"): integer(1, 10_000)}),
    }
)
SECTIONS = ("lines", "models", "pools", "groups")
PLATFORM = trafaret.Mapping(
    NAME,
    trafaret.Dict(
        {
            _key("url"): trafaret.Regexp(re.compile(r"^http://[0-9.]+:[0-9]+$")),
            _key("zone"): NAME,
            _key("group"): NAME,
        }
    ),
)


def _flatten_errors(error: object, place: str = "") -> Findings:
    if not isinstance(error, dict):
        return [{"place": place, "finding": str(error)}]
    if set(error) <= {"key", "value"}:
        return [finding for nested in error.values() for finding in _flatten_errors(nested, place)]
    found = []
    for name, nested in error.items():
        found += _flatten_errors(nested, f"{place}.{name}" if place else str(name))
    return found


def validate(schema: trafaret.Trafaret, document: object) -> result.Result[typing.Any, Findings]:
    """Returns the document with defaults filled in, or the findings of its schema."""
    try:
        return result.Ok(schema.check(document))
    except trafaret.DataError as error:
        return result.Err(_flatten_errors(error.as_dict()))


def platform(document: object) -> result.Result[Document, Findings]:
    """Returns the platform's list of replicas, or the findings of its schema."""
    return validate(PLATFORM, document)


def manifest(document: object, old: object = None) -> result.Result[Document, Findings]:
    """Returns the manifest, or all its findings: of the schema, and of references between entries that are
    valid themselves.

    Entries that are unchanged from `old`, a manifest without findings, are not checked again."""
    found = _changed_findings(document, old) if isinstance(old, dict) and isinstance(document, dict) else None
    if found is None:
        found = findings(MANIFEST, document)
    if not isinstance(document, dict):
        return result.Err(found)
    former = old if isinstance(old, dict) else {}
    found = found + _references(document, _valid_entries(document, former, not found), former)
    return result.Err(found) if found else result.Ok(document)


def _same(new: object, old: object) -> bool:
    return new is old or new == old


def _unchanged(name: str, new: object, former: Document) -> bool:
    """Whether an entry equals its former value; an entry that didn't exist is changed even if it is null."""
    return name in former and _same(new, former[name])


def findings(schema: trafaret.Trafaret, document: object) -> Findings:
    """Returns the findings of a document against a schema."""
    validated = validate(schema, document)
    return validated.err_value if isinstance(validated, result.Err) else []


def _changed_findings(document: Document, old: Document) -> Findings | None:
    """Returns the schema findings of the entries that differ from the old manifest; None if the manifests
    can't be compared by entry."""
    if set(document) != set(old) or not all(
        isinstance(document[name], dict) for name in SECTIONS if name in document
    ):
        return None
    changed = {}
    for name, section in document.items():
        before = old[name] if name in SECTIONS else None
        changed[name] = section if before is None else _changed(section, before)
    return findings(MANIFEST, changed)


def _changed(section: Document, before: Document) -> Document:
    return {name: entry for name, entry in section.items() if not _unchanged(name, entry, before)}


class _ValidEntries(typing.NamedTuple):
    """The entries of each section that match their own schema; None for a section that is missing."""

    lines: Document
    models: Document
    pools: Document | None
    groups: Document | None
    zones: Document | None
    item_index: items.Index | None


def _valid_entries(document: Document, old: Document, all_valid: bool) -> _ValidEntries:
    lines = _valid_section(LINE, document.get("lines"), old.get("lines") or {}, all_valid)
    models = _valid_section(MODEL, document.get("models"), old.get("models") or {}, all_valid)
    all_models_valid = len(models) == len(_section(document, "models") or ())
    index = items.Index(items.items_of({"models": models})) if all_models_valid else None
    return _ValidEntries(
        lines,
        models,
        _section(document, "pools"),
        _section(document, "groups"),
        _section(document, "zones"),
        index,
    )


def _valid_section(schema: trafaret.Trafaret, entries: object, former: Document, all_valid: bool) -> Document:
    if not isinstance(entries, dict):
        return {}
    return {
        name: entry
        for name, entry in entries.items()
        if all_valid or _unchanged(name, entry, former) or validate(schema, entry).is_ok()
    }


def _section(document: Document, name: str) -> Document | None:
    section = document.get(name)
    return section if isinstance(section, dict) else None


def _references(document: Document, valid: _ValidEntries, old: Document) -> Findings:
    found: Findings = []

    def _add_finding(place: str, text: str) -> None:
        found.append({"place": place, "finding": text})

    if valid.zones == {}:
        _add_finding("zones", "at least one zone is needed")
    before = {}
    if old and all(_same(document.get(name), old.get(name)) for name in ("models", "pools", "groups")):
        before = old["lines"]
    for name, line in valid.lines.items():
        if not _unchanged(name, line, before):
            _line_references(valid, name, line, _add_finding)
    if not before:
        for name, model in valid.models.items():
            _model_references(valid, name, model, _add_finding)
    return found


def _line_references(valid: _ValidEntries, name: str, line: Document, add_finding: AddFinding) -> None:
    if valid.pools is not None and line["pool"] not in valid.pools:
        add_finding(f"lines.{name}.pool", f"no pool {line['pool']!r}")
    if valid.item_index is not None:
        _item_references(valid.item_index, name, line, add_finding)
    _token_findings(name, line["senders"], add_finding)
    if line["timeout_ms"] > MAX_TIMEOUT_MS:
        add_finding(f"lines.{name}.timeout_ms", "over ten minutes")


def _item_references(index: items.Index, name: str, line: Document, add_finding: AddFinding) -> None:
    for position, pattern in enumerate(line["items"]):
        if not index.match(pattern):
            add_finding(f"lines.{name}.items.{position}", f"{pattern!r} names no model or adapter")
    for position, item in enumerate(line.get("prewarm", [])):
        if item not in index.all:
            add_finding(f"lines.{name}.prewarm.{position}", f"{item!r} names no model or adapter")


def _token_findings(line_name: str, senders: dict[str, str], add_finding: AddFinding) -> None:
    """Add a finding for each client that has the same token as another client."""
    if len(set(senders.values())) == len(senders):
        return
    clients: dict[str, str] = {}
    for client, token in senders.items():
        first = clients.setdefault(token, client)
        if first != client:
            add_finding(f"lines.{line_name}.senders.{client}", f"same token as sender {first!r}")


def _model_references(valid: _ValidEntries, name: str, model: Document, add_finding: AddFinding) -> None:
    if valid.groups is None:
        return
    group_name = model["group"]
    group = valid.groups.get(group_name)
    if group is None:
        add_finding(f"models.{name}.group", f"no group {group_name!r}")
        return
    if not validate(GROUP, group).is_ok():
        return
    size, room = model["size"], group["room"]
    if size > room:
        add_finding(f"models.{name}.size", f"size {size} is over the room {room} of group {group_name!r}")
    for adapter_name, adapter in (model.get("adapters") or {}).items():
        if size + adapter["size"] > room:
            place = f"models.{name}.adapters.{adapter_name}.size"
            add_finding(place, f"with its model it is over the room {room}")
