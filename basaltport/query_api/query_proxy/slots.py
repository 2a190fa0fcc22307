"""A query node's side of slot grants: what it uses and wants, told to the controller of each zone."""

import basaltport.identifiers as identifiers
import basaltport.query_api.failure_detection.role_owners as role_owners
import basaltport.query_api.messages as messages
import basaltport.query_api.query_proxy.interface as interface
import basaltport.query_api.query_proxy.slot as slot

BUSY_REQUEST_INTERVAL_MS = 100
IDLE_REQUEST_INTERVAL_MS = 400
GRANT_LEASE_MS = 2000
REMEMBERED_REQUESTS = 500
LONG_AGO = -(10**9)
NO_GRANTS = (0, 0)


class SlotsMixin(interface.Interface):
    """A grant holds from when it was asked for, not from when it came."""

    def slots_start(self) -> None:
        """Begin without slots."""
        self.slots = {}
        self.demand_waits = False
        self.slots_requested_at: dict[str, int] = {}
        self.slot_request_sequence = 0
        self.slot_requests_sent: dict[int, int] = {}
        self.slot_grants_seen: dict[str, tuple[int, int]] = {}

    def slot(self, replica_id: str) -> slot.Slot:
        """The slots of a replica."""
        found = self.slots.get(replica_id)
        if found is None:
            found = self.slots[replica_id] = slot.Slot()
        return found

    def tick_slots(self) -> None:
        """Ask each zone's controller for slots, more often while requests wait."""
        if not self.leased():
            return
        interval = BUSY_REQUEST_INTERVAL_MS if self.demand_waits else IDLE_REQUEST_INTERVAL_MS
        for zone in self.rules.zones:
            if self.now - self.slots_requested_at.get(zone, LONG_AGO) >= interval:
                self.request_slots(identifiers.Zone(zone))

    def request_slots(self, zone: identifiers.Zone) -> None:
        """Tell a zone's controller what is used and wanted of each of its replicas."""
        owner = self.cluster_state.role_owners.get(role_owners.zone_role(zone))
        address = self.address_of(owner.owner) if owner else None
        if owner is None or not address:
            return
        self.slots_requested_at[zone] = self.now
        rows = self.slot_rows(zone)
        self.slot_request_sequence += 1
        sequence = self.slot_request_sequence
        self.slot_requests_sent[sequence] = self.now
        self.slot_requests_sent.pop(sequence - REMEMBERED_REQUESTS, None)
        fence = identifiers.Fence(owner.fence)
        seen_fence, number = self.slot_grants_seen.get(zone, NO_GRANTS)
        seen = number if seen_fence == fence else 0
        self.send(address, messages.SlotRequest(self.me.seat, sequence, zone, fence, seen, rows))

    def slot_rows(self, zone: identifiers.Zone) -> dict[str, list[int]]:
        """[slots in use, slots wanted besides] by replica of a zone."""
        desired = self.desired_slots()
        rows = {}
        for replica_id, row in self.cluster_state.listed_replicas.items():
            if row.zone != zone:
                continue
            known = self.slots.get(replica_id)
            whole_slots = -int(-desired.get(replica_id, 0) // 1)
            rows[replica_id] = [known.using if known else 0, whole_slots]
        return rows

    def desired_slots(self) -> dict[str, float]:
        """Waiting requests by replica, each spread evenly over the replicas that it could go to."""
        desired: dict[str, float] = {}
        for waiting in self.queues:
            if not waiting.ready:
                continue
            replicas = self.usable(waiting.item)
            for replica_id in replicas:
                desired[replica_id] = desired.get(replica_id, 0) + 1 / len(replicas)
        return desired

    def hear_slot_grants(self, source: str, message: messages.SlotGrants) -> None:
        """Take slots, unless they are of an older controller or older than those taken."""
        owner = self.cluster_state.role_owners.get(role_owners.zone_role(message.zone))
        requested_at = self.slot_requests_sent.get(message.acknowledged)
        if owner is None or owner.fence != message.fence or requested_at is None:
            return
        if (message.fence, message.number) <= self.slot_grants_seen.get(message.zone, NO_GRANTS):
            return
        self.slot_grants_seen[message.zone] = (message.fence, message.number)
        for replica_id, granted in message.rows.items():
            known = self.slot(replica_id)
            known.granted, known.until = granted, requested_at + GRANT_LEASE_MS
        self.pump()
