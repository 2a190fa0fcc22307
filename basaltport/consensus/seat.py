"""What every seat does, ledger or rostrum: promise, hold entries, follow the feed, vouch for its leader."""

import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.consensus.book as book
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.errors as errors
import basaltport.messages as messages

LEASE = 1500
STICKY = 500
LIFE = 32
HELLO = 300
SETTLED_HELLO = 1000
REPLAYED = 25
NONE = identifiers.Term()


class SeatMixin:
    """Needs Member. `book` is what is in force here; `tail` is held but not yet known to be agreed."""

    LEASE = LEASE

    def seat_start(self, held=None, promised=NONE):
        held = held or state_machine.ReplicatedState()
        self.book = held.cluster_state
        self.tail = list(held.uncommitted)
        self.promised = promised
        self.promised_at = -(10**9)
        self.stopped = False
        self.outdated = set()
        self.replayed = set()
        self.beat_n = 0
        self.leader = None
        self.heard_at = -(10**9)
        self.ack_k = 0
        self.sent_at = {}
        self.lease_end = -1
        self.members = {}
        self.hello_at = -(10**9)
        self.dur = self.head()
        self.dur_promised = promised
        self.synced_promise = []

    def head(self):
        if self.tail:
            return book.gen_of(self.tail[-1]), identifiers.LogIndex(self.tail[-1]["s"])
        return book.gen(self.book), book.serial(self.book)

    def leased(self):
        return self.now < self.lease_end

    def tip(self):
        b = self.book
        for e in self.tail:
            b = book.apply(b, e)
        return b

    def copy(self):
        return state_machine.ReplicatedState(self.book, tuple(self.tail))

    def durable_head(self, head, promise):
        self.dur, self.dur_promised = head, promise
        if self.leader:
            self.ack(self.leader)

    def disk_failed(self):
        self.note(23)

    # discovery

    def tick_hello(self):
        settled = self.now - self.heard_at < LEASE or getattr(self, "leading", False)
        if self.now < self.hello_at + (SETTLED_HELLO if settled else HELLO):
            return
        self.hello_at = self.now
        known = self.heard_within(10_000)[:40]
        addrs = {m["addr"] for m in known} | set(self.me.seeds)
        for a in sorted(addrs - {self.me.addr}):
            self.send(a, self.hello(known))

    def heard_within(self, ms):
        """Rows of the members heard of so lately, without when."""
        rows = [m for m in self.members.values() if self.now - m["at"] < ms]
        return [{k: v for k, v in m.items() if k != "at"} for m in rows]

    def hello(self, known):
        m = self.me
        return messages.Hello(m.house, m.name, m.seat, m.role, m.zone, m.addr, m.http, self.head()[0], known)

    def hear_hello(self, src, m):
        if m.house != self.me.house:
            self.note(31, member=m.name, house=m.house)
            return
        if m.seat == self.me.seat:
            return
        if m.name == self.me.name:
            self.note(32, member=m.name, addr=m.addr)
            return
        row = {"name": m.name, "seat": m.seat, "role": m.role, "zone": m.zone, "addr": m.addr, "http": m.http}
        old = self.members.get(m.name)
        if old is None or old["seat"] != m.seat:
            self.note(30, member=m.name, seat=m.seat, role=m.role, zone=m.zone)
        self.members[m.name] = {**row, "at": self.now}
        for r in m.known:
            if r["name"] != self.me.name and r["name"] not in self.members:
                self.members[r["name"]] = {**r, "at": self.now - 9000}

    def addr_of(self, seat):
        """Where a seat was last heard of, else where the roster has it."""
        row = quorum.voters(self.book).get(seat)
        if row:
            m = self.members.get(row["name"])
            return m["addr"] if m and m["seat"] == seat else row["addr"]
        for m in self.members.values():
            if m["seat"] == seat:
                return m["addr"]
        return None

    def addrs(self):
        return sorted({self.addr_of(s) for s in self.book["roster"]})

    def hear_yield(self, src, m):
        if self.leader and m.gen == self.leader.gen:
            self.leader = None
            self.heard_at = -(10**9)

    # promises

    def hear_campaign(self, src, m):
        if m.gen <= self.promised:
            self.send(m.addr, self.promise(m.gen, False))
            return
        if self.leader and self.now - self.heard_at < STICKY:
            self.send(m.addr, self.promise(m.gen, False))
            return
        self.promised = m.gen
        self.promised_at = self.now
        self.lost_lead(m.gen)
        self.write([log.TermRecord(m.gen)], then=[events.Send(m.addr, self.promise(m.gen, True))])

    def lost_lead(self, gen):
        pass

    def promise(self, gen, ok):
        g, s = self.head()
        return messages.Promise(gen, self.me.seat, self.me.name, ok, self.promised, g, s, self.me.row())

    def hear_fetch(self, src, m):
        if m.gen != self.promised:
            return
        addr = self.addr_of(m.seat)
        if addr:
            self.send(addr, messages.Copy(m.gen, self.me.seat, self.copy()))

    # the feed

    def hear_beat(self, src, m):
        if m.gen < self.promised:
            if m.gen not in self.outdated:
                self.outdated = {m.gen}
                self.note(34, leader=m.name, generation=m.gen.text(), promised=self.promised.text())
            self.send(m.addr, self.ack_for(m.n, False, False))
            return
        if m.gen > self.promised:
            self.promised = m.gen
            self.lost_lead(m.gen)
            self.write([log.TermRecord(m.gen)])
        if self.leader is None or self.leader.gen != m.gen:
            self.note(10, leader=m.name, generation=m.gen.text())
            self.beat_n = 0
        if m.n + REPLAYED <= self.beat_n and m.gen not in self.replayed:
            self.replayed = {m.gen}
            self.note(35, leader=m.name, generation=m.gen.text(), n=m.n, newest=self.beat_n)
        self.beat_n = max(self.beat_n, m.n)
        self.leader = m
        self.heard_at = self.now
        need = False
        if m.copy:
            self.install(m.copy)
        elif m.entries:
            need = not self.extend(m)
        self.advance(m.commit, m.cgen)
        if m.echo in self.sent_at and not self.stopped:
            self.lease_end = max(self.lease_end, self.sent_at[m.echo] + self.LEASE - m.age)
        self.ack(m, need)

    def ack(self, m, need=False):
        if self.durable and self.dur_promised != self.promised:
            return
        self.send(m.addr, self.ack_for(m.n, True, need))

    def ack_for(self, n, ok, need):
        self.ack_k += 1
        self.sent_at[self.ack_k] = self.now
        self.sent_at.pop(self.ack_k - 200, None)
        g, s = self.dur if self.durable else self.head()
        return messages.Ack(
            self.promised, self.me.seat, n, self.ack_k, ok, self.promised, g, s, book.serial(self.book), need
        )

    def install(self, copy):
        """Takes a copy over; what is in force here stays so: of a copy whose book is older only the entries
        behind what is in force are taken, and of one that does not reach it nothing."""
        if copy.cluster_state.log_index >= self.book.log_index:
            self.book, self.tail = copy.cluster_state, list(copy.uncommitted)
            self.write([], whole=self.copy())
            self.in_force()
            return
        at = book.serial(self.book)
        if not any(e["s"] == at and book.gen_of(e) == book.gen(self.book) for e in copy.uncommitted):
            return
        self.tail = [e for e in copy.uncommitted if e["s"] > at]
        self.write([], whole=self.copy())

    def extend(self, m):
        have = {book.serial(self.book): book.gen(self.book)}
        have.update({identifiers.LogIndex(e["s"]): book.gen_of(e) for e in self.tail})
        if m.pserial < book.serial(self.book):
            es = [e for e in m.entries if e["s"] > book.serial(self.book)]
            if not es or not book.contiguous(es, book.serial(self.book)):
                return bool(m.entries and m.entries[-1]["s"] <= book.serial(self.book))
        elif have.get(m.pserial) != m.pgen or not book.contiguous(m.entries, m.pserial):
            return False
        else:
            es = list(m.entries)
        i = 0
        while i < len(es) and have.get(es[i]["s"]) == book.gen_of(es[i]):
            i += 1
        es = es[i:]
        if not es:
            return True
        self.tail = [e for e in self.tail if e["s"] < es[0]["s"]] + es
        self.write([log.EntryRecord(e) for e in es])
        return True

    def advance(self, commit, cgen):
        if commit <= self.book["serial"]:
            return
        if not any(e["s"] == commit and book.gen_of(e) == cgen for e in self.tail):
            return
        if not book.contiguous(self.tail, self.book["serial"]):
            raise errors.LogGapError(self.book.log_index)
        while self.tail and self.tail[0]["s"] <= commit:
            self.book = book.apply(self.book, self.tail.pop(0))
        self.in_force()

    def in_force(self):
        """A newer book is in force here; roles override to compile rules and the like."""
