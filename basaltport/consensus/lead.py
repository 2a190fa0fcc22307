"""The leader: appends entries, replicates them, confirms leases, keeps roster and acknowledgements."""

import basaltport.identifiers as identifiers
import basaltport.consensus.book as book
import basaltport.consensus.codec as codec
import basaltport.consensus.feed as feed
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.seat as seat
import basaltport.messages as messages

SILENT = 6000
DROP = 1600
STUCK = 2000
STALL = 1000
PAST = 400
SLEPT = 400
UNSETTLED = 8000
WAKING = 500
SYNC_RATE = 20_000


class LeadMixin(feed.FeedMixin):
    """Needs SeatMixin. Holds nothing that a new leader could not learn again."""

    def lead_clear(self):
        self.leading = False
        self.waiting = []
        self.reads = []

    def lead_start(self, found, got, swap, drops):
        self.since = self.now
        self.first = None
        self.match = {}
        self.sent = {}
        self.transfers = {}
        self.acks = {}
        self.beats = {}
        self.seen_n = {}
        self.echoes = {}
        self.lapse = {}
        self.lead_at = self.now
        self.patient = self.now
        self.beat_at = -(10**9)
        self.n = 0
        self.vouched_n = 0
        self.vouched = self.now
        self.ledgers_at = self.now
        self.acked = self.head()[1]
        self.past = {}
        self.needs = set()
        self.left = set()
        self.leader = None
        self.waiting = []
        self.reads = []
        self.tip_book = self.tip()
        old = [s for s, r in self.tip_book["roster"].items() if r["role"] == "rostrum"]
        gone = {s for s, _ in swap}
        self.fresh = bool(old) and gone >= set(old)
        for s in old:
            if s not in gone:
                self.lapse[s] = self.now + seat.LEASE + feed.MARGIN
        for s in got:
            self.acks[s] = self.now
        if found:
            self.append({"op": "found", **found})
            return
        ls = self.tip_book["ledgers"]
        reached = {self.me.seat, *self.tip_book["roster"], *(row["seat"] for _, row in swap)}
        live = sorted(s for s, p in got.items() if p.me["role"] == "ledger" and s in reached)
        op = {"op": "lead", "swap": swap, "drops": drops}
        if 2 * len(set(ls) & set(live)) <= len(ls):
            op["ledgers"] = live
            self.note(14, lost=sorted(set(ls) - set(live)), live=live)
        self.append(op)

    def lost_lead(self, gen):
        if self.leading:
            self.step_down(f"generation {gen.text()}")

    def step_down(self, why):
        self.note(15, why=why)
        for w in self.waiting:
            self.unknown(w)
        for r in self.reads:
            self.respond(r["src"], r["call"], 503, {"error": "no-leader", "detail": why, "changed": False})
        self.lead_clear()
        self.leader = None
        self.heard_at = self.now

    def append(self, op):
        op = book.operation(op)
        g = self.promised
        e = book.entry(self.head()[1] + 1, g, op)
        self.tail.append(e)
        self.tip_book = book.apply(self.tip_book, e)
        if self.first is None:
            self.first = e["s"]
        self.write([log.EntryRecord(e)])
        self.beat_at = -(10**9)
        return identifiers.LogIndex(e["s"])

    def disk_failed(self):
        super().disk_failed()
        if self.leading:
            self.step_down("the disk failed")

    def on_stop(self, ev):
        """A leader hands on before it ends, to a ledger that holds all it has."""
        self.stopped = True
        if not self.leading:
            return
        fit = [
            s for s in self.tip_book["ledgers"] if s != self.me.seat and self.match.get(s) == self.head()[1]
        ]
        if fit:
            m = messages.Yield(self.promised, identifiers.MemberId(min(fit)))
            for a in self.addrs():
                self.send(a, m)
        self.step_down("it stops")

    def hear_leave(self, src, m):
        if not self.settled() or m.seat not in self.tip_book["roster"]:
            return
        self.lapse.pop(m.seat, None)
        self.echoes.pop(m.seat, None)
        self.left.add(m.seat)

    # beats

    def tick_lead(self):
        if not self.leading:
            return
        if self.now - self.lead_at > SLEPT:
            self.patient = self.now + WAKING
        self.lead_at = self.now
        if self.now - self.vouched > seat.LEASE and self.now > self.patient:
            self.step_down("not vouched for by most seats")
            return
        if not self.settled() and self.now - self.since > UNSETTLED:
            self.step_down("nothing could be agreed")
            return
        if self.disk_stalls():
            self.step_down("the disk stalls")
            self.camp_at = self.now + 2 * STALL
            return
        self.keep_roster()
        self.keep_duties()
        if self.now - self.beat_at >= feed.BEAT:
            self.beat()
        self.settle()

    def disk_stalls(self):
        """More than a second for a sync and what its bytes may take; time that we slept is not the disk's."""
        for at, ticks, size in self.stalled.values():
            long = STALL + size // SYNC_RATE
            if self.now - at > long and self.ticks - ticks > long // 50:
                return True
        return False

    def hear_ack(self, src, m):
        if not self.leading:
            return
        if not m.ok:
            if m.promised > self.promised:
                self.step_down(f"generation {m.promised.text()}")
                self.top = max(self.top, m.promised.count)
            return
        if m.promised != self.promised:
            return
        self.acks[m.seat] = self.now
        if m.n in self.beats:
            self.seen_n[m.seat] = max(self.seen_n.get(m.seat, 0), m.n)
            self.vouch()
        if m.need:
            if self.to_come(m):
                return
            self.needs.add(m.seat)
            r = self.tip_book["roster"].get(m.seat)
            if r:
                self.beat_to(m.seat, r)
            return
        es, g, s = self.entries_from(m.serial)
        if es is not None and g == m.hgen:
            self.match[m.seat] = max(m.serial, self.match.get(m.seat, 0))
        self.see_transfer(m)
        e = self.echoes.get(m.seat)
        if e is None or m.k > e[0] or m.k >> seat.LIFE != e[0] >> seat.LIFE:
            self.echoes[m.seat] = (m.k, self.now, m.applied)
        self.count()
        self.settle()

    def vouch(self):
        """Notes the newest heartbeat that a majority answered, and when it was sent."""
        n = quorum.majority_value(self.tip_book, self.beat_seen)
        self.vouched_n = max(self.vouched_n, n)
        self.vouched = max(self.vouched, self.beats.get(n, -1))

    def beat_seen(self, s):
        """The number of the newest heartbeat that a seat answered."""
        return self.n if s == self.me.seat else self.seen_n.get(s, 0)

    # agreement

    def durable_head(self, head, promise):
        super().durable_head(head, promise)
        if self.leading and self.dur_promised == self.promised:
            self.match[self.me.seat] = self.dur[1]
            self.count()
            self.settle()

    def count(self):
        """Agreed: held by most seats, synced by most ledgers, and of this generation."""
        t = self.tip_book
        was = self.book["serial"]
        for e in reversed(self.tail):
            if book.gen_of(e) != self.promised:
                break
            have = {s for s, m in self.match.items() if m >= e["s"]}
            if not quorum.has_majority(t, have) or not quorum.is_majority(have, set(t["ledgers"])):
                continue
            for x in self.tail:
                if x["s"] <= e["s"]:
                    self.past[x["s"]] = x
            for k in [k for k in self.past if k <= e["s"] - PAST]:
                del self.past[k]
            self.advance(e["s"], book.gen_of(e))
            break
        if self.book["serial"] == was:
            return
        for w in self.waiting:
            if w["serial"] <= self.book["serial"] and w["committed"] is None:
                w["committed"] = self.now
        self.beat()

    def settled(self):
        """True once an entry of this generation is agreed."""
        return self.leading and self.first is not None and self.book["serial"] >= self.first

    def settle(self):
        """Acknowledge what every leased rostrum applied; give reads that most seats confirmed."""
        while self.waiting:
            w = self.waiting[0]
            if w["serial"] > self.book["serial"] or self.behind(w["serial"]):
                break
            self.waiting.pop(0)
            self.acked = max(self.acked, w["serial"])
            self.acknowledge(w)
        if not self.settled():
            return
        rs, self.reads = self.reads, []
        for r in rs:
            if r["n"] < self.vouched_n:
                self.serve_read(r)
                continue
            self.reads.append(r)

    def behind(self, s):
        for x, until in list(self.lapse.items()):
            if self.now >= until:
                del self.lapse[x]
                continue
            e = self.echoes.get(x)
            if e is None or e[2] < s:
                return True
        return False

    # roster

    def pending(self, *ops):
        return any(e["op"]["op"] in ops for e in self.tail)

    def keep_roster(self):
        if not self.settled() or self.pending("roster", "found", "lead"):
            return
        t = self.tip_book
        if self.pending("ledgers"):
            if self.now - self.ledgers_at > STUCK:
                self.keep_ledgers(t)
            return
        roster = t["roster"]
        names = {r["name"]: s for s, r in roster.items()}
        fresh = self.heard_within(2500) + [self.me.row()]
        new = [
            m for m in fresh if m["seat"] not in self.left and roster.get(m["seat"]) != codec.decode_member(m)
        ]
        swap = [[names[m["name"]], m] for m in new if m["name"] in names]
        add = [m for m in new if m["name"] not in names]
        if swap or add:
            op = {"op": "roster", "swap": swap, "add": add[0] if add else None}
            for _, m in swap + [[None, m] for m in add[:1]]:
                self.acks[m["seat"]] = self.now
                self.needs.add(m["seat"])
                self.note(16, member=m["name"], seat=m["seat"])
            self.append(op)
            return
        self.keep_ledgers(t) or self.drop_lost(t)

    def quiet(self, s):
        return self.now - self.acks.get(s, self.since) if s != self.me.seat else 0

    def heard_of(self, s):
        """A ledger counts as live only once it spoke to this leader."""
        return s == self.me.seat or self.now - self.acks.get(s, -(10**9)) < DROP

    def keep_ledgers(self, t):
        have = set(t["ledgers"])
        live = {s for s, r in t["roster"].items() if r["role"] == "ledger" and self.heard_of(s)}
        want = have | live
        lost = have - live
        if lost and (len(live) >= self.me.ledgers or 2 * len(have & live) <= len(have)):
            want = live
        if want == have:
            return False
        self.ledgers_at = self.now
        self.append({"op": "ledgers", "ledgers": sorted(want)})
        return True

    def drop_lost(self, t):
        lost = [s for s in t["roster"] if s in self.left or self.quiet(s) > SILENT]
        if not lost:
            return False
        s = min(lost)
        self.note(17, member=t["roster"][s]["name"], seat=s)
        self.append({"op": "roster", "drops": [s]})
        return True
