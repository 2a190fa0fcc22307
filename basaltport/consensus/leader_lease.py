"""The leader's lease: for how long it may act alone after a heartbeat that a majority acknowledged."""

import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing


class LeaderLeaseMixin:
    """`vouched_n`: the newest heartbeat that a majority acknowledged; `vouched`: when it was sent."""

    def clear_lease(self):
        self.lease_started_at_ms = -(10**9)

    def lease_start(self):
        self.confirmed_heartbeat_number = 0
        self.lease_started_at_ms = self.now
        self.acked_heartbeat_numbers = {}

    def renew_lease(self):
        """Notes the newest heartbeat that a majority answered, and when it was sent."""
        n = quorum.majority_value(self.tip_book, self.acked_number_of)
        self.confirmed_heartbeat_number = max(self.confirmed_heartbeat_number, n)
        # M4: the lease runs from the sending of the heartbeat, not from its acknowledgement.
        self.lease_started_at_ms = max(self.lease_started_at_ms, self.beats.get(n, -1))

    def acked_number_of(self, s):
        """The number of the newest heartbeat that a seat answered."""
        return self.n if s == self.me.seat else self.acked_heartbeat_numbers.get(s, 0)

    def record_acked_heartbeat(self, s, n):
        """A seat answered a heartbeat."""
        if n in self.beats:
            self.acked_heartbeat_numbers[s] = max(self.acked_heartbeat_numbers.get(s, 0), n)
            self.renew_lease()

    def holds(self):
        """Whether no other can lead: a majority answered a heartbeat sent within the leader lease."""
        return self.holds_at(self.now)

    def holds_at(self, now):
        # M4: shorter than the time for which whoever answered refuses its vote.
        return self.leading and self.settled() and now - self.lease_started_at_ms <= timing.LEADER_LEASE
