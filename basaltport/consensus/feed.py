"""The feed: beats with what each seat lacks, and the echoes that lengthen leases."""

import dataclasses

import basaltport.identifiers as identifiers
import basaltport.consensus.book as book
import basaltport.consensus.seat as seat
import basaltport.consensus.sizes as sizes
import basaltport.messages as messages

BEAT = 200
RESEND = 250
SLOWEST_LINK = 300
"""Bytes a millisecond that any link carries, with room: half of 5 Mbit/s."""
LARGE = 1 << 20
AT_ONCE = 4
MARGIN = 150


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """What was sent to a seat and is not acknowledged: since which heartbeat and when, how many bytes, the
    agreed serial that the first of it brings, and the serial up to which it reaches."""

    beat: int
    at: int
    size: int
    commit: int
    upto: int

    def until(self):
        """When it must have arrived, over the slowest link."""
        return self.at + RESEND + self.size // SLOWEST_LINK


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
        age = identifiers.Millis(self.now - self.vouched)
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
            fresh = self.now - at < RESEND or self.on_its_way(s)
            if fresh and upto >= head[1]:
                return [], None, *head
            base = m if m is not None else head[1] - 1
            es, pg, ps = self.entries_from(max(base, upto) if fresh else base)
            copy = self.copy() if es is None else None
        else:
            return [], None, *head
        size = sizes.copy_size(copy) if copy else sum(map(sizes.entry_size, es))
        if size > LARGE and not self.on_its_way(s) and self.large_transfers() >= AT_ONCE:
            return [], None, *head
        self.needs.discard(s)
        self.sent[s] = (self.now, head[1])
        self.note_transfer(s, size, bool(copy))
        return es or [], copy, pg, ps

    def note_transfer(self, s, size, whole=False):
        """What is sent while more is on its way comes behind it; what is whole makes up for all before."""
        first = Transfer(self.n, self.now, 0, self.book["serial"], 0)
        if self.on_its_way(s) and not whole:
            first = self.transfers[s]
        self.transfers[s] = dataclasses.replace(first, size=first.size + size, upto=self.head()[1])

    def on_its_way(self, s):
        """Whether what was sent to a seat last may still arrive: no later heartbeat was answered without it,
        and a slow link would not be done with it yet."""
        t = self.transfers.get(s)
        return t is not None and self.now < t.until()

    def see_transfer(self, m):
        """Of an acknowledgement: heartbeats come in the order they were sent, so that one answered after what
        was sent with an earlier one tells whether that has arrived."""
        t = self.transfers.get(m.seat)
        if t is None:
            return
        if self.match.get(m.seat, -1) >= t.upto or m.n > t.beat and m.applied < t.commit:
            del self.transfers[m.seat]

    def to_come(self, m):
        """Whether what an acknowledgement says is lacking was sent with a later heartbeat."""
        if self.on_its_way(m.seat) and m.n < self.transfers[m.seat].beat:
            return True
        self.transfers.pop(m.seat, None)
        return False

    def large_transfers(self):
        """How many large transfers may be under way."""
        return sum(t.size > LARGE and self.on_its_way(s) for s, t in self.transfers.items())

    def entries_from(self, s):
        """Entries after serial s with what stands before them, or None where only a copy will do."""
        have = {book.serial(self.book): book.gen(self.book)}
        have.update({k: book.gen_of(e) for k, e in self.past.items()})
        have.update({e["s"]: book.gen_of(e) for e in self.tail})
        if s not in have:
            return None, *self.head()
        es = [self.past[k] for k in sorted(self.past) if k > s] + [e for e in self.tail if e["s"] > s]
        if not book.contiguous(es, s):
            return None, *self.head()
        return es, have[s], identifiers.LogIndex(s)

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
