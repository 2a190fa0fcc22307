"""How often items are asked for, by zone, and how many copies of a model that deserves."""

import math

SLOW = 8000
FAST = 2000
LATEST = 3000
PERIOD = 400
RUNS = 1000
HOT = 3.0
COOL = 1.5
KNEE = 10
LEAST = 2
LONGEST = 1000
PLACES = 0.6
SERVICE = 600


class Rate:
    """Requests a second; one that has been quiet for t s is at most 3 / t."""

    __slots__ = ("slow", "fast", "at", "last")

    def __init__(self, now):
        self.slow = self.fast = 0.0
        self.at = self.last = now

    def fade(self, now):
        t = now - self.at
        if t > 0:
            self.slow *= math.exp(-t / SLOW)
            self.fast *= math.exp(-t / FAST)
            self.at = now

    def add(self, n, now):
        self.fade(now)
        self.slow += n * 1000 / SLOW
        self.fast += n * 1000 / FAST
        self.last = now

    def read(self, now):
        self.fade(now)
        return min(self.slow, self.fast, LATEST / max(1, now - self.last))


class DemandMixin:
    """Needs `self.now`, `reps`, `cat`, `holders`, `drains`."""

    def demand_start(self):
        self.rates = {}
        self.last = {}
        self.hot = {}
        self.service_ms = SERVICE
        self.begun = self.ran = 0.0
        self.service_at = self.now
        self.copies_at = 0

    def used(self, now, zone, items, running):
        """A proxy's report: requests begun by item since its last, and its runs by replica."""
        self.now = now
        for i, n in items.items():
            self.last[i] = now
            self.count(i, zone, n)
            self.begun += n
            model = i.partition("/")[0]
            if model != i:
                self.last[model] = now
                self.count(model, zone, n)
        for r, n in running.items():
            p = self.reps.get(r)
            if p is not None:
                p.running = self.runs(p) + n * PERIOD / RUNS
                self.ran += n * PERIOD
        return []

    def count(self, item, zone, n):
        by = self.rates.setdefault(item, {})
        if zone not in by:
            by[zone] = Rate(self.now)
        by[zone].add(n, self.now)

    def runs(self, p):
        """Runs on a replica over all proxies, smoothed over the last second."""
        t = self.now - p.running_at
        if t > 0:
            p.running *= math.exp(-t / RUNS)
            p.running_at = self.now
        return p.running

    def rate(self, item):
        by = self.rates.get(item)
        return sum(r.read(self.now) for r in by.values()) if by else 0.0

    def idle(self, item):
        return self.now - self.last.get(item, -60_000)

    def in_use(self, item):
        """Whether runs of it are likely to go on."""
        return self.idle(item) < min(2000, max(300, 1.5 * self.service_ms))

    def look(self):
        """Which models are hot, in which zones, and how many copies each is due."""
        hot = {}
        for item, by in list(self.rates.items()):
            if all(self.now - r.last > 30_000 for r in by.values()):
                del self.rates[item]
                continue
            if "/" in item or sum(r.slow for r in by.values()) < COOL:
                continue
            now = {z: r.read(self.now) for z, r in by.items()}
            all_ = sum(now.values())
            was = self.hot.get(item)
            zones = {z for z, n in now.items() if n > (COOL if was and z in was[0] else HOT)}
            zones = {z for z in zones if z in self.zones}
            if zones or all_ > (2 * COOL if was else 2 * HOT):
                hot[item] = (zones, self.due_copies(item, zones, all_), all_)
        self.learn_service()
        self.hot = self.within(hot)

    def within(self, hot):
        """No more than PLACES of what fits everywhere is due to hot models, the hottest first."""
        room = sum(
            self.cat.services[p.service].room for p in self.reps.values() if p.engine and self.usable(p)
        )
        out, left = {}, PLACES * room
        for m, (zones, due, rate) in sorted(hot.items(), key=lambda x: -x[1][2]):
            mb = max((s.models[m].mb for s in self.cat.homes.get(m, ())), default=1)
            due = max(1, min(due, int(left // mb)))
            left = max(0, left - due * mb)
            out[m] = (zones, due, rate)
        return out

    def learn_service(self):
        """How long a request runs, in ms: runs seen over requests begun, each report standing for PERIOD."""
        if self.begun > 5:
            self.service_ms = min(10_000, max(50, self.ran / self.begun))
        f = math.exp((self.service_at - self.now) / SLOW)
        self.begun, self.ran, self.service_at = self.begun * f, self.ran * f, self.now

    def due_copies(self, item, zones, rate):
        """One in each zone that asks much, and so many that each copy runs KNEE or fewer: far below its
        slots, since what runs together slows all of it."""
        slots = min((s.slots for s in self.cat.homes.get(item, ())), default=1)
        runs = math.ceil(rate * min(LONGEST, self.service_ms) / 1000 / min(KNEE, slots))
        return max(LEAST, len(zones), runs)
