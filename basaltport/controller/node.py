"""The controller: consensus, operators' requests, placement and the feed to proxies in one reducer."""

import basaltport.consensus.node as node
import basaltport.consensus.sizes as sizes
import basaltport.consensus.voting_policy as voting_policy
import basaltport.fleet.publish as publish
import basaltport.controller.operator_requests as desk
import basaltport.controller.shard_ownership as duties
import basaltport.placement.effects as effects
import basaltport.placement.machine as machine

SNAPSHOT_EVERY = 200
SNAPSHOT_BYTES = 4 << 20
RETRY = 1000
HOLD = 200
LEASE = 3000
PUT_OFF = 2000


class Controller(
    duties.ShardOwnershipMixin,
    desk.DeskMixin,
    publish.PublishMixin,
    node.ConsensusNode,
):
    """`placement`: as `placement.machine.Placement`; `lease_ms`: how long a replica is left alone between the
    orders of two executors; `began`: when the process began, after the end of its machine's last one."""

    TICKS = ("tick_disk", "tick_hello", "tick_elect", "tick_lead", "tick_desk", "tick_duties", "tick_place")

    def __init__(
        self, me, seed, now, held=None, promised=node.NO_TERM, placement=None, lease_ms=LEASE, began=None
    ):
        node.ConsensusNode.__init__(self, me, seed, now, voting_policy.DISK_MEMBERS, held, promised, began)
        self.placement = machine.Placement(self.rng) if placement is None else placement
        self.placement.hold_ms = HOLD
        self.placement.may_order = self.may_order
        self.lease_ms = lease_ms
        self.placing = None
        self.placed_of = None
        self.put_off = []
        self.desk_start()
        self.listeners.leadership_ending.append(self.leave_reads_open)
        self.publish_start()
        self.duties_start()
        self.kept_at = self.book["serial"]
        self.unkept = 0
        self.retry_at = now
        self.listeners.state_applied.append(self.keep_snapshot)
        self.listeners.entry_retained.append(self.count_unkept)

    def step(self, ev):
        super().step(ev)
        self.see_slices()
        self.keep_placement()
        if self.leading and self.beat_at < 0:
            self.beat()
        self.publish()
        return self.out

    # disk

    def tick_disk(self):
        """A disk that failed is tried again with a whole snapshot."""
        if self.bad and not self.after and self.now - self.retry_at >= RETRY:
            self.retry_at = self.now
            self.write([], whole=self.copy())

    def count_unkept(self, e):
        self.unkept += sizes.entry_size(e)

    def keep_snapshot(self):
        """Now and then the log begins anew behind a snapshot."""
        if self.book["serial"] - self.kept_at < SNAPSHOT_EVERY and self.unkept < SNAPSHOT_BYTES:
            return
        self.kept_at, self.unkept = self.book["serial"], 0
        self.write([], whole=self.copy())

    # placement

    def keep_placement(self):
        """Started once this leader's own entry is agreed, under its serial; stopped with its lead."""
        if not self.leading:
            if self.placing is not None:
                self.placing, self.put_off = None, []
                self.forget_orders()
                self.placement.stop()
            return
        if not self.settled():
            return
        if self.placing is None:
            self.placing, self.placed_of = self.first, None
            self.place("start", self.first, self.me.name)
        of = (self.book["mserial"], sorted(self.book["drains"]))
        if of != self.placed_of:
            self.placed_of = of
            self.place("configure", self.book["manifest"], set(of[1]))

    def place(self, call, *args):
        """Put off while it is not sure that no other leads."""
        if self.placing is None:
            return
        if not self.holds():
            self.put_off = [*self.put_off, (call, args)][-PUT_OFF:]
            return
        self.place_put_off()
        self.tell_placement(call, args)
        if getattr(self.placement, "deposed", False):
            self.step_down("a replica knows a higher fence")

    def place_put_off(self):
        calls, self.put_off = self.put_off, []
        for call, args in calls:
            self.tell_placement(call, args)

    def tell_placement(self, call, args):
        for e in list(getattr(self.placement, call)(self.now, *args) or ()):
            self.route(e) if isinstance(e, effects.Order) else self.emit(e)
        self.rows_known = self.rows_known or call == "listed"

    def tick_place(self):
        if self.placing is not None and self.holds():
            self.place("tick")

    def on_listed(self, ev):
        if ev.ok:
            self.place("listed", ev.rows)
            return
        self.place("list_failed")

    def on_reported(self, ev):
        self.place("reported", ev.replica, ev.ok, ev.report)

    def heard_use(self, zone, use, load):
        if self.holds():
            self.place("used", zone, use, load)

    def hear_want(self, src, m):
        if not self.holds():
            return
        self.place("wanted", m.zone, m.items)
        self.tell_facts(m.address, {i: self.placement.facts(self.now, i) for i in m.items})
