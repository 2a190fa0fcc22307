"""Translates former names of commands, which still work but print their new name on standard error."""

import sys

NEW_NAMES = {
    "check": "manifest check",
    "apply": "manifest put",
    "patch": "manifest patch",
    "show": "manifest get",
    "plan": "manifest plan",
    "history": "changes list",
    "change": "changes get",
    "watch": "changes watch",
    "status": "cluster status",
    "members": "cluster members",
    "override": "cluster override",
    "replicas": "replicas list",
    "platform": "replicas put",
    "leaving": "replicas leaving",
    "drain": "zones drain",
    "undrain": "zones undrain",
    "placement": "models placement",
    "prewarm": "models prewarm",
    "self": "node status",
    "stop": "node stop",
    "hash": "token hash",
    "fleet": "query-fleet run",
    "standins": "query-fleet stand-ins",
    "paddle": "query-fleet load",
    "drill": "query-fleet drill",
    "rehearse": "simulate queries",
    "rehearse-routes": "simulate routes",
    "replay": "simulate replay",
    "model": "model-check",
    "fleet-status": "fleet status",
    "fleet-placement": "fleet placement",
    "fleet-explain": "fleet explain",
    "fleet-config check": "config check",
    "fleet-config diff": "config diff",
}
"""New command names by former ones."""

NOUNS = {"fleet-config": "config"}
"""New first words of two-word commands by former ones."""


def translate(words: list[str]) -> list[str] | None:
    """Replace a former command name in a command line by the new name, as one word; None if it is not one."""
    name, rest = words[0], words[1:]
    if name in NOUNS:
        verbs = [word for word in rest if f"{name} {word}" in NEW_NAMES][:1]
        name = " ".join([name, *verbs])
        rest = _without(rest, verbs)
    new_name = NEW_NAMES.get(name)
    if new_name is None:
        return None
    print(f"basaltport: `{name}` is now `{new_name}`", file=sys.stderr)
    return [new_name, *rest]


def _without(words: list[str], removed: list[str]) -> list[str]:
    """Return the words without the first occurrence of each one in `removed`."""
    remaining = list(words)
    for word in removed:
        remaining.remove(word)
    return remaining
