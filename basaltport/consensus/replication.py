"""The leader's replication: heartbeats with what each member lacks, their acknowledgements, and what is
committed."""

import dataclasses

import basaltport.consensus.book as book
import basaltport.consensus.follower as follower
import basaltport.consensus.quorum as quorum
import basaltport.consensus.sizes as sizes
import basaltport.identifiers as identifiers
import basaltport.messages as messages

RESEND = 250
SLOWEST_LINK = 300
"""Bytes a millisecond that any link carries, with room: half of 5 Mbit/s."""
LARGE = 1 << 20
AT_ONCE = 4
REMEMBERED_BEATS = 100
NEVER = -(10**9)


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


class ReplicationMixin:
    """`match`: up to where each member has synced this leader's log; `acks`: when each last acknowledged."""

    def replication_start(self, got):
        self.match = {}
        self.sent = {}
        self.transfers_in_flight = {}
        self.acked_at_ms = dict.fromkeys(got, self.now)
        self.beats = {}
        self.latest_acks = {}
        self.heartbeat_sent_at_ms = NEVER
        self.n = 0
        self.needs = set()

    # heartbeats

    def beat(self):
        """Not to a seat at whose address another process runs by now."""
        self.learn()
        self.heartbeat_sent_at_ms = self.now
        self.n += 1
        self.beats[self.n] = self.now
        self.beats.pop(self.n - REMEMBERED_BEATS, None)
        taken = {r["addr"] for r in self.learners.values()}
        for s, r in quorum.voters(self.tip_book).items():
            if s != self.me.seat and r["addr"] not in taken:
                self.send_heartbeat_to(s, r)
        for s, r in self.learners.items():
            self.send_heartbeat_to(s, r)
        self.renew_lease()

    def send_heartbeat_to(self, s, r):
        es, copy, pg, ps = self.payload_for(s)
        echo = self.ack_to_return(s, r)
        age = identifiers.Millis(self.now - self.lease_started_at_ms)
        b = messages.Heartbeat(
            self.current_term,
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
        self.send(self.address_of(s) or r["addr"], b)

    def payload_for(self, s):
        """What a seat lacks: entries with what stands before them, or a copy; large ones a few at a time."""
        head = self.head()
        at, upto = self.sent.get(s, (NEVER, 0))
        m = self.match.get(s)
        if s in self.needs:
            es, copy, pg, ps = [], self.copy(), *head
        elif m is None or m < head[1]:
            fresh = self.now - at < RESEND or self.is_in_flight(s)
            if fresh and upto >= head[1]:
                return [], None, *head
            base = m if m is not None else head[1] - 1
            es, pg, ps = self.entries_after(max(base, upto) if fresh else base)
            copy = self.copy() if es is None else None
        else:
            return [], None, *head
        size = sizes.copy_size(copy) if copy else sum(map(sizes.entry_size, es))
        if size > LARGE and not self.is_in_flight(s) and self.large_transfers() >= AT_ONCE:
            return [], None, *head
        self.needs.discard(s)
        self.sent[s] = (self.now, head[1])
        self.record_transfer(s, size, bool(copy))
        return es or [], copy, pg, ps

    def entries_after(self, s):
        """Entries after serial s with what stands before them, or None where only a copy will do."""
        have = {book.serial(self.book): book.gen(self.book)}
        have.update({k: book.gen_of(e) for k, e in self.retained_entries.items()})
        have.update({e["s"]: book.gen_of(e) for e in self.tail})
        if s not in have:
            return None, *self.head()
        es = [self.retained_entries[k] for k in sorted(self.retained_entries) if k > s] + [
            e for e in self.tail if e["s"] > s
        ]
        # M6: entries that leave a gap are not sent.
        if not book.contiguous(es, s):
            return None, *self.head()
        return es, have[s], identifiers.LogIndex(s)

    # transfers in flight

    def record_transfer(self, s, size, whole=False):
        """What is sent while more is on its way comes behind it; what is whole makes up for all before."""
        first = Transfer(self.n, self.now, 0, self.book.log_index, 0)
        if self.is_in_flight(s) and not whole:
            first = self.transfers_in_flight[s]
        self.transfers_in_flight[s] = dataclasses.replace(first, size=first.size + size, upto=self.head()[1])

    def is_in_flight(self, s):
        """Whether what was sent to a seat last may still arrive: no later heartbeat was answered without it,
        and a slow link would not be done with it yet."""
        t = self.transfers_in_flight.get(s)
        return t is not None and self.now < t.until()

    def finish_transfer(self, m):
        """Of an acknowledgement: heartbeats come in the order they were sent, so that one answered after what
        was sent with an earlier one tells whether that has arrived."""
        t = self.transfers_in_flight.get(m.seat)
        if t is None:
            return
        if self.match.get(m.seat, -1) >= t.upto or m.n > t.beat and m.applied < t.commit:
            del self.transfers_in_flight[m.seat]

    def was_sent_later(self, m):
        """Whether what an acknowledgement says is lacking was sent with a later heartbeat."""
        if self.is_in_flight(m.seat) and m.n < self.transfers_in_flight[m.seat].beat:
            return True
        self.transfers_in_flight.pop(m.seat, None)
        return False

    def large_transfers(self):
        """How many large transfers may be under way."""
        return sum(t.size > LARGE and self.is_in_flight(s) for s, t in self.transfers_in_flight.items())

    # acknowledgements

    def hear_heartbeat_ack(self, src, m):
        if not self.leading:
            return
        if not m.ok:
            if m.current_term > self.current_term:
                self.step_down(f"generation {m.current_term.text()}")
                self.top = max(self.top, m.current_term.count)
            return
        # M1: only members of this leader's term count.
        if m.current_term == self.current_term:
            self.take_ack(m)
        self.note_return(m.seat)
        if m.need and m.seat in self.needs and m.seat in self.learners:
            self.send_heartbeat_to(m.seat, self.learners[m.seat])

    def take_ack(self, m):
        self.acked_at_ms[m.seat] = self.now
        self.record_acked_heartbeat(m.seat, m.n)
        if m.need:
            self.resend_to(m)
            return
        es, g, s = self.entries_after(m.serial)
        # M1: what it has synced counts only as far as it is this leader's log.
        if es is not None and g == m.hgen:
            self.match[m.seat] = max(m.serial, self.match.get(m.seat, 0))
        self.finish_transfer(m)
        e = self.latest_acks.get(m.seat)
        if e is None or m.k > e[0] or m.k >> follower.LIFE != e[0] >> follower.LIFE:
            self.latest_acks[m.seat] = (m.k, self.now, m.applied)
        self.count()
        self.settle()

    def resend_to(self, m):
        """A member says that it can't join on what it was sent."""
        if self.was_sent_later(m):
            return
        self.needs.add(m.seat)
        r = self.tip_book.members.get(m.seat)
        if r:
            self.send_heartbeat_to(m.seat, r)

    # commitment

    def own_log_synced(self):
        if self.leading and self.synced_term == self.current_term:
            self.match[self.me.seat] = self.synced_head[1]
            self.count()
            self.settle()

    def count(self):
        """Agreed: held by most seats, synced by most disk members, and of this leader's term."""
        t = self.tip_book
        was = self.book.log_index
        for e in reversed(self.tail):
            # M3: an entry of an older term is committed by one of this leader's term behind it.
            if book.gen_of(e) != self.current_term:
                break
            have = {s for s, m in self.match.items() if m >= e["s"]}
            if not quorum.has_majority(t, have) or not quorum.is_majority(have, set(t["ledgers"])):
                continue
            self.advance(e["s"], book.gen_of(e))
            break
        if self.book.log_index == was:
            return
        self.note_committed()
        self.beat()
