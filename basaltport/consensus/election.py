"""The way to lead: a candidate finds that most hear no leader (pre-vote), asks for votes of a new term, and
takes over the newest log among its voters before it counts them."""

import dataclasses
import typing

import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.messages as messages

NEVER = -(10**9)
ELECTION_TIMEOUT = 700
"""Without pre-vote: silence of the leader after which a member stands."""
OUTSIDER_TIMEOUT = 2500
"""The same for one that is not among the disk members of the log."""
CAMPAIGN_SPREAD = 400
ROUND = 600
OVERRIDE = 5000


@dataclasses.dataclass(slots=True, eq=False)
class Candidacy:
    """One term that this member asks votes for: since when, when it last asked for votes and for a newer
    log."""

    term: identifiers.Term
    votes: dict[str, typing.Any]
    started_at: int
    requested_at: int
    fetched_at: int = NEVER


class ElectionMixin:
    """`camp`: the candidacy under way."""

    def elect_start(self):
        self.elect_at = self.now
        self.canvass_at = NEVER
        self.free = {}
        self.camp = None
        self.top = 0
        self.lost_names = set()
        self.told_missing = self.now
        self.camp_since = None
        self.camp_at = self.now + self.jitter()
        self.listeners.transfer_heard.append(self.take_over)

    # when to stand

    def jitter(self):
        if not self.policy.pre_vote:
            return self.rng.randrange(0, CAMPAIGN_SPREAD)
        return self.turn() + self.rng.randrange(0, 40)

    def turn(self):
        """Members stand one after another, those of the first founders first."""
        if self.head()[1] == 0:
            a = self.me.addr
            rank = self.me.founders.index(a) if a in self.me.founders else 0
            return rank * timing.FOUNDER_STEP
        last = self.leader.seat if self.leader else None
        seats = sorted(s for s in self.tip().members if s != last)
        rank = seats.index(self.me.seat) if self.me.seat in seats else len(seats)
        return rank * timing.RANK_STEP

    def may_stand(self):
        if not self.policy.pre_vote:
            return True
        if self.head()[1] == 0:
            return self.me.first_start and self.me.addr in self.me.founders
        return self.me.seat in self.tip().members

    def election_timeout(self):
        if self.policy.pre_vote:
            return timing.ELECTION_TIMEOUT
        if self.book.members and self.me.seat not in self.tip().disk_members:
            return OUTSIDER_TIMEOUT
        return ELECTION_TIMEOUT

    def tick_elect(self):
        slept = self.now - self.elect_at > timing.VOTE_REFUSAL
        self.elect_at = self.now
        if self.leading or self.stopped:
            return
        timeout = self.election_timeout()
        if self.now - self.heard_at < timeout:
            self.camp = self.camp_since = None
            since = self.heard_at if self.policy.pre_vote else self.now
            self.camp_at = since + timeout + self.jitter()
            return
        if slept and self.policy.pre_vote:
            self.camp_at = max(self.camp_at, self.now + timing.RANK_STEP)
        if self.policy.pre_vote:
            self.tick_pre_vote()
            return
        self.tick_campaign()

    def tick_pre_vote(self):
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
        """A candidacy under way: those that have not answered are asked again, until its time is over."""
        c = self.camp
        if self.promised != c.term or self.now - c.started_at >= timing.CAMPAIGN:
            self.camp = None
            self.camp_at = self.now + self.jitter()
            return
        if self.dur_promised != c.term:
            return
        self.weigh()
        if self.camp is c and self.now - c.requested_at >= timing.ASK_AGAIN:
            c.requested_at = self.now
            self.out.extend(self.asks())

    def tick_campaign(self):
        """Without pre-vote: each round a new term."""
        c = self.camp
        if c and self.promised == c.term and len(c.votes) > 1:
            self.weigh()
            if self.leading:
                return
        if self.now < self.camp_at or self.now - self.promised_at < ROUND + self.jitter():
            return
        if self.stalled or self.bad:
            return
        self.campaign()

    def take_over(self, m):
        """The leader hands over; whom it names stands next, disk at work or not."""
        if m.to != self.me.seat:
            return
        if not self.leading and not self.stalled and not self.bad:
            self.campaign()
        if self.policy.pre_vote:
            self.camp_at, self.promised_at = self.now, NEVER

    # pre-vote: whether others hear a leader

    def canvass(self):
        self.canvass_at = self.now
        m = messages.Canvass(self.me.name, self.me.addr)
        for a in self.peer_addresses():
            self.send(a, m)
        self.count_free()

    def hear_canvassed(self, src, m):
        self.free[m.name] = (self.now if m.ok else NEVER, m.addr)
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
            said, of = set(fresh), {r["name"] for r in self.tip().members.values()}
        if quorum.is_majority(said, of):
            self.campaign()

    # asking for votes

    def asks(self):
        m = messages.Campaign(self.camp.term, self.me.seat, self.me.name, self.me.addr)
        heard = {p.me["addr"] for p in self.camp.votes.values()}
        return [events.Send(a, m) for a in self.peer_addresses() if a not in heard]

    def next_term(self):
        """A term that no other member can ask for: of this member's id, since two may bear one name (M1)."""
        owner = self.me.seat if self.policy.pre_vote else self.me.name
        return identifiers.Term(max(self.promised.count, self.top) + 1, owner)

    def campaign(self):
        if self.policy.pre_vote and (self.stopped or not self.may_stand() or not self.may_vote()):
            return
        if not self.policy.pre_vote:
            self.camp_at = self.now + ROUND + self.jitter()
        self.free = {}
        if self.camp_since is None:
            self.camp_since = self.told_missing = self.now
        if self.now - self.told_missing >= OVERRIDE:
            self.told_missing = self.now
            self.note(19, missing=self.missing())
        term = self.next_term()
        self.promised = term
        self.camp = Candidacy(term, {self.me.seat: self.promise(term, True)}, self.now, self.now)
        # M1: the candidate's own vote is on the disk before it asks for others.
        self.write([log.TermRecord(term)], then=self.asks())
        self.note(11, generation=term.text())

    def hear_promise(self, src, m):
        c = self.camp
        if c is None or self.leading:
            return
        if not m.ok:
            self.top = max(self.top, m.promised.count)
            return
        if m.gen != c.term or self.promised != c.term:
            return
        c.votes[m.seat] = m
        self.weigh()

    def hear_copy(self, src, m):
        """A newer log that was asked for; an older one changes nothing (M6)."""
        c = self.camp
        if self.policy.pre_vote and not self.is_newer(m.copy):
            return
        if c is None or m.gen != c.term or self.promised != c.term:
            return
        self.install(m.copy)
        self.weigh()

    def is_newer(self, copy):
        return (copy.last_term, copy.last_index) > self.head()

    # counting them

    def weigh(self):
        c = self.camp
        # M1: a vote counts once it is synced, this member's own as well.
        if self.dur_promised != c.term:
            return
        best = max(c.votes.values(), key=lambda p: (p.hgen, p.serial))
        if best.serial == 0:
            self.weigh_founding()
            return
        # M1: the newest log of a majority leads.
        if (best.hgen, best.serial) > self.head():
            self.fetch_from(best.me["addr"])
            return
        if not self.may_stand():
            self.camp = None
            return
        if self.quorum(c.votes):
            self.win()
            return
        swap = self.attested(c.votes)
        if swap:
            self.win(swap=swap)
            return
        drops = self.overridden(c.votes)
        if drops:
            self.win(drops=drops)

    def fetch_from(self, addr):
        c = self.camp
        if self.now - c.fetched_at >= self.policy.snapshot_request_interval_ms:
            c.fetched_at = self.now
            self.send(addr, messages.Fetch(c.term, self.me.seat))

    def quorum(self, got):
        """Whether the votes of these seats elect."""
        return quorum.has_majority(self.tip(), got.keys())

    def win(self, found=None, swap=(), drops=()):
        c = self.camp
        self.camp = None
        self.camp_since = None
        self.note(13, generation=c.term.text(), serial=int(self.head()[1]))
        self.lost_names = set()
        self.lead_start(found, c.votes, list(swap), list(drops))

    # lost members

    def missing(self):
        """Names of roster members whose vote is not there."""
        got = self.camp.votes if self.camp else {}
        return sorted(r["name"] for s, r in self.tip().members.items() if s not in got)

    def overridden(self, got):
        """An operator's word that members are gone for good: most of the others are enough."""
        roster = self.tip().members
        drops = [s for s, r in roster.items() if r["name"] in self.lost_names and s not in got]
        left = roster.keys() - set(drops)
        return drops if quorum.is_majority(got.keys(), left) else None

    def override(self, names):
        """None, or why the word is not taken."""
        if self.leading or self.now - self.heard_at < OVERRIDE:
            return "there is a leader, or was within five seconds"
        known = {r["name"] for r in self.tip().members.values()}
        if set(names) - known:
            return f"not in the roster: {sorted(set(names) - known)}"
        heard = [n for n in names if n in self.members and self.now - self.members[n]["at"] < OVERRIDE]
        if heard:
            return f"heard of within five seconds: {heard}"
        self.note(24, lost=sorted(names))
        self.lost_names = set(names)
        return None
