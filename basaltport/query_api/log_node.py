"""The log node of the older JSON API: all its mixins in one reducer."""

import basaltport.admin.desk as desk
import basaltport.consensus.follower_lease as follower_lease
import basaltport.consensus.node as node
import basaltport.consensus.voting_policy as voting_policy
import basaltport.query_api.cell.cell as cell
import basaltport.query_api.failure_detection.duties as duties
import basaltport.query_api.failure_detection.ring as ring


SNAPSHOT_EVERY = 400
RETRY = 1000


class LogNode(
    duties.DutyMixin,
    ring.RingMixin,
    cell.CellMixin,
    desk.DeskMixin,
    follower_lease.LeaseGrantMixin,
    node.ConsensusNode,
):
    """`held`: what the disk had; `promised`: the highest term that is on it."""

    TICKS = ("tick_disk", "tick_hello", "tick_cells", "tick_elect", "tick_lead", "tick_ring", "tick_desk")

    def __init__(self, me, seed, now, held=None, promised=node.NO_TERM):
        node.ConsensusNode.__init__(self, me, seed, now, voting_policy.ALL_MEMBERS, held, promised)
        self.cell_start()
        self.ring_start()
        self.desk_start()
        self.kept_at = self.book["serial"]
        self.retry_at = now
        self.listeners.state_applied.append(self.keep_snapshot)
        self.listeners.leader_tick.append(self.keep_duties)

    def tick_disk(self):
        """A disk that failed is tried again with a whole snapshot."""
        if self.bad and not self.after and self.now - self.retry_at >= RETRY:
            self.retry_at = self.now
            self.write([], whole=self.copy())

    def keep_snapshot(self):
        """Now and then the log begins anew behind a snapshot."""
        if self.book["serial"] - self.kept_at < SNAPSHOT_EVERY:
            return
        self.kept_at = self.book["serial"]
        self.write([], whole=self.copy())

    def hear_leaving(self, src, m):
        """Only query nodes use replicas."""
