"""Reads and acknowledgements of a leader: a read rests on a heartbeat that a majority answered after it
came."""


class ReadIndexMixin:
    """`reads`: those that wait for a majority's word; `waiting`: changes that wait to be committed."""

    def clear_reads(self):
        self.reads = []

    def acknowledge_from(self, top):
        """All up to the head of the log at the start of the lead counts as acknowledged."""
        self.acked = top

    def clear_waiting(self):
        self.waiting = []

    def give_up_waiting(self):
        """The outcome of changes that were not acknowledged is unknown."""
        for w in self.waiting:
            self.unknown(w)

    def give_up_reads(self, why):
        for r in self.reads:
            self.respond(r["src"], r["call"], 503, {"error": "no-leader", "detail": why, "changed": False})

    def note_committed(self):
        for w in self.waiting:
            if w["serial"] <= self.book.log_index and w["committed"] is None:
                w["committed"] = self.now

    def settle(self):
        """Acknowledge what is committed, in older houses what every leased follower applied; give reads that
        most seats confirmed."""
        while self.waiting:
            w = self.waiting[0]
            # M3: a change is acknowledged only once it is committed.
            if w["serial"] > self.book.log_index:
                break
            if self.policy.acknowledges_after_followers and self.behind(w["serial"]):
                break
            self.waiting.pop(0)
            self.acked = max(self.acked, w["serial"])
            self.acknowledge(w)
        if self.settled():
            self.serve_confirmed_reads()

    def serve_confirmed_reads(self):
        rs, self.reads = self.reads, []
        for r in rs:
            # M2: the heartbeat that a majority answered was sent after the read came.
            if r["n"] < self.confirmed_heartbeat_number:
                self.serve_read(r)
                continue
            self.reads.append(r)
