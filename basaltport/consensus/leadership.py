"""The leader's life: it begins with an entry of its own, steps down when most hear it no more, and appends
entries."""

import basaltport.consensus.book as book
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.identifiers as identifiers

SYNC_RATE = 20_000
"""Bytes that the slowest disk syncs in a millisecond."""
TICKS_PER = 50


class LeadershipMixin:
    """Holds nothing that a new leader could not learn again."""

    def clear_leadership(self):
        self.leading = False
        self.clear_reads()
        self.clear_waiting()
        self.clear_learners()
        self.clear_lease()

    def start_leading(self, found, got, swap, drops):
        """`got`: votes by seat; `found`: the first members; `swap`, `drops`: members that are replaced or
        gone."""
        before, heard, self.leading = self.leader, self.heard_at, True
        self.since = self.now
        self.first = None
        self.leader_ticked_at_ms = self.now
        self.resumed_at_ms = -(10**9)
        self.no_step_down_before_ms = self.now
        self.previous_term, top = self.head()
        self.clear_reads()
        self.clear_waiting()
        self.acknowledge_from(top)
        self.replication_start(got)
        self.lease_start()
        if not self.policy.followers_retain_entries:
            self.clear_retained_entries()
        self.leader = None
        self.tip_book = self.tip()
        self.follower_leases_start(swap)
        self.open_membership_start()
        self.append({"op": "found", **found} if found else self.first_entry(got, swap, drops))
        if self.policy.joint_consensus and before and before.seat not in got:
            self.acked_at_ms[before.seat] = heard
        for call in self.listeners.leadership_started:
            call(got)

    def first_entry(self, got, swap, drops):
        ls = self.tip_book.disk_members
        reached = {self.me.seat, *self.tip_book.members, *(row["seat"] for _, row in swap)}
        live = sorted(s for s, p in got.items() if p.me["role"] == "ledger" and s in reached)
        op = {"op": "lead", "swap": swap, "drops": drops}
        if not quorum.is_majority(set(live), set(ls)):
            op["ledgers"] = live
            self.note(14, lost=sorted(set(ls) - set(live)), live=live)
        return op

    def step_down(self, why):
        for call in self.listeners.leadership_ending:
            call()
        self.note(15, why=why)
        self.give_up_waiting()
        self.give_up_reads(why)
        self.clear_leadership()
        self.follow_nobody(self.now)
        for call in self.listeners.leadership_ended:
            call()

    def append(self, op):
        g = self.current_term
        e = book.entry(self.head()[1] + 1, g, book.operation(op))
        self.tail.append(e)
        self.tip_book = book.apply(self.tip_book, e)
        if self.first is None:
            self.first = e["s"]
        self.write([log.EntryRecord(e)])
        self.heartbeat_sent_at_ms = -(10**9)
        return identifiers.LogIndex(e["s"])

    def pending(self, *ops):
        return any(e["op"]["op"] in ops for e in self.tail)

    def settled(self):
        """True once an entry of this leader's term is agreed."""
        return self.leading and self.first is not None and self.book.log_index >= self.first

    def tick_lead(self):
        if not self.leading:
            return
        self.note_pause()
        if (
            self.now - self.lease_started_at_ms > self.policy.leader_step_down_ms
            and self.now > self.no_step_down_before_ms
        ):
            self.step_down("not vouched for by most seats")
            return
        if not self.settled() and self.now - self.since > self.policy.first_commit_timeout_ms:
            self.step_down("nothing could be agreed")
            return
        if self.disk_stalls() and self.resign_by_choice("the disk stalls"):
            self.candidacy_due_at_ms = self.now + 2 * timing.DISK_STALL
            return
        self.maintain_membership()
        for call in self.listeners.leader_tick:
            call()
        if self.now - self.heartbeat_sent_at_ms >= timing.HEARTBEAT:
            self.beat()
        self.settle()

    def note_pause(self):
        """After the process stood still a leader waits before it steps down, or judges others."""
        if self.now - self.leader_ticked_at_ms > timing.PAUSED:
            self.no_step_down_before_ms = self.now + timing.WAKING
            if self.policy.joint_consensus:
                self.resumed_at_ms = self.now
        self.leader_ticked_at_ms = self.now

    def disk_stalls(self):
        """More than a second for a sync and what its bytes may take; time that we slept is not the disk's."""
        for at, ticks, size in self.stalled.values():
            long = timing.DISK_STALL + size // SYNC_RATE
            if self.now - at > long and self.ticks - ticks > long // TICKS_PER:
                return True
        return False
