"""Checks of manifests and of the platform's list: all findings together, each with its place."""

import collections.abc
import re
import typing

import result
import trafaret

import basaltport.configuration.items as items

Document = dict[str, typing.Any]
Finding = dict[str, str]
Findings = list[Finding]
Find = collections.abc.Callable[[str, str], None]

LONGEST_TIMEOUT_MS = 600_000

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}").fullmatch
_HASH = re.compile(r"sha256:[0-9a-f]{64}").fullmatch
NAME = trafaret.Regexp(re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$"))
HASH = trafaret.Regexp(re.compile(r"^sha256:[0-9a-f]{64}$"))


def _plain(v: object) -> object:
    return v if type(v) is int else trafaret.DataError("value is not a whole number")


def whole(gte: int, lte: int | None = None) -> trafaret.Trafaret:
    """The form of a whole number within bounds."""
    return trafaret.Call(_plain) & trafaret.Int(gte=gte, lte=lte)


_MS = whole(1, 86_400_000)
_COUNT = whole(0, 1_000_000)


def _key(name: str, default: object = None, optional: bool = False) -> trafaret.Key:
    if default is not None:
        return trafaret.Key(name, default=default)
    return trafaret.Key(name, optional=optional)


_SENDERS = trafaret.Mapping(NAME, HASH)


def _senders(v: object) -> object:
    """A line may have very many: what is plainly right is not looked at one by one by the library."""
    if type(v) is dict:
        ok = all(type(h) is str and _HASH(h) and _NAME(k) for k, h in v.items())
        if ok:
            return v
    return _SENDERS.check(v)


LINE = trafaret.Dict(
    {
        _key("senders"): trafaret.Call(_senders),
        _key("urgency"): whole(1, 9),
        _key("patience_ms"): _MS,
        _key("bound"): whole(1, 100_000),
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
        _key("resend_percent"): whole(0, 20),
        _key("resend_allowance"): whole(0, 100),
        _key("loading"): _COUNT,
    }
)
ADAPTER = trafaret.Dict({_key("size"): whole(1), _key("kept", optional=True): trafaret.Bool()})
MODEL = trafaret.Dict(
    {
        _key("size"): whole(1),
        _key("group"): NAME,
        _key("kept", optional=True): trafaret.Bool(),
        _key("copies", optional=True): whole(1, 100),
        _key("idle_window_ms", optional=True): _MS,
        _key("ready_timeout_ms", optional=True): _MS,
        _key("expected_load_ms", optional=True): _MS,
        _key("adapters", optional=True): trafaret.Mapping(NAME, ADAPTER),
    }
)
GROUP = trafaret.Dict(
    {
        _key("room"): whole(1),
        _key("slots"): whole(1, 10_000),
        _key("fresh_slots", optional=True): whole(1, 10_000),
    }
)
KEYS = trafaret.Dict(
    {_key("keep_ms", optional=True): _MS, _key("bound", optional=True): whole(1, 1_000_000)},
)
MANIFEST = trafaret.Dict(
    {
        _key("lines"): trafaret.Mapping(NAME, LINE),
        _key("pools"): trafaret.Mapping(NAME, POOL),
        _key("models"): trafaret.Mapping(NAME, MODEL),
        _key("groups"): trafaret.Mapping(NAME, GROUP),
        _key("zones"): trafaret.Mapping(NAME, trafaret.Dict({})),
        _key("keys", optional=True): KEYS,
        _key("store"): trafaret.Dict({_key("loads"): whole(1, 10_000)}),
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


def _flat(err: object, place: str = "") -> Findings:
    if not isinstance(err, dict):
        return [{"place": place, "finding": str(err)}]
    if set(err) <= {"key", "value"}:
        return [f for v in err.values() for f in _flat(v, place)]
    out = []
    for k, v in err.items():
        out += _flat(v, f"{place}.{k}" if place else str(k))
    return out


def shape(form: trafaret.Trafaret, doc: object) -> result.Result[typing.Any, Findings]:
    """The document with defaults filled in, or what is wrong with its form."""
    try:
        return result.Ok(form.check(doc))
    except trafaret.DataError as e:
        return result.Err(_flat(e.as_dict()))


def platform(doc: object) -> result.Result[Document, Findings]:
    """The platform's list of replicas, or what is wrong with its form."""
    return shape(PLATFORM, doc)


def manifest(doc: object, old: object = None) -> result.Result[Document, Findings]:
    """The whole manifest's findings: those of form, and of reference wherever the form allows.
    What stands unchanged in `old`, a manifest without findings, is not looked at again."""
    fs = _form(doc, old) if isinstance(old, dict) and isinstance(doc, dict) else None
    if fs is None:
        fs = findings(MANIFEST, doc)
    if not isinstance(doc, dict):
        return result.Err(fs)
    was = old if isinstance(old, dict) else {}
    fs = fs + _references(doc, _sound(doc, was, not fs), was)
    return result.Err(fs) if fs else result.Ok(doc)


def _same(new: object, old: object) -> bool:
    return new is old or new == old


def _unchanged(name: str, new: object, was: Document) -> bool:
    """Whether an entry stands as it was; one that was not there is new, also where it is null."""
    return name in was and _same(new, was[name])


def findings(form: trafaret.Trafaret, doc: object) -> Findings:
    """What is wrong with the form of a document."""
    got = shape(form, doc)
    return got.err_value if isinstance(got, result.Err) else []


def _form(doc: Document, old: Document) -> Findings | None:
    """Findings of form, entry by entry where the old one has an equal; None where that is no way."""
    if set(doc) != set(old) or not all(isinstance(doc[k], dict) for k in SECTIONS if k in doc):
        return None
    new = {}
    for k in doc:
        was = old[k] if k in SECTIONS else None
        new[k] = doc[k] if was is None else {n: v for n, v in doc[k].items() if not _unchanged(n, v, was)}
    return findings(MANIFEST, new)


class _Sound(typing.NamedTuple):
    """Of each section the entries whose own form is right; None where the section is not there at all."""

    lines: Document
    models: Document
    pools: Document | None
    groups: Document | None
    zones: Document | None
    named: items.Index | None


def _sound(doc: Document, old: Document, every: bool) -> _Sound:
    lines = _sound_entries(LINE, doc.get("lines"), old.get("lines") or {}, every)
    models = _sound_entries(MODEL, doc.get("models"), old.get("models") or {}, every)
    whole = len(models) == len(_section(doc, "models") or ())
    index = items.Index(items.items_of({"models": models})) if whole else None
    return _Sound(
        lines, models, _section(doc, "pools"), _section(doc, "groups"), _section(doc, "zones"), index
    )


def _sound_entries(form: trafaret.Trafaret, entries: object, was: Document, every: bool) -> Document:
    if not isinstance(entries, dict):
        return {}
    return {n: v for n, v in entries.items() if every or _unchanged(n, v, was) or shape(form, v).is_ok()}


def _section(doc: Document, name: str) -> Document | None:
    section = doc.get(name)
    return section if isinstance(section, dict) else None


def _references(doc: Document, m: _Sound, old: Document) -> Findings:
    fs: Findings = []

    def find(place: str, text: str) -> None:
        fs.append({"place": place, "finding": text})

    if m.zones == {}:
        find("zones", "at least one zone is needed")
    was = {}
    if old and all(_same(doc.get(k), old.get(k)) for k in ("models", "pools", "groups")):
        was = old["lines"]
    for k, v in m.lines.items():
        if not _unchanged(k, v, was):
            _line_references(m, k, v, find)
    if not was:
        for k, v in m.models.items():
            _model_references(m, k, v, find)
    return fs


def _line_references(m: _Sound, k: str, v: Document, find: Find) -> None:
    if m.pools is not None and v["pool"] not in m.pools:
        find(f"lines.{k}.pool", f"no pool {v['pool']!r}")
    if m.named is not None:
        _item_references(m.named, k, v, find)
    _tokens(k, v["senders"], find)
    if v["timeout_ms"] > LONGEST_TIMEOUT_MS:
        find(f"lines.{k}.timeout_ms", "over ten minutes")


def _item_references(index: items.Index, k: str, v: Document, find: Find) -> None:
    for n, p in enumerate(v["items"]):
        if not index.match(p):
            find(f"lines.{k}.items.{n}", f"{p!r} names no model or adapter")
    for n, p in enumerate(v.get("prewarm", [])):
        if p not in index.all:
            find(f"lines.{k}.prewarm.{n}", f"{p!r} names no model or adapter")


def _tokens(k: str, senders: dict[str, str], find: Find) -> None:
    """No two clients may have one token."""
    if len(set(senders.values())) == len(senders):
        return
    tokens: dict[str, str] = {}
    for s, h in senders.items():
        if tokens.setdefault(h, s) != s:
            find(f"lines.{k}.senders.{s}", f"same token as sender {tokens[h]!r}")


def _model_references(m: _Sound, k: str, v: Document, find: Find) -> None:
    if m.groups is None:
        return
    g = m.groups.get(v["group"])
    if g is None:
        find(f"models.{k}.group", f"no group {v['group']!r}")
        return
    if not shape(GROUP, g).is_ok():
        return
    if v["size"] > g["room"]:
        find(f"models.{k}.size", f"size {v['size']} is over the room {g['room']} of group {v['group']!r}")
    for a, w in (v.get("adapters") or {}).items():
        if v["size"] + w["size"] > g["room"]:
            find(f"models.{k}.adapters.{a}.size", f"with its model it is over the room {g['room']}")
