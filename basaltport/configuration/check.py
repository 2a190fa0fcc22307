"""Checks of manifests and of the platform's list: all findings together, each with its place."""

import re

import result
import trafaret

import basaltport.configuration.items as items

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}").fullmatch
_HASH = re.compile(r"sha256:[0-9a-f]{64}").fullmatch
NAME = trafaret.Regexp(re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$"))
HASH = trafaret.Regexp(re.compile(r"^sha256:[0-9a-f]{64}$"))


def _plain(v):
    return v if type(v) is int else trafaret.DataError("value is not a whole number")


def whole(gte, lte=None):
    return trafaret.Call(_plain) & trafaret.Int(gte=gte, lte=lte)


_MS = whole(1, 86_400_000)
_COUNT = whole(0, 1_000_000)


def _key(name, default=None, optional=False):
    if default is not None:
        return trafaret.Key(name, default=default)
    return trafaret.Key(name, optional=optional)


_SENDERS = trafaret.Mapping(NAME, HASH)


def _senders(v):
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


def _flat(err, place=""):
    if not isinstance(err, dict):
        return [{"place": place, "finding": str(err)}]
    if set(err) <= {"key", "value"}:
        return [f for v in err.values() for f in _flat(v, place)]
    out = []
    for k, v in err.items():
        out += _flat(v, f"{place}.{k}" if place else str(k))
    return out


def shape(form, doc):
    try:
        return result.Ok(form.check(doc))
    except trafaret.DataError as e:
        return result.Err(_flat(e.as_dict()))


def platform(doc):
    return shape(PLATFORM, doc)


def manifest(doc, old=None):
    """The whole manifest's findings: those of form, and of reference wherever the form allows.
    What stands unchanged in `old`, a manifest without findings, is not looked at again."""
    fs = _form(doc, old) if isinstance(old, dict) and isinstance(doc, dict) else None
    if fs is None:
        got = shape(MANIFEST, doc)
        fs = got.err_value if got.is_err() else []
    if isinstance(doc, dict):
        fs = fs + _references(doc, _sound(doc, old or {}, not fs), old)
    return result.Err(fs) if fs else result.Ok(doc)


def _same(new, old):
    return new is old or new == old


def _form(doc, old):
    """Findings of form, entry by entry where the old one has an equal; None where that is no way."""
    if set(doc) != set(old) or not all(isinstance(doc[k], dict) for k in SECTIONS if k in doc):
        return None
    new = {}
    for k in doc:
        was = old[k] if k in SECTIONS else None
        new[k] = doc[k] if was is None else {n: v for n, v in doc[k].items() if not _same(v, was.get(n))}
    got = shape(MANIFEST, new)
    return got.err_value if got.is_err() else []


def _sound(doc, old, every):
    """Of each section the entries whose own form is right; None where the section is not there at all."""
    out = {}
    for k, form in (("lines", LINE), ("models", MODEL)):
        d, was = doc.get(k), old.get(k) or {}
        out[k] = {}
        if isinstance(d, dict):
            good = lambda n, v: every or _same(v, was.get(n)) or shape(form, v).is_ok()  # noqa: E731,B023
            out[k] = {n: v for n, v in d.items() if good(n, v)}
    for k in ("pools", "groups", "zones"):
        out[k] = doc.get(k) if isinstance(doc.get(k), dict) else None
    whole = len(out["models"]) == len(doc.get("models") or ())
    out["every"] = items.Index(items.items_of(out)) if whole else None
    return out


def _references(doc, m, old):
    fs = []

    def find(place, text):
        fs.append({"place": place, "finding": text})

    if m["zones"] == {}:
        find("zones", "at least one zone is needed")
    was = {}
    if old and all(_same(doc.get(k), old.get(k)) for k in ("models", "pools", "groups")):
        was = old["lines"]
    for k, v in m["lines"].items():
        if not _same(v, was.get(k)):
            _line_references(m, k, v, find)
    if not was:
        for k, v in m["models"].items():
            _model_references(m, k, v, find)
    return fs


def _line_references(m, k, v, find):
    if m["pools"] is not None and v["pool"] not in m["pools"]:
        find(f"lines.{k}.pool", f"no pool {v['pool']!r}")
    if m["every"] is not None:
        for n, p in enumerate(v["items"]):
            if not m["every"].match(p):
                find(f"lines.{k}.items.{n}", f"{p!r} names no model or adapter")
        for n, p in enumerate(v.get("prewarm", [])):
            if p not in m["every"].all:
                find(f"lines.{k}.prewarm.{n}", f"{p!r} names no model or adapter")
    if len(set(v["senders"].values())) < len(v["senders"]):
        tokens = {}
        for s, h in v["senders"].items():
            if tokens.setdefault(h, s) != s:
                find(f"lines.{k}.senders.{s}", f"same token as sender {tokens[h]!r}")
    if v["timeout_ms"] > 600_000:
        find(f"lines.{k}.timeout_ms", "over ten minutes")


def _model_references(m, k, v, find):
    if m["groups"] is None:
        return
    g = m["groups"].get(v["group"])
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
