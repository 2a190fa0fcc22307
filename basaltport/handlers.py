"""Looks up the method that handles a message, an event or an effect, by the name of its class."""

import collections.abc
import functools
import re
import typing

Handler = collections.abc.Callable[..., typing.Any]

_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


@functools.cache
def method_name(prefix: str, kind: type) -> str:
    """Returns the name of the handler method: the prefix and the class name in snake case.

    For example, `hear_` and CellUpdate give `hear_cell_update`.
    """
    return prefix + _WORD_START.sub("_", kind.__name__).lower()


def find(owner: object, prefix: str, kind: type) -> Handler | None:
    """Returns the handler method of `owner` for a class, or None; its name may lack the underscores between
    words."""
    handler: Handler | None = getattr(owner, method_name(prefix, kind), None)
    if handler is None:
        handler = getattr(owner, prefix + kind.__name__.lower(), None)
    return handler


def require(owner: object, prefix: str, kind: type) -> Handler:
    """Returns the handler method of `owner` for a class; raises AttributeError if there is none."""
    handler = find(owner, prefix, kind)
    if handler is None:
        raise AttributeError(f"{type(owner).__name__} has no {method_name(prefix, kind)}")
    return handler
