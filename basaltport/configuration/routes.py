"""Checks and changes of the routing configuration: all findings together, each with its place.

Every field is told by one test. An item whose fields all pass is plain and costs no more; only one that is
not is given to trafaret, whose findings name each field."""

import collections.abc
import math
import typing

import trafaret

import basaltport.configuration.check as check_

KINDS = ("safe", "unsafe", "stream")
LONGEST = 1000
MOST = 1_000_000

Document = dict[str, typing.Any]
Finding = dict[str, str]
Findings = list[Finding]
Test = collections.abc.Callable[[object], bool]
Names = collections.abc.Container[str]
T = typing.TypeVar("T")


def _text(v: object) -> typing.TypeGuard[str]:
    return type(v) is str and 0 < len(v) <= LONGEST


def _prefix(v: object) -> bool:
    return _text(v) and v.startswith("/") and v.endswith("/")


def _kind(v: object) -> bool:
    return type(v) is str and v in KINDS


def _flag(v: object) -> bool:
    return type(v) is bool


def _number(v: object) -> typing.TypeGuard[float]:
    return (type(v) is int or type(v) is float) and 0 <= v < math.inf


def _more(v: object) -> bool:
    return _number(v) and v > 0


def _whole(v: object) -> typing.TypeGuard[int]:
    return type(v) is int and v >= 0


def _count(v: object) -> bool:
    return _whole(v) and v <= MOST


def _model(v: object) -> bool:
    return _text(v) and "/" not in v


def _list(v: object) -> typing.TypeGuard[list[typing.Any]]:
    return type(v) is list


def _dict(v: object) -> typing.TypeGuard[Document]:
    return type(v) is dict


SAYS: dict[Test, str] = {
    _text: f"not a text of 1 to {LONGEST} characters",
    _prefix: "not a path that begins and ends with a slash",
    _kind: "none of " + ", ".join(KINDS),
    _flag: "neither true nor false",
    _number: "not a number of 0 or more",
    _more: "not a number over 0",
    _whole: "not a whole number of 0 or more",
    _count: f"not a whole number of 0 to {MOST}",
    _model: "not a text without a slash",
    _list: "not a list",
    _dict: "not an object",
}


def _told(test: Test, or_null: bool) -> trafaret.Trafaret:
    def look(v: object) -> object:
        return v if test(v) or (or_null and v is None) else trafaret.DataError(SAYS[test])

    return trafaret.Call(look)


class Form:
    """Fields that are needed, that may be left out, and that may be null too; others are not looked at."""

    def __init__(
        self, needed: dict[str, Test], optional: dict[str, Test], nullable: tuple[str, ...] = ()
    ) -> None:
        """Each field with the test that it is to pass."""
        self.tests = {**optional, **needed}
        self.needed = needed.keys()
        self.nullable = frozenset(nullable)
        keys = {trafaret.Key(k): _told(t, False) for k, t in needed.items()}
        keys |= {trafaret.Key(k, optional=True): _told(t, k in nullable) for k, t in optional.items()}
        self.form = trafaret.Dict(keys, allow_extra=["*"])

    def plain(self, v: object) -> bool:
        """Whether all fields pass."""
        if type(v) is not dict:
            return False
        tests = self.tests
        for k, x in v.items():
            t = tests.get(k)
            if t is not None and not t(x) and (x is not None or k not in self.nullable):
                return False
        return v.keys() >= self.needed

    def findings(self, v: object, place: str) -> Findings:
        """What is wrong with an object that stands at `place`."""
        if self.plain(v):
            return []
        found = check_.findings(self.form, v)
        return [_at(f"{place}.{f['place']}".strip("."), f["finding"]) for f in found]


ROUTE = Form(
    {"name": _text, "host": _text, "prefix": _prefix, "kind": _kind},
    {
        "deadline_ms": _more,
        "target_ms": _number,
        "urgency": _whole,
        "service": _text,
        "shares": _list,
        "attempts": _whole,
        "pinned": _flag,
        "resumable": _flag,
        "gap_target_ms": _number,
    },
    ("target_ms", "service", "shares", "gap_target_ms"),
)
SHARE = Form({"service": _text, "weight": _number}, {})
SERVICE = Form(
    {"name": _text},
    {"health_path": _text, "connections": _whole, "cold_s": _number, "cold_rate_s": _number, "engine": _dict},
    ("health_path", "connections", "cold_s", "cold_rate_s", "engine"),
)
ENGINE = Form(
    {},
    {
        "slots": _whole,
        "kv_tokens": _number,
        "models": _list,
        "weights_mb": _number,
        "adapter_slots": _whole,
        "loads_per_s": _number,
    },
)
MODEL = Form(
    {"name": _model}, {"weights_mb": _number, "load_s": _number, "adapters": _count, "adapter_mb": _number}
)
LIMITS = Form({}, {k: _number for k in ("header_bytes", "body_bytes", "header_wait_ms", "idle_close_ms")})
TOP = Form({"edition": _whole, "routes": _list, "services": _list}, {"limits": _dict}, ("limits",))
CHANGE = Form({"edition": _whole}, {"put": _dict, "remove": _dict}, ("put", "remove"))
NAMED = Form({"name": _text}, {})


def _at(place: str, finding: str) -> Finding:
    return {"place": place, "finding": finding}


def _get(doc: Document, key: str, kind: type[T]) -> T:
    v = doc.get(key)
    return v if type(v) is kind else kind()


def check(doc: object, current: Document | None = None) -> Findings:
    """Findings {"place", "finding"} of a whole configuration, in order; empty when it is valid.
    `current` is the configuration in force, or None: the new edition is higher than its."""
    fs = TOP.findings(doc, "")
    if type(doc) is not dict:
        return fs
    e, was = doc.get("edition"), (current or {}).get("edition")
    if _whole(e) and was is not None and e <= was:
        fs.append(_at("edition", f"{e} is not higher than the current {was}"))
    known = _services(_get(doc, "services", list), fs)
    _routes(_get(doc, "routes", list), known if _list(doc.get("services")) else None, fs)
    if _dict(doc.get("limits")):
        fs += LIMITS.findings(doc["limits"], "limits")
    return fs


def _once(name: object, seen: dict[str, str], place: str, fs: Findings) -> None:
    """Notes where a name stands; a second place is a finding."""
    if not _text(name):
        return
    if name in seen:
        fs.append(_at(f"{place}.name", f"{name!r} stands at {seen[name]} already"))
        return
    seen[name] = place


def _services(services: list[object], fs: Findings) -> Names:
    """The names of services."""
    seen: dict[str, str] = {}
    for n, s in enumerate(services):
        place = f"services.{n}"
        fs += SERVICE.findings(s, place)
        if type(s) is not dict:
            continue
        _once(s.get("name"), seen, place, fs)
        if _dict(s.get("engine")):
            _engine(s["engine"], f"{place}.engine", fs)
    return seen


def _engine(engine: Document, place: str, fs: Findings) -> None:
    fs += ENGINE.findings(engine, place)
    seen: dict[str, str] = {}
    for n, m in enumerate(_get(engine, "models", list)):
        fs += MODEL.findings(m, f"{place}.models.{n}")
        if type(m) is dict:
            _once(m.get("name"), seen, f"{place}.models.{n}", fs)


def _routes(routes: list[object], known: Names | None, fs: Findings) -> None:
    names: dict[str, str] = {}
    paths: dict[tuple[str, str], str] = {}
    for n, r in enumerate(routes):
        place = f"routes.{n}"
        fs += ROUTE.findings(r, place)
        if type(r) is not dict:
            continue
        _once(r.get("name"), names, place, fs)
        _targets(r, known, place, fs)
        host, prefix = r.get("host"), r.get("prefix")
        if not _text(host) or not _text(prefix):
            continue
        first = paths.setdefault((host.lower(), prefix), place)
        if first is not place:
            fs.append(_at(f"{place}.prefix", f"host and prefix are those of {first}"))


def _targets(r: Document, known: Names | None, place: str, fs: Findings) -> None:
    service, shares = r.get("service"), r.get("shares")
    if service is None and shares is None:
        fs.append(_at(f"{place}.service", "neither a service nor shares"))
    _known(service, known, f"{place}.service", fs)
    if not _list(shares):
        return
    total, sound = 0, True
    for n, s in enumerate(shares):
        got = SHARE.findings(s, f"{place}.shares.{n}")
        fs += got
        if got:
            sound = False
            continue
        total += s["weight"]
        _known(s["service"], known, f"{place}.shares.{n}.service", fs)
    if sound and total <= 0:
        fs.append(_at(f"{place}.shares", "the weights sum to 0"))


def _known(name: object, known: Names | None, place: str, fs: Findings) -> None:
    if _text(name) and known is not None and name not in known:
        fs.append(_at(place, f"no service {name!r}"))


def check_patch(change: object) -> Findings:
    """Findings of a change's form; what it leads to is checked as a whole configuration."""
    fs = CHANGE.findings(change, "")
    if type(change) is not dict:
        return fs
    for section, items in _get(change, "put", dict).items():
        _put(items, f"put.{section}", fs)
    for section, gone in _get(change, "remove", dict).items():
        _remove(gone, f"remove.{section}", fs)
    return fs


def _put(items: object, place: str, fs: Findings) -> None:
    if not _list(items):
        fs.append(_at(place, SAYS[_list]))
        return
    seen: dict[str, str] = {}
    for n, v in enumerate(items):
        fs += NAMED.findings(v, f"{place}.{n}")
        if type(v) is dict:
            _once(v.get("name"), seen, f"{place}.{n}", fs)


def _remove(names: object, place: str, fs: Findings) -> None:
    if not _list(names):
        fs.append(_at(place, SAYS[_list]))
        return
    fs += [_at(f"{place}.{n}", SAYS[_text]) for n, v in enumerate(names) if not _text(v)]


def patch(current: Document | None, change: Document) -> Document:
    """A new configuration: a put item takes the place of the one of its name, or the last place; a removed
    name goes, unless it is put too. `change` has no findings; `current` (or None) is left as it is."""
    doc = {**(current or {}), "edition": change["edition"]}
    put, remove = change.get("put") or {}, change.get("remove") or {}
    for section in {**put, **remove}:
        new = {v["name"]: v for v in put.get(section, ())}
        gone = {name for name in remove.get(section, ()) if name not in new}
        old = [v for v in _get(doc, section, list) if _name(v) not in gone]
        kept = [new.pop(_name(v), v) for v in old]
        doc[section] = kept + list(new.values())
    return doc


def _name(item: object) -> object:
    return item.get("name") if type(item) is dict else None
