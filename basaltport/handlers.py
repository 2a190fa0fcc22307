"""How the method for a message, an event or an effect is found: by the name of its class."""

import collections.abc
import functools
import re
import typing

Handler = collections.abc.Callable[..., typing.Any]

_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


@functools.cache
def method_name(prefix: str, kind: type) -> str:
    """`on_`, `hear_` or `do_` with the name of a class in snake case: `hear_` and CellUpdate give
    `hear_cell_update`."""
    return prefix + _WORD_START.sub("_", kind.__name__).lower()


def find(owner: object, prefix: str, kind: type) -> Handler | None:
    """The method of `owner` for a class, or None; names without underscores between words are found too."""
    handler: Handler | None = getattr(owner, method_name(prefix, kind), None)
    if handler is None:
        handler = getattr(owner, prefix + kind.__name__.lower(), None)
    return handler


def require(owner: object, prefix: str, kind: type) -> Handler:
    """The method of `owner` for a class; AttributeError where there is none."""
    handler = find(owner, prefix, kind)
    if handler is None:
        raise AttributeError(f"{type(owner).__name__} has no {method_name(prefix, kind)}")
    return handler
