"""The routing configuration compiled: routes by host and longest prefix, each with the program that a request
of it runs through."""

import bisect
import collections.abc
import itertools
import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.retry_decision as retry_decision


Document = collections.abc.Mapping[str, typing.Any]
MS = 1000


class Route:
    """A route as its requests need it; times in ms. `shares`: names of services and sums of their weights."""

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "deadline",
        "target",
        "urgency",
        "shares",
        "attempts",
        "pinned",
        "resumable",
        "repeats",
        "gap",
        "program",
    )

    def __init__(self, r: Document) -> None:
        """`r`: as the configuration has it."""
        self.name = r["name"]
        self.host = r["host"]
        self.prefix = r["prefix"]
        self.kind = r.get("kind", "unsafe")
        self.deadline = identifiers.Millis(r.get("deadline_ms", 60_000))
        self.target = identifiers.Millis(r.get("target_ms") or self.deadline)
        self.urgency = int(r.get("urgency", 0))
        self.shares = _shares(r)
        self.attempts = max(1, int(r.get("attempts", 1)))
        self.pinned = bool(r.get("pinned"))
        self.resumable = self.kind == "stream" and bool(r.get("resumable"))
        self.repeats = self._repeats()
        self.gap = identifiers.Millis(r.get("gap_target_ms") or 0)
        self.program = ("deadline", "share", "item", "time", "queue") if self.pinned else PLAIN

    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeats is not retry_decision.Repeats.NEVER

    def _repeats(self) -> retry_decision.Repeats:
        if self.resumable:
            return retry_decision.Repeats.RESUMED
        return retry_decision.Repeats.ALWAYS if self.kind == "safe" else retry_decision.Repeats.NEVER

    def service(self, draw: float) -> str:
        """The service for a draw in [0, 1), by weight."""
        names, sums = self.shares
        return names[bisect.bisect(sums, draw * sums[-1])]


PLAIN = ("deadline", "share", "queue")


def _shares(r: Document) -> tuple[list[str], list[int]]:
    if "shares" not in r or not r["shares"]:
        return [r["service"]], [1]
    some = [share for share in r["shares"] if share["weight"] > 0]
    sums = itertools.accumulate(int(share["weight"]) for share in some)
    return [share["service"] for share in some], list(sums)


class Service:
    """`items`: expected load in ms by model; None where the service has no engine."""

    __slots__ = ("name", "connections", "cold_rate", "slots", "items", "adapters")

    def __init__(self, s: Document) -> None:
        """`s`: as the configuration has it."""
        self.name = s["name"]
        self.connections = int(s.get("connections") or 0)
        self.cold_rate = float(s.get("cold_rate_s") or 0)
        engine = s.get("engine")
        models = engine.get("models", ()) if engine else ()
        self.slots = int(engine.get("slots") or 0) if engine else 0
        loads_ms = {m["name"]: MS * float(m.get("load_s") or 0) for m in models}
        self.items: dict[str, float] | None = loads_ms if engine else None
        self.adapters: dict[str, int] = {m["name"]: int(m.get("adapters") or 0) for m in models}

    def knows(self, item: str) -> bool:
        """Whether the configuration has this model and, where one is named, this adapter of it."""
        if self.items is None:
            return True
        model, _, adapter = item.partition("/")
        if model not in self.items:
            return False
        if not adapter:
            return True
        number = adapter[1:]
        return adapter[0] == "a" and number.isdigit() and 1 <= int(number) <= self.adapters[model]


class Table:
    """The configuration that is in force here; `empty` where there is none yet."""

    def __init__(self, doc: Document | None) -> None:
        """`doc`: the configuration, or None."""
        doc = doc or {}
        self.empty = not doc
        self.edition = doc.get("edition", 0)
        self.limits: dict[str, int] = doc.get("limits") or {}
        self.services: dict[str, Service] = {s["name"]: Service(s) for s in doc.get("services", ())}
        self.hosts: dict[str, list[Route]] = {}
        for r in doc.get("routes", ()):
            self.hosts.setdefault(r["host"].lower(), []).append(Route(r))
        for rs in self.hosts.values():
            rs.sort(key=lambda r: -len(r.prefix))

    def match(self, host: str, path: str) -> Route | None:
        """The route of a host whose prefix begins the path and is longest, or None."""
        host = host.lower()
        routes = self.hosts.get(host) or self.hosts.get(host.rpartition(":")[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None
