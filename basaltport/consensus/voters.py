"""What a seat does where those with disks alone vote: says hello until it is led, answers candidates twice,
takes no beat out of its order."""

import basaltport.consensus.book as book
import basaltport.consensus.quorum as quorum
import basaltport.consensus.seat as seat
import basaltport.consensus.sizes as sizes
import basaltport.consensus.timing as timing

LEASE = timing.EXECUTOR_LEASE
PAST = 200
PAST_BYTES = 4 << 20


class VoterMixin(seat.SeatMixin):
    """Needs CampaignMixin and RosterMixin. `past`: agreed entries, kept by every seat for a while."""

    LEASE = LEASE

    def seat_start(self, held=None, promised=seat.NONE):
        """Acks are numbered apart from those of an earlier life of the same seat. `vote_from`: when the lease
        of a leader that was acknowledged in an earlier life is over; that life ended before this process
        began."""
        super().seat_start(held, promised)
        self.ack_k = self.rng.getrandbits(30) << seat.LIFE
        self.past = {}
        self.past_size = 0
        self.gone = {}
        self.leave_at = None
        self.vote_from = -(10**9) if promised == seat.NONE else self.began + timing.VOTE_REFUSAL

    # discovery

    def led(self):
        """In the roster, and leading or led."""
        if self.me.seat not in quorum.voters(self.book):
            return False
        return self.leading or self.leader is not None and self.now - self.heard_at < seat.LEASE

    def tick_hello(self):
        """Seats that are led say it seldom, so that wires between them are open when they are needed."""
        if self.stopped or self.now < self.hello_at + (timing.HELLO_LED if self.led() else timing.HELLO):
            return
        self.hello_at = self.now
        known = [m for m in self.heard_within(10_000) if m["role"] == "ledger"][:20]
        for a in self.voices():
            self.send(a, self.hello(known))

    def hear_hello(self, src, m):
        """One that the leader may not know of is told to it."""
        if m.role != "ledger":
            return
        old = self.members.get(m.name)
        new = old is None or old["seat"] != m.seat or self.now - old["at"] >= timing.HELLO_PASS_ON
        super().hear_hello(src, m)
        if m.house != self.me.house or m.name == self.me.name:
            return
        self.gone.pop(m.seat, None)
        known = self.book["roster"].get(m.seat, {}).get("addr") == m.addr
        if new and not known and not self.leading and self.hears_leader():
            self.send(self.leader.addr, m)

    # votes

    def may_vote(self):
        """A heartbeat acknowledged before a restart is forgotten: its leader's lease is waited out."""
        return self.now >= self.vote_from

    def promise(self, gen, ok):
        p = super().promise(gen, ok)
        p.me["first"] = self.me.first_start
        return p

    def hear_campaign(self, src, m):
        if m.gen == self.promised and m.seat != self.me.seat:
            if not self.durable or self.dur_promised == self.promised:
                self.send(m.addr, self.promise(m.gen, True))
            return
        if m.gen > self.promised and (self.hears_leader() or not self.may_vote()):
            self.send(m.addr, self.promise(m.gen, False))
            return
        super().hear_campaign(src, m)

    # the feed

    def hear_beat(self, src, m):
        """What comes late by an older connection must not take back what was synced since."""
        if self.leader is not None and m.gen == self.leader.gen and m.n < self.beat_n:
            return
        g, s = self.head()
        if m.copy and g == m.gen:
            if m.copy.last_index <= s:
                m.copy = None
        super().hear_beat(src, m)

    def advance(self, commit, cgen):
        es = [e for e in self.tail if e["s"] <= commit]
        was = self.book["serial"]
        super().advance(commit, cgen)
        for e in es:
            if was < e["s"] <= self.book["serial"]:
                self.keep_past(e)

    def keep_past(self, e):
        """Agreed entries without a gap, the newest of them."""
        if self.past and e["s"] - 1 not in self.past:
            self.clear_past()
        self.past[e["s"]] = e
        self.past_size += sizes.entry_size(e)
        while len(self.past) > PAST or self.past_size > PAST_BYTES and len(self.past) > 1:
            self.past_size -= sizes.entry_size(self.past.pop(next(iter(self.past))))

    def install(self, copy):
        was = book.serial(self.book)
        super().install(copy)
        if book.serial(self.book) > was and book.serial(self.book) not in self.past:
            self.clear_past()

    def clear_past(self):
        self.past, self.past_size = {}, 0
