"""Validates the section `tenants`: who may send requests, with which keys, urgency and rate limit.

A finding names a tenant or a place, never a key, since findings are logged and returned to the sender of the
document."""

import typing

import basaltport.configuration.forms as forms
import basaltport.configuration.ranges as ranges

SECTION = "tenants"
KEYS = "keys"
PUBLIC_FIELDS = frozenset({"urgency", "rate_per_s", "burst"})
"""The fields of a tenant that may be shown to users who may not read the configuration itself."""
TENANT = forms.Form(
    {"name": forms.is_header_text, KEYS: forms.is_list},
    {"urgency": ranges.COUNT, "rate_per_s": ranges.REQUEST_RATE_PER_S, "burst": ranges.REQUESTS},
    ("urgency", "rate_per_s", "burst"),
)


class KeyOwner(typing.NamedTuple):
    """The first tenant with a key: its position in the section, and its name as given in the document."""

    position: int
    name: object


def check(tenants: list[object]) -> forms.Findings:
    """Returns the findings of the section, in order. No key may be used by two tenants."""
    findings: forms.Findings = []
    names: dict[str, str] = {}
    key_owners: dict[str, KeyOwner] = {}
    for position, tenant in enumerate(tenants):
        place = f"{SECTION}.{position}"
        findings += TENANT.findings(tenant, place)
        if type(tenant) is not dict:
            continue
        name, keys = tenant.get("name"), tenant.get(KEYS)
        forms.record_name(name, names, place, findings)
        if forms.is_list(keys):
            _check_keys(keys, KeyOwner(position, name), key_owners, findings)
    return findings


def _check_keys(
    keys: list[object], owner: KeyOwner, key_owners: dict[str, KeyOwner], findings: forms.Findings
) -> None:
    """Record the keys of a tenant; an invalid key and a key of another tenant are findings."""
    for position, key in enumerate(keys):
        if not forms.is_header_text(key):
            finding = forms.FAILURE_MESSAGES[forms.is_header_text]
        elif key_owners.setdefault(key, owner).position != owner.position:
            finding = _shared_key_finding(key_owners[key])
        else:
            continue
        findings.append(forms.finding_at(f"{SECTION}.{owner.position}.{KEYS}.{position}", finding))


def _shared_key_finding(first: KeyOwner) -> str:
    if forms.is_text(first.name):
        return f"a key of tenant {first.name!r} too"
    return "a key of another tenant too"
