"""The leader's part where those with disks alone vote: who has a seat, one change at a time; handing over."""

import basaltport.consensus.codec as codec
import basaltport.consensus.feed as feed
import basaltport.consensus.lead as lead
import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.identifiers as identifiers
import basaltport.messages as messages

LEAST = 3
CHANGES = ("roster", "joint", "final", "found", "lead")


def spare(seats, live):
    """How many of the live seats may be lost with most of all seats left."""
    return live - seats // 2 - 1


def worth_dropping(seats, live):
    """Whether some of the seats that are not live can go, one by one, so that more losses are borne, and
    LEAST seats are left."""
    most = min(seats - live, seats - LEAST)
    return any(spare(seats - n, live) > spare(seats, live) for n in range(1, most + 1))


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
        """Whether no other can lead: a majority answered a heartbeat sent within the leader lease."""
        return self.holds_at(self.now)

    def holds_at(self, now):
        return self.leading and self.settled() and now - self.vouched <= timing.LEADER_LEASE

    def tick_lead(self):
        if not self.leading:
            return
        if self.now - self.lead_at > timing.PAUSED:
            self.awake_at, self.patient = self.now, self.now + timing.WAKING
        self.lead_at = self.now
        if self.now - self.vouched > timing.STEP_DOWN and self.now > self.patient:
            self.step_down("not vouched for by most seats")
            return
        if not self.settled() and self.now - self.since > timing.UNSETTLED:
            self.step_down("nothing could be agreed")
            return
        if self.disk_stalls() and self.successor():
            self.hand_over("the disk stalls")
            self.camp_at = self.now + 2 * timing.DISK_STALL
            return
        self.keep_roster()
        if self.now - self.beat_at >= feed.BEAT:
            self.beat()
        self.settle()

    # handing over

    def live(self):
        """Voting seats that answered lately, this one included."""
        since = self.now - timing.RESPONSIVE
        voters = quorum.voters(self.tip_book)
        return {s for s in voters if s == self.me.seat or self.acks.get(s, since) > since}

    def successor(self):
        """The seat of the roster that holds the most, where the others are a majority without this one."""
        others = self.live() - {self.me.seat}
        if not quorum.has_majority(self.tip_book, others):
            return None
        fit = sorted(others & self.tip_book["roster"].keys() - self.gone.keys()) or sorted(others)
        return max(fit, key=lambda s: self.match.get(s, -1))

    def hand_over(self, why):
        to = self.successor()
        if to:
            m = messages.Yield(self.promised, identifiers.MemberId(to))
            for a in self.voter_addrs():
                self.send(a, m)
        self.step_down(why)

    def disk_failed(self):
        if self.leading:
            self.note(23)
            self.hand_over("the disk failed")
            return
        super().disk_failed()

    # leaving

    def on_stop(self, ev):
        """A leader hands over. Whoever will be removed goes on voting until then: see `released`."""
        self.stopped = True
        self.stopped_at = self.now
        self.say_leave(self.voter_addrs())
        if self.leading:
            self.hand_over("it stops")

    def voter_addrs(self):
        """Addresses of all other voters."""
        voters = quorum.voters(self.tip())
        return sorted({self.addr_of(s) or r["addr"] for s, r in voters.items()} - {self.me.addr})

    def say_leave(self, addrs):
        self.leave_at = self.now
        for a in addrs:
            self.send(a, messages.Leave(self.me.seat))

    def hear_leave(self, src, m):
        self.gone[m.seat] = self.now
        self.learners.pop(m.seat, None)

    def hear_beat(self, src, m):
        """A leader that was elected since is told as well that this member leaves."""
        super().hear_beat(src, m)
        if self.stopped and self.now - self.leave_at >= timing.LEAVE_AGAIN:
            self.say_leave([m.addr])

    def released(self):
        """Whether the process may end after `Stop`: it votes no more, or the others will not remove it,
        or it has waited for that long enough. Until then a further loss may need its vote."""
        if not self.stopped or self.now - self.stopped_at >= timing.LEAVE_WAIT:
            return True
        seats = quorum.voters(self.book)
        if self.me.seat not in seats:
            return True
        return "former" not in self.book and not worth_dropping(len(seats), len(seats) - 1)

    # beats

    def beat(self):
        """Not to a seat at whose address another process runs by now."""
        self.learn()
        self.beat_at = self.now
        self.n += 1
        self.beats[self.n] = self.now
        self.beats.pop(self.n - 100, None)
        taken = {r["addr"] for r in self.learners.values()}
        for s, r in quorum.voters(self.tip_book).items():
            if s != self.me.seat and r["addr"] not in taken:
                self.beat_to(s, r)
        for s, r in self.learners.items():
            self.beat_to(s, r)
        self.vouch()

    def learn(self):
        voters = quorum.voters(self.tip_book)
        fresh = {m["seat"]: m for m in self.heard_within(timing.LEARNER) if m["role"] == "ledger"}
        self.learners = {s: m for s, m in fresh.items() if s not in voters and s not in self.gone}
        self.needs |= {s for s in self.learners if s not in self.match and s not in self.sent}

    def hear_ack(self, src, m):
        super().hear_ack(src, m)
        if not self.leading or not m.ok:
            return
        if self.now - self.gone.get(m.seat, self.now) > timing.LEFT:
            del self.gone[m.seat]
        if m.need and m.seat in self.needs and m.seat in self.learners:
            self.beat_to(m.seat, self.learners[m.seat])

    # membership: one change at a time, each agreed before the next

    def keep_roster(self):
        """Ends a joint change; new rows of known seats; then a seat that has caught up; then one less that is
        silent. Single steps change one seat, so that majorities before and after meet; where one member takes
        another's place both rosters decide until that is agreed."""
        if not self.holds() or self.pending(*CHANGES):
            return
        if "former" in self.tip_book:
            self.append({"op": "final"})
            return
        roster = self.tip_book["roster"]
        for m in [*self.heard_within(timing.LEARNER), self.me.row()]:
            if m["seat"] in roster and roster[m["seat"]] != codec.decode_member(m):
                self.append({"op": "roster", "add": m})
                return
        self.add_seat(roster) or self.drop_seat(roster)

    def quiet_for(self, s):
        """Milliseconds since a seat was last heard, as far as this leader could hear it."""
        if s == self.me.seat:
            return 0
        return self.now - max(self.acks.get(s, self.since), self.awake_at)

    def ready(self, s):
        """Whether a learner has all that is agreed, synced, and answers."""
        caught_up = self.match.get(s, -1) >= self.book["serial"]
        return caught_up and self.now - self.acks.get(s, -(10**9)) < timing.RESPONSIVE

    def add_seat(self, roster):
        """A learner that is ready takes the place of its former self or of a seat that is lost; where all
        others live it comes beside them. While a seat may be lost, it waits for what becomes of it."""
        s = min((s for s in self.learners if self.ready(s)), default=None)
        if s is None:
            return False
        row = self.learners[s]
        old = self.replaced_by(row, roster)
        if old is None and any(self.quiet_for(x) > timing.RESPONSIVE for x in roster):
            return False
        self.note(16, member=row["name"], seat=s)
        if old is None:
            self.append({"op": "roster", "add": row})
        else:
            self.append({"op": "joint", "drops": [old], "adds": [row]})
        return True

    def replaced_by(self, row, roster):
        """The seat whose place a new member takes, or None: the one at its address, whose process is no
        more, else of the lost ones the one of its name first."""
        for s in sorted(roster):
            if roster[s]["addr"] == row["addr"]:
                return s
        lost = [s for s in roster if self.lost_seat(s)]
        return min(lost, key=lambda s: (roster[s]["name"] != row["name"], self.drop_order(s)), default=None)

    def lost_seat(self, s):
        """Whether a seat said lately that it leaves, or was not heard for long."""
        if s == self.me.seat:
            return False
        leaves = s in self.gone and self.now - self.gone[s] < timing.LEAVE_WAIT
        return leaves or self.quiet_for(s) > timing.SILENT

    def drop_order(self, s):
        """Those that said so go first, then the one heard of longest ago."""
        return s not in self.gone, self.acks.get(s, self.since), s

    def drop_seat(self, roster):
        """Lost seats go, one at a time, where without them more losses are borne."""
        lost = [s for s in roster if self.lost_seat(s)]
        if not lost or not worth_dropping(len(roster), len(roster) - len(lost)):
            return False
        s = min(lost, key=self.drop_order)
        self.note(17, member=roster[s]["name"], seat=s)
        self.append({"op": "roster", "drops": [s]})
        return True
