"""Copies of each zone's cell at every member: what its replicas hold, as the zone's controller last said."""

import collections.abc
import dataclasses
import typing

import basaltport.consensus.state_machine as state_machine
import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.query_api.failure_detection.role_owners as role_owners
import basaltport.query_api.messages as messages
import basaltport.range_digests as range_digests

REQUEST_INTERVAL_MS = 100
LONG_AGO = -(10**9)
LOADED = "loaded"

Rows = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A copy of a zone's rows; `complete` once it was equal to its controller's."""

    fence: int = 0
    version: int = 0
    rows: Rows = dataclasses.field(default_factory=dict)
    complete: bool = False

    def replicas(self) -> collections.abc.Iterator[tuple[str, Rows]]:
        """Each replica's row: `up`, `epoch` and `room`."""
        return ((key, row) for key, row in self.rows.items() if "|" not in key)

    def held(self) -> collections.abc.Iterator[tuple[str, str, str]]:
        """Each item that a replica holds: (replica, item, state)."""
        for key, state in self.rows.items():
            replica, _, item = key.partition("|")
            if item:
                yield replica, item, state


NO_CELL = Cell()


def row_key(replica: str, item: str) -> str:
    """The key of the row for an item that a replica holds."""
    return f"{replica}|{item}"


class CellInterface(typing.Protocol):
    """What `CellMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    rules: rules.Rules
    leaving_hints: collections.abc.Container[str]
    evacuation_hints: collections.abc.Container[str]

    def address_of(self, seat: str) -> str | None:
        """The address of a member, if it is known."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Interface = CellInterface
else:
    Interface = object


class CellMixin(Interface):
    """Rows are keyed `replica` or `replica|item`. An update brings changed rows with digests of all; a copy
    that differs asks for the ranges in doubt. The higher fence, then the higher version wins."""

    def cell_start(self) -> None:
        """Begin with nothing known."""
        self.cells_requested_at = LONG_AGO
        self.cells: dict[str, Cell] = {}
        self.holders: dict[str, list[tuple[str, str]]] = {}
        self.zones_with: dict[str, set[str]] = {}

    def cell_of(self, zone: str) -> Cell:
        """The copy of a zone's cell; an empty one where nothing was heard."""
        return self.cells.get(zone, NO_CELL)

    def hear_cell_update(self, source: str, message: messages.CellUpdate) -> None:
        """Take a zone's update, and ask for the ranges in which the copy still differs."""
        cell = self.cell_of(message.zone)
        if (cell.fence, cell.version) >= (message.fence, message.version) and not message.ranges:
            return
        if cell.fence > message.fence:
            return
        rows = updated_rows(cell.rows, message)
        differing = range_digests.differ(range_digests.digests(rows), message.digests)
        complete = cell.complete or not differing.any()
        version = max(message.version, cell.version) if cell.fence == message.fence else message.version
        self.cells[message.zone] = Cell(message.fence, version, rows, complete)
        address = self.address_of(message.member_id)
        if differing.any() and address:
            ranges = range_digests.pack(differing)
            self.send(address, messages.CellRequest(message.zone, message.fence, self.me.seat, ranges))
        self.index_holders()

    def tick_cells(self) -> None:
        """Ask each zone's controller for all rows of a cell that was never complete here."""
        if self.now - self.cells_requested_at < REQUEST_INTERVAL_MS:
            return
        self.cells_requested_at = self.now
        all_ranges = range_digests.pack(range_digests.all_ranges())
        for zone, owner in self.zone_owners():
            address = self.address_of(owner.owner)
            if not self.cell_of(zone).complete and address:
                fence = identifiers.Fence(owner.fence)
                self.send(address, messages.CellRequest(zone, fence, self.me.seat, all_ranges))

    def zone_owners(self) -> list[tuple[identifiers.Zone, state_machine.RoleOwner]]:
        """Each zone with the owner of its role and the fence."""
        prefix = role_owners.ZONE_ROLE_PREFIX
        owners = self.cluster_state.role_owners.items()
        return [
            (identifiers.Zone(role.removeprefix(prefix)), o) for role, o in owners if role.startswith(prefix)
        ]

    def cells_known(self) -> bool:
        """Whether the cells of all zones were complete once."""
        return all(self.cell_of(zone).complete for zone, _ in self.zone_owners())

    def index_holders(self) -> None:
        """Find anew which replicas have an item loaded, and which zones have it at all."""
        self.holders, self.zones_with = {}, {}
        for zone, cell in self.cells.items():
            for replica, item, state in cell.held():
                self.zones_with.setdefault(item, set()).add(zone)
                if state == LOADED and cell.rows.get(replica, {}).get("up"):
                    self.holders.setdefault(item, []).append((zone, replica))

    def replica_row(self, zone: str, replica: str) -> Rows:
        """A replica's row with the state of each item on it."""
        cell = self.cell_of(zone)
        held = {item: state for holder, item, state in cell.held() if holder == replica}
        return {**cell.rows.get(replica, {}), "held": held}

    def has_room(self, zone: str, item: str) -> bool:
        """Whether some replica of the zone could take an item, by this copy, with nothing evicted."""
        rule = self.rules.items.get(item)
        if rule is None:
            return False
        cell = self.cell_of(zone)
        room_left = {
            replica: row["room"] for replica, row in cell.replicas() if row["up"] and self.may_use(replica)
        }
        for replica, held_item, _ in cell.held():
            if replica in room_left and held_item in self.rules.items:
                room_left[replica] -= self.rules.items[held_item].size
        listed = self.cluster_state.listed_replicas
        return any(
            room >= rule.full for replica, room in room_left.items() if listed[replica].group == rule.group
        )

    def may_use(self, replica: str) -> bool:
        """False for a replica that is leaving, unlisted, or in an evacuated zone."""
        listed = self.cluster_state.listed_replicas.get(replica)
        if listed is None or replica in self.cluster_state.leaving_replicas or replica in self.leaving_hints:
            return False
        zone = identifiers.Zone(listed.zone)
        return zone not in self.cluster_state.evacuated_zones and zone not in self.evacuation_hints


def updated_rows(rows: Rows, message: messages.CellUpdate) -> Rows:
    """The rows of a copy with an update taken in."""
    if message.ranges:
        return range_digests.replace_ranges(rows, range_digests.unpack(message.ranges), message.rows)
    removed = set(message.removed)
    return {key: row for key, row in {**rows, **message.rows}.items() if key not in removed}
