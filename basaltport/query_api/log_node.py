"""The disk machine: all its mixins in one reducer."""

import basaltport.query_api.failure_detection.duties as duties
import basaltport.query_api.failure_detection.ring as ring
import basaltport.admin.desk as desk
import basaltport.consensus.elect as elect
import basaltport.consensus.lead as lead
import basaltport.consensus.seat as seat
import basaltport.member as member
import basaltport.query_api.cell.cell as cell


SNAPSHOT_EVERY = 400
RETRY = 1000


class LogNode(
    elect.ElectMixin,
    lead.LeadMixin,
    duties.DutyMixin,
    ring.RingMixin,
    cell.CellMixin,
    desk.DeskMixin,
    seat.SeatMixin,
    member.Member,
):
    TICKS = ("tick_disk", "tick_hello", "tick_cells", "tick_elect", "tick_lead", "tick_ring", "tick_desk")
    durable = True

    def __init__(self, me, seed, now, held=None, promised=seat.NONE):
        member.Member.__init__(self, me, seed, now)
        self.lead_clear()
        self.elect_start()
        self.cell_start()
        self.ring_start()
        self.desk_start()
        self.seat_start(held, promised)
        self.kept_at = self.book["serial"]
        self.retry_at = now

    def tick_disk(self):
        """A disk that failed is tried again with a whole snapshot."""
        if self.bad and not self.after and self.now - self.retry_at >= RETRY:
            self.retry_at = self.now
            self.write([], whole=self.copy())

    def in_force(self):
        if self.book["serial"] - self.kept_at < SNAPSHOT_EVERY:
            return
        self.kept_at = self.book["serial"]
        self.write([], whole=self.copy())
