"""JSON read strictly: a name given twice in one object is a finding with its place, and so is NaN."""

import collections.abc
import json
import typing

import result


Pairs = list[tuple[str, typing.Any]]
Finding = dict[str, str]
TOO_LARGE = [{"place": "", "finding": "a number is too large"}]
NOT_TEXT = [{"place": "", "finding": "the body is not text"}]


class _ObjectWithRepeatedNames(dict[str, typing.Any]):
    """An object in which names were given twice."""

    def __init__(self, pairs: Pairs, names: list[str]) -> None:
        super().__init__(pairs)
        self.names = names


def _object(pairs: Pairs) -> dict[str, typing.Any]:
    seen: set[str] = set()
    repeated: list[str] = []
    for name, _ in pairs:
        if name in seen:
            repeated.append(name)
        seen.add(name)
    return _ObjectWithRepeatedNames(pairs, repeated) if repeated else dict(pairs)


def _constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is no JSON")


def _walk(document: object, place: str) -> collections.abc.Iterator[Finding]:
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
        yield from _walk(value, f"{here}{name}")


def loads(text: str) -> result.Result[object, list[Finding]]:
    """Ok(document) or Err(findings)."""
    try:
        document = json.loads(text, object_pairs_hook=_object, parse_constant=_constant)
    except (ValueError, RecursionError) as error:
        return result.Err([{"place": "", "finding": f"not JSON: {error}"}])
    findings = list(_walk(document, ""))
    return result.Err(findings) if findings else result.Ok(document)


def _strict(pairs: Pairs) -> dict[str, typing.Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError
    return document


def _finite(text: str) -> float:
    number = float(text)
    if number - number:
        raise ValueError
    return number


def loads_bytes(raw: bytes) -> tuple[typing.Any, list[Finding]]:
    """(document, findings) of a request's body: as `loads`, and a number that is no finite one is a finding
    too. A body that is sound is read once."""
    try:
        text = raw.decode()
        return json.loads(text, object_pairs_hook=_strict, parse_float=_finite, parse_constant=_finite), []
    except UnicodeDecodeError:
        return None, NOT_TEXT
    except (ValueError, RecursionError):
        got = loads(text)
        return None, got.err_value if isinstance(got, result.Err) else TOO_LARGE
