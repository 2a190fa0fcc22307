"""A node with a disk (role `ledger` of the command line): keeps the agreed log and may lead."""

import basaltport.consensus.follower_lease as follower_lease
import basaltport.consensus.node as node
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.query_api.admin.leader_requests as leader_requests
import basaltport.query_api.cell.cell as cell
import basaltport.query_api.failure_detection.ring as ring
import basaltport.query_api.failure_detection.role_owners as role_owners


SNAPSHOT_EVERY_ENTRIES = 400
DISK_RETRY_MS = 1000


class LogNode(
    role_owners.RoleOwnerMixin,
    ring.RingMixin,
    cell.CellMixin,
    leader_requests.LeaderRequestsMixin,
    follower_lease.LeaseGrantMixin,
    node.ConsensusNode,
):
    """The reducer of a node with a disk, from all its mixins."""

    TICKS = ("tick_disk", "tick_hello", "tick_cells", "tick_elect", "tick_lead", "tick_ring", "tick_desk")

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        held: state_machine.ReplicatedState | None = None,
        current_term: identifiers.Term = node.NO_TERM,
    ) -> None:
        """`held` and `promised`: what the disk gave back, if anything; `seed` is that of all chance."""
        node.ConsensusNode.__init__(self, me, seed, now, voting_policy.ALL_MEMBERS, held, current_term)
        self.cell_start()
        self.ring_start()
        self.operator_answers_start()
        self.snapshot_index = self.cluster_state.log_index
        self.disk_retry_at = now
        self.listeners.state_applied.append(self.write_snapshot_if_due)
        self.listeners.leader_tick.append(self.keep_duties)

    def tick_disk(self) -> None:
        """Try a disk that failed again, with a whole snapshot."""
        if self.bad and not self.after and self.now - self.disk_retry_at >= DISK_RETRY_MS:
            self.disk_retry_at = self.now
            self.write_snapshot()

    def write_snapshot_if_due(self) -> None:
        """Write a snapshot once enough entries were applied since the last one."""
        if self.cluster_state.log_index - self.snapshot_index < SNAPSHOT_EVERY_ENTRIES:
            return
        self.snapshot_index = self.cluster_state.log_index
        self.write_snapshot()

    def write_snapshot(self) -> None:
        """Ask for a snapshot in place of the log."""
        self.write([], whole=self.make_snapshot())
