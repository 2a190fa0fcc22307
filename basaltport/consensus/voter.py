"""A member's vote: given once for each term, synced before it is sent, refused while a leader may hold its
lease."""

import basaltport.consensus.log as log
import basaltport.consensus.timing as timing
import basaltport.events as events
import basaltport.messages as messages

NEVER = -(10**9)


class VoterMixin:
    """`promised`: the highest term that this member knows, to which alone it gives a vote."""

    def voter_start(self, current_term):
        """`vote_from`: when the lease of a leader that was acknowledged in an earlier life is over; that life
        ended before this process began."""
        self.current_term = current_term
        self.voted_at_ms = NEVER
        self.may_vote_from_ms = NEVER
        if current_term.count:
            self.may_vote_from_ms = self.began + self.policy.vote_wait_after_restart_ms

    def hears_leader(self):
        """Whether the leader was heard lately, or, of a leader, whether most hear it."""
        if self.leading:
            return self.policy.pre_vote and self.now - self.lease_started_at_ms < timing.RESPONSIVE
        return self.leader is not None and self.now - self.heard_at < timing.VOTE_REFUSAL

    def may_vote(self):
        """A heartbeat acknowledged before a restart is forgotten: its leader's lease is waited out (M7)."""
        return self.now >= self.may_vote_from_ms

    def hear_vote_request(self, src, m):
        if self.policy.pre_vote and m.gen == self.current_term and m.seat != self.me.seat:
            if not self.durable or self.synced_term == self.current_term:
                self.send(m.addr, self.promise(m.gen, True))
            return
        # M1: one vote for each term. M4: none while the leader that is heard may trust its lease.
        if m.gen <= self.current_term or self.hears_leader() or not self.may_vote():
            self.send(m.addr, self.promise(m.gen, False))
            return
        self.current_term = m.gen
        self.voted_at_ms = self.now
        self.lose_leadership(m.gen)
        # M1: the vote is on the disk before it is sent.
        self.write([log.TermRecord(m.gen)], then=[events.Send(m.addr, self.promise(m.gen, True))])

    def lose_leadership(self, gen):
        """A leader of an older term leads no more."""
        if self.leading:
            self.step_down(f"generation {gen.text()}")

    def promise(self, gen, ok):
        g, s = self.head()
        row = self.me.row()
        if self.policy.disk_members_only:
            row["first"] = self.me.first_start
        return messages.Vote(gen, self.me.seat, self.me.name, ok, self.current_term, g, s, row)

    def hear_pre_vote_request(self, src, m):
        ok = not self.hears_leader()
        self.send(m.addr, messages.PreVote(self.me.seat, self.me.name, self.me.addr, ok))
