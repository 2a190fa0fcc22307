"""The controller: consensus, operators' requests, placement and the feed to proxies in one reducer."""

import basaltport.consensus.campaign as campaign
import basaltport.consensus.roster as roster
import basaltport.consensus.seat as seat
import basaltport.consensus.voters as voters
import basaltport.fleet.publish as publish
import basaltport.controller.operator_requests as desk
import basaltport.controller.placement_control as placement_control
import basaltport.controller.shard_ownership as duties
import basaltport.member as member
import basaltport.placement.machine as machine
import basaltport.text as text

SNAPSHOT_EVERY = 200
SNAPSHOT_BYTES = 4 << 20
RETRY = 1000
LEASE = 3000


class Controller(
    placement_control.PlacementControlMixin,
    duties.ShardOwnershipMixin,
    campaign.CampaignMixin,
    desk.DeskMixin,
    publish.PublishMixin,
    roster.RosterMixin,
    voters.VoterMixin,
    member.Member,
):
    """`placement`: as `placement.machine.Placement`; `lease_ms`: how long a replica is left alone between the
    orders of two executors; `began`: when the process began, after the end of its machine's last one."""

    TICKS = ("tick_disk", "tick_hello", "tick_elect", "tick_lead", "tick_desk", "tick_duties", "tick_place")
    durable = True

    def __init__(
        self, me, seed, now, held=None, promised=seat.NONE, placement=None, lease_ms=LEASE, began=None
    ):
        member.Member.__init__(self, me, seed, now)
        self.began = now if began is None else began
        self.placement_start(machine.Placement(self.rng) if placement is None else placement)
        self.placement.may_order = self.may_order
        self.lease_ms = lease_ms
        self.lead_clear()
        self.seat_start(held, promised)
        self.elect_start()
        self.desk_start()
        self.publish_start()
        self.duties_start()
        self.kept_at = self.book["serial"]
        self.unkept = 0
        self.retry_at = now

    def step(self, ev):
        super().step(ev)
        self.see_slices()
        self.update_placement()
        if self.leading and self.beat_at < 0:
            self.beat()
        self.publish()
        return self.out

    # disk

    def tick_disk(self):
        """A disk that failed is tried again with a whole snapshot."""
        if self.bad and not self.after and self.now - self.retry_at >= RETRY:
            self.retry_at = self.now
            self.write([], whole=self.copy())

    def keep_past(self, e):
        super().keep_past(e)
        self.unkept += text.size(e)

    def in_force(self):
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
