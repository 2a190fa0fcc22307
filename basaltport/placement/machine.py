"""Which replica holds which models: a state machine owned by the controller that leads."""

import collections.abc
import random

import basaltport.placement.catalog as catalog
import basaltport.placement.replica_choice as choose
import basaltport.placement.demand as demand
import basaltport.placement.model_status as facts
import basaltport.placement.replica_inventory as listing
import basaltport.placement.plan_execution as orders
import basaltport.placement.replica_state as replica
import basaltport.placement.state as state
import basaltport.placement.token_bucket as store
import basaltport.placement.waiting_items as wants

HOLD = 3700
WANTED = 1500
SILENT = 600
COPY_EVERY = 200
ADOPT = 5000
NEVER = -(10**9)


class Placement(
    orders.PlanExecutionMixin,
    listing.ReplicaInventoryMixin,
    choose.ReplicaChoiceMixin,
    demand.DemandMixin,
    facts.ModelStatusMixin,
):
    """Every call gives a list of effects (`effects`). `rows` by replica id; `changed` ids since it was last
    emptied by the owner. Times in ms; `hold_ms` after `start` nothing is ordered, `list_ms` between lists.
    `may_order(replica id)`, set by the owner: whether an order there can be sent now."""

    def __init__(self, rng: random.Random, hold_ms: int = HOLD, list_ms: int = listing.EVERY) -> None:
        """Nothing is known; `start` begins."""
        self.rng = rng
        self.hold_ms = hold_ms
        self.every = list_ms
        self.cat = catalog.Catalog()
        self.drains: set[str] = set()
        self.took: dict[tuple[str, str], list[int]] = {}
        self.order_n = 0
        self.now = 0
        self.may_order: collections.abc.Callable[[str], bool] = lambda rid: True
        self.rows: dict[str, state.Row] = {}
        self.changed: set[str] = set()
        self.clear()

    def clear(self) -> None:
        """Forget all but the configuration and how long loads took."""
        self.on = self.deposed = False
        self.out: state.Effects = []
        self.reps: dict[str, replica.Replica] = {}
        self.holders: dict[str, set[str]] = {}
        self.coming: dict[str, set[str]] = {}
        self.active: dict[str, replica.Replica] = {}
        self.orders: dict[int, str] = {}
        self.gone: dict[str, int] = {}
        self.wants: dict[str, wants.Want] = {}
        self.wanted_models: collections.abc.Collection[str] = ()
        self.chore_rate: dict[str, demand.Rate] = {}
        self.zones: set[str] = set()
        self.seen: set[str] = set()
        self.orphans: dict[str, int] = {}
        self.list_out, self.list_at = False, NEVER
        self.known = self.dirty = False
        self.changed |= set(self.rows)
        self.rows = {}
        self.buckets: dict[str, store.TokenBucket] = {}
        self.permits: dict[str, float] = {}
        self.disks: dict[str, set[str]] = {}
        self.ready_at = 0
        self.demand_start()

    def start(self, now: int, fence: int, holder: str, hold_ms: int | None = None) -> state.Effects:
        """This controller leads, under a fence."""
        self.clear()
        self.now, self.on = now, True
        self.fence, self.holder = fence, holder
        self.ready_at = now + (self.hold_ms if hold_ms is None else hold_ms)
        self.fill_buckets()
        self.ask_list()
        return self.out

    def stop(self) -> state.Effects:
        """It leads no longer; nothing is sent any more."""
        self.on = False
        self.out = []
        return []

    def configure(
        self, now: int, document: state.Row | None, drains: collections.abc.Iterable[str]
    ) -> state.Effects:
        """Another configuration, or other evacuated zones."""
        self.now, self.out = now, []
        self.cat, self.drains = catalog.Catalog(document), set(drains)
        self.fill_buckets()
        for p in self.reps.values():
            p.engine = p.service in self.cat.services
            self.show(p)
        self.zones = {p.zone for p in self.reps.values() if self.may_serve(p)}
        self.dirty = True
        if self.on:
            self.place()
        return self.out

    def fill_buckets(self) -> None:
        """A bucket of permits for each service, at its rate."""
        for s in self.cat.services.values():
            if s.name not in self.buckets:
                self.buckets[s.name] = store.TokenBucket(s.rate, max(self.now, self.ready_at))
            self.buckets[s.name].change(s.rate, self.now)

    def count_permits(self) -> None:
        """How many loads from each store may be begun now, beside those already planned."""
        self.permits = {n: b.fill(self.now) for n, b in self.buckets.items()}
        for p in self.active.values():
            if any(s.store and s.paid is None for s in p.steps()):
                self.permits[p.service] -= 1

    def tick(self, now: int) -> state.Effects:
        """Do what is due by now."""
        self.now, self.out = now, []
        if not self.on:
            return []
        self.ask_list()
        self.ask_reports()
        self.check()
        if now - self.copies_at >= COPY_EVERY:
            self.copies_at = now
            self.look()
            self.place()
            self.copy()
        elif self.wants or self.dirty:
            self.place()
        return self.out

    def due(self) -> int:
        """When the next tick has something to do, in ms; orders are sent again at their times only if the
        owner ticks then."""
        at = [s.at for p in self.active.values() for s in p.steps()[:1] if not s.order]
        at += [p.ask_at for p in self.reps.values() if p.engine and not p.synced and p.asked is None]
        at.append(self.list_at + (listing.PATIENCE if self.list_out else self.every))
        if self.wants and self.free():
            at += [t for t in (b.ready(self.now) for b in self.buckets.values()) if t and t > self.now]
        return min(at) if self.now >= self.ready_at else min(at[-1], self.ready_at)

    # wants

    def wanted(self, now: int, zone: str, items: dict[str, int]) -> state.Effects:
        """Requests in a zone wait for items."""
        self.now, self.out = now, []
        if not self.on:
            return []
        for i, n in items.items():
            if n <= 0 or not self.cat.knows(i):
                continue
            w = self.wants.get(i)
            if w is None:
                w = self.wants[i] = wants.Want(now)
            w.last = now
            w.zones[zone] = (n, now)
        self.place()
        return self.out

    def prune(self) -> None:
        """Drop wants that are over: told no more, or held since."""
        for i, w in list(self.wants.items()):
            if self.now - w.last > WANTED:
                del self.wants[i]
                continue
            if len(w.zones) > 1:
                w.zones = {z: v for z, v in w.zones.items() if self.now - v[1] <= WANTED}
            on = self.copies(i)
            if not on:
                w.extra = self.now
            elif w.another(self.now) and w.last > w.extra:
                continue
            elif w.last <= max(self.since(p, i) for p in on):
                del self.wants[i]
        self.wanted_models = {i.partition("/")[0] for i in self.wants}

    def place(self) -> None:
        """Begins plans for what is wanted: adapters first, since they take ms, then models by rank."""
        self.dirty = False
        if self.now < self.ready_at:
            return
        self.feed()
        if not self.wants:
            self.wanted_models = ()
            return
        self.prune()
        free = self.free()
        if not free:
            return
        self.count_permits()
        for m, zones in self.models_wanted(free).items():
            if not free:
                return
            if not self.underway(m):
                self.place_model(m, zones, free, True)

    def models_wanted(self, free: list[replica.Replica]) -> dict[str, dict[str, float]]:
        """Who waits for models, by zone and in the order of rank; adapters get their plans on the way."""
        models: dict[str, dict[str, float]] = {}
        for i, w in sorted(self.wants.items(), key=lambda x: -x[1].rank(self.now)):
            held = self.held(i)
            if held and not w.another(self.now) or self.underway(i):
                continue
            model = i.partition("/")[0]
            if model != i and self.held(model):
                self.place_adapter(i, w, free)
                continue
            if held:
                w.more(self.now)
            by = models.setdefault(model, {})
            for z, n in w.waiting().items():
                by[z] = by.get(z, 0) + n
        return models

    def place_adapter(self, item: str, w: wants.Want, free: list[replica.Replica]) -> None:
        """Begin a load of an adapter where its model is, if a replica there is free."""
        got = self.pick_adapter(item, w.waiting(), free)
        if got is None:
            return
        model = item.partition("/")[0]
        w.more(self.now)
        self.chore_rate.setdefault(model, demand.Rate(self.now)).add(1, self.now)
        free.remove(got.replica)
        self.begin(got.replica, item, [*got.out, self.load(got.replica, item)], True)

    def underway(self, item: str) -> bool:
        """Whether a replica that answers is loading it."""
        return any(self.answers(self.reps[r]) for r in self.coming.get(item, ()))

    def answers(self, p: replica.Replica) -> bool:
        """Whether a replica with a plan answers its orders."""
        s = p.next_step()
        return (
            p.dark == 0
            and self.usable(p)
            and self.may_order(p.id)
            and not (s.order and self.now - s.out > SILENT)
        )

    def load(self, p: replica.Replica, item: str) -> replica.Step:
        """The step that loads an item there."""
        model, _, adapter = item.partition("/")
        return replica.Step(replica.LOAD, model, adapter, model in p.disk)

    def place_model(
        self,
        model: str,
        zones: state.Waiting,
        free: list[replica.Replica],
        asked: bool,
        most: float | None = None,
    ) -> bool:
        """Begin a load of a model on the best replica, if any may take it."""
        got = self.pick(model, zones, free, most)
        if got is None:
            return False
        p = got.replica
        free.remove(p)
        last = self.load(p, model)
        self.permits[p.service] -= last.store
        self.begin(p, model, [*(replica.Step(replica.UNLOAD, m) for m in got.out), last], asked)
        return True

    # copies

    def feed(self) -> None:
        """Hot models with too few copies go before what is cold: many wait for each of them."""
        if self.now < self.ready_at or not self.hot:
            return
        short = []
        for m, (_, due, rate) in self.hot.items():
            n = len(self.copies(m)) + sum(1 for r in self.coming.get(m, ()) if self.answers(self.reps[r]))
            if n < due:
                short.append((rate / (n + 0.1), m, n))
        if not short:
            return
        self.count_permits()
        free = self.free()
        left = max(1, len(self.reps) // 3) - sum(
            1 for p in self.active.values() if p.plan and not p.plan.asked
        )
        for _, m, n in sorted(short, reverse=True):
            if left < 1 or not free:
                return
            zones = self.hot[m][0]
            have = {p.zone for p in self.copies(m)}
            where = self.spread(m, [z for z in zones if z not in have], have, free, n) or free
            weights = {z: r.read(self.now) for z, r in self.rates.get(m, {}).items() if r.read(self.now) > 0}
            left -= self.place_model(m, weights, where, False, choose.HUNGRY)
            free = [p for p in free if p.plan is None]

    def copy(self) -> None:
        """Copies of hot models where their demand is, taken from what few ask for."""
        if self.now < self.ready_at or not (self.hot or self.orphans):
            return
        self.count_permits()
        waiting = any(not self.held(i) and not self.underway(i) for i in self.wants)
        free = self.free()
        most = max(1, len(self.reps) // 6)
        n = sum(1 for p in self.active.values() if p.plan and not p.plan.asked)
        for m, (zones, due, _) in sorted(self.hot.items(), key=lambda x: -x[1][2]):
            on = [p for p in self.copies(m)]
            to = [self.reps[r] for r in self.coming.get(m, ())]
            have = {p.zone for p in on + to}
            if waiting and on or n >= most or not free:
                continue
            lack = [z for z in zones if z not in have]
            if not lack and len(on) + len(to) >= due:
                continue
            where = self.spread(m, lack, have, free, len(on) + len(to))
            weights = {z: r.read(self.now) for z, r in self.rates.get(m, {}).items() if r.read(self.now) > 0}
            n += self.place_model(m, weights, where, False, choose.SOFT)
            free = [p for p in free if p.plan is None]

        self.adopt(free)

    def adopt(self, free: list[replica.Replica]) -> None:
        """Models in use whose only copy was lost come back before they are asked for."""
        for m, t in list(self.orphans.items()):
            if self.now - t > ADOPT or self.held(m) or self.underway(m):
                del self.orphans[m]
            elif free and self.place_model(m, {}, free, False, choose.SOFT):
                del self.orphans[m]

    def spread(
        self, m: str, lack: list[str], have: set[str], free: list[replica.Replica], n: int
    ) -> list[replica.Replica]:
        """Of the free replicas those where a further copy helps most."""
        if lack:
            return [p for p in free if p.zone in lack]
        if n < demand.LEAST:
            return [p for p in free if p.zone not in have] or free
        return free
