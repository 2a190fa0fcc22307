"""The way to lead where those with disks alone vote: promises are asked for only once most hear no leader."""

import basaltport.consensus.elect as elect
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.messages as messages

CHANGES = 2000


def plain(row):
    return {k: v for k, v in row.items() if k != "first"}


class CampaignMixin(elect.ElectMixin):
    """Needs VoterMixin and RosterMixin, started before."""

    def elect_start(self):
        self.elect_at = self.now
        self.canvass_at = -(10**9)
        self.free = {}
        super().elect_start()

    def jitter(self):
        """Seats stand one after another, those of the first founders first."""
        if self.head()[1] == 0:
            a = self.me.addr
            rank = self.me.founders.index(a) if a in self.me.founders else 0
            return rank * timing.FOUNDER_STEP + self.rng.randrange(0, 40)
        last = self.leader.seat if self.leader else None
        seats = sorted(s for s in self.tip()["roster"] if s != last)
        rank = seats.index(self.me.seat) if self.me.seat in seats else len(seats)
        return rank * timing.RANK_STEP + self.rng.randrange(0, 40)

    def may_stand(self):
        if self.head()[1] == 0:
            return self.me.first_start and self.me.addr in self.me.founders
        return self.me.seat in self.tip()["roster"]

    def tick_elect(self):
        slept = self.now - self.elect_at > timing.VOTE_REFUSAL
        self.elect_at = self.now
        if self.leading or self.stopped:
            return
        if self.now - self.heard_at < timing.ELECTION_TIMEOUT:
            self.camp = self.camp_since = None
            self.camp_at = self.heard_at + timing.ELECTION_TIMEOUT + self.jitter()
            return
        if slept:
            self.camp_at = max(self.camp_at, self.now + timing.RANK_STEP)
        if self.camp:
            self.go_on()
            return
        if self.now < self.camp_at or self.now - self.promised_at < timing.CAMPAIGN:
            return
        if self.stalled or self.bad or not self.may_stand() or not self.may_vote():
            return
        if self.now - self.canvass_at >= timing.ASK_AGAIN:
            self.canvass()

    def go_on(self):
        """A campaign under way: those that have not answered are asked again, until its time is over."""
        c = self.camp
        if self.promised != c["gen"] or self.now - c["at"] >= timing.CAMPAIGN:
            self.camp = None
            self.camp_at = self.now + self.jitter()
            return
        if self.dur_promised != c["gen"]:
            return
        self.weigh()
        if self.camp is c and self.now - c["asked"] >= timing.ASK_AGAIN:
            c["asked"] = self.now
            self.out.extend(self.asks())

    # whether others hear a leader

    def hears_leader(self):
        if self.leading:
            return self.now - self.vouched < timing.RESPONSIVE
        return self.leader is not None and self.now - self.heard_at < timing.VOTE_REFUSAL

    def voices(self):
        addrs = {x["addr"] for x in self.members.values()} | set(self.me.seeds)
        if self.head()[1] == 0:
            addrs |= set(self.me.founders)
        addrs |= {r["addr"] for r in quorum.voters(self.tip()).values()}
        return sorted(addrs - {self.me.addr})

    def canvass(self):
        self.canvass_at = self.now
        m = messages.Canvass(self.me.name, self.me.addr)
        for a in self.voices():
            self.send(a, m)
        self.count_free()

    def hear_canvass(self, src, m):
        ok = not self.hears_leader()
        self.send(m.addr, messages.Canvassed(self.me.seat, self.me.name, self.me.addr, ok))

    def hear_canvassed(self, src, m):
        self.free[m.name] = (self.now if m.ok else -(10**9), m.addr)
        if m.ok and self.now - self.canvass_at < timing.CAMPAIGN:
            self.count_free()

    def count_free(self):
        """By names: one that lost its disk may vote for nothing, but knows whether there is a leader."""
        if self.leading or self.camp or self.stopped or self.stalled or self.hears_leader():
            return
        if not self.may_stand():
            return
        fresh = {n: a for n, (at, a) in self.free.items() if self.now - at < timing.CAMPAIGN}
        fresh[self.me.name] = self.me.addr
        if self.head()[1] == 0:
            said, of = set(fresh.values()), set(self.me.founders)
        else:
            said, of = set(fresh), {r["name"] for r in self.tip()["roster"].values()}
        if 2 * len(said & of) > len(of):
            self.campaign()

    # promises

    def hear_yield(self, src, m):
        """Only the word of the leader that is followed; whom it names stands next, disk at work or not."""
        if self.leader is None or m.gen != self.leader.gen:
            return
        super().hear_yield(src, m)
        if m.to == self.me.seat:
            self.camp_at, self.promised_at = self.now, -(10**9)

    def asks(self):
        m = messages.Campaign(self.camp["gen"], self.me.seat, self.me.name, self.me.addr)
        heard = {p.me["addr"] for p in self.camp["got"].values()}
        return [events.Send(a, m) for a in self.voices() if a not in heard]

    def next_term(self):
        """A term that no other member can ask for: of this seat, since two may bear one name."""
        return identifiers.Term(max(self.promised.count, self.top) + 1, self.me.seat)

    def campaign(self):
        if self.stopped or not self.may_stand() or not self.may_vote():
            return
        self.free = {}
        if self.camp_since is None:
            self.camp_since = self.told_missing = self.now
        if self.now - self.told_missing >= elect.OVERRIDE:
            self.told_missing = self.now
            self.note(19, missing=self.missing())
        gen = self.next_term()
        self.promised = gen
        got = {self.me.seat: self.promise(gen, True)}
        self.camp = {"gen": gen, "got": got, "at": self.now, "asked": self.now, "fetched": -(10**9)}
        self.write([log.TermRecord(gen)], then=self.asks())
        self.note(11, generation=gen.text())

    def weigh(self):
        c = self.camp
        if self.dur_promised != c["gen"]:
            return
        best = max(c["got"].values(), key=lambda p: (p.hgen, p.serial))
        if best.serial == 0:
            self.weigh_founding()
            return
        if (best.hgen, best.serial) > self.head():
            if self.now - c["fetched"] >= timing.FETCH_AGAIN:
                c["fetched"] = self.now
                self.send(best.me["addr"], messages.Fetch(c["gen"], self.me.seat))
            return
        if not self.may_stand():
            self.camp = None
            return
        if self.quorum(c["got"]):
            self.win()
            return
        swap = self.attested(c["got"])
        if swap:
            self.win(swap=swap)

    def hear_copy(self, src, m):
        last = m.copy.uncommitted[-1] if m.copy.uncommitted else None
        state = m.copy.cluster_state
        if ((last.term, last.index) if last else (state.term, state.log_index)) > self.head():
            super().hear_copy(src, m)

    def attested(self, got):
        """Seats whose disks are proven lost, with the rows that take their places. Proof is a new seat at the
        very address of the former one: no two processes hold one address, and a seat is kept on its disk. A
        name alone proves nothing, since the former member may live. With half of the seats here and such
        proof of others, nothing was agreed and nobody elected without one of these."""
        t = self.tip()
        if "former" in t:
            return None
        roster = t["roster"]
        kept = roster.keys() & got.keys()
        fresh = {p.me["addr"]: plain(p.me) for s, p in got.items() if s not in roster}
        swap = [[s, fresh[r["addr"]]] for s, r in roster.items() if s not in kept and r["addr"] in fresh]
        if 2 * len(kept) < len(roster) or 2 * (len(kept) + len(swap)) <= len(roster):
            return None
        return swap if self.now - self.camp_since >= timing.ATTESTED else None

    def weigh_founding(self):
        c = self.camp
        of = self.me.founders
        ps = {p.me["addr"]: p for p in c["got"].values() if p.me.get("first") and p.me["addr"] in of}
        if not self.may_stand() or 2 * len(ps) <= len(of):
            return
        if len(ps) < len(of) and self.now - c["at"] < timing.ALL_FOUNDERS:
            return
        self.note(12, seats=len(ps), expected=len(of))
        roster = {p.seat: plain(p.me) for p in ps.values()}
        self.win({"roster": roster, "ledgers": sorted(roster), "voters": "ledgers", "keep": CHANGES})
