"""Compiles a manifest to rules: each line gets a short program of admission steps, which the query proxy
runs for each request."""

import collections.abc
import dataclasses
import typing

import basaltport.configuration.items as items
import basaltport.identifiers as identifiers

DEFAULT_KEEP_MS = 120_000
"""How long the outcome of a request with an idempotency key is kept by default, in ms."""
DEFAULT_KEEP_BOUND = 20_000
"""The most idempotency keys that are kept by default."""

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class ItemRule:
    """The rule of a model or an adapter; `full` is the size of a model with all its adapters."""

    item: identifiers.Item
    size: int
    full: int
    group: str
    kept: bool
    copies: int
    idle_window: int
    ready_timeout: int
    expected: int


@dataclasses.dataclass(slots=True)
class LineRule:
    """The rule of a line, which is a queue of requests; `program` holds the admission steps of each
    request."""

    name: str
    program: list[tuple[str, typing.Any]]
    urgency: int
    patience: int
    bound: int
    once_only: bool
    pool: str
    timeout: int
    ready_timeout: int
    prewarm: list[str]
    senders: frozenset[str]
    items: frozenset[str]


@dataclasses.dataclass(slots=True)
class Rules:
    """The compiled rules of a manifest, by name."""

    serial: int
    lines: dict[str, LineRule]
    items: dict[str, ItemRule]
    pools: Document
    groups: Document
    zones: list[str]
    loads: int
    longest_load: int = 0
    keep_ms: int = DEFAULT_KEEP_MS
    keep_bound: int = DEFAULT_KEEP_BOUND


def compile(
    configuration: Document | None, serial: int, old: Document | None = None, old_rules: Rules | None = None
) -> Rules:
    """Compile a manifest; lines that are unchanged from the manifest `old` reuse the rules `old_rules`."""
    if configuration is None:
        return Rules(serial, {}, {}, {}, {}, [], 0)
    unchanged_lines: dict[str, LineRule] = {}
    if (
        old is not None
        and old_rules is not None
        and (old["models"] is configuration["models"] or old["models"] == configuration["models"])
    ):
        unchanged_lines = {
            name: old_rules.lines[name]
            for name, line in configuration["lines"].items()
            if old["lines"].get(name) is line
        }
    index = (
        None
        if unchanged_lines and len(unchanged_lines) == len(configuration["lines"])
        else items.Index(items.items_of(configuration))
    )
    if old_rules is not None and unchanged_lines:
        item_rules = old_rules.items
    else:
        item_rules = {
            rule.item: rule
            for name, model in configuration["models"].items()
            for rule in _item_rules(name, model)
        }
    return Rules(
        serial,
        {
            name: unchanged_lines.get(name) or _line_rule(name, line, index)
            for name, line in configuration["lines"].items()
        },
        item_rules,
        configuration["pools"],
        configuration["groups"],
        sorted(configuration["zones"]),
        configuration["store"]["loads"],
        _longest_load(configuration),
        configuration.get("keys", {}).get("keep_ms", DEFAULT_KEEP_MS),
        configuration.get("keys", {}).get("bound", DEFAULT_KEEP_BOUND),
    )


def _longest_load(configuration: Document) -> int:
    """Returns the longest declared load time in ms; 0 if any model declares none."""
    loads_ms = [model.get("expected_load_ms", 0) for model in configuration["models"].values()]
    return max(loads_ms, default=0) if all(loads_ms) else 0


def _item_rules(name: str, model: Document) -> collections.abc.Iterator[ItemRule]:
    """Yield the rules of a model and of its adapters."""
    adapters = model.get("adapters") or {}
    full = model["size"] + sum(adapter["size"] for adapter in adapters.values())
    yield _item_rule(name, model, model, full)
    for adapter_name, adapter in adapters.items():
        yield _item_rule(f"{name}/{adapter_name}", model, adapter, adapter["size"])


def _item_rule(name: str, model: Document, entry: Document, full: int) -> ItemRule:
    """Returns the rule of a model or of one of its adapters; `entry` is its own part of the configuration."""
    return ItemRule(
        identifiers.Item(name),
        entry["size"],
        full,
        model["group"],
        entry.get("kept", False),
        model.get("copies", 1),
        model.get("idle_window_ms", 0),
        model.get("ready_timeout_ms", 0),
        model.get("expected_load_ms", 0),
    )


def _line_rule(name: str, line: Document, index: items.Index | None) -> LineRule:
    assert index is not None
    matched_items = frozenset(item for pattern in line["items"] for item in index.match(pattern))
    program: list[tuple[str, typing.Any]] = [
        ("sender", {token: client for client, token in line["senders"].items()}),
        ("item", matched_items),
        ("deadline", line["patience_ms"]),
        ("claim", None),
        ("bound", line["bound"]),
        ("credit", line["pool"]),
        ("prewarm", line.get("prewarm", [])),
        ("readiness", None),
        ("wait", None),
    ]
    return LineRule(
        name,
        program,
        line["urgency"],
        line["patience_ms"],
        line["bound"],
        line["once_only"],
        line["pool"],
        line["timeout_ms"],
        line.get("ready_timeout_ms", 0),
        line.get("prewarm", []),
        frozenset(line["senders"]),
        matched_items,
    )
