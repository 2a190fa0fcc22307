"""The routing configuration compiled: routes by host and longest prefix, each with the program that a request
of it runs through."""

import bisect
import itertools

import basaltport.kinds as kinds
import basaltport.relay.decision as decision


class Route:
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

    def __init__(self, r):
        self.name = r["name"]
        self.host = r["host"]
        self.prefix = r["prefix"]
        self.kind = r.get("kind", "unsafe")
        self.deadline = kinds.Millis(r.get("deadline_ms", 60_000))
        self.target = kinds.Millis(r.get("target_ms") or self.deadline)
        self.urgency = int(r.get("urgency", 0))
        self.shares = _shares(r)
        self.attempts = max(1, int(r.get("attempts", 1)))
        self.pinned = bool(r.get("pinned"))
        self.resumable = self.kind == "stream" and bool(r.get("resumable"))
        self.repeats = self._repeats()
        self.gap = kinds.Millis(r.get("gap_target_ms") or 0)
        self.program = ("deadline", "share", "item", "time", "queue") if self.pinned else PLAIN

    def repeatable(self):
        """Whether a request may run more than once."""
        return self.repeats is not decision.Repeats.NEVER

    def _repeats(self):
        if self.resumable:
            return decision.Repeats.RESUMED
        return decision.Repeats.ALWAYS if self.kind == "safe" else decision.Repeats.NEVER

    def service(self, draw):
        """The service for a draw in [0, 1), by weight."""
        names, sums = self.shares
        return names[bisect.bisect(sums, draw * sums[-1])]


PLAIN = ("deadline", "share", "queue")


def _shares(r):
    if "shares" not in r or not r["shares"]:
        return [r["service"]], [1]
    some = [s for s in r["shares"] if s["weight"] > 0]
    return [s["service"] for s in some], list(itertools.accumulate(s["weight"] for s in some))


class Service:
    """`items`: expected load in ms by model; None where the service has no engine."""

    __slots__ = ("name", "connections", "cold_rate", "slots", "items", "adapters")

    def __init__(self, s):
        self.name = s["name"]
        self.connections = int(s.get("connections") or 0)
        self.cold_rate = float(s.get("cold_rate_s") or 0)
        e = s.get("engine")
        self.slots = int(e.get("slots") or 0) if e else 0
        self.items = (
            {m["name"]: 1000 * float(m.get("load_s") or 0) for m in e.get("models", ())} if e else None
        )
        self.adapters = {m["name"]: int(m.get("adapters") or 0) for m in e.get("models", ())} if e else {}

    def knows(self, item):
        """Whether the configuration has this model and, where one is named, this adapter of it."""
        if self.items is None:
            return True
        m, _, a = item.partition("/")
        if m not in self.items:
            return False
        return not a or a[:1] == "a" and a[1:].isdigit() and 1 <= int(a[1:]) <= self.adapters[m]


class Table:
    def __init__(self, doc):
        doc = doc or {}
        self.empty = not doc
        self.edition = doc.get("edition", 0)
        self.limits = doc.get("limits") or {}
        self.services = {s["name"]: Service(s) for s in doc.get("services", ())}
        self.hosts = {}
        for r in doc.get("routes", ()):
            self.hosts.setdefault(r["host"].lower(), []).append(Route(r))
        for rs in self.hosts.values():
            rs.sort(key=lambda r: -len(r.prefix))

    def match(self, host, path):
        """The route of a host whose prefix begins the path and is longest, or None."""
        host = host.lower()
        rs = self.hosts.get(host) or self.hosts.get(host.rpartition(":")[0], ())
        for r in rs:
            if path.startswith(r.prefix):
                return r
        return None
