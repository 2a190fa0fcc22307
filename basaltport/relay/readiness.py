"""ADR 0041 for routes: the keeper's facts of an item, one shared wait for it here, polls at its spacing."""

import basaltport.readiness.limits as limits

AGAIN = 250
WEIGHT = 4


class Fact:
    """What the keeper last said of an item; `asked`: when it was last asked; `next`: when it may be again."""

    __slots__ = ("state", "expected", "retry", "asked", "next", "told")

    def __init__(self):
        self.state = ""
        self.expected = 0
        self.retry = AGAIN
        self.asked = -(10**9)
        self.next = 0
        self.told = 0


class ReadinessMixin:
    """Needs Relay. A held item stands in the feed, which is the keeper's word; only others are asked for."""

    def readiness_start(self):
        self.facts = {}
        self.first = {}

    def fact(self, item):
        f = self.facts.get(item)
        if f is None:
            f = self.facts[item] = Fact()
        return f

    def expected(self, q):
        """Ms that a load of a request's item is expected to take."""
        f = self.facts.get(q.item)
        if f and f.expected:
            return f.expected
        s = self.table.services.get(q.service)
        m, _, a = q.item.partition("/")
        if s is None or s.items is None or a and self.holders(q.service, m):
            return 0
        return s.items.get(m, 0)

    def limit(self, q):
        """When the shared wait ends for a request: the source's limit, never past the client's deadline."""
        return min(q.until, q.born + limits.limit(0, self.expected(q)))

    def ask_missing(self):
        """Ask the keeper, which also orders loads, for all items that requests wait for and nobody holds.
        What waits is told by weight: one urgent request counts as several that can wait."""
        missing = {}
        for q in self.waiting.values():
            if q.item and not self.held(q):
                missing[q.item] = missing.get(q.item, 0) + max(1, WEIGHT - q.route.urgency)
        due = {i: n for i, n in missing.items() if self.due(self.fact(i), n)}
        if not due:
            return
        for i, n in due.items():
            f = self.fact(i)
            f.asked, f.told = self.now, n
            f.next = self.now + max(limits.POLL, f.retry)
        self.want(due)

    def due(self, f, n):
        """At the keeper's spacing; sooner where far more wait than it was told."""
        return self.now >= f.next or n >= 2 * f.told and self.now - f.asked >= limits.POLL

    def on_facts(self, items):
        for i, d in items.items():
            f = self.fact(i)
            f.state = d["state"]
            f.expected = d.get("expected_ms", 0)
            f.retry = max(limits.POLL, d.get("retry_after_ms", AGAIN))
            f.next = max(f.next, f.asked + f.retry)
            if f.state in ("loaded", "loading"):
                continue
            for q in [q for q in self.waiting.values() if q.item == i and not self.held(q)]:
                self.refuse(q, "unavailable", f.retry)
        self.pump()

    def after_timeout(self, run):
        """The keeper is asked once of the item, without waiting for its spacing."""
        if run.item:
            self.fact(run.item).next = 0
            self.want({run.item: 0})

    def typical(self, service):
        """Smoothed ms to the first bytes of a service's answers, 0 if unknown."""
        return self.first.get(service, 0)

    def took(self, run):
        t = self.now - run.sent
        self.health_of(run.replica).took(t)
        was = self.first.get(run.service, 0)
        self.first[run.service] = t if not was else 0.9 * was + 0.1 * t
