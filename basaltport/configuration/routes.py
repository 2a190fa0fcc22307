"""Checks and changes of the routing configuration: all findings together, each with its place.

Every field is told by one test. An item whose fields all pass is plain and costs no more; only one that is
not is given to trafaret, whose findings name each field."""

import collections.abc
import math
import typing

import trafaret

import basaltport.configuration.check as check_

KINDS = ("safe", "unsafe", "stream")
LONGEST_TEXT = 1000
MOST_ADAPTERS = 1_000_000

Document = dict[str, typing.Any]
Finding = dict[str, str]
Findings = list[Finding]
Test = collections.abc.Callable[[object], bool]
Names = collections.abc.Container[str]
Kind = typing.TypeVar("Kind")


def _text(value: object) -> typing.TypeGuard[str]:
    return type(value) is str and 0 < len(value) <= LONGEST_TEXT


def _prefix(value: object) -> bool:
    return _text(value) and value.startswith("/") and value.endswith("/")


def _kind(value: object) -> bool:
    return type(value) is str and value in KINDS


def _flag(value: object) -> bool:
    return type(value) is bool


def _number(value: object) -> typing.TypeGuard[float]:
    return (type(value) is int or type(value) is float) and 0 <= value < math.inf


def _more(value: object) -> bool:
    return _number(value) and value > 0


def _whole(value: object) -> typing.TypeGuard[int]:
    return type(value) is int and value >= 0


def _count(value: object) -> bool:
    return _whole(value) and value <= MOST_ADAPTERS


def _model(value: object) -> bool:
    return _text(value) and "/" not in value


def _list(value: object) -> typing.TypeGuard[list[typing.Any]]:
    return type(value) is list


def _dict(value: object) -> typing.TypeGuard[Document]:
    return type(value) is dict


SAYS: dict[Test, str] = {
    _text: f"not a text of 1 to {LONGEST_TEXT} characters",
    _prefix: "not a path that begins and ends with a slash",
    _kind: "none of " + ", ".join(KINDS),
    _flag: "neither true nor false",
    _number: "not a number of 0 or more",
    _more: "not a number over 0",
    _whole: "not a whole number of 0 or more",
    _count: f"not a whole number of 0 to {MOST_ADAPTERS}",
    _model: "not a text without a slash",
    _list: "not a list",
    _dict: "not an object",
}


def _field_check(test: Test, or_null: bool) -> trafaret.Trafaret:
    def _look(value: object) -> object:
        return value if test(value) or (or_null and value is None) else trafaret.DataError(SAYS[test])

    return trafaret.Call(_look)


class Form:
    """Fields that are needed, that may be left out, and that may be null too; others are not looked at."""

    def __init__(
        self, needed: dict[str, Test], optional: dict[str, Test], nullable: tuple[str, ...] = ()
    ) -> None:
        """Each field with the test that it is to pass."""
        self.tests = {**optional, **needed}
        self.needed = needed.keys()
        self.nullable = frozenset(nullable)
        keys = {trafaret.Key(field): _field_check(test, False) for field, test in needed.items()}
        for field, test in optional.items():
            keys[trafaret.Key(field, optional=True)] = _field_check(test, field in nullable)
        self.form = trafaret.Dict(keys, allow_extra=["*"])

    def passes(self, document: object) -> bool:
        """Whether all fields pass."""
        if type(document) is not dict:
            return False
        tests = self.tests
        for field, value in document.items():
            test = tests.get(field)
            if test is None or test(value):
                continue
            if value is not None or field not in self.nullable:
                return False
        return document.keys() >= self.needed

    def findings(self, document: object, place: str) -> Findings:
        """What is wrong with an object that stands at `place`."""
        if self.passes(document):
            return []
        found = check_.findings(self.form, document)
        return [_at(f"{place}.{row['place']}".strip("."), row["finding"]) for row in found]


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
LIMITS = Form(
    {}, {field: _number for field in ("header_bytes", "body_bytes", "header_wait_ms", "idle_close_ms")}
)
TOP = Form({"edition": _whole, "routes": _list, "services": _list}, {"limits": _dict}, ("limits",))
CHANGE = Form({"edition": _whole}, {"put": _dict, "remove": _dict}, ("put", "remove"))
NAMED = Form({"name": _text}, {})


def _at(place: str, finding: str) -> Finding:
    return {"place": place, "finding": finding}


def _get(document: Document, key: str, kind: type[Kind]) -> Kind:
    value = document.get(key)
    return value if type(value) is kind else kind()


def check(document: object, current: Document | None = None) -> Findings:
    """Findings {"place", "finding"} of a whole configuration, in order; empty when it is valid.
    `current` is the configuration in force, or None: the new edition is higher than its."""
    findings = TOP.findings(document, "")
    if type(document) is not dict:
        return findings
    edition, before = document.get("edition"), (current or {}).get("edition")
    if _whole(edition) and before is not None and edition <= before:
        findings.append(_at("edition", f"{edition} is not higher than the current {before}"))
    known = _services(_get(document, "services", list), findings)
    _routes(_get(document, "routes", list), known if _list(document.get("services")) else None, findings)
    if _dict(document.get("limits")):
        findings += LIMITS.findings(document["limits"], "limits")
    return findings


def _once(name: object, seen: dict[str, str], place: str, findings: Findings) -> None:
    """Notes where a name stands; a second place is a finding."""
    if not _text(name):
        return
    if name in seen:
        findings.append(_at(f"{place}.name", f"{name!r} stands at {seen[name]} already"))
        return
    seen[name] = place


def _services(services: list[object], findings: Findings) -> Names:
    """The names of services."""
    seen: dict[str, str] = {}
    for position, service in enumerate(services):
        place = f"services.{position}"
        findings += SERVICE.findings(service, place)
        if type(service) is not dict:
            continue
        _once(service.get("name"), seen, place, findings)
        if _dict(service.get("engine")):
            _engine(service["engine"], f"{place}.engine", findings)
    return seen


def _engine(engine: Document, place: str, findings: Findings) -> None:
    findings += ENGINE.findings(engine, place)
    seen: dict[str, str] = {}
    for position, model in enumerate(_get(engine, "models", list)):
        findings += MODEL.findings(model, f"{place}.models.{position}")
        if type(model) is dict:
            _once(model.get("name"), seen, f"{place}.models.{position}", findings)


def _routes(routes: list[object], known: Names | None, findings: Findings) -> None:
    names: dict[str, str] = {}
    paths: dict[tuple[str, str], str] = {}
    for position, route in enumerate(routes):
        place = f"routes.{position}"
        findings += ROUTE.findings(route, place)
        if type(route) is not dict:
            continue
        _once(route.get("name"), names, place, findings)
        _targets(route, known, place, findings)
        host, prefix = route.get("host"), route.get("prefix")
        if not _text(host) or not _text(prefix):
            continue
        first = paths.setdefault((host.lower(), prefix), place)
        if first is not place:
            findings.append(_at(f"{place}.prefix", f"host and prefix are those of {first}"))


def _targets(route: Document, known: Names | None, place: str, findings: Findings) -> None:
    service, shares = route.get("service"), route.get("shares")
    if service is None and shares is None:
        findings.append(_at(f"{place}.service", "neither a service nor shares"))
    _known(service, known, f"{place}.service", findings)
    if not _list(shares):
        return
    total, is_sound = 0, True
    for position, share in enumerate(shares):
        found = SHARE.findings(share, f"{place}.shares.{position}")
        findings += found
        if found:
            is_sound = False
            continue
        total += share["weight"]
        _known(share["service"], known, f"{place}.shares.{position}.service", findings)
    if is_sound and total <= 0:
        findings.append(_at(f"{place}.shares", "the weights sum to 0"))


def _known(name: object, known: Names | None, place: str, findings: Findings) -> None:
    if _text(name) and known is not None and name not in known:
        findings.append(_at(place, f"no service {name!r}"))


def check_patch(change: object) -> Findings:
    """Findings of a change's form; what it leads to is checked as a whole configuration."""
    findings = CHANGE.findings(change, "")
    if type(change) is not dict:
        return findings
    for section, items in _get(change, "put", dict).items():
        _put(items, f"put.{section}", findings)
    for section, gone in _get(change, "remove", dict).items():
        _remove(gone, f"remove.{section}", findings)
    return findings


def _put(items: object, place: str, findings: Findings) -> None:
    if not _list(items):
        findings.append(_at(place, SAYS[_list]))
        return
    seen: dict[str, str] = {}
    for position, item in enumerate(items):
        findings += NAMED.findings(item, f"{place}.{position}")
        if type(item) is dict:
            _once(item.get("name"), seen, f"{place}.{position}", findings)


def _remove(names: object, place: str, findings: Findings) -> None:
    if not _list(names):
        findings.append(_at(place, SAYS[_list]))
        return
    wrong = [position for position, name in enumerate(names) if not _text(name)]
    findings += [_at(f"{place}.{position}", SAYS[_text]) for position in wrong]


def patch(current: Document | None, change: Document) -> Document:
    """A new configuration: a put item takes the place of the one of its name, or the last place; a removed
    name goes, unless it is put too. `change` has no findings; `current` (or None) is left as it is."""
    document = {**(current or {}), "edition": change["edition"]}
    put, remove = change.get("put") or {}, change.get("remove") or {}
    for section in {**put, **remove}:
        new = {item["name"]: item for item in put.get(section, ())}
        gone = {name for name in remove.get(section, ()) if name not in new}
        old = [item for item in _get(document, section, list) if _name(item) not in gone]
        kept = [new.pop(_name(item), item) for item in old]
        document[section] = kept + list(new.values())
    return document


def _name(item: object) -> object:
    return item.get("name") if type(item) is dict else None
