"""The leader's lease: for how long it may act alone after a heartbeat that a majority acknowledged."""

import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing


class LeaderLeaseMixin:
    """`vouched_n`: the newest heartbeat that a majority acknowledged; `vouched`: when it was sent."""

    def clear_lease(self):
        self.vouched = -(10**9)

    def lease_start(self):
        self.vouched_n = 0
        self.vouched = self.now
        self.seen_n = {}

    def vouch(self):
        """Notes the newest heartbeat that a majority answered, and when it was sent."""
        n = quorum.majority_value(self.tip_book, self.beat_seen)
        self.vouched_n = max(self.vouched_n, n)
        # M4: the lease runs from the sending of the heartbeat, not from its acknowledgement.
        self.vouched = max(self.vouched, self.beats.get(n, -1))

    def beat_seen(self, s):
        """The number of the newest heartbeat that a seat answered."""
        return self.n if s == self.me.seat else self.seen_n.get(s, 0)

    def note_seen(self, s, n):
        """A seat answered a heartbeat."""
        if n in self.beats:
            self.seen_n[s] = max(self.seen_n.get(s, 0), n)
            self.vouch()

    def holds(self):
        """Whether no other can lead: a majority answered a heartbeat sent within the leader lease."""
        return self.holds_at(self.now)

    def holds_at(self, now):
        # M4: shorter than the time for which whoever answered refuses its vote.
        return self.leading and self.settled() and now - self.vouched <= timing.LEADER_LEASE
