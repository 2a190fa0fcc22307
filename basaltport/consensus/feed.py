"""The feed: beats with what each seat lacks, and the echoes that lengthen leases."""

import dataclasses

import basaltport.kinds as kinds
import basaltport.consensus.book as book
import basaltport.consensus.seat as seat
import basaltport.messages as messages
import basaltport.text as text

BEAT = 200
RESEND = 250
SLOWEST_RATE = 500
LARGE = 1 << 20
AT_ONCE = 4
MARGIN = 150


@dataclasses.dataclass(frozen=True, slots=True)
class LargeLoad:
    """What was sent to a member: when, how many bytes, and with which heartbeat."""

    at: int
    size: int
    heartbeat: int


class FeedMixin:
    """Needs LeadMixin."""

    def beat(self):
        self.beat_at = self.now
        self.n += 1
        self.beats[self.n] = self.now
        self.beats.pop(self.n - 100, None)
        for s, r in self.tip_book["roster"].items():
            if s != self.me.seat:
                self.beat_to(s, r)
        self.vouch()

    def beat_to(self, s, r):
        es, copy, pg, ps = self.load_for(s)
        echo = self.echo_for(s, r)
        age = kinds.Millis(self.now - self.vouched)
        b = messages.Beat(
            self.promised,
            self.me.seat,
            self.me.name,
            self.me.addr,
            self.n,
            book.serial(self.book),
            book.gen(self.book),
            pg,
            ps,
            es,
            copy,
            age,
            echo,
        )
        self.send(self.addr_of(s) or r["addr"], b)

    def load_for(self, s):
        """What a seat lacks: entries with what stands before them, or a copy; large ones a few at a time."""
        head = self.head()
        at, upto = self.sent.get(s, (-(10**9), 0))
        m = self.match.get(s)
        if s in self.needs:
            es, copy, pg, ps = [], self.copy(), *head
        elif m is None or m < head[1]:
            fresh = self.now - at < RESEND or self.under_way(s)
            if fresh and upto >= head[1]:
                return [], {}, *head
            base = m if m is not None else head[1] - 1
            es, pg, ps = self.entries_from(max(base, upto) if fresh else base)
            copy = self.copy() if es is None else {}
        else:
            return [], {}, *head
        size = text.size(copy) if copy else text.size(es)
        if size > LARGE and s not in self.heavy and self.busy() >= AT_ONCE:
            return [], {}, *head
        self.needs.discard(s)
        self.sent[s] = (self.now, head[1])
        self.heavy.pop(s, None)
        if size > LARGE:
            self.heavy[s] = LargeLoad(self.now, size, self.n)
        return es or [], copy, pg, ps

    def under_way(self, s):
        """Whether something large that was sent may still be on its way. Heartbeats arrive in their order, so
        it is not where a later one was acknowledged; else a link as slow as SLOWEST_RATE is waited for."""
        load = self.heavy.get(s)
        if load is None or self.seen_n.get(s, 0) > load.heartbeat:
            return False
        return self.now - load.at < load.size // SLOWEST_RATE

    def busy(self):
        return sum(self.under_way(s) for s in self.heavy)

    def entries_from(self, s):
        """Entries after serial s with what stands before them, or None where only a copy will do."""
        have = {book.serial(self.book): book.gen(self.book)}
        have.update({k: book.gen_of(e) for k, e in self.past.items()})
        have.update({e["s"]: book.gen_of(e) for e in self.tail})
        if s not in have:
            return None, *self.head()
        es = [self.past[k] for k in sorted(self.past) if k > s] + [e for e in self.tail if e["s"] > s]
        if es and es[0]["s"] != s + 1:
            return None, *self.head()
        return es, have[s], kinds.Serial(s)

    def echo_for(self, s, r):
        if r["role"] != "rostrum" or s not in self.echoes or s in self.left:
            return 0
        k, at, applied = self.echoes[s]
        if applied < self.acked or self.late(applied):
            return 0
        self.lapse[s] = max(self.lapse.get(s, 0), at + seat.LEASE + MARGIN)
        return k

    def late(self, applied):
        return any(
            w["serial"] > applied and self.now - w["committed"] > 400 for w in self.waiting if w["committed"]
        )
