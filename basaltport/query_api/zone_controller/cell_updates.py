"""Updates of a cell from its zone's controller to every member: changed rows, ranges on request."""

import typing

import basaltport.query_api.cell.cell as cell
import basaltport.query_api.messages as messages
import basaltport.query_api.zone_controller.interface as interface
import basaltport.query_api.zone_controller.owned_zone as owned_zone
import basaltport.range_digests as range_digests

UPDATE_INTERVAL_MS = 500
QUIET_AFTER_TAKEOVER_MS = 1500

Rows = dict[str, typing.Any]


def rows_of(zone: owned_zone.OwnedZone) -> Rows:
    """The rows of a zone's cell, from what its replicas reported."""
    rows: Rows = {}
    for known in zone.replicas.values():
        rows[known.id] = {"up": known.up, "epoch": known.epoch, "room": known.room}
        for item, held in known.held.items():
            rows[cell.row_key(known.id, item)] = held.state
    return rows


class CellUpdatesMixin(interface.Interface):
    """Publishes the cells of the zones that this node controls."""

    def publish(self, zone: owned_zone.OwnedZone) -> None:
        """Send what changed to all members. A new controller is silent until its replicas have reported:
        what it has not heard is no update."""
        if self.is_unheard(zone, QUIET_AFTER_TAKEOVER_MS):
            return
        rows = rows_of(zone)
        if rows == zone.published and self.now - zone.published_at < UPDATE_INTERVAL_MS:
            return
        changed = {key: row for key, row in rows.items() if zone.published.get(key) != row}
        removed = [key for key in zone.published if key not in rows]
        zone.published_at = self.now
        zone.published = rows
        zone.version += 1
        update = self.cell_update(zone, changed, removed, "")
        for address in self.member_addresses():
            self.send(address, update)

    def cell_update(
        self, zone: owned_zone.OwnedZone, rows: Rows, removed: list[str], ranges: str
    ) -> messages.CellUpdate:
        """An update with digests of all published rows."""
        digests = range_digests.digests(zone.published)
        return messages.CellUpdate(
            zone.zone, zone.fence, self.me.seat, zone.version, rows, removed, digests, ranges
        )

    def hear_cell_request(self, source: str, message: messages.CellRequest) -> None:
        """Send whole ranges to a member whose copy differs."""
        zone = self.owned_zones.get(message.zone)
        address = self.address_of(message.member_id)
        if zone is None or zone.fence != message.fence or address is None:
            return
        if self.is_unheard(zone, QUIET_AFTER_TAKEOVER_MS):
            return
        desired = range_digests.unpack(message.ranges)
        rows = range_digests.select_ranges(zone.published, desired)
        self.send(address, self.cell_update(zone, rows, [], range_digests.pack(desired)))
