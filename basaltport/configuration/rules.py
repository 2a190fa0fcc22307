"""A manifest compiled to rules: for each line a short program that the rostrum's interpreter runs."""

import collections.abc
import dataclasses
import typing

import basaltport.configuration.items as items
import basaltport.identifiers as identifiers

KEEP_MS = 120_000
KEEP_BOUND = 20_000

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class ItemRule:
    """A model or an adapter; `full` is its size with all its adapters."""

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
    """A line of service; `program` holds the steps that the interpreter runs for each request."""

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
    """All that a manifest says, by name."""

    serial: int
    lines: dict[str, LineRule]
    items: dict[str, ItemRule]
    pools: Document
    groups: Document
    zones: list[str]
    loads: int
    longest_load: int = 0
    keep_ms: int = KEEP_MS
    keep_bound: int = KEEP_BOUND


def compile(m: Document | None, serial: int, old: Document | None = None, was: Rules | None = None) -> Rules:
    """Rules of a manifest; lines that stand as in the manifest `old`, whose rules `was` are, keep theirs."""
    if m is None:
        return Rules(serial, {}, {}, {}, {}, [], 0)
    same: dict[str, LineRule] = {}
    if old is not None and was is not None and (old["models"] is m["models"] or old["models"] == m["models"]):
        same = {k: was.lines[k] for k, v in m["lines"].items() if old["lines"].get(k) is v}
    index = None if same and len(same) == len(m["lines"]) else items.Index(items.items_of(m))
    if was is not None and same:
        rules = was.items
    else:
        rules = {i.item: i for k, v in m["models"].items() for i in _items(k, v)}
    return Rules(
        serial,
        {k: same.get(k) or _line(k, v, index) for k, v in m["lines"].items()},
        rules,
        m["pools"],
        m["groups"],
        sorted(m["zones"]),
        m["store"]["loads"],
        _longest(m),
        m.get("keys", {}).get("keep_ms", KEEP_MS),
        m.get("keys", {}).get("bound", KEEP_BOUND),
    )


def _longest(m: Document) -> int:
    """The longest declared load; 0 where some model declares none."""
    ms = [v.get("expected_load_ms", 0) for v in m["models"].values()]
    return max(ms, default=0) if all(ms) else 0


def _items(k: str, v: Document) -> collections.abc.Iterator[ItemRule]:
    c, w = v.get("copies", 1), v.get("idle_window_ms", 0)
    rt, ex = v.get("ready_timeout_ms", 0), v.get("expected_load_ms", 0)
    full = v["size"] + sum(d["size"] for d in (v.get("adapters") or {}).values())
    yield ItemRule(identifiers.Item(k), v["size"], full, v["group"], v.get("kept", False), c, w, rt, ex)
    for a, d in (v.get("adapters") or {}).items():
        yield ItemRule(
            identifiers.Item(f"{k}/{a}"), d["size"], d["size"], v["group"], d.get("kept", False), c, w, rt, ex
        )


def _line(k: str, v: Document, index: items.Index | None) -> LineRule:
    assert index is not None
    named = frozenset(i for p in v["items"] for i in index.match(p))
    program: list[tuple[str, typing.Any]] = [
        ("sender", {h: s for s, h in v["senders"].items()}),
        ("item", named),
        ("deadline", v["patience_ms"]),
        ("claim", None),
        ("bound", v["bound"]),
        ("credit", v["pool"]),
        ("prewarm", v.get("prewarm", [])),
        ("readiness", None),
        ("wait", None),
    ]
    return LineRule(
        k,
        program,
        v["urgency"],
        v["patience_ms"],
        v["bound"],
        v["once_only"],
        v["pool"],
        v["timeout_ms"],
        v.get("ready_timeout_ms", 0),
        v.get("prewarm", []),
        frozenset(v["senders"]),
        named,
    )
