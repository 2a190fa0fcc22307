"""A strict JSON reader: a name repeated in one object is a finding with its place, and so is NaN."""

import collections.abc
import json
import typing

import result


Pairs = list[tuple[str, typing.Any]]
Finding = dict[str, str]
TOO_LARGE = [{"place": "", "finding": "a number is too large"}]
NOT_TEXT = [{"place": "", "finding": "the body is not text"}]


class _ObjectWithRepeatedNames(dict[str, typing.Any]):
    """A JSON object with repeated names, which `names` lists."""

    def __init__(self, pairs: Pairs, names: list[str]) -> None:
        super().__init__(pairs)
        self.names = names


def _build_object(pairs: Pairs) -> dict[str, typing.Any]:
    seen: set[str] = set()
    repeated: list[str] = []
    for name, _ in pairs:
        if name in seen:
            repeated.append(name)
        seen.add(name)
    return _ObjectWithRepeatedNames(pairs, repeated) if repeated else dict(pairs)


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is no JSON")


def _repeated_name_findings(document: object, place: str) -> collections.abc.Iterator[Finding]:
    here = f"{place}." if place else ""
    if isinstance(document, _ObjectWithRepeatedNames):
        for repeated in document.names:
            yield {"place": f"{here}{repeated}", "finding": "this name stands twice"}
    items: collections.abc.Iterable[tuple[object, object]] = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for name, value in items:
        yield from _repeated_name_findings(value, f"{here}{name}")


def loads(text: str) -> result.Result[object, list[Finding]]:
    """Returns Ok with the parsed document, or Err with the findings."""
    try:
        document = json.loads(text, object_pairs_hook=_build_object, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return result.Err([{"place": "", "finding": f"not JSON: {error}"}])
    findings = list(_repeated_name_findings(document, ""))
    return result.Err(findings) if findings else result.Ok(document)


def _build_object_strictly(pairs: Pairs) -> dict[str, typing.Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError
    return document


def _parse_finite(text: str) -> float:
    number = float(text)
    if number - number:
        raise ValueError
    return number


def loads_bytes(raw: bytes) -> tuple[typing.Any, list[Finding]]:
    """Returns the document of a request's body and its findings: those of `loads`, and one for a number that
    isn't finite. A valid body is parsed once."""
    try:
        text = raw.decode()
        return json.loads(
            text,
            object_pairs_hook=_build_object_strictly,
            parse_float=_parse_finite,
            parse_constant=_parse_finite,
        ), []
    except UnicodeDecodeError:
        return None, NOT_TEXT
    except (ValueError, RecursionError):
        parsed = loads(text)
        return None, parsed.err_value if isinstance(parsed, result.Err) else TOO_LARGE
