"""Leases that a leader of the older path gives to query nodes: each may act until it surely lapsed."""

MARGIN = 150
"""How much longer than a follower's lease the leader takes it for, in milliseconds."""
LATE_MS = 400


class FollowerLeaseMixin:
    """`lapse`: when each follower's lease is surely over; `left`: followers that said they stop."""

    def follower_leases_start(self, swap):
        """Every query node of before may hold a lease of the leader before, but those that are replaced."""
        self.lapse = {}
        self.left = set()
        old = [s for s, r in self.tip_book.members.items() if r["role"] == "rostrum"]
        gone = {s for s, _ in swap}
        self.fresh = bool(old) and gone >= set(old)
        for s in old:
            if s not in gone:
                self.lapse[s] = self.now + self.policy.follower_lease_ms + MARGIN

    def behind(self, s):
        """Whether a follower whose lease may hold has not applied serial s."""
        for x, until in list(self.lapse.items()):
            if self.now >= until:
                del self.lapse[x]
                continue
            e = self.latest_acks.get(x)
            if e is None or e[2] < s:
                return True
        return False

    def follower_stops(self, s):
        """It holds no lease any more and will take none."""
        if not self.settled() or s not in self.tip_book.members:
            return
        self.lapse.pop(s, None)
        self.latest_acks.pop(s, None)
        self.left.add(s)


class LeaseGrantMixin:
    """Which acknowledgement a heartbeat of the older path gives back, by which a follower's lease is
    renewed."""

    def ack_to_return(self, s, r):
        if r["role"] != "rostrum" or s not in self.latest_acks or s in self.left:
            return 0
        k, at, applied = self.latest_acks[s]
        if applied < self.acked or self.late(applied):
            return 0
        self.lapse[s] = max(self.lapse.get(s, 0), at + self.policy.follower_lease_ms + MARGIN)
        return k

    def late(self, applied):
        return any(
            w["serial"] > applied and self.now - w["committed"] > LATE_MS
            for w in self.waiting
            if w["committed"]
        )
