"""JSON read strictly: a name given twice in one object is a finding with its place, and so is NaN."""

import collections.abc
import json
import typing

import result


Pairs = list[tuple[str, typing.Any]]
Finding = dict[str, str]


class _Twice(dict[str, typing.Any]):
    """An object in which names were given twice."""

    def __init__(self, pairs: Pairs, names: list[str]) -> None:
        super().__init__(pairs)
        self.names = names


def _object(pairs: Pairs) -> dict[str, typing.Any]:
    seen: set[str] = set()
    twice: list[str] = []
    for k, _ in pairs:
        if k in seen:
            twice.append(k)
        seen.add(k)
    return _Twice(pairs, twice) if twice else dict(pairs)


def _constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is no JSON")


def _walk(doc: object, place: str) -> collections.abc.Iterator[Finding]:
    here = f"{place}." if place else ""
    if isinstance(doc, _Twice):
        for k in doc.names:
            yield {"place": f"{here}{k}", "finding": "this name stands twice"}
    items: collections.abc.Iterable[tuple[object, object]] = ()
    if isinstance(doc, dict):
        items = doc.items()
    elif isinstance(doc, list):
        items = enumerate(doc)
    for name, value in items:
        yield from _walk(value, f"{here}{name}")


def loads(text: str) -> result.Result[object, list[Finding]]:
    """Ok(document) or Err(findings)."""
    try:
        doc = json.loads(text, object_pairs_hook=_object, parse_constant=_constant)
    except (ValueError, RecursionError) as e:
        return result.Err([{"place": "", "finding": f"not JSON: {e}"}])
    fs = list(_walk(doc, ""))
    return result.Err(fs) if fs else result.Ok(doc)
