"""Which zones keep an item loaded: those that hold it first, then by weight, never one lost or full."""

import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.query_api.zone_controller.interface as interface
import basaltport.rendezvous as rendezvous

ZONE_LOST_AFTER_MS = 4000

Group = str


class KeptItemsMixin(interface.Interface):
    """Every zone's controller decides alike, from the same cells."""

    def kept_items_start(self) -> None:
        """Begin with nothing seen."""
        self.seen_alive: dict[tuple[identifiers.Zone, Group], identifiers.Millis] = {}

    def see_zones(self) -> None:
        """Note when each zone last had a replica of each group that is up and may be used."""
        for name in self.rules.zones:
            zone = identifiers.Zone(name)
            for replica, row in self.cell_of(zone).replicas():
                if row["up"] and self.may_use(replica):
                    self.seen_alive[(zone, self.cluster_state.listed_replicas[replica].group)] = self.now

    def is_alive(self, zone: identifiers.Zone, group: Group) -> bool:
        """A zone is lost once none of its replicas was up for a while; one not heard of yet is not."""
        if zone in self.cluster_state.evacuated_zones or not self.has_usable_replica(zone, group):
            return False
        if not self.cell_of(zone).complete:
            return True
        seen_at = self.seen_alive.setdefault((zone, group), self.now)
        return self.now - seen_at < ZONE_LOST_AFTER_MS

    def has_usable_replica(self, zone: identifiers.Zone, group: Group) -> bool:
        """Whether a replica of a group is listed in a zone and may be used."""
        listed = self.cluster_state.listed_replicas.items()
        return any(row.zone == zone and row.group == group and self.may_use(r) for r, row in listed)

    def is_kept_in(self, rule: rules.ItemRule, zone: identifiers.Zone) -> bool:
        """Whether a zone should keep an item loaded."""
        if not rule.kept or not self.is_alive(zone, rule.group):
            return False
        model = rule.item.base()
        holding = self.zones_with.get(rule.item, ())
        holding_model = self.zones_with.get(model, ())
        names = map(identifiers.Zone, self.rules.zones)
        alive = [name for name in names if self.is_alive(name, rule.group)]
        able = [name for name in alive if name in holding or self.could_hold(name, rule)]
        able.sort(
            key=lambda name: (name not in holding, name not in holding_model, -rendezvous.weight(model, name))
        )
        return zone in able[: max(1, rule.copies)]

    def could_hold(self, zone: identifiers.Zone, rule: rules.ItemRule) -> bool:
        """Whether some replica of the zone has room for an item beside the kept items that it holds."""
        if not self.cell_of(zone).complete:
            return True
        room_left = self.room_beside_kept(zone, rule)
        if not rule.item.is_adapter():
            return any(room >= rule.size for room in room_left.values())
        model = rule.item.base()
        with_model = {r for r, item, _ in self.cell_of(zone).held() if item == model and r in room_left}
        if with_model:
            return any(room_left[replica] >= rule.size for replica in with_model)
        needed = rule.size + self.rules.items[model].size
        return any(room >= needed for room in room_left.values())

    def room_beside_kept(self, zone: identifiers.Zone, rule: rules.ItemRule) -> dict[str, int]:
        """Room by replica of an item's group, with only kept items (and an adapter's model) left on it."""
        cell = self.cell_of(zone)
        listed = self.cluster_state.listed_replicas
        room_left: dict[str, int] = {
            replica: row["room"]
            for replica, row in cell.replicas()
            if row["up"] and self.may_use(replica) and listed[replica].group == rule.group
        }
        model = rule.item.base() if rule.item.is_adapter() else None
        for replica, item, _ in cell.held():
            held_rule = self.rules.items.get(item) if replica in room_left else None
            if held_rule is not None and (held_rule.kept or item == model):
                room_left[replica] -= held_rule.size
        return room_left
