"""Permits to load from the weight store, so that all zones together keep its limit.

Each zone's controller asks the owner of the store's role. A grant is void by the zone's next request: what
it holds and what it was just granted is all there is."""

import dataclasses

import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.query_api.failure_detection.role_owners as role_owners
import basaltport.query_api.messages as messages
import basaltport.query_api.zone_controller.interface as interface
import basaltport.query_api.zone_controller.owned_zone as owned_zone

REQUEST_INTERVAL_MS = 200
LOADS_AT_ONCE = 2
UNHEARD_POOL = "?"

Permits = dict[str, int]


@dataclasses.dataclass(slots=True)
class ZoneAccount:
    """What a zone holds and was granted, by pool; `unheard_limit` bounds the loads that may still go on at
    replicas its controller has not heard of (None: no bound is known)."""

    fence: int
    sequence: int
    held: Permits
    granted: Permits
    unheard_limit: int | None

    def total(self, pool: str | None = None) -> int:
        """Loads of one pool, or of all."""
        parts = (self.held, self.granted)
        return sum(n for part in parts for name, n in part.items() if pool is None or name == pool)


class LoadPermitsMixin(interface.Interface):
    """Both sides: the zone's controller that asks, and the store's owner that grants."""

    def load_permits_start(self) -> None:
        """Begin as the owner of nothing."""
        self.store_accounts: dict[str, ZoneAccount] = {}
        self.store_fence: int | None = None

    # the zone's side

    def request_permits(self, zone: owned_zone.OwnedZone) -> None:
        """Ask the store's owner for permits, with what this zone holds."""
        owner = self.cluster_state.role_owners.get(role_owners.STORE_ROLE)
        if owner is None or self.now - zone.permits_requested_at < REQUEST_INTERVAL_MS:
            return
        if self.is_unheard(zone, 2 * REQUEST_INTERVAL_MS):
            return
        address = self.address_of(owner.owner)
        if address is None:
            return
        zone.waiting_loads = {
            item: desired
            for item, desired in zone.waiting_loads.items()
            if self.now - desired.desired_at < 2 * REQUEST_INTERVAL_MS
        }
        needed: Permits = {}
        for desired in zone.waiting_loads.values():
            needed[desired.pool] = needed.get(desired.pool, 0) + 1
        zone.permits_requested_at = self.now
        zone.permit_sequence += 1
        zone.load_budget = {}
        held = self.held_permits(zone)
        self.send(
            address,
            messages.LoadPermitRequest(
                self.me.seat, zone.zone, zone.fence, zone.permit_sequence, held, needed
            ),
        )

    def held_permits(self, zone: owned_zone.OwnedZone) -> Permits:
        """Loads in flight by pool, and those that may go on where nothing is heard."""
        held = self.loads_in_flight(zone)
        if not self.may_load_unheard(zone):
            return held
        unheard = sum(LOADS_AT_ONCE for known in zone.replicas.values() if not known.heard)
        owner = self.cluster_state.role_owners[role_owners.zone_role(zone.zone)]
        if unheard and not owner.is_new:
            held[UNHEARD_POOL] = unheard
        return held

    def may_load_unheard(self, zone: owned_zone.OwnedZone) -> bool:
        """Whether loads that the controller before ordered may still go on where nothing is heard."""
        longest_ms = 2 * self.rules.longest_load + REQUEST_INTERVAL_MS
        return self.now - zone.since < longest_ms

    def hear_load_permit_grant(self, source: str, message: messages.LoadPermitGrant) -> None:
        """Take permits, and use them."""
        zone = self.owned_zones.get(message.zone)
        if zone is None or zone.fence != message.fence or message.sequence != zone.permit_sequence:
            return
        zone.load_budget = dict(message.granted)
        self.place(zone)

    # the store's side

    def tick_store(self) -> None:
        """Take over the store's role, or notice that it is another's."""
        owner = self.cluster_state.role_owners.get(role_owners.STORE_ROLE)
        if owner is None or owner.owner != self.me.seat:
            self.store_fence = None
            return
        if self.store_fence != owner.fence:
            self.store_fence = owner.fence
            self.store_accounts = {}
            self.note(log_events.Event.STORE_ROLE_TAKEN, fence=owner.fence)

    def hear_load_permit_request(self, source: str, message: messages.LoadPermitRequest) -> None:
        """Grant permits within what all zones together may load."""
        owner = self.cluster_state.role_owners.get(role_owners.STORE_ROLE)
        address = self.address_of(message.member_id)
        if owner is None or owner.owner != self.me.seat or address is None or not self.leased():
            return
        self.tick_store()
        former = self.store_accounts.get(message.zone)
        if former and (message.fence, message.sequence) <= (former.fence, former.sequence):
            return
        limit = unheard_limit(message, former)
        if UNHEARD_POOL in message.held and limit is not None:
            message.held[UNHEARD_POOL] = min(message.held[UNHEARD_POOL], limit)
        account = ZoneAccount(message.fence, message.sequence, message.held, {}, limit)
        self.store_accounts[message.zone] = account
        if all(name in self.store_accounts for name in self.rules.zones):
            account.granted = self.share_permits(message)
        fence = identifiers.Fence(message.fence)
        self.send(address, messages.LoadPermitGrant(message.zone, fence, message.sequence, account.granted))

    def share_permits(self, message: messages.LoadPermitRequest) -> Permits:
        """The permits that a zone gets now, by pool."""
        room_left = self.rules.loads - self.loads_of()
        granted: Permits = {}
        for name in sorted(message.desired):
            pool = self.rules.pools.get(name)
            room = room_left if pool is None else min(room_left, pool["loading"] - self.loads_of(name))
            count = max(0, min(message.desired[name], room))
            if count:
                granted[name] = count
                room_left -= count
        return granted

    def loads_of(self, pool: str | None = None) -> int:
        """Loads that all zones hold or were granted, of one pool or of all."""
        return sum(account.total(pool) for account in self.store_accounts.values())


def unheard_limit(message: messages.LoadPermitRequest, former: ZoneAccount | None) -> int | None:
    """What the zone's controller before held and was granted at most: no more can go on unheard."""
    if former is None:
        return None
    if former.fence == message.fence:
        return former.unheard_limit
    return former.total()
