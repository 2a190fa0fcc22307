"""What every member does, leading or not: it holds the log, takes heartbeats and acknowledges what it has
synced."""

import basaltport.consensus.book as book
import basaltport.consensus.log as log
import basaltport.consensus.sizes as sizes
import basaltport.consensus.state_machine as state_machine
import basaltport.errors as errors
import basaltport.identifiers as identifiers
import basaltport.messages as messages

LIFE = 32
"""Of the number of an acknowledgement: the bits below those that tell the process apart."""
REPLAYED = 25
LONG_AGO = -(10**9)
NONE = identifiers.Term()
REMEMBERED_ACKS = 200


class FollowerMixin:
    """`book` is what is in force here; `tail` is held but not yet known to be agreed."""

    def follower_start(self, held=None, current_term=NONE):
        """Acknowledgements are numbered apart from those of an earlier life of the same member."""
        held = held or state_machine.ReplicatedState()
        self.book = held.cluster_state
        self.tail = list(held.uncommitted)
        self.stopped = False
        self.older_terms_noted = set()
        self.replayed = set()
        self.newest_heartbeat_number = 0
        self.leader = None
        self.heard_at = LONG_AGO
        self.last_ack_number = self.rng.getrandbits(30) << LIFE if self.policy.pre_vote else 0
        self.sent_at = {}
        self.lease_expires_at_ms = -1
        self.synced_head = self.head()
        self.synced_term = current_term
        self.retained_entries = {}
        self.retained_bytes = 0

    def head(self):
        if self.tail:
            return book.gen_of(self.tail[-1]), identifiers.LogIndex(self.tail[-1]["s"])
        return book.gen(self.book), book.serial(self.book)

    def leased(self):
        return self.now < self.lease_expires_at_ms

    def tip(self):
        b = self.book
        for e in self.tail:
            b = book.apply(b, e)
        return b

    def mark_synced(self, head, promise):
        self.synced_head, self.synced_term = head, promise
        if self.leader:
            self.ack(self.leader)
        for call in self.listeners.log_synced:
            call()

    def disk_failed(self):
        self.note(23)
        for call in self.listeners.disk_failed:
            call()

    def state_applied(self):
        """A newer book is in force here."""
        for call in self.listeners.state_applied:
            call()

    def follow_nobody(self, since):
        self.leader = None
        self.heard_at = since

    def hear_leadership_transfer(self, src, m):
        followed = self.leader is not None and m.gen == self.leader.gen
        if followed:
            for call in self.listeners.leader_resigned:
                call(m)
            self.follow_nobody(LONG_AGO)
        if followed or not self.policy.pre_vote:
            for call in self.listeners.transfer_heard:
                call(m)

    # heartbeats

    def hear_heartbeat(self, src, m):
        self.take_heartbeat(m)
        for call in self.listeners.heartbeat_heard:
            call(m)

    def take_heartbeat(self, m):
        if self.policy.ordered_heartbeats and not self.in_order(m):
            return
        if m.gen < self.current_term:
            self.refuse_heartbeat(m)
            return
        if m.gen > self.current_term:
            self.current_term = m.gen
            self.lose_leadership(m.gen)
            self.write([log.TermRecord(m.gen)])
        self.note_leader(m)
        need = False
        if m.copy:
            self.install(m.copy)
        elif m.entries:
            need = not self.extend(m)
        self.advance(m.commit, m.cgen)
        # M5: a lease runs from the sending of an acknowledgement that the leader had.
        if m.echo in self.sent_at and not self.stopped:
            self.lease_expires_at_ms = max(
                self.lease_expires_at_ms, self.sent_at[m.echo] + self.policy.follower_lease_ms - m.age
            )
        self.ack(m, need)

    def in_order(self, m):
        """What comes late by an older connection must not take back what was synced since (M6)."""
        if self.leader is not None and m.gen == self.leader.gen and m.n < self.newest_heartbeat_number:
            return False
        g, s = self.head()
        if m.copy and g == m.gen:
            if m.copy.last_index <= s:
                m.copy = None
        return True

    def refuse_heartbeat(self, m):
        if m.gen not in self.older_terms_noted:
            self.older_terms_noted = {m.gen}
            self.note(34, leader=m.name, generation=m.gen.text(), promised=self.current_term.text())
        self.send(m.addr, self.heartbeat_ack(m.n, False, False))

    def note_leader(self, m):
        if self.leader is None or self.leader.gen != m.gen:
            self.note(10, leader=m.name, generation=m.gen.text())
            self.newest_heartbeat_number = 0
        if m.n + REPLAYED <= self.newest_heartbeat_number and m.gen not in self.replayed:
            self.replayed = {m.gen}
            self.note(35, leader=m.name, generation=m.gen.text(), n=m.n, newest=self.newest_heartbeat_number)
        self.newest_heartbeat_number = max(self.newest_heartbeat_number, m.n)
        self.leader = m
        self.heard_at = self.now

    def ack(self, m, need=False):
        if self.durable and self.synced_term != self.current_term:
            return
        self.send(m.addr, self.heartbeat_ack(m.n, True, need))

    def heartbeat_ack(self, n, ok, need):
        self.last_ack_number += 1
        self.sent_at[self.last_ack_number] = self.now
        self.sent_at.pop(self.last_ack_number - REMEMBERED_ACKS, None)
        g, s = self.synced_head if self.durable else self.head()
        return messages.HeartbeatAck(
            self.current_term,
            self.me.seat,
            n,
            self.last_ack_number,
            ok,
            self.current_term,
            g,
            s,
            book.serial(self.book),
            need,
        )

    # the log

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
            es = m.entries
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
        if commit <= self.book.log_index:
            return
        if not any(e["s"] == commit and book.gen_of(e) == cgen for e in self.tail):
            return
        # M6: no gap in what is in force.
        if not book.contiguous(self.tail, self.book.log_index):
            raise errors.LogGapError(self.book.log_index)
        applied = []
        while self.tail and self.tail[0]["s"] <= commit:
            e = self.tail.pop(0)
            self.book = book.apply(self.book, e)
            applied.append(e)
        self.state_applied()
        if self.leading or self.policy.followers_retain_entries:
            for e in applied:
                self.retain(e)

    def retain(self, e):
        """Committed entries without a gap, the newest of them, for members that lack them."""
        if self.retained_entries and e["s"] - 1 not in self.retained_entries:
            self.clear_retained_entries()
        self.retained_entries[e["s"]] = e
        self.retained_bytes += sizes.entry_size(e)
        limit = self.policy.retained_bytes_max
        while len(self.retained_entries) > self.policy.retained_entries_max or (
            limit is not None and self.retained_bytes > limit and len(self.retained_entries) > 1
        ):
            self.retained_bytes -= sizes.entry_size(
                self.retained_entries.pop(next(iter(self.retained_entries)))
            )
        for call in self.listeners.entry_retained:
            call(e)

    def retained_behind(self, was):
        """A copy took the place of what was in force at serial `was`."""
        at = self.book.log_index
        if at > was and at not in self.retained_entries:
            self.clear_retained_entries()

    def clear_retained_entries(self):
        self.retained_entries, self.retained_bytes = {}, 0
