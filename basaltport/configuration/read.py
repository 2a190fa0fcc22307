"""JSON read strictly: a name given twice in one object is a finding with its place, and so is NaN."""

import json

import result


class _Twice(dict):
    """An object in which names were given twice."""

    def __init__(self, pairs, names):
        super().__init__(pairs)
        self.names = names


def _object(pairs):
    seen, twice = set(), []
    for k, _ in pairs:
        if k in seen:
            twice.append(k)
        seen.add(k)
    return _Twice(pairs, twice) if twice else dict(pairs)


def _constant(name):
    raise ValueError(f"{name} is no JSON")


def _walk(doc, place):
    here = f"{place}." if place else ""
    if isinstance(doc, _Twice):
        for k in doc.names:
            yield {"place": f"{here}{k}", "finding": "this name stands twice"}
    items = doc.items() if isinstance(doc, dict) else enumerate(doc) if isinstance(doc, list) else ()
    for k, v in items:
        yield from _walk(v, f"{here}{k}")


def loads(text):
    """Ok(document) or Err(findings)."""
    try:
        doc = json.loads(text, object_pairs_hook=_object, parse_constant=_constant)
    except (ValueError, RecursionError) as e:
        return result.Err([{"place": "", "finding": f"not JSON: {e}"}])
    fs = list(_walk(doc, ""))
    return result.Err(fs) if fs else result.Ok(doc)
