"""Loads the settings of a process from a JSON file and flags, and reports all errors at once."""

import re
import typing

import result
import trafaret

import basaltport.configuration.check as check
import basaltport.configuration.read as read

_ADDRESS = trafaret.Regexp(re.compile(r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"))

Settings = dict[str, typing.Any]
Findings = list[dict[str, str]]

SCHEMA = trafaret.Dict(
    {
        trafaret.Key("house"): check.NAME,
        trafaret.Key("name"): check.NAME,
        trafaret.Key("zone"): check.NAME,
        trafaret.Key("addr"): _ADDRESS,
        trafaret.Key("http"): _ADDRESS,
        trafaret.Key("seeds"): trafaret.List(_ADDRESS, min_length=1, max_length=16),
        trafaret.Key("expected_seats"): check.integer(1, 1000),
        trafaret.Key("expected_ledgers", default=3): check.integer(1, 9),
        trafaret.Key("data", optional=True): trafaret.String(),
        trafaret.Key("log", optional=True): trafaret.String(),
        trafaret.Key("operator_token", optional=True): check.HASH,
        trafaret.Key("body_limit", default=1_000_000): check.integer(100, 100_000_000),
        trafaret.Key("manifest_limit", default=48_000_000): check.integer(100, 60_000_000),
    }
)


def load(path: str, overrides: dict[str, str | None], role: str) -> result.Result[Settings, Findings]:
    """Returns the checked settings of a file, in which `overrides` that are not None replace values; or all
    errors."""
    document = _document(path)
    if isinstance(document, result.Err):
        return document
    values = {**document.ok_value, **{key: value for key, value in overrides.items() if value is not None}}
    checked: result.Result[Settings, Findings] = check.validate(SCHEMA, values)
    if isinstance(checked, result.Err):
        return checked
    findings = _contradictions(checked.ok_value, role)
    return result.Err(findings) if findings else checked


def _document(path: str) -> result.Result[Settings, Findings]:
    """Returns the JSON object in a file, or the error."""
    try:
        with open(path) as file:
            parsed: result.Result[object, Findings] = read.loads(file.read())
    except OSError as error:
        return result.Err([{"place": path, "finding": str(error.strerror)}])
    except UnicodeDecodeError:
        return result.Err([{"place": path, "finding": "not text"}])
    if isinstance(parsed, result.Err):
        return parsed
    if not isinstance(parsed.ok_value, dict):
        return result.Err([{"place": path, "finding": "not an object"}])
    return result.Ok(parsed.ok_value)


def _contradictions(settings: Settings, role: str) -> Findings:
    """Returns the errors that involve more than one field."""
    findings = []
    if role == "ledger" and not settings.get("data"):
        findings.append({"place": "data", "finding": "a ledger needs a data folder"})
    if settings["addr"] == settings["http"]:
        findings.append({"place": "http", "finding": "same as addr"})
    if set(settings["seeds"]) == {settings["addr"]}:
        findings.append({"place": "seeds", "finding": "the only seed is this member itself"})
    return findings
