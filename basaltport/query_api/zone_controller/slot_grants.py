"""Slot grants: shares of a replica's slots, leased to query nodes, never more in sum than the limit."""

import basaltport.identifiers as identifiers
import basaltport.query_api.messages as messages
import basaltport.query_api.zone_controller.interface as interface
import basaltport.query_api.zone_controller.owned_zone as owned_zone
import basaltport.query_api.zone_controller.replica as replica
import basaltport.query_api.zone_controller.slot_shares as slot_shares

GRANT_LEASE_MS = 2000
LEASE_MARGIN_MS = 150
SLOW_START_STEP_MS = 1000
SLOW_START_SLOTS = 2
MAX_DOUBLINGS = 14
UNACCOUNTED_REPORTS = 3


class SlotGrantsMixin(interface.Interface):
    """A controller after the first waits out the grants of the one before."""

    def slot_limit(self, known: replica.ControlledReplica) -> int:
        """The slots of a replica that may be granted: few after its start, doubled with every step."""
        group = self.rules.groups.get(known.group)
        if group is None or not known.up:
            return 0
        first: int = group.get("fresh_slots", SLOW_START_SLOTS)
        age = max(0, self.now - known.fresh_since)
        limit: int = min(group["slots"], first << min(age // SLOW_START_STEP_MS, MAX_DOUBLINGS))
        return limit

    def hear_slot_request(self, source: str, message: messages.SlotRequest) -> None:
        """Grant a node what it uses and its share of what it wants besides."""
        zone = self.owned_zones.get(message.zone)
        address = self.address_of(message.member_id)
        if zone is None or address is None or zone.fence != message.fence or not self.leased():
            return
        shares = zone.slots
        self.take_demand(shares, message)
        if self.former_grants_hold(zone):
            rows = dict(shares.using[message.member_id])
        else:
            rows = {name: self.grant(zone, message.member_id, name) for name in message.rows}
        shares.last_number += 1
        number = shares.last_number
        shares.granted[message.member_id][number] = rows
        fence = identifiers.Fence(zone.fence)
        self.send(address, messages.SlotGrants(zone.zone, fence, message.sequence, number, rows))

    def take_demand(self, shares: slot_shares.SlotShares, message: messages.SlotRequest) -> None:
        """Note what a node uses and wants, and which grants it has taken."""
        member_id = message.member_id
        shares.using[member_id] = {name: row[0] for name, row in message.rows.items()}
        shares.desired[member_id] = {name: row[0] + row[1] for name, row in message.rows.items()}
        grants = shares.granted.get(member_id, {})
        shares.granted[member_id] = {n: grant for n, grant in grants.items() if n >= message.seen}
        shares.expires_at[member_id] = self.now + GRANT_LEASE_MS + LEASE_MARGIN_MS
        timeouts = [rule.timeout for rule in self.rules.lines.values()]
        shares.forget_expired(self.now, max(timeouts, default=0))

    def former_grants_hold(self, zone: owned_zone.OwnedZone) -> bool:
        """Whether grants of the controller before may not have expired yet."""
        if self.now - zone.slots.since >= GRANT_LEASE_MS + LEASE_MARGIN_MS:
            return False
        return not self.cluster_state.role_owners["zone/" + zone.zone].first

    def grant(self, zone: owned_zone.OwnedZone, member_id: str, name: str) -> int:
        """How many slots of a replica a node may hold from now on."""
        known = zone.replicas.get(name)
        if known is None or not self.may_use(name):
            return 0
        shares = zone.slots
        total = max(0, self.slot_limit(known) - known.surely_unaccounted())
        nodes = sorted(shares.expires_at)
        live = [node for node in nodes if self.now < shares.expires_at[node]]
        lost = sum(shares.most_held(node, name) for node in nodes if node not in live)
        if self.reported_since_expiry(shares, known):
            lost = min(lost, known.running)
        demands = {node: shares.desired_of(node, name) for node in live}
        granted, left = slot_shares.fair_shares(max(0, total - lost), demands)
        own = granted.get(member_id, 0) + left // max(1, 2 * len(live))
        others = sum(shares.most_held(node, name) for node in live if node != member_id)
        return max(0, min(own, total - lost - others))

    def count_unaccounted(self, zone: owned_zone.OwnedZone, known: replica.ControlledReplica) -> None:
        """Count runs that a replica still has though no node counts them, as after a timeout."""
        using = sum(by_replica.get(known.id, 0) for by_replica in zone.slots.using.values())
        newest = max(0, known.running - using)
        known.unaccounted = [newest, *known.unaccounted[: UNACCOUNTED_REPORTS - 1]]

    def reported_since_expiry(self, shares: slot_shares.SlotShares, known: replica.ControlledReplica) -> bool:
        """Whether a replica has reported since the grants of every lost node expired."""
        expired = [expiry for expiry in shares.expires_at.values() if self.now >= expiry]
        return all(known.reported_at > expiry for expiry in expired)
