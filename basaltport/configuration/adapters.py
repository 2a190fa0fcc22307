"""Names of adapters: a model with n adapters has a1 to an."""

import re

MAX_ADAPTERS = 1_000_000
"""The most adapters of a model."""

_match_name = re.compile(r"a([1-9][0-9]{0,6})").fullmatch


def is_adapter_of(name: str, count: int) -> bool:
    """Whether a model with `count` adapters has an adapter of this name."""
    found = _match_name(name)
    return found is not None and int(found[1]) <= count
