"""Which replica takes an item, and what gives way for it. Costs are in ms that requests will wait."""

import typing

import basaltport.placement.catalog as catalog
import basaltport.placement.replica_state as replica
import basaltport.placement.state as state

FRESH = 1000
COPY_FRESH = 3000
AWAY = 80
ROOMY = 150
SCARCE = 100
EVICT = 40
IN_USE = 1500
KEPT = 3000
WAITED = 6000
SOFT = 1200
HUNGRY = 5900
OTHERS = 0.3
DARK = 2
CHORES_MOST = 300

T = typing.TypeVar("T")


class Picked(typing.NamedTuple, typing.Generic[T]):
    """A replica that takes an item, at what cost, and what is unloaded there for it."""

    cost: float
    replica: replica.Replica
    out: list[T]


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class ReplicaChoiceMixin(Needs):
    """Needs the state of Placement; changes none of it."""

    def usable(self, p: replica.Replica) -> bool:
        """Whether requests may go to a replica."""
        return p.state == "ready" and p.leaves is None and p.zone not in self.drains and p.dark < DARK

    def free(self) -> list[replica.Replica]:
        """Replicas that could begin a plan now."""
        if self.now < self.ready_at:
            return []
        fit = [p for p in self.reps.values() if p.plan is None and p.synced and p.engine and self.usable(p)]
        return [p for p in fit if self.may_order(p.id)]

    def held(self, item: str) -> bool:
        """Whether a usable replica serves it."""
        return any(self.usable(self.reps[r]) for r in self.holders.get(item, ()))

    def copies(self, item: str) -> list[replica.Replica]:
        """The usable replicas that serve it."""
        return [self.reps[r] for r in self.holders.get(item, ()) if self.usable(self.reps[r])]

    def pick(
        self, model: str, zones: state.Waiting, free: list[replica.Replica], most: float | None = None
    ) -> Picked[str] | None:
        """(cost, replica, models to unload) or None; `zones`: {zone: waiting}; `most`: what costs as much or
        more is not taken from anyone."""
        best: Picked[str] | None = None
        n, on = sum(zones.values()), self.disks.get(model, set())
        for p in free:
            disk = p.id in on
            if not disk and self.permits.get(p.service, 0) < 1:
                continue
            m = self.cat.at(p.service, model)
            if m is None or model in p.held or p.bars.get(model, 0) > self.now:
                continue
            cost = self.load_ms(p.service, model, disk) + (0 if disk else SCARCE)
            cost += AWAY * (1 - zones.get(p.zone, 0) / n) if n else 0
            cost += 100 * p.running / p.slots + self.chores(p) + self.rng.random()
            if best and cost - ROOMY >= best.cost:
                continue
            got = self.make_room(p, m.mb, most)
            if got is None:
                continue
            cost += got[0] if got[1] else -ROOMY
            if best is None or cost < best.cost:
                best = Picked(cost, p, got[1])
        return best

    def chores(self, p: replica.Replica) -> float:
        """A long load holds up the adapters that are asked for of what is there."""
        return min(
            CHORES_MOST, 100 * sum(self.chore_rate[m].read(self.now) for m in p.held if m in self.chore_rate)
        )

    def make_room(
        self, p: replica.Replica, mb: float, most: float | None = None, keep: str = ""
    ) -> tuple[float, list[str]] | None:
        """(cost, models to unload) or None; what is fresh, or costs `most` or more, stays."""
        room = self.cat.services[p.service].room - p.used(self.cat)
        if room >= mb:
            return 0.0, []
        costs = []
        fresh = COPY_FRESH if most == SOFT else FRESH
        for m, h in p.held.items():
            c = None if h.leaving or m == keep or self.now - h.since < fresh else self.loss(p, m)
            if c is not None and (most is None or c < most):
                costs.append((c, self.now - self.idle(m), m))
        costs.sort()
        cost = 0.0
        out: list[str] = []
        for c, _, m in costs:
            h = p.held[m]
            room += self.cat.size(p.service, m) + len(h.adapters) * self.cat.size(p.service, m, "*")
            cost += c + EVICT
            out.append(m)
            if room >= mb:
                return cost, out
        return None

    def loss(self, p: replica.Replica, model: str) -> float | None:
        """What it costs to take a model from a replica; None where a hot one would have too few copies."""
        others = len(self.holders.get(model, ())) - (p.id in self.holders.get(model, ()))
        ms = self.load_ms(p.service, model, True)
        c = ms * min(1.0, 3 * self.rate(model)) + 100 / (1 + self.idle(model) / 1000)
        if others > 0:
            c *= OTHERS
        if self.in_use(model):
            c += IN_USE
        hot = self.hot.get(model)
        if hot and others < hot.due:
            return None
        if hot and self.alone(p, model, hot.zones):
            c += KEPT + 10 * hot.rate
        if model in self.wanted_models and not others:
            c += WAITED
        return c

    def alone(self, p: replica.Replica, model: str, zones: set[str]) -> bool:
        """Whether it is the only holder in its zone, one of those given."""
        if p.zone not in zones:
            return False
        return not any(self.reps[r].zone == p.zone for r in self.holders.get(model, ()) if r != p.id)

    def pick_adapter(
        self, item: str, zones: state.Waiting, free: list[replica.Replica]
    ) -> Picked[replica.Step] | None:
        """(cost, replica, adapters and models to unload) or None, where the model is."""
        model, _, adapter = item.partition("/")
        best: Picked[replica.Step] | None = None
        n = sum(zones.values())
        on = self.holders.get(model, set())
        for p in free:
            if p.id not in on or p.bars.get(item, 0) > self.now or adapter in p.held[model].adapters:
                continue
            m = self.cat.at(p.service, model)
            if m is None or adapter not in m.adapters:
                continue
            cost = AWAY * (1 - zones.get(p.zone, 0) / n) if n else 0.0
            cost += 100 * p.running / p.slots
            got = self.make_place(p, m)
            if got is None:
                continue
            cost += got[0]
            if best is None or cost < best.cost:
                best = Picked(cost, p, got[1])
        return best

    def make_place(self, p: replica.Replica, m: catalog.Model) -> tuple[float, list[replica.Step]] | None:
        """(cost, unloads) that make place for an adapter, or None."""
        s = self.cat.services[p.service]
        room, places = s.room - p.used(self.cat), s.places - p.places()
        if room >= m.adapter_mb and places >= 1:
            return 0.0, []
        costs = []
        for model, h in p.held.items():
            for a, since in h.adapters.items():
                if not h.leaving and self.now - since >= FRESH:
                    costs.append((self.adapter_loss(f"{model}/{a}"), model, a))
        costs.sort()
        cost = 0.0
        out: list[replica.Step] = []
        for c, model, a in costs:
            if room >= m.adapter_mb and places >= 1:
                break
            room += self.cat.size(p.service, model, a)
            places += 1
            cost += c + EVICT
            out.append(replica.Step(replica.UNLOAD, model, a))
        if room >= m.adapter_mb and places >= 1:
            return cost, out
        if places < 1:
            return None
        got = self.make_room(p, m.adapter_mb, None, m.name)
        return got and (got[0], [replica.Step(replica.UNLOAD, x) for x in got[1]])

    def adapter_loss(self, item: str) -> float:
        """What it costs to take an adapter from a replica."""
        c = 1000 / (1 + self.idle(item) / 1000)
        if len(self.holders.get(item, ())) > 1:
            c *= OTHERS
        if self.in_use(item):
            c += IN_USE
        return c + (WAITED if item in self.wants else 0)
