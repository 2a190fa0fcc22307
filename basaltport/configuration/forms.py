"""Schemas of the objects in a configuration: predicates for fields, and findings that name places but never
contain a field's value.

Each field has one predicate. An object whose fields all pass needs no further check; only others are passed
to trafaret, whose findings name each field."""

import collections.abc
import math
import typing

import trafaret

import basaltport.configuration.check as check
import basaltport.configuration.editions as editions
import basaltport.configuration.ranges as ranges

KINDS = ("safe", "unsafe", "stream")
"""The kinds of a route: whether its requests may be repeated, and whether they are answered by a stream."""
MAX_TEXT_LENGTH = 1000
"""The most characters of a text field."""

Document = dict[str, typing.Any]
Finding = dict[str, str]
Findings = list[Finding]
Predicate = collections.abc.Callable[[object], bool]


def is_text(value: object) -> typing.TypeGuard[str]:
    """Whether a value is a string of 1 to `MAX_TEXT_LENGTH` characters."""
    return type(value) is str and 0 < len(value) <= MAX_TEXT_LENGTH


def is_header_text(value: object) -> typing.TypeGuard[str]:
    """Whether a value is a text that an HTTP header can carry unchanged."""
    return is_text(value) and value.isprintable() and value[0] != " " != value[-1]


def is_prefix(value: object) -> bool:
    """Whether a value is a path that begins and ends with a slash."""
    return is_text(value) and value.startswith("/") and value.endswith("/")


def is_kind(value: object) -> bool:
    """Whether a value is one of the kinds of a route."""
    return type(value) is str and value in KINDS


def is_flag(value: object) -> bool:
    """Whether a value is a boolean."""
    return type(value) is bool


def is_number(value: object) -> typing.TypeGuard[float]:
    """Whether a value is a finite number of 0 or more."""
    return (type(value) is int or type(value) is float) and 0 <= value < math.inf


def is_model_name(value: object) -> bool:
    """Whether a value is a valid name of a model: a text without a slash."""
    return is_text(value) and "/" not in value


def is_list(value: object) -> typing.TypeGuard[list[typing.Any]]:
    """Whether a value is a list."""
    return type(value) is list


def is_object(value: object) -> typing.TypeGuard[Document]:
    """Whether a value is a JSON object."""
    return type(value) is dict


FAILURE_MESSAGES: dict[Predicate, str] = {
    is_text: f"not a text of 1 to {MAX_TEXT_LENGTH} characters",
    is_header_text: f"not a text of 1 to {MAX_TEXT_LENGTH} characters that a header can carry",
    is_prefix: "not a path that begins and ends with a slash",
    is_kind: "none of " + ", ".join(KINDS),
    is_flag: "neither true nor false",
    is_number: "not a number of 0 or more",
    editions.is_edition: editions.FINDING,
    is_model_name: "not a text without a slash",
    is_list: "not a list",
    is_object: "not an object",
}


def failure_message(predicate: Predicate, value: object) -> str:
    """Returns the finding about a value that fails a predicate. A number outside its range is shown."""
    if not isinstance(predicate, ranges.NumberRange):
        return FAILURE_MESSAGES[predicate]
    shown = ranges.describe_value(value)
    return f"{shown} is {predicate.describe()}" if shown else predicate.describe()


def _field_check(predicate: Predicate, or_null: bool) -> trafaret.Trafaret:
    def _check_field(value: object) -> object:
        return (
            value
            if predicate(value) or (or_null and value is None)
            else trafaret.DataError(failure_message(predicate, value))
        )

    return trafaret.Call(_check_field)


class Form:
    """A schema of required, optional and nullable fields; unknown fields are ignored."""

    def __init__(
        self, required: dict[str, Predicate], optional: dict[str, Predicate], nullable: tuple[str, ...] = ()
    ) -> None:
        """Create a schema from the predicates of its fields."""
        self.predicates = {**optional, **required}
        self.required = required.keys()
        self.nullable = frozenset(nullable)
        keys = {trafaret.Key(field): _field_check(predicate, False) for field, predicate in required.items()}
        for field, predicate in optional.items():
            keys[trafaret.Key(field, optional=True)] = _field_check(predicate, field in nullable)
        self.schema = trafaret.Dict(keys, allow_extra=["*"])

    def passes(self, document: object) -> bool:
        """Whether an object has all required fields and every field passes its predicate."""
        if type(document) is not dict:
            return False
        predicates = self.predicates
        for field, value in document.items():
            predicate = predicates.get(field)
            if predicate is None or predicate(value):
                continue
            if value is not None or field not in self.nullable:
                return False
        return document.keys() >= self.required

    def findings(self, document: object, place: str) -> Findings:
        """Returns the findings of an object at `place` in the document."""
        if self.passes(document):
            return []
        found = check.findings(self.schema, document)
        return [finding_at(f"{place}.{row['place']}".strip("."), row["finding"]) for row in found]


def finding_at(place: str, finding: str) -> Finding:
    """Returns a finding about a place in the document."""
    return {"place": place, "finding": finding}


def record_name(name: object, seen: dict[str, str], place: str, findings: Findings) -> None:
    """Record the place of a name; a name that is used twice is a finding."""
    if not is_text(name):
        return
    if name in seen:
        findings.append(finding_at(f"{place}.name", f"{name!r} stands at {seen[name]} already"))
        return
    seen[name] = place
