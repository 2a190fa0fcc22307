"""Carrying out plans: one order at a time on a replica, sent again until it is done."""

import enum
import typing

import basaltport.identifiers as identifiers
import basaltport.placement.effects as effects
import basaltport.placement.replica_state as replica
import basaltport.placement.state as state

UNLOAD_FIRST = 15
UNLOAD_STEP = 30
ADAPTER_FIRST = 8
ADAPTER_STEP = 15
MOST = 250
SILENT = 5000
AGAIN = 100
PAID = 250
BAR = 5000
MOVED_BAR = 1000
UNKNOWN_MOST = 1000
GROWTH = 1.4
DARK = 2
RECENT = 20
EARLY = 0.97
LOAD_STEP = 0.05
LOAD_STEP_LEAST = 15
LOAD_STEP_MOST = 120


class Verdict(enum.StrEnum):
    """Whether a step may be sent for the first time: it may, it is so already, or the plan is given up."""

    GO = "go"
    SKIP = "skip"
    DROP = "drop"


if typing.TYPE_CHECKING:
    Needs = state.State
else:
    Needs = object


class PlanExecutionMixin(Needs):
    """Sends the orders of plans and takes their outcomes."""

    def begin(self, p: replica.Replica, goal: str, steps: list[replica.Step], asked: bool) -> None:
        """Give a replica a plan and send its first order."""
        p.plan = replica.Plan(goal, steps, asked, self.now)
        self.active[p.id] = p
        for i in p.coming():
            self.coming.setdefault(i, set()).add(p.id)
        self.show(p)
        self.work(p)

    def drop(self, p: replica.Replica) -> None:
        """Give up a replica's plan."""
        for i in p.coming():
            self.uncome(p, i)
        for s in p.steps():
            self.orders.pop(s.order, None)
        p.plan = None
        self.active.pop(p.id, None)
        self.dirty = True
        self.show(p)

    def uncome(self, p: replica.Replica, item: str) -> None:
        """An item is not on its way there any more."""
        on = self.coming.get(item)
        if on:
            on.discard(p.id)
            if not on:
                del self.coming[item]

    def work(self, p: replica.Replica) -> None:
        """Sends the next order of the replica's plan if it is time."""
        while p.plan and p.plan.steps:
            s = p.plan.steps[0]
            if s.order or self.now < s.at or not self.may_order(p.id):
                return
            verdict = Verdict.GO if s.sent is not None else self.fit(p, s)
            if verdict == Verdict.DROP:
                self.drop(p)
                return
            if verdict == Verdict.GO:
                if self.pay(p, s):
                    self.send(p, s)
                return
            p.plan.steps.pop(0)
            if s.kind == replica.LOAD:
                self.uncome(p, s.item)
        if p.plan:
            self.drop(p)

    def fit(self, p: replica.Replica, s: replica.Step) -> Verdict:
        """What to do with a step that was not sent yet."""
        if not self.usable(p) or not p.synced or p.plan is None or not self.sought(p.plan):
            return Verdict.DROP
        h = p.held.get(s.model)
        there = h is not None and (not s.adapter or s.adapter in h.adapters)
        if s.kind == replica.UNLOAD:
            return Verdict.GO if there else Verdict.SKIP
        if there:
            return Verdict.SKIP
        return Verdict.GO if self.has_room(p, s, h) else Verdict.DROP

    def has_room(self, p: replica.Replica, s: replica.Step, h: replica.Held | None) -> bool:
        """Whether a load is possible by the configuration and what is held there."""
        m = self.cat.at(p.service, s.model)
        if m is None or s.adapter and (h is None or h.leaving or s.adapter not in m.adapters):
            return False
        service = self.cat.services[p.service]
        if p.used(self.cat) + (m.adapter_mb if s.adapter else m.mb) > service.room:
            return False
        return not s.adapter or p.places() < service.places

    def sought(self, plan: replica.Plan) -> bool:
        """Whether what a plan is for is still wanted."""
        return not plan.asked or plan.goal in self.wants or plan.goal in self.wanted_models

    def pay(self, p: replica.Replica, s: replica.Step) -> bool:
        """A load that may begin at the store takes a permit, also when it is sent again unanswered."""
        if not s.store or s.taken or s.paid is not None and self.now - s.paid < PAID:
            return True
        b = self.buckets[p.service]
        if b.take(self.now):
            s.paid = self.now
            return True
        s.at = b.ready(self.now) or self.now + MOST
        return False

    def send(self, p: replica.Replica, s: replica.Step) -> None:
        """Send the order of a step."""
        self.order_n += 1
        s.order, s.out = self.order_n, self.now
        if s.sent is None:
            s.sent = self.now
            if s.kind == replica.UNLOAD:
                self.hide(p, s)
        self.orders[s.order] = p.id
        e = effects.Order(
            s.order,
            p.id,
            p.address,
            s.kind,
            s.model,
            s.adapter or None,
            self.holder,
            identifiers.Fence(self.fence),
        )
        self.out.append(e)

    def hide(self, p: replica.Replica, s: replica.Step) -> None:
        """What is to be unloaded gets no requests any more."""
        h = p.held[s.model]
        if s.adapter:
            h.off.add(s.adapter)
            self.unserve(p, s.item)
        else:
            h.leaving = True
            for a in h.adapters:
                self.unserve(p, f"{s.model}/{a}")
            self.unserve(p, s.model)
        self.show(p)

    def unhide(self, p: replica.Replica, s: replica.Step) -> None:
        """What was to be unloaded gets requests again."""
        h = p.held.get(s.model)
        if h is None:
            return
        h.off.discard(s.adapter)
        h.leaving = h.leaving and bool(s.adapter)
        self.index(p)

    def ordered(self, now: int, order: int, outcome: str, took: int = 0) -> state.Effects:
        """What came of an order."""
        self.now, self.out = now, []
        p = self.reps.get(self.orders.pop(order, ""))
        if not self.on or p is None or p.plan is None or p.plan.steps[0].order != order:
            return []
        s = p.plan.steps[0]
        s.order = 0
        if outcome == "fenced":
            self.deposed = True
            return self.stop()
        if outcome != "unknown":
            p.dark = 0
        getattr(self, f"on_{outcome}")(p, s)
        if self.dirty:
            self.place()
        return self.out

    def on_accepted(self, p: replica.Replica, s: replica.Step) -> None:
        """The order runs; it is sent again for its end."""
        if s.taken:
            self.later(s)
            return
        s.taken = True
        s.at = self.now + self.first_wait(p, s)
        s.wait = self.step_wait(p, s)

    def later(self, s: replica.Step) -> None:
        """Send it again, each time a little later."""
        s.at = self.now + int(s.wait)
        s.wait = min(max(MOST, s.wait), s.wait * GROWTH)

    def on_busy(self, p: replica.Replica, s: replica.Step) -> None:
        """Another order runs there."""
        if s.taken or s.unsure:
            s.wait = s.wait or UNLOAD_STEP
            self.later(s)
            return
        self.doubt(p)
        if s.kind == replica.UNLOAD:
            self.unhide(p, s)
        self.drop(p)

    def on_unknown(self, p: replica.Replica, s: replica.Step) -> None:
        """No answer came."""
        s.unsure = True
        p.dark += 1
        s.at = self.now + min(UNKNOWN_MOST, AGAIN << min(4, p.dark - 1))
        if p.dark == DARK:
            self.dirty = True

    def on_failed(self, p: replica.Replica, s: replica.Step) -> None:
        """The order was refused, or surely not taken."""
        p.bars[s.item] = self.now + BAR
        if p.plan:
            p.bars[p.plan.goal] = self.now + BAR
        if s.kind == replica.UNLOAD:
            self.unhide(p, s)
        self.doubt(p)
        self.drop(p)

    def on_moved(self, p: replica.Replica, s: replica.Step) -> None:
        """Another replica has the address, or the model is not there."""
        if not s.adapter:
            self.lose(p)
            return
        p.bars[s.item] = self.now + MOVED_BAR
        self.unhide(p, s)
        self.doubt(p)
        self.drop(p)

    def on_done(self, p: replica.Replica, s: replica.Step) -> None:
        """The order is done."""
        p.steps().pop(0)
        p.touched[s.item] = self.now
        if s.kind == replica.LOAD:
            if s.taken and not s.unsure and s.sent is not None:
                self.learn(p, s, self.now - s.sent)
            self.uncome(p, s.item)
            self.hold(p, s.model, s.adapter)
        else:
            self.unhold(p, s.model, s.adapter)
        self.show(p)
        self.work(p)

    # what loads have taken

    def kind(self, service: str, s: replica.Step) -> tuple[str, str]:
        """Loads of one kind take about as long."""
        weights = "disk" if s.disk else "store"
        return service, "adapter" if s.adapter else weights

    def learn(self, p: replica.Replica, s: replica.Step, took: int) -> None:
        """Keep how long a load took."""
        last = self.took.setdefault(self.kind(p.service, s), [])
        last.append(took)
        del last[:-RECENT]

    def first_wait(self, p: replica.Replica, s: replica.Step) -> int:
        """When to ask first for the end of an order."""
        if s.kind == replica.UNLOAD:
            return UNLOAD_FIRST
        if s.adapter:
            return ADAPTER_FIRST
        last = sorted(self.took.get(self.kind(p.service, s), ()))
        if last:
            return int(last[len(last) // 4] * EARLY)
        return int(self.load_ms(p.service, s.model, s.disk))

    def step_wait(self, p: replica.Replica, s: replica.Step) -> float:
        """How long to wait between asking again."""
        if s.kind == replica.UNLOAD:
            return UNLOAD_STEP
        if s.adapter:
            return ADAPTER_STEP
        step = self.load_ms(p.service, s.model, s.disk) * LOAD_STEP
        return min(LOAD_STEP_MOST, max(LOAD_STEP_LEAST, step))

    def check(self) -> None:
        """Orders that are due again, and those whose answer the shell owes for too long."""
        for p in list(self.active.values()):
            steps = p.steps()
            s = steps[0] if steps else None
            if s and s.order and self.now - s.out > SILENT:
                self.orders.pop(s.order, None)
                s.order = 0
                self.on_unknown(p, s)
            self.work(p)
