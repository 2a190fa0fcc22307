"""A leader that ends, or whose disk fails, hands over to the member that has the most of its log."""

import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.identifiers as identifiers
import basaltport.messages as messages


class LeadershipTransferMixin:
    """Needs ReplicationMixin and LeadershipMixin."""

    def transfer_start(self):
        self.listeners.disk_failed.append(self.resign_for_disk)

    def live(self):
        """Voting seats that answered lately, this one included."""
        since = self.now - timing.RESPONSIVE
        voters = quorum.voters(self.tip_book)
        return {s for s in voters if s == self.me.seat or self.acked_at_ms.get(s, since) > since}

    def successor(self):
        """The seat of the roster that holds the most, where the others are a majority without this one."""
        if not self.policy.joint_consensus:
            return self.equal_disk_member()
        others = self.live() - {self.me.seat}
        if not quorum.has_majority(self.tip_book, others):
            return None
        fit = sorted(others & self.tip_book.members.keys() - self.gone.keys()) or sorted(others)
        return max(fit, key=lambda s: self.match.get(s, -1))

    def equal_disk_member(self):
        """Of the disk members that hold all that this leader has, the first."""
        top = self.head()[1]
        fit = [s for s in self.tip_book.disk_members if s != self.me.seat and self.match.get(s) == top]
        return min(fit, default=None)

    def hand_over(self, why):
        to = self.successor()
        if to:
            m = messages.LeadershipTransfer(self.current_term, identifiers.MemberId(to))
            for a in self.voter_addresses() if self.policy.joint_consensus else self.addrs():
                self.send(a, m)
        self.step_down(why)

    def resign_by_choice(self, why):
        """Whether it did: with learners only where a successor is at hand."""
        if not self.policy.joint_consensus:
            self.step_down(why)
            return True
        if not self.successor():
            return False
        self.hand_over(why)
        return True

    def resign_for_disk(self):
        if not self.leading:
            return
        if self.policy.joint_consensus:
            self.hand_over("the disk failed")
            return
        self.step_down("the disk failed")

    def voter_addresses(self):
        """Addresses of all other voters."""
        voters = quorum.voters(self.tip())
        return sorted({self.address_of(s) or r["addr"] for s, r in voters.items()} - {self.me.addr})
