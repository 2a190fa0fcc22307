"""The leader's part where those with disks alone vote: who has a seat, one change at a time; handing over."""

import basaltport.consensus.feed as feed
import basaltport.consensus.lead as lead
import basaltport.kinds as kinds
import basaltport.messages as messages

HOLD = 700
UNVOUCHED = 1000
UNSETTLED = 4000
SLEPT = 400
WAKING = 500
STALL = 1000
LEARN = 1500
HEARD = 700
SILENT = 2000
LEFT = 1000
LEAST = 3


def spare(seats, live):
    """How many of the live seats may be lost with most of all seats left."""
    return live - seats // 2 - 1


class RosterMixin(lead.LeadMixin):
    """Needs VoterMixin and CampaignMixin. `learners`: rows by seat of those that are fed but do not vote."""

    def lead_clear(self):
        super().lead_clear()
        self.learners = {}
        self.vouched = -(10**9)

    def lead_start(self, found, got, swap, drops):
        before, heard, past = self.leader, self.heard_at, self.past
        self.awake_at = -(10**9)
        super().lead_start(found, got, swap, drops)
        self.past = past
        if before and before.seat not in got:
            self.acks[before.seat] = heard

    def holds(self):
        """Whether no other can lead: most seats answered a beat that was sent lately."""
        return self.holds_at(self.now)

    def holds_at(self, now):
        return self.leading and self.settled() and now - self.vouched <= HOLD

    def tick_lead(self):
        if not self.leading:
            return
        if self.now - self.lead_at > SLEPT:
            self.awake_at, self.patient = self.now, self.now + WAKING
        self.lead_at = self.now
        if self.now - self.vouched > UNVOUCHED and self.now > self.patient:
            self.step_down("not vouched for by most seats")
            return
        if not self.settled() and self.now - self.since > UNSETTLED:
            self.step_down("nothing could be agreed")
            return
        if self.disk_stalls() and self.successor():
            self.hand_over("the disk stalls")
            self.camp_at = self.now + 2 * STALL
            return
        self.keep_roster()
        if self.now - self.beat_at >= feed.BEAT:
            self.beat()
        self.settle()

    # handing over

    def live(self):
        """Seats of the roster that answered lately, this one included."""
        r = self.tip_book["roster"]
        return {s for s in r if s == self.me.seat or self.now - self.acks.get(s, -(10**9)) < HEARD}

    def successor(self):
        """The seat that holds the most, where the others are most without this one."""
        r, others = self.tip_book["roster"], self.live() - {self.me.seat}
        if 2 * len(others) <= len(r):
            return None
        return max(sorted(others), key=lambda s: self.match.get(s, -1))

    def hand_over(self, why):
        to = self.successor()
        if to:
            m = messages.Yield(self.promised, kinds.Seat(to))
            for s, r in self.tip_book["roster"].items():
                if s != self.me.seat:
                    self.send(self.addr_of(s) or r["addr"], m)
        self.step_down(why)

    def disk_failed(self):
        if self.leading:
            self.note(23)
            self.hand_over("the disk failed")
            return
        super().disk_failed()

    def on_stop(self, ev):
        self.stopped = True
        for s, r in self.tip()["roster"].items():
            if s != self.me.seat:
                self.send(self.addr_of(s) or r["addr"], messages.Leave(self.me.seat))
        if self.leading:
            self.hand_over("it stops")

    def hear_leave(self, src, m):
        self.gone[m.seat] = self.now
        self.learners.pop(m.seat, None)

    # beats

    def beat(self):
        """Not to a seat in whose place, under its name, another is there."""
        self.learn()
        self.beat_at = self.now
        self.n += 1
        self.beats[self.n] = self.now
        self.beats.pop(self.n - 100, None)
        names = {r["name"] for r in self.learners.values()}
        for s, r in self.tip_book["roster"].items():
            if s != self.me.seat and r["name"] not in names:
                self.beat_to(s, r)
        for s, r in self.learners.items():
            self.beat_to(s, r)
        self.vouch()

    def learn(self):
        roster = self.tip_book["roster"]
        fresh = {m["seat"]: m for m in self.heard_within(LEARN) if m["role"] == "ledger"}
        self.learners = {s: m for s, m in fresh.items() if s not in roster and s not in self.gone}
        self.needs |= {s for s in self.learners if s not in self.match and s not in self.sent}

    def hear_ack(self, src, m):
        super().hear_ack(src, m)
        if not self.leading or not m.ok:
            return
        if self.now - self.gone.get(m.seat, self.now) > LEFT:
            del self.gone[m.seat]
        if m.need and m.seat in self.needs and m.seat in self.learners:
            self.beat_to(m.seat, self.learners[m.seat])

    # roster

    def keep_roster(self):
        """New rows of known seats; then a seat that has caught up; then one less that is silent."""
        if not self.holds() or self.pending("roster", "found", "lead"):
            return
        roster = self.tip_book["roster"]
        for m in [*self.heard_within(LEARN), self.me.row()]:
            if m["seat"] in roster and roster[m["seat"]] != m:
                self.append({"op": "roster", "add": m})
                return
        self.add_seat(roster) or self.drop_seat(roster)

    def ready(self, s):
        return self.match.get(s, -1) >= self.book["serial"] and self.now - self.acks.get(s, -(10**9)) < HEARD

    def add_seat(self, roster):
        """One that came back under its name without its memory takes the place of its former self."""
        s = min((s for s in self.learners if self.ready(s)), default=None)
        if s is None:
            return False
        row = self.learners[s]
        old = [x for x, r in roster.items() if r["name"] == row["name"]]
        op = {"op": "roster", "swap": [[old[0], row]]} if old else {"op": "roster", "add": row}
        self.note(16, member=row["name"], seat=s)
        self.append(op)
        return True

    def silent(self, s):
        at = max(self.acks.get(s, self.since), self.awake_at)
        return s != self.me.seat and (s in self.gone or self.now - at > SILENT)

    def drop_seat(self, roster):
        """Silent seats go where without them one more may be lost, but never so that few disks are left."""
        lost = [s for s in roster if self.silent(s)]
        n, live = len(roster), len(roster) - len(lost)
        if not lost or live < LEAST or spare(live, live) <= spare(n, live):
            return False
        s = min(lost, key=lambda s: (s not in self.gone, self.acks.get(s, self.since), s))
        self.note(17, member=roster[s]["name"], seat=s)
        self.append({"op": "roster", "drops": [s]})
        return True
