"""RFC 7396 merge patches, and their inverse: the patch that leads from one manifest to another."""


def merge(target, patch):
    if not isinstance(patch, dict):
        return patch
    out = dict(target) if isinstance(target, dict) else {}
    for k, v in patch.items():
        if v is None:
            out.pop(k, None)
            continue
        out[k] = merge(out.get(k), v)
    return out


def diff(old, new):
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    out = {k: None for k in old if k not in new}
    for k, v in new.items():
        if k not in old:
            out[k] = v
        elif old[k] != v:
            out[k] = diff(old[k], v)
    return out
