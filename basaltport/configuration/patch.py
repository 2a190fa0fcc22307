"""RFC 7396 merge patches, and their inverse: the patch that leads from one manifest to another."""

import typing

Json = typing.Any
Document = dict[str, Json]


def merge(target: object, patch: object) -> Json:
    """The target with a merge patch applied; nothing is changed in place."""
    if not isinstance(patch, dict):
        return patch
    out = dict(target) if isinstance(target, dict) else {}
    for k, v in patch.items():
        if v is None:
            out.pop(k, None)
            continue
        out[k] = merge(out.get(k), v)
    return out


def diff(old: object, new: object) -> Json:
    """The patch that leads from one document to another."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    out: Document = {k: None for k in old if k not in new}
    for k, v in new.items():
        if k not in old:
            out[k] = v
        elif old[k] != v:
            out[k] = diff(old[k], v)
    return out
