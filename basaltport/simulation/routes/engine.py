"""What a replica of many models holds and does as ordered, with durations, on virtual time."""

import collections


class Engine:
    """`fleet` gives `now`, sizes (`mb`, `adapter_mb`, `room`, `places`) and times (`load_ms`, `disk_ms`,
    `at_once`); it keeps `loads`, `store` (when loads from the store began) and `under` (when they end)."""

    def __init__(self, fleet, rid, zone, held=()):
        self.fleet, self.id, self.zone = fleet, rid, zone
        self.models = {m: set() for m in held}
        self.disk = set(held)
        self.job = None
        self.runs = collections.Counter()
        self.fence = self.taken = 0
        self.state, self.leaves, self.dark = "ready", None, False
        self.began = []

    def size(self):
        f = self.fleet
        return sum(f.mb[m] + len(a) * f.adapter_mb for m, a in self.models.items())

    def settle(self):
        if self.job is None:
            return
        kind, m, a, end = self.job
        if kind == "unload" and not a and self.runs[m] > 0 or self.fleet.now < end:
            return
        self.job = None
        if kind == "load":
            self.disk.add(m)
            held = self.models.setdefault(m, set())
            if a:
                held.add(a)
        elif a:
            self.models.get(m, set()).discard(a)
        else:
            self.models.pop(m, None)

    def order(self, e):
        f = self.fleet
        self.settle()
        if e.fence < self.fence:
            return "fenced"
        self.fence = e.fence
        if self.job and self.job[:3] == (e.kind, e.model, e.adapter):
            return "accepted"
        if self.job:
            return "busy"
        there = e.model in self.models and (not e.adapter or e.adapter in self.models[e.model])
        if there == (e.kind == "load"):
            return "done"
        if e.kind == "load" and e.adapter and e.model not in self.models:
            return "moved"
        self.taken += 1
        if e.kind == "load":
            size = f.adapter_mb if e.adapter else f.mb[e.model]
            if self.size() + size > f.room or e.adapter and sum(map(len, self.models.values())) >= f.places:
                return self.over(e)
        self.job = (e.kind, e.model, e.adapter, f.now + self.lasts(e))
        return "accepted"

    def over(self, e):
        raise AssertionError(f"{self.id} is told to hold too much: {e}")

    def lasts(self, e):
        f = self.fleet
        if e.kind == "unload" or e.adapter:
            return 2 if e.kind == "unload" else 8
        if e.model in self.disk:
            f.loads["disk"] += 1
            return f.disk_ms
        f.loads["store"] += 1
        f.store.append(f.now)
        f.under = [t for t in f.under if t > f.now]
        ms = int(f.load_ms * max(1, (len(f.under) + 1) / f.at_once))
        f.under.append(f.now + ms)
        return ms
