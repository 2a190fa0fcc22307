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

    def election_start(self):
        self.election_ticked_at_ms = self.now
        self.pre_vote_sent_at_ms = NEVER
        self.free = {}
        self.candidacy = None
        self.top = 0
        self.lost_names = set()
        self.missing_noted_at_ms = self.now
        self.standing_since_ms = None
        self.candidacy_due_at_ms = self.now + self.jitter()
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

    def may_be_candidate(self):
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
        slept = self.now - self.election_ticked_at_ms > timing.VOTE_REFUSAL
        self.election_ticked_at_ms = self.now
        if self.leading or self.stopped:
            return
        timeout = self.election_timeout()
        if self.now - self.heard_at < timeout:
            self.candidacy = self.standing_since_ms = None
            since = self.heard_at if self.policy.pre_vote else self.now
            self.candidacy_due_at_ms = since + timeout + self.jitter()
            return
        if slept and self.policy.pre_vote:
            self.candidacy_due_at_ms = max(self.candidacy_due_at_ms, self.now + timing.RANK_STEP)
        if self.policy.pre_vote:
            self.tick_pre_vote()
            return
        self.tick_campaign()

    def tick_pre_vote(self):
        if self.candidacy:
            self.continue_candidacy()
            return
        if self.now < self.candidacy_due_at_ms or self.now - self.voted_at_ms < timing.CAMPAIGN:
            return
        if self.stalled or self.bad or not self.may_be_candidate() or not self.may_vote():
            return
        if self.now - self.pre_vote_sent_at_ms >= timing.ASK_AGAIN:
            self.start_pre_vote()

    def continue_candidacy(self):
        """A candidacy under way: those that have not answered are asked again, until its time is over."""
        c = self.candidacy
        if self.current_term != c.term or self.now - c.started_at >= timing.CAMPAIGN:
            self.candidacy = None
            self.candidacy_due_at_ms = self.now + self.jitter()
            return
        if self.synced_term != c.term:
            return
        self.count_votes()
        if self.candidacy is c and self.now - c.requested_at >= timing.ASK_AGAIN:
            c.requested_at = self.now
            self.out.extend(self.asks())

    def tick_campaign(self):
        """Without pre-vote: each round a new term."""
        c = self.candidacy
        if c and self.current_term == c.term and len(c.votes) > 1:
            self.count_votes()
            if self.leading:
                return
        if self.now < self.candidacy_due_at_ms or self.now - self.voted_at_ms < ROUND + self.jitter():
            return
        if self.stalled or self.bad:
            return
        self.start_candidacy()

    def take_over(self, m):
        """The leader hands over; whom it names stands next, disk at work or not."""
        if m.to != self.me.seat:
            return
        if not self.leading and not self.stalled and not self.bad:
            self.start_candidacy()
        if self.policy.pre_vote:
            self.candidacy_due_at_ms, self.voted_at_ms = self.now, NEVER

    # pre-vote: whether others hear a leader

    def start_pre_vote(self):
        self.pre_vote_sent_at_ms = self.now
        m = messages.PreVoteRequest(self.me.name, self.me.addr)
        for a in self.peer_addresses():
            self.send(a, m)
        self.count_pre_votes()

    def hear_pre_vote(self, src, m):
        self.free[m.name] = (self.now if m.ok else NEVER, m.addr)
        if m.ok and self.now - self.pre_vote_sent_at_ms < timing.CAMPAIGN:
            self.count_pre_votes()

    def count_pre_votes(self):
        """By names: one that lost its disk may vote for nothing, but knows whether there is a leader."""
        if self.leading or self.candidacy or self.stopped or self.stalled or self.hears_leader():
            return
        if not self.may_be_candidate():
            return
        fresh = {n: a for n, (at, a) in self.free.items() if self.now - at < timing.CAMPAIGN}
        fresh[self.me.name] = self.me.addr
        if self.head()[1] == 0:
            said, of = set(fresh.values()), set(self.me.founders)
        else:
            said, of = set(fresh), {r["name"] for r in self.tip().members.values()}
        if quorum.is_majority(said, of):
            self.start_candidacy()

    # asking for votes

    def asks(self):
        m = messages.VoteRequest(self.candidacy.term, self.me.seat, self.me.name, self.me.addr)
        heard = {p.me["addr"] for p in self.candidacy.votes.values()}
        return [events.Send(a, m) for a in self.peer_addresses() if a not in heard]

    def next_term(self):
        """A term that no other member can ask for: of this member's id, since two may bear one name (M1)."""
        owner = self.me.seat if self.policy.pre_vote else self.me.name
        return identifiers.Term(max(self.current_term.count, self.top) + 1, owner)

    def start_candidacy(self):
        if self.policy.pre_vote and (self.stopped or not self.may_be_candidate() or not self.may_vote()):
            return
        if not self.policy.pre_vote:
            self.candidacy_due_at_ms = self.now + ROUND + self.jitter()
        self.free = {}
        if self.standing_since_ms is None:
            self.standing_since_ms = self.missing_noted_at_ms = self.now
        if self.now - self.missing_noted_at_ms >= OVERRIDE:
            self.missing_noted_at_ms = self.now
            self.note(19, missing=self.missing())
        term = self.next_term()
        self.current_term = term
        self.candidacy = Candidacy(term, {self.me.seat: self.promise(term, True)}, self.now, self.now)
        # M1: the candidate's own vote is on the disk before it asks for others.
        self.write([log.TermRecord(term)], then=self.asks())
        self.note(11, generation=term.text())

    def hear_vote(self, src, m):
        c = self.candidacy
        if c is None or self.leading:
            return
        if not m.ok:
            self.top = max(self.top, m.current_term.count)
            return
        if m.gen != c.term or self.current_term != c.term:
            return
        c.votes[m.seat] = m
        self.count_votes()

    def hear_snapshot(self, src, m):
        """A newer log that was asked for; an older one changes nothing (M6)."""
        c = self.candidacy
        if self.policy.pre_vote and not self.is_newer(m.copy):
            return
        if c is None or m.gen != c.term or self.current_term != c.term:
            return
        self.install(m.copy)
        self.count_votes()

    def is_newer(self, copy):
        return (copy.last_term, copy.last_index) > self.head()

    # counting them

    def count_votes(self):
        c = self.candidacy
        # M1: a vote counts once it is synced, this member's own as well.
        if self.synced_term != c.term:
            return
        best = max(c.votes.values(), key=lambda p: (p.hgen, p.serial))
        if best.serial == 0:
            self.count_founding_votes()
            return
        # M1: the newest log of a majority leads.
        if (best.hgen, best.serial) > self.head():
            self.request_snapshot_from(best.me["addr"])
            return
        if not self.may_be_candidate():
            self.candidacy = None
            return
        if self.quorum(c.votes):
            self.win()
            return
        swap = self.proven_replacements(c.votes)
        if swap:
            self.win(swap=swap)
            return
        drops = self.members_declared_lost(c.votes)
        if drops:
            self.win(drops=drops)

    def request_snapshot_from(self, addr):
        c = self.candidacy
        if self.now - c.fetched_at >= self.policy.snapshot_request_interval_ms:
            c.fetched_at = self.now
            self.send(addr, messages.SnapshotRequest(c.term, self.me.seat))

    def quorum(self, got):
        """Whether the votes of these seats elect."""
        return quorum.has_majority(self.tip(), got.keys())

    def win(self, found=None, swap=(), drops=()):
        c = self.candidacy
        self.candidacy = None
        self.standing_since_ms = None
        self.note(13, generation=c.term.text(), serial=int(self.head()[1]))
        self.lost_names = set()
        self.start_leading(found, c.votes, list(swap), list(drops))

    # lost members

    def missing(self):
        """Names of roster members whose vote is not there."""
        got = self.candidacy.votes if self.candidacy else {}
        return sorted(r["name"] for s, r in self.tip().members.items() if s not in got)

    def members_declared_lost(self, got):
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
