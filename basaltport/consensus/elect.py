"""A ledger's way to lead: a new generation promised by seats, recovered from the highest serial held."""

import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.messages as messages

PATIENCE = 700
STRANGER = 2500
ROUND = 600
RESTART = 2500
OVERRIDE = 5000


class ElectMixin:
    """Needs SeatMixin and LeadMixin."""

    def elect_start(self):
        self.camp = None
        self.top = 0
        self.lost_names = set()
        self.told_missing = self.now
        self.camp_since = None
        self.camp_at = self.now + self.jitter()

    def jitter(self):
        return self.rng.randrange(0, 400)

    def patience(self):
        if self.book["roster"] and self.me.seat not in self.tip()["ledgers"]:
            return STRANGER
        return PATIENCE

    def tick_elect(self):
        if self.leading or self.stopped:
            return
        if self.now - self.heard_at < self.patience():
            self.camp = None
            self.camp_since = None
            self.camp_at = self.now + self.patience() + self.jitter()
            return
        if self.camp and self.promised == self.camp["gen"] and len(self.camp["got"]) > 1:
            self.weigh()
            if self.leading:
                return
        if (
            self.now < self.camp_at
            or self.now - self.promised_at < ROUND + self.jitter()
            or self.stalled
            or self.bad
        ):
            return
        self.campaign()

    def hear_yield(self, src, m):
        super().hear_yield(src, m)
        if m.to == self.me.seat and not self.leading and not self.stalled and not self.bad:
            self.campaign()

    def campaign(self):
        self.camp_at = self.now + ROUND + self.jitter()
        if self.camp_since is None:
            self.camp_since = self.told_missing = self.now
        if self.now - self.told_missing >= OVERRIDE:
            self.told_missing = self.now
            self.note(19, missing=self.missing())
        gen = identifiers.Term(max(self.promised.count, self.top) + 1, self.me.name)
        self.promised = gen
        own = self.promise(gen, True)
        self.camp = {"gen": gen, "got": {self.me.seat: own}}
        m = messages.Campaign(gen, self.me.seat, self.me.name, self.me.addr)
        addrs = {x["addr"] for x in self.members.values()} | set(self.me.seeds)
        addrs |= {r["addr"] for r in self.tip()["roster"].values()}
        sends = [events.Send(a, m) for a in sorted(addrs - {self.me.addr})]
        self.write([log.TermRecord(gen)], then=sends)
        self.note(11, generation=gen.text())

    def hear_promise(self, src, m):
        c = self.camp
        if c is None or self.leading:
            return
        if not m.ok:
            self.top = max(self.top, m.promised.count)
            return
        if m.gen != c["gen"] or self.promised != c["gen"]:
            return
        c["got"][m.seat] = m
        self.weigh()

    def weigh(self):
        c = self.camp
        best = max(c["got"].values(), key=lambda p: (p.hgen, p.serial))
        if best.serial == 0:
            self.weigh_founding()
            return
        if (best.hgen, best.serial) > self.head():
            self.send(best.me["addr"], messages.Fetch(c["gen"], self.me.seat))
            return
        if self.quorum(c["got"]):
            self.win()
            return
        swap = self.attested(c["got"])
        if swap is not None:
            self.win(swap=swap)
            return
        drops = self.overridden(c["got"])
        if drops:
            self.win(drops=drops)

    def hear_copy(self, src, m):
        c = self.camp
        if c is None or m.gen != c["gen"] or self.promised != c["gen"]:
            return
        self.install(m.copy)
        self.weigh()

    def quorum(self, got):
        """Whether the votes of these seats elect."""
        return quorum.has_majority(self.tip(), got.keys())

    def attested(self, got):
        """After a power cut: most ledger disks, and successors attesting the loss of seats they replace."""
        t = self.tip()
        roster = t["roster"]
        kept = roster.keys() & got.keys()
        fresh = {p.name: p.me for s, p in got.items() if s not in roster and p.serial == 0}
        swap = [[s, fresh[r["name"]]] for s, r in roster.items() if s not in kept and r["name"] in fresh]
        if 2 * (len(kept) + len(swap)) <= len(roster):
            return None
        if 2 * len(kept & set(t["ledgers"])) <= len(t["ledgers"]):
            return None
        return swap if self.now - self.camp_since >= RESTART else None

    def overridden(self, got):
        """An operator's word that members are gone for good: most of the others are enough."""
        roster = self.tip()["roster"]
        drops = [s for s, r in roster.items() if r["name"] in self.lost_names and s not in got]
        left = roster.keys() - set(drops)
        return drops if 2 * len(left & got.keys()) > len(left) else None

    def missing(self):
        """Names of roster members whose promise is not there."""
        got = self.camp["got"] if self.camp else {}
        return sorted(r["name"] for s, r in self.tip()["roster"].items() if s not in got)

    def override(self, names):
        """None, or why the word is not taken."""
        if self.leading or self.now - self.heard_at < OVERRIDE:
            return "there is a leader, or was within five seconds"
        known = {r["name"] for r in self.tip()["roster"].values()}
        if set(names) - known:
            return f"not in the roster: {sorted(set(names) - known)}"
        heard = [n for n in names if n in self.members and self.now - self.members[n]["at"] < OVERRIDE]
        if heard:
            return f"heard of within five seconds: {heard}"
        self.note(24, lost=sorted(names))
        self.lost_names = set(names)
        return None

    def weigh_founding(self):
        c = self.camp
        names = {p.name for p in c["got"].values()}
        if 2 * len(names) <= self.me.expected:
            return
        ls = [p for p in c["got"].values() if p.me["role"] == "ledger"]
        if 2 * len(ls) <= self.me.ledgers:
            return
        self.note(12, seats=len(names), expected=self.me.expected)
        self.win({"roster": {p.seat: p.me for p in c["got"].values()}, "ledgers": sorted(p.seat for p in ls)})

    def win(self, found=None, swap=(), drops=()):
        c = self.camp
        self.camp = None
        self.camp_since = None
        self.leading = True
        self.note(13, generation=c["gen"].text(), serial=int(self.head()[1]))
        self.lost_names = set()
        self.lead_start(found, c["got"], list(swap), list(drops))
