"""Who votes: new members learn first, and one change is agreed before the next; replacement is by joint
consensus."""

import basaltport.consensus.codec as codec
import basaltport.consensus.leaving as leaving
import basaltport.consensus.timing as timing
import basaltport.consensus.discovery as discovery
import basaltport.consensus.quorum as quorum

CHANGES = ("roster", "joint", "final", "found", "lead")


class MembershipMixin:
    """`learners`: rows by seat of those that are fed but do not vote; `learning_since`: when each came."""

    def clear_learners(self):
        self.learners = {}
        self.learning_since = {}

    def learn(self):
        """Members that said hello lately and do not vote yet are fed the log."""
        if not self.policy.joint_consensus:
            return
        voters = quorum.voters(self.tip_book)
        heard = self.heard_within(timing.LEARNER)
        fresh = {m["seat"]: m for m in heard if m["role"] == discovery.DISK_ROLE}
        self.learners = {s: m for s, m in fresh.items() if s not in voters and s not in self.gone}
        self.learning_since = {s: self.learning_since.get(s, self.now) for s in self.learners}
        self.needs |= {s for s in self.learners if s not in self.match and s not in self.sent}

    def maintain_membership(self):
        if self.policy.joint_consensus:
            self.change_one_member()
            return
        self.take_all_members()

    def change_one_member(self):
        """Ends a joint change; new rows of known seats; then a seat that has caught up; then less by the lost
        ones. Until a change of seats is agreed both rosters decide. Majorities of rosters one seat apart
        meet, but half of one, which elects with proof of lost disks (`proven_replacements`), may miss a
        majority of the other."""
        # M8: one change at a time, each committed before the next; M4: by a leader that holds its lease.
        if not self.holds() or self.pending(*CHANGES):
            return
        if self.tip_book.former_members is not None:
            self.append({"op": "final"})
            return
        roster = self.tip_book.members
        for m in [*self.heard_within(timing.LEARNER), self.me.row()]:
            if m["seat"] in roster and roster[m["seat"]] != codec.decode_member(m):
                self.append({"op": "roster", "add": m})
                return
        self.add_member(roster) or self.drop_seats(roster)

    def quiet(self, s):
        """Milliseconds since a seat was last heard, as far as this leader could hear it."""
        if s == self.me.seat:
            return 0
        return self.now - max(self.acked_at_ms.get(s, self.since), self.resumed_at_ms)

    def ready(self, s):
        """Whether a learner has all that is agreed, synced, and answers."""
        caught_up = self.match.get(s, -1) >= self.book.log_index
        return caught_up and self.now - self.acked_at_ms.get(s, -(10**9)) < timing.RESPONSIVE

    def add_member(self, roster):
        """A learner that is ready takes the place of its former self or of a seat that is lost; where all
        others live it comes beside them. While a seat may be lost, it waits for what becomes of it."""
        # M8: it has all that is committed before it votes.
        s = min((s for s in self.learners if self.ready(s)), default=None)
        if s is None:
            return False
        row = self.learners[s]
        old = self.replaced_by(row, roster)
        if old is None and not self.may_join_beside(s, roster):
            return False
        self.note(16, member=row["name"], seat=s)
        self.append({"op": "joint", "drops": [old] if old else [], "adds": [row]})
        return True

    def may_join_beside(self, s, roster):
        """Whether no seat may be lost. Beside an odd number a majority takes one more: there the new one has
        to be known for as long as a lost seat may go unnoticed, or the loss of both could not be borne."""
        if any(self.quiet(x) > timing.RESPONSIVE for x in roster):
            return False
        return len(roster) % 2 == 0 or self.now - self.learning_since[s] >= timing.SILENT

    def replaced_by(self, row, roster):
        """The seat whose place a new member takes, or None: the one at its address, whose process is no
        more, else of the lost ones the one of its name first."""
        for s in sorted(roster):
            if roster[s]["addr"] == row["addr"]:
                return s
        lost = [s for s in roster if self.is_lost_member(s)]
        return min(lost, key=lambda s: (roster[s]["name"] != row["name"], self.drop_order(s)), default=None)

    def is_lost_member(self, s):
        """Whether a seat said lately that it leaves, or was not heard for long."""
        if s == self.me.seat:
            return False
        leaves = s in self.gone and self.now - self.gone[s] < timing.LEAVE_WAIT
        return leaves or self.quiet(s) > timing.SILENT

    def drop_order(self, s):
        """The one heard of longest ago goes first: one that said that it leaves still votes, which the others
        may need to agree that one less votes."""
        return self.acked_at_ms.get(s, self.since), s

    def drop_seats(self, roster):
        """Lost seats go where without them more losses are borne, all in one joint change: with one less at a
        time, majorities on the way would need more of those that are left."""
        lost = sorted((s for s in roster if self.is_lost_member(s)), key=self.drop_order)
        drops = lost[: leaving.seats_to_drop(len(roster), len(roster) - len(lost))]
        if not drops:
            return False
        for s in drops:
            self.note(17, member=roster[s]["name"], seat=s)
        self.append({"op": "joint", "drops": drops, "adds": []})
        return True
