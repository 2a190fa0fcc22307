"""The controller: consensus, operators' requests, placement and the feed to proxies in one reducer."""

import basaltport.consensus.node as node
import basaltport.consensus.voting_policy as voting_policy
import basaltport.fleet.publish as publish
import basaltport.controller.operator_requests as desk
import basaltport.controller.placement_control as placement_control
import basaltport.controller.shard_ownership as duties
import basaltport.placement.machine as machine
import basaltport.text as text

SNAPSHOT_EVERY = 200
SNAPSHOT_BYTES = 4 << 20
RETRY = 1000
LEASE = 3000


class Controller(
    placement_control.PlacementControlMixin,
    duties.ShardOwnershipMixin,
    desk.DeskMixin,
    publish.PublishMixin,
    node.ConsensusNode,
):
    """`placement`: as `placement.machine.Placement`; `lease_ms`: how long a replica is left alone between the
    orders of two executors; `began`: when the process began, after the end of its machine's last one."""

    TICKS = ("tick_disk", "tick_hello", "tick_elect", "tick_lead", "tick_desk", "tick_duties", "tick_place")

    def __init__(
        self, me, seed, now, held=None, current_term=node.NO_TERM, placement=None, lease_ms=LEASE, began=None
    ):
        node.ConsensusNode.__init__(
            self, me, seed, now, voting_policy.DISK_MEMBERS, held, current_term, began
        )
        self.placement_start(machine.Placement(self.rng) if placement is None else placement)
        self.placement.may_order = self.may_order
        self.lease_ms = lease_ms
        self.desk_start()
        self.listeners.leadership_ending.append(self.leave_reads_open)
        self.publish_start()
        self.duties_start()
        self.kept_at = self.book["serial"]
        self.unkept = 0
        self.retry_at = now
        self.listeners.state_applied.append(self.keep_snapshot)
        self.listeners.entry_retained.append(self.count_unkept)

    def step(self, ev):
        super().step(ev)
        self.see_slices()
        self.update_placement()
        if self.leading and self.heartbeat_sent_at_ms < 0:
            self.beat()
        self.publish()
        return self.out

    # disk

    def tick_disk(self):
        """A disk that failed is tried again with a whole snapshot."""
        if self.bad and not self.after and self.now - self.retry_at >= RETRY:
            self.retry_at = self.now
            self.write([], whole=self.copy())

    def count_unkept(self, e):
        self.unkept += text.size(e)

    def keep_snapshot(self):
        """Now and then the log begins anew behind a snapshot."""
        if self.book["serial"] - self.kept_at < SNAPSHOT_EVERY and self.unkept < SNAPSHOT_BYTES:
            return
        self.kept_at, self.unkept = self.book["serial"], 0
        self.write([], whole=self.copy())

    def hear_want(self, src, m):
        """A proxy tells how many requests wait for items; it is told how they stand."""
        if not self.holds():
            return
        self.call_placement(self.placement.requests_waiting, m.zone, m.items)
        found = {item: self.placement.model_status(self.now, item).document() for item in m.items}
        self.tell_facts(m.address, found)
