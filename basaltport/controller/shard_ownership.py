"""Orders to replicas, cut by key over the controllers: slices are owned under a fence, by leased owners.

The leader plans and gives slices by agreed entries; the serial of an entry is the fence of what it gives.
Whom it takes a slice from has stopped before: its lease is over, or it has applied that the slice is no
longer its own."""

import zlib

import basaltport.consensus.follower as follower
import basaltport.consensus.follower_lease as follower_lease
import basaltport.identifiers as identifiers
import basaltport.messages as messages
import basaltport.placement.effects as effects

SLICES = 12
WAIT = 100
SETTLE = 600
QUIET = 500
SILENT = 1000
GATHER = 1000
STALE = 700
ANSWER = 1700
UNEVEN = 5000
MOVE = 2000
SPREAD = 3
NEVER = -(10**9)


@messages.message(50)
class OrderRequest:
    """Planner to executor. `echo`: the newest ack of the executor's that the planner has; by its age an order
    that was held up on its way is known. `adapter` is "" for a model."""

    gen: identifiers.Term
    order: int
    echo: int
    address: str
    replica: identifiers.ReplicaId
    at: str
    kind: str
    model: str
    adapter: str
    fence: identifiers.Fence


@messages.message(51)
class OrderResult:
    """`outcome` as in `controller.events.Ordered`; failed where nothing was sent."""

    gen: identifiers.Term
    order: int
    outcome: str
    took: identifiers.Millis


@messages.message(52)
class ExecutorResigned:
    """A seat stops: in the life that `k`, one of its acks, is of, it sends no order any more."""

    seat: identifiers.MemberId
    k: int


def shard_of(replica):
    return str(zlib.crc32(replica.encode()) % SLICES)


class ShardOwnershipMixin:
    """Needs RosterMixin, VoterMixin and CampaignMixin, which come after it. `lease_ms`: as in settings."""

    def duties_start(self):
        self.duty_n = 0
        self.doing = {}
        self.ceded = None
        self.seen_of = None
        self.seen = {}
        self.top_seen = 0
        self.forget_orders()
        self.see_slices()
        self.listeners.stopping.append(self.resign_at_stop)
        self.listeners.heartbeat_heard.append(self.resign_again)
        self.listeners.leader_resigned.append(self.note_resigned)
        self.listeners.leadership_started.append(self.duties_lead_start)

    def forget_orders(self):
        self.put_out = {}
        self.returned = []

    def slices(self):
        return self.book.get("slices") or {}

    def see_slices(self):
        """Since when each slice's row is known to be in force, on this controller's clock."""
        self.top_seen = max(self.top_seen, self.book["serial"])
        rows = self.slices()
        if rows is self.seen_of:
            return
        self.seen_of = rows
        for i, r in rows.items():
            if self.seen.get(i, (None,))[0] != r["fence"]:
                self.seen[i] = (r["fence"], self.now)

    def ripe(self, i):
        """Whether the last owner but one has been still for long enough."""
        r = self.slices()[i]
        if r["was"] == r["owner"]:
            return True
        fence, at = self.seen.get(i, (None, 0))
        return fence == r["fence"] and self.now - at >= self.lease_ms + WAIT

    # the executor

    def duty_leased(self):
        return self.holds() if self.leading else self.leased()

    def owns(self, replica, fence):
        """Whether this controller alone may order there now."""
        i = shard_of(replica)
        r = self.slices().get(i)
        if self.stopped or r is None or r["owner"] != self.me.seat or r["fence"] != fence:
            return False
        return self.book["serial"] >= self.top_seen and self.ripe(i) and self.duty_leased()

    def hear_orderrequest(self, src, m):
        fresh = self.now - self.sent_at.get(m.echo, NEVER) <= STALE
        if m.gen < self.current_term or not fresh or not self.owns(m.replica, m.fence):
            self.send(m.address, OrderResult(m.gen, m.order, "failed", identifiers.Millis(0)))
            return
        self.carry_out(
            m.address, m.gen, m.order, m.replica, m.at, m.kind, m.model, m.adapter or None, m.fence
        )

    def carry_out(self, address, gen, order, replica, at, kind, model, adapter, fence):
        self.duty_n += 1
        self.doing[self.duty_n] = (address, gen, order)
        self.emit(effects.Order(self.duty_n, replica, at, kind, model, adapter, self.me.name, fence))

    def on_ordered(self, ev):
        address, gen, order = self.doing.pop(ev.order, (None, None, None))
        if gen is None:
            return
        m = OrderResult(gen, order, ev.outcome, ev.took)
        if address == self.me.addr:
            self.hear_orderresult("", m)
            return
        self.send(address, m)

    def resign_at_stop(self):
        """Whoever leads need not wait for this one's lease."""
        if not self.leading and self.leader is not None:
            self.send(self.leader.addr, ExecutorResigned(self.me.seat, self.last_ack_number))

    def resign_again(self, m):
        """A leader that was elected since is told as well."""
        if self.stopped and not self.leading:
            self.send(m.addr, ExecutorResigned(self.me.seat, self.last_ack_number))

    # the planner

    def may_order(self, replica):
        """As far as the leader knows: its owner is leased, knows of it, has waited, and what another planner
        had ordered through it has arrived."""
        i = shard_of(replica)
        r = self.slices().get(i)
        if not self.leading or r is None or r != self.tip_book["slices"].get(i) or not self.ripe(i):
            return False
        s = r["owner"]
        if s not in self.tip_book["roster"] or self.now - self.duty_since.get(s, self.now) < SETTLE:
            return False
        if s == self.me.seat:
            return self.holds() and not self.stopped
        if self.now - self.acked_at_ms.get(s, NEVER) > QUIET or s in self.gone or not self.duty_held(s):
            return False
        return s in self.latest_acks and self.latest_acks[s][2] >= r["fence"]

    def route_order(self, e):
        """An order of Placement's, to the owner of its slice."""
        if not self.may_order(e.replica):
            self.returned.append(e.order)
            return
        r = self.slices()[shard_of(e.replica)]
        s, fence = r["owner"], identifiers.Fence(r["fence"])
        self.put_out[e.order] = self.now
        if s == self.me.seat:
            what = (e.replica, e.address, e.kind, e.model, e.adapter, fence)
            self.carry_out(self.me.addr, self.current_term, e.order, *what)
            return
        what = (e.replica, e.address, e.kind, e.model, e.adapter or "", fence)
        addr = self.address_of(s) or self.tip_book["roster"][s]["addr"]
        self.send(addr, OrderRequest(self.current_term, e.order, self.latest_acks[s][0], self.me.addr, *what))

    def hear_orderresult(self, src, m):
        """That an executor was fenced says nothing of who leads."""
        if not self.leading or m.gen != self.current_term or m.order not in self.put_out:
            return
        del self.put_out[m.order]
        outcome = "failed" if m.outcome == "fenced" else m.outcome
        self.call_placement(self.placement.ordered, m.order, outcome, m.took)

    # the leader

    def duties_lead_start(self, got):
        """Every other controller may be leased by who led before, but for one that handed over itself."""
        gen, ceded = self.previous_term, self.ceded
        self.lease_expires_at_ms = -1
        rows = self.tip_book.get("slices") or {}
        seats = {*self.tip_book["roster"], *(r[k] for r in rows.values() for k in ("owner", "was"))}
        until = self.now + self.policy.follower_lease_ms + follower_lease.MARGIN
        self.duty_lapse = {s: until for s in seats if s != self.me.seat and ceded != (gen, s)}
        self.duty_since = {}
        self.resigned = {}
        self.uneven_at = self.moved_at = self.now

    def note_resigned(self, m):
        """The leader that is followed hands over."""
        self.ceded = (m.gen, self.leader.seat)

    def hear_executorresigned(self, src, m):
        e = self.latest_acks.get(m.seat) if self.leading else None
        if e is None or e[0] >> follower.LIFE != m.k >> follower.LIFE:
            return
        self.resigned[m.seat] = m.k >> follower.LIFE
        self.duty_lapse.pop(m.seat, None)

    def ack_to_return(self, s, r):
        """Only to a seat that has applied the last change of hands, and once this lead is agreed."""
        if s not in self.latest_acks or s not in self.tip_book["roster"] or not self.settled():
            return 0
        k, at, applied = self.latest_acks[s]
        if self.gave_up(s) or applied < self.top_fence():
            return 0
        self.duty_since.setdefault(s, self.now)
        self.duty_lapse[s] = max(
            self.duty_lapse.get(s, 0), at + self.policy.follower_lease_ms + follower_lease.MARGIN
        )
        return k

    def top_fence(self):
        return max((r["fence"] for r in (self.tip_book.get("slices") or {}).values()), default=0)

    def gave_up(self, s):
        return s in self.resigned and self.resigned[s] == self.latest_acks[s][0] >> follower.LIFE

    def duty_held(self, s):
        """Whether a seat may believe that it is leased."""
        return s == self.me.seat or self.now < self.duty_lapse.get(s, 0)

    def lost(self, s):
        if s == self.me.seat or self.duty_held(s):
            return False
        if s not in self.tip_book["roster"] or s in self.latest_acks and self.gave_up(s):
            return True
        return self.now - max(self.acked_at_ms.get(s, self.since), self.resumed_at_ms) > SILENT

    def let_go(self, r):
        """Whether who owned a slice before knows that it does no more, or is leased no more."""
        s = r["was"]
        if s is None or not self.duty_held(s):
            return True
        if s == self.me.seat:
            return self.book["serial"] >= r["fence"]
        return s in self.latest_acks and self.latest_acks[s][2] >= r["fence"]

    def tick_duties(self):
        if not self.leading:
            return
        for n, at in list(self.put_out.items()):
            if self.now - at > ANSWER:
                del self.put_out[n]
                self.call_placement(self.placement.ordered, n, "unknown", identifiers.Millis(self.now - at))
        orders, self.returned = self.returned, []
        for n in orders:
            self.call_placement(self.placement.ordered, n, "failed", identifiers.Millis(0))
        if self.leading and self.holds() and not self.stopped:
            self.duty_since.setdefault(self.me.seat, self.now)
            if not self.pending("slices"):
                self.keep_slices()

    def keep_slices(self):
        rows, roster = self.tip_book.get("slices") or {}, self.tip_book["roster"]
        live = sorted(
            s
            for s in self.live() & roster.keys() - self.gone.keys()
            if not (s in self.latest_acks and self.gave_up(s))
        )
        if not rows and len(live) < len(roster) and self.now - self.since < GATHER:
            return
        todo = [str(i) for i in range(SLICES) if self.wanting(rows.get(str(i)))]
        if todo:
            return self.give(rows, todo, live)
        ripe = [i for i, r in rows.items() if r["owner"] and r["was"] != r["owner"] and self.ripe(i)]
        if ripe:
            self.append({"op": "slices", "ripe": ripe})
            return
        self.even_out(rows, live)

    def wanting(self, r):
        if r is None:
            return True
        return self.let_go(r) if r["owner"] is None else self.lost(r["owner"])

    def give(self, rows, todo, live):
        n = {s: sum(r["owner"] == s for r in rows.values()) for s in live}
        to = {}
        for i in todo:
            to[i] = min(live, key=lambda s: (n[s], s))
            n[to[i]] += 1
        names = sorted({self.tip_book["roster"][s]["name"] for s in to.values()})
        self.note(18, slices=sorted(to, key=int), owners=names)
        self.append({"op": "slices", "give": to})

    def even_out(self, rows, live):
        """In calm times one slice after another goes from who has most to who has least."""
        n = {s: sorted(i for i, r in rows.items() if r["owner"] == s) for s in live}
        most, least = max(n, key=lambda s: (len(n[s]), s)), min(n, key=lambda s: (len(n[s]), s))
        calm = len(live) == len(self.tip_book["roster"]) and all(
            r["owner"] == r["was"] for r in rows.values()
        )
        if not calm or len(n[most]) - len(n[least]) < SPREAD:
            self.uneven_at = self.now
            return
        if self.now - self.uneven_at >= UNEVEN and self.now - self.moved_at >= MOVE:
            self.moved_at = self.now
            self.append({"op": "slices", "give": {n[most][0]: None}})
