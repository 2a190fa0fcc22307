"""A member that is told to stop: it says so, and goes on voting until the others have removed it."""

import basaltport.consensus.quorum as quorum
import basaltport.consensus.timing as timing
import basaltport.messages as messages

LEAST = 3


def spare(seats, live):
    """How many of the live seats may be lost with most of all seats left."""
    return live - seats // 2 - 1


def seats_to_drop(seats, live):
    """How many of the seats that are not live go, so that the most losses are borne with LEAST seats left:
    as few as will do for that, and none where nothing is gained."""
    most = min(seats - live, seats - LEAST)
    return max(range(max(most, 0) + 1), key=lambda n: (spare(seats - n, live), -n))


def worth_dropping(seats, live):
    """Whether more losses are borne without some of the seats that are not live."""
    return seats_to_drop(seats, live) > 0


class LeavingMixin:
    """`gone`: when each member that leaves last said so."""

    def leaving_start(self):
        self.gone = {}
        self.leaving_said_at_ms = None
        if self.policy.joint_consensus:
            self.listeners.heartbeat_heard.append(self.tell_leader)

    def on_stop(self, ev):
        """A leader hands over. Whoever will be removed goes on voting until then: see `released`."""
        for call in self.listeners.stopping:
            call()
        self.stopped = True
        self.stopped_at = self.now
        if self.policy.joint_consensus:
            self.announce_leaving(self.voter_addresses())
        if self.leading:
            self.hand_over("it stops")

    def announce_leaving(self, addrs):
        self.leaving_said_at_ms = self.now
        for a in addrs:
            self.send(a, messages.MemberLeaving(self.me.seat))

    def tell_leader(self, m):
        """A leader that was elected since is told as well that this member leaves."""
        if self.stopped and self.now - self.leaving_said_at_ms >= timing.LEAVE_AGAIN:
            self.announce_leaving([m.addr])

    def hear_member_leaving(self, src, m):
        if not self.policy.joint_consensus:
            self.follower_stops(m.seat)
            return
        self.gone[m.seat] = self.now
        self.learners.pop(m.seat, None)

    def note_return(self, s):
        """One that acknowledges or says hello long after it said that it leaves has come back. What it sent
        before may come later than its leave."""
        if self.now - self.gone.get(s, self.now) > timing.LEFT:
            del self.gone[s]

    def released(self):
        """Whether the process may end after `Stop`: it votes no more, or the others will not remove it,
        or it has waited for that long enough. Until then a further loss may need its vote (M8)."""
        if not self.stopped or self.now - self.stopped_at >= timing.LEAVE_WAIT:
            return True
        seats = quorum.voters(self.book)
        if self.me.seat not in seats:
            return True
        return self.book.former_members is None and not worth_dropping(len(seats), len(seats) - 1)
