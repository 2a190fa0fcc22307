"""How often items are asked for, by zone, and how many copies of a model that deserves."""

import math
import typing

import basaltport.placement.catalog as catalog
import basaltport.placement.replica_state as replica

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
SERVICE_LEAST = 50
SERVICE_MOST = 10_000
BEGUN_LEAST = 5
FORGET = 30_000
NEVER_USED = -60_000
USE_LEAST = 300
USE_MOST = 2000


class Hot(typing.NamedTuple):
    """A model that is asked for much: in which zones, how many copies it is due, and its rate."""

    zones: set[str]
    due: int
    rate: float


class Rate:
    """Requests a second; one that has been quiet for t s is at most 3 / t."""

    __slots__ = ("slow", "fast", "at", "last")

    def __init__(self, now: int) -> None:
        """Nothing was asked for yet."""
        self.slow = self.fast = 0.0
        self.at = self.last = now

    def fade(self, now: int) -> None:
        """Let what was counted fade up to a time."""
        t = now - self.at
        if t > 0:
            self.slow *= math.exp(-t / SLOW)
            self.fast *= math.exp(-t / FAST)
            self.at = now

    def add(self, n: float, now: int) -> None:
        """Count requests."""
        self.fade(now)
        self.slow += n * 1000 / SLOW
        self.fast += n * 1000 / FAST
        self.last = now

    def read(self, now: int) -> float:
        """Requests a second at a time."""
        self.fade(now)
        return min(self.slow, self.fast, LATEST / max(1, now - self.last))


class DemandNeeds(typing.Protocol):
    """What `DemandMixin` needs of Placement."""

    now: int
    cat: catalog.Catalog
    zones: set[str]
    reps: dict[str, replica.Replica]

    def usable(self, p: replica.Replica) -> bool:
        """Whether requests may go to a replica."""


if typing.TYPE_CHECKING:
    Needs = DemandNeeds
else:
    Needs = object


class DemandMixin(Needs):
    """Counts what is asked for, and tells which models are hot."""

    now: int

    def demand_start(self) -> None:
        """Begin with nothing counted."""
        self.rates: dict[str, dict[str, Rate]] = {}
        self.last: dict[str, int] = {}
        self.hot: dict[str, Hot] = {}
        self.service_ms: float = SERVICE
        self.begun = self.ran = 0.0
        self.service_at = self.now
        self.copies_at = 0

    def used(self, now: int, zone: str, items: dict[str, int], running: dict[str, int]) -> list[typing.Any]:
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

    def count(self, item: str, zone: str, n: int) -> None:
        """Count requests for an item in a zone."""
        by = self.rates.setdefault(item, {})
        if zone not in by:
            by[zone] = Rate(self.now)
        by[zone].add(n, self.now)

    def runs(self, p: replica.Replica) -> float:
        """Runs on a replica over all proxies, smoothed over the last second."""
        t = self.now - p.running_at
        if t > 0:
            p.running *= math.exp(-t / RUNS)
            p.running_at = self.now
        return p.running

    def rate(self, item: str) -> float:
        """Requests a second over all zones."""
        by = self.rates.get(item)
        return sum(r.read(self.now) for r in by.values()) if by else 0.0

    def idle(self, item: str) -> int:
        """For how many ms nobody has asked for it."""
        return self.now - self.last.get(item, NEVER_USED)

    def in_use(self, item: str) -> bool:
        """Whether runs of it are likely to go on."""
        return self.idle(item) < min(USE_MOST, max(USE_LEAST, 1.5 * self.service_ms))

    def look(self) -> None:
        """Which models are hot, in which zones, and how many copies each is due."""
        hot: dict[str, Hot] = {}
        for item, by in list(self.rates.items()):
            if all(self.now - r.last > FORGET for r in by.values()):
                del self.rates[item]
                continue
            if "/" in item or sum(r.slow for r in by.values()) < COOL:
                continue
            found = self.hot_now(item, by)
            if found is not None:
                hot[item] = found
        self.learn_service()
        self.hot = self.within(hot)

    def hot_now(self, item: str, by: dict[str, Rate]) -> Hot | None:
        """How hot a model is, None where it is not; one that was hot stays so down to a lower rate."""
        rates = {z: r.read(self.now) for z, r in by.items()}
        total = sum(rates.values())
        was = self.hot.get(item)
        busy = {z for z, n in rates.items() if n > (COOL if was and z in was.zones else HOT)}
        zones = {z for z in busy if z in self.zones}
        if not zones and total <= (2 * COOL if was else 2 * HOT):
            return None
        return Hot(zones, self.due_copies(item, zones, total), total)

    def within(self, hot: dict[str, Hot]) -> dict[str, Hot]:
        """No more than PLACES of what fits everywhere is due to hot models, the hottest first."""
        room = sum(
            self.cat.services[p.service].room for p in self.reps.values() if p.engine and self.usable(p)
        )
        out: dict[str, Hot] = {}
        left = PLACES * room
        for m, (zones, due, rate) in sorted(hot.items(), key=lambda x: -x[1].rate):
            mb = max((s.models[m].mb for s in self.cat.homes.get(m, ())), default=1)
            due = max(1, min(due, int(left // mb)))
            left = max(0, left - due * mb)
            out[m] = Hot(zones, due, rate)
        return out

    def learn_service(self) -> None:
        """How long a request runs, in ms: runs seen over requests begun, each report standing for PERIOD."""
        if self.begun > BEGUN_LEAST:
            self.service_ms = min(SERVICE_MOST, max(SERVICE_LEAST, self.ran / self.begun))
        f = math.exp((self.service_at - self.now) / SLOW)
        self.begun, self.ran, self.service_at = self.begun * f, self.ran * f, self.now

    def due_copies(self, item: str, zones: set[str], rate: float) -> int:
        """One in each zone that asks much, and so many that each copy runs KNEE or fewer: far below its
        slots, since what runs together slows all of it."""
        slots = min((s.slots for s in self.cat.homes.get(item, ())), default=1)
        runs = math.ceil(rate * min(LONGEST, self.service_ms) / 1000 / min(KNEE, slots))
        return max(LEAST, len(zones), runs)
