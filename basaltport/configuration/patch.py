"""Applies RFC 7396 merge patches, and computes the patch between two configurations."""

import typing

Json = typing.Any
Document = dict[str, Json]


def merge(target: object, patch: object) -> Json:
    """Returns a copy of the target with a merge patch applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
            continue
        merged[name] = merge(merged.get(name), value)
    return merged


def diff(old: object, new: object) -> Json:
    """Returns the merge patch that changes one document into another."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    patch: Document = {name: None for name in old if name not in new}
    for name, value in new.items():
        if name not in old:
            patch[name] = value
        elif old[name] != value:
            patch[name] = diff(old[name], value)
    return patch
