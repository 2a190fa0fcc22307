"""Validates and patches the routing configuration; reports all findings, each with its place in the
document."""

import collections.abc
import typing

import basaltport.configuration.editions as editions
import basaltport.configuration.forms as forms
import basaltport.configuration.ranges as ranges
import basaltport.configuration.tenants as tenants

Document = forms.Document
Findings = forms.Findings
Names = collections.abc.Container[str]
Kind = typing.TypeVar("Kind")

ROUTE = forms.Form(
    {"name": forms.is_text, "host": forms.is_text, "prefix": forms.is_prefix, "kind": forms.is_kind},
    {
        "deadline_ms": ranges.DEADLINE_MS,
        "target_ms": ranges.DURATION,
        "urgency": ranges.COUNT,
        "service": forms.is_text,
        "shares": forms.is_list,
        "attempts": ranges.COUNT,
        "pinned": forms.is_flag,
        "resumable": forms.is_flag,
        "gap_target_ms": ranges.DURATION,
        "public": forms.is_flag,
    },
    ("target_ms", "service", "shares", "gap_target_ms", "public"),
)
SHARE = forms.Form({"service": forms.is_text, "weight": ranges.WEIGHT}, {})
SERVICE = forms.Form(
    {"name": forms.is_text},
    {
        "health_path": forms.is_text,
        "connections": ranges.COUNT,
        "cold_s": ranges.DURATION,
        "cold_rate_s": ranges.RATE_PER_S,
        "engine": forms.is_object,
    },
    ("health_path", "connections", "cold_s", "cold_rate_s", "engine"),
)
ENGINE = forms.Form(
    {},
    {
        "slots": ranges.COUNT,
        "kv_tokens": ranges.AMOUNT,
        "models": forms.is_list,
        "weights_mb": ranges.AMOUNT,
        "adapter_slots": ranges.COUNT,
        "loads_per_s": ranges.RATE_PER_S,
    },
)
MODEL = forms.Form(
    {"name": forms.is_model_name},
    {
        "weights_mb": ranges.AMOUNT,
        "load_s": ranges.DURATION,
        "adapters": ranges.ADAPTER_COUNT,
        "adapter_mb": ranges.AMOUNT,
    },
)
LIMITS = forms.Form(
    {},
    {field: ranges.AMOUNT for field in ("header_bytes", "body_bytes", "header_wait_ms", "idle_close_ms")},
)
TOP = forms.Form(
    {"routes": forms.is_list, "services": forms.is_list},
    {"limits": forms.is_object, "tenants": forms.is_list},
    ("limits", "tenants"),
)
EDITION = forms.Form({"edition": editions.is_edition}, {})
CHANGE = forms.Form(
    {"edition": editions.is_edition}, {"put": forms.is_object, "remove": forms.is_object}, ("put", "remove")
)
NAMED = forms.Form({"name": forms.is_text}, {})


def _get(document: Document, key: str, kind: type[Kind]) -> Kind:
    value = document.get(key)
    return value if type(value) is kind else kind()


def check(document: object, current: Document | None = None) -> Findings:
    """Returns the findings {"place", "finding"} of a complete configuration; empty if it is valid.

    `current` is the configuration in force, or None; the new edition must be higher than its edition."""
    findings = TOP.findings(document, "")
    if type(document) is dict:
        findings += _edition_findings(document, current) + _section_findings(document)
    return findings


def check_content(document: Document) -> Findings:
    """Returns the findings of all sections of a configuration, whatever its edition."""
    return TOP.findings(document, "") + _section_findings(document)


def _edition_findings(document: Document, current: Document | None) -> Findings:
    edition, current_edition = document.get("edition"), editions.edition_of(current)
    if editions.is_edition(edition) and edition <= current_edition:
        finding = f"{edition} is not higher than the current {current_edition}"
        return [forms.finding_at("edition", finding)]
    return EDITION.findings(document, "")


def _section_findings(document: Document) -> Findings:
    findings: Findings = []
    service_names = _check_services(_get(document, "services", list), findings)
    _check_routes(
        _get(document, "routes", list),
        service_names if forms.is_list(document.get("services")) else None,
        findings,
    )
    if forms.is_object(document.get("limits")):
        findings += LIMITS.findings(document["limits"], "limits")
    findings += tenants.check(_get(document, tenants.SECTION, list))
    return findings


def _check_services(services: list[object], findings: Findings) -> Names:
    """Add the findings of all services, and return the names of the services."""
    seen: dict[str, str] = {}
    for position, service in enumerate(services):
        place = f"services.{position}"
        findings += SERVICE.findings(service, place)
        if type(service) is not dict:
            continue
        forms.record_name(service.get("name"), seen, place, findings)
        if forms.is_object(service.get("engine")):
            _engine_findings(service["engine"], f"{place}.engine", findings)
    return seen


def _engine_findings(engine: Document, place: str, findings: Findings) -> None:
    findings += ENGINE.findings(engine, place)
    seen: dict[str, str] = {}
    for position, model in enumerate(_get(engine, "models", list)):
        findings += MODEL.findings(model, f"{place}.models.{position}")
        if type(model) is dict:
            forms.record_name(model.get("name"), seen, f"{place}.models.{position}", findings)


def _check_routes(routes: list[object], service_names: Names | None, findings: Findings) -> None:
    names: dict[str, str] = {}
    paths: dict[tuple[str, str], str] = {}
    for position, route in enumerate(routes):
        place = f"routes.{position}"
        findings += ROUTE.findings(route, place)
        if type(route) is not dict:
            continue
        forms.record_name(route.get("name"), names, place, findings)
        _check_targets(route, service_names, place, findings)
        host, prefix = route.get("host"), route.get("prefix")
        if not forms.is_text(host) or not forms.is_text(prefix):
            continue
        first = paths.setdefault((host.lower(), prefix), place)
        if first is not place:
            findings.append(forms.finding_at(f"{place}.prefix", f"host and prefix are those of {first}"))


def _check_targets(route: Document, service_names: Names | None, place: str, findings: Findings) -> None:
    service, shares = route.get("service"), route.get("shares")
    if service is None and shares is None:
        findings.append(forms.finding_at(f"{place}.service", "neither a service nor shares"))
    _check_service_exists(service, service_names, f"{place}.service", findings)
    if not forms.is_list(shares):
        return
    total, is_valid = 0, True
    for position, share in enumerate(shares):
        found = SHARE.findings(share, f"{place}.shares.{position}")
        findings += found
        if found:
            is_valid = False
            continue
        total += share["weight"]
        _check_service_exists(share["service"], service_names, f"{place}.shares.{position}.service", findings)
    if is_valid and total <= 0:
        findings.append(forms.finding_at(f"{place}.shares", "the weights sum to 0"))


def _check_service_exists(name: object, service_names: Names | None, place: str, findings: Findings) -> None:
    if forms.is_text(name) and service_names is not None and name not in service_names:
        findings.append(forms.finding_at(place, f"no service {name!r}"))


def check_patch(change: object) -> Findings:
    """Returns the schema findings of a change; the resulting configuration is checked separately by
    `check`."""
    findings = CHANGE.findings(change, "")
    if type(change) is not dict:
        return findings
    findings += check_put_sections(_get(change, "put", dict))
    for section, removed in _get(change, "remove", dict).items():
        _remove_findings(removed, f"remove.{section}", findings)
    return findings


def check_put_sections(sections: Document) -> Findings:
    """Returns the schema findings of the items, by section, that a change puts."""
    findings: Findings = []
    for section, items in sections.items():
        _put_findings(items, f"put.{section}", findings)
    return findings


def _put_findings(items: object, place: str, findings: Findings) -> None:
    if not forms.is_list(items):
        findings.append(forms.finding_at(place, forms.FAILURE_MESSAGES[forms.is_list]))
        return
    seen: dict[str, str] = {}
    for position, item in enumerate(items):
        findings += NAMED.findings(item, f"{place}.{position}")
        if type(item) is dict:
            forms.record_name(item.get("name"), seen, f"{place}.{position}", findings)


def _remove_findings(names: object, place: str, findings: Findings) -> None:
    if not forms.is_list(names):
        findings.append(forms.finding_at(place, forms.FAILURE_MESSAGES[forms.is_list]))
        return
    invalid = [position for position, name in enumerate(names) if not forms.is_text(name)]
    findings += [
        forms.finding_at(f"{place}.{position}", forms.FAILURE_MESSAGES[forms.is_text]) for position in invalid
    ]


def patch(current: Document | None, change: Document) -> Document:
    """Returns the configuration that a change without findings makes of `current`, which isn't modified.

    A put item replaces the item of its name or is appended; a removed name is deleted unless it is put too.
    A section that is missing or null is created only for an item, since an empty section has another
    meaning."""
    document = {**(current or {}), "edition": change["edition"]}
    put, remove = change.get("put") or {}, change.get("remove") or {}
    for section in {**put, **remove}:
        new = {item["name"]: item for item in put.get(section, ())}
        removed = {name for name in remove.get(section, ()) if name not in new}
        old = [item for item in _get(document, section, list) if _name(item) not in removed]
        kept = [new.pop(_name(item), item) for item in old]
        if document.get(section) is not None or new:
            document[section] = kept + list(new.values())
    return document


def _name(item: object) -> object:
    return item.get("name") if type(item) is dict else None
