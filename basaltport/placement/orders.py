"""Carrying out plans: one order at a time on a replica, sent again until it is done."""

import basaltport.kinds as kinds
import basaltport.placement.effects as effects
import basaltport.placement.replica as replica

UNLOAD_FIRST = 15
UNLOAD_STEP = 30
ADAPTER_FIRST = 8
ADAPTER_STEP = 15
MOST = 250
SILENT = 5000
AGAIN = 100
PAID = 250
BAR = 5000


class OrdersMixin:
    """Needs the state of Placement."""

    def begin(self, p, goal, steps, asked):
        p.plan = replica.Plan(goal, steps, asked, self.now)
        self.active[p.id] = p
        for i in p.coming():
            self.coming.setdefault(i, set()).add(p.id)
        self.show(p)
        self.work(p)

    def drop(self, p):
        for i in p.coming():
            self.uncome(p, i)
        for s in p.plan.steps:
            self.orders.pop(s.order, None)
        p.plan = None
        self.active.pop(p.id, None)
        self.dirty = True
        self.show(p)

    def uncome(self, p, item):
        on = self.coming.get(item)
        if on:
            on.discard(p.id)
            if not on:
                del self.coming[item]

    def work(self, p):
        """Sends the next order of the replica's plan if it is time."""
        while p.plan and p.plan.steps:
            s = p.plan.steps[0]
            if s.order or self.now < s.at or not self.may_order(p.id):
                return
            if s.sent is None:
                verdict = self.fit(p, s)
                if verdict == "drop":
                    return self.drop(p)
                if verdict == "skip":
                    p.plan.steps.pop(0)
                    self.uncome(p, s.item) if s.kind == replica.LOAD else None
                    continue
            if not self.pay(p, s):
                return
            return self.send(p, s)
        if p.plan:
            self.drop(p)

    def fit(self, p, s):
        """Whether a step may be sent for the first time: go, skip (it is so) or drop the plan."""
        if not self.usable(p) or not p.synced or not self.sought(p.plan):
            return "drop"
        h = p.held.get(s.model)
        there = h is not None and (not s.adapter or s.adapter in h.adapters)
        if s.kind == replica.UNLOAD:
            return "go" if there else "skip"
        if there:
            return "skip"
        m = self.cat.at(p.service, s.model)
        if m is None or s.adapter and (h is None or h.leaving or s.adapter not in m.adapters):
            return "drop"
        service = self.cat.services[p.service]
        if p.used(self.cat) + (m.adapter_mb if s.adapter else m.mb) > service.room:
            return "drop"
        if s.adapter and p.places() >= service.places:
            return "drop"
        return "go"

    def sought(self, plan):
        return not plan.asked or plan.goal in self.wants or plan.goal in self.wanted_models

    def pay(self, p, s):
        """A load that may begin at the store takes a permit, also when it is sent again unanswered."""
        if not s.store or s.taken or s.paid is not None and self.now - s.paid < PAID:
            return True
        b = self.buckets[p.service]
        if b.take(self.now):
            s.paid = self.now
            return True
        s.at = b.ready(self.now) or self.now + MOST
        return False

    def send(self, p, s):
        self.order_n += 1
        s.order, s.out = self.order_n, self.now
        if s.sent is None:
            s.sent = self.now
            if s.kind == replica.UNLOAD:
                self.hide(p, s)
        self.orders[s.order] = p.id
        e = effects.Order(
            s.order, p.id, p.address, s.kind, s.model, s.adapter or None, self.holder, kinds.Fence(self.fence)
        )
        self.out.append(e)

    def hide(self, p, s):
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

    def unhide(self, p, s):
        h = p.held.get(s.model)
        if h is None:
            return
        h.off.discard(s.adapter)
        h.leaving = h.leaving and bool(s.adapter)
        self.index(p)

    def ordered(self, now, order, outcome, took=0):
        self.now, self.out = now, []
        p = self.reps.get(self.orders.pop(order, None))
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

    def on_accepted(self, p, s):
        if s.taken:
            return self.later(s)
        s.taken = True
        s.at = self.now + self.first_wait(p, s)
        s.wait = self.step_wait(p, s)

    def later(self, s):
        s.at = self.now + int(s.wait)
        s.wait = min(max(MOST, s.wait), s.wait * 1.4)

    def on_busy(self, p, s):
        if s.taken or s.unsure:
            s.wait = s.wait or UNLOAD_STEP
            return self.later(s)
        self.doubt(p)
        if s.kind == replica.UNLOAD:
            self.unhide(p, s)
        self.drop(p)

    def on_unknown(self, p, s):
        s.unsure = True
        p.dark += 1
        s.at = self.now + min(1000, AGAIN << min(4, p.dark - 1))
        if p.dark == 2:
            self.dirty = True

    def on_failed(self, p, s):
        p.bars[s.item] = p.bars[p.plan.goal] = self.now + BAR
        if s.kind == replica.UNLOAD:
            self.unhide(p, s)
        self.doubt(p)
        self.drop(p)

    def on_moved(self, p, s):
        if not s.adapter:
            return self.lose(p)
        p.bars[s.item] = self.now + 1000
        self.unhide(p, s)
        self.doubt(p)
        self.drop(p)

    def on_done(self, p, s):
        p.plan.steps.pop(0)
        p.touched[s.item] = self.now
        if s.kind == replica.LOAD:
            if s.taken and not s.unsure:
                self.learn(p, s, self.now - s.sent)
            self.uncome(p, s.item)
            self.hold(p, s.model, s.adapter)
        else:
            self.unhold(p, s.model, s.adapter)
        self.show(p)
        self.work(p)

    # what loads have taken

    def kind(self, service, s):
        return (service, "adapter" if s.adapter else "disk" if s.disk else "store")

    def learn(self, p, s, took):
        last = self.took.setdefault(self.kind(p.service, s), [])
        last.append(took)
        del last[:-20]

    def first_wait(self, p, s):
        if s.kind == replica.UNLOAD:
            return UNLOAD_FIRST
        if s.adapter:
            return ADAPTER_FIRST
        last = sorted(self.took.get(self.kind(p.service, s), ()))
        if last:
            return int(last[len(last) // 4] * 0.97)
        return int(self.load_ms(p.service, s.model, s.disk))

    def step_wait(self, p, s):
        if s.kind == replica.UNLOAD:
            return UNLOAD_STEP
        if s.adapter:
            return ADAPTER_STEP
        return min(120, max(15, self.load_ms(p.service, s.model, s.disk) * 0.05))

    def check(self):
        """Orders that are due again, and those whose answer the shell owes for too long."""
        for p in list(self.active.values()):
            s = p.plan.steps[0] if p.plan.steps else None
            if s and s.order and self.now - s.out > SILENT:
                self.orders.pop(s.order, None)
                s.order = 0
                self.on_unknown(p, s)
            self.work(p)
