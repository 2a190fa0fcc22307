"""Copies of each zone's cell at every member: what its replicas hold, as the zone's steward last said."""

import collections.abc
import dataclasses
import typing

import basaltport.range_digests as ranges
import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

ASK = 100
LONG_AGO = -(10**9)
ZONE_DUTY = "zone/"

Rows = dict[str, typing.Any]
Duty = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A copy of a zone's rows; `whole` once it was equal to its controller's."""

    fence: int = 0
    version: int = 0
    rows: Rows = dataclasses.field(default_factory=dict)
    whole: bool = False


BLANK = Cell()


class CellNeeds(typing.Protocol):
    """What `CellMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    book: dict[str, typing.Any]
    rules: rules.Rules
    shunned: collections.abc.Container[str]
    shunned_zones: collections.abc.Container[str]

    def addr_of(self, seat: str) -> str | None:
        """The address of a seat, if it is known."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""


if typing.TYPE_CHECKING:
    Needs = CellNeeds
else:
    Needs = object


class CellMixin(Needs):
    """Rows are keyed `replica` or `replica|item`. News comes as changed rows with digests
    of all; a copy that differs asks for the ranges in doubt. The higher fence, then version, wins."""

    def cell_start(self) -> None:
        """Begin with nothing known."""
        self.cell_at = LONG_AGO
        self.cells: dict[str, Cell] = {}
        self.holders: dict[str, list[tuple[str, str]]] = {}
        self.near: dict[str, set[str]] = {}

    def hear_cellnews(self, src: str, m: messages.CellNews) -> None:
        """Take news of a zone, and ask for the ranges in which the copy still differs."""
        c = self.cells.get(m.zone, BLANK)
        if (c.fence, c.version) >= (m.fence, m.version) and not m.ranges:
            return
        if c.fence > m.fence:
            return
        if m.ranges:
            rows = ranges.mend(c.rows, ranges.unpack(m.ranges), m.rows)
        else:
            rows = {**c.rows, **m.rows}
            rows = {k: v for k, v in rows.items() if k not in m.gone}
        bits = ranges.differ(ranges.digests(rows), m.digests)
        whole = c.whole or not bits.any()
        version = max(m.version, c.version) if c.fence == m.fence else m.version
        self.cells[m.zone] = Cell(m.fence, version, rows, whole)
        addr = self.addr_of(m.seat)
        if bits.any() and addr:
            self.send(addr, messages.CellWant(m.zone, m.fence, self.me.seat, ranges.pack(bits)))
        self.index()

    def tick_cells(self) -> None:
        """A member that just came asks each steward for all it knows."""
        if self.now - self.cell_at < ASK:
            return
        self.cell_at = self.now
        for z, d in self.zone_duties():
            addr = self.addr_of(d["owner"])
            if not self.cells.get(z, BLANK).whole and addr:
                every = ranges.pack(ranges.all_of())
                self.send(addr, messages.CellWant(z, identifiers.Fence(d["fence"]), self.me.seat, every))

    def zone_duties(self) -> list[tuple[identifiers.Zone, Duty]]:
        """The duty of each zone, with its owner and fence."""
        ds = self.book["duties"].items()
        return [(identifiers.Zone(k.removeprefix(ZONE_DUTY)), d) for k, d in ds if k.startswith(ZONE_DUTY)]

    def cells_known(self) -> bool:
        """Whether all zones were known whole once."""
        return all(self.cells.get(z, BLANK).whole for z, _ in self.zone_duties())

    def index(self) -> None:
        """Find anew who holds which item, and which zones have it at all."""
        self.holders, self.near = {}, {}
        for z, c in self.cells.items():
            for k, v in c.rows.items():
                r, _, i = k.partition("|")
                if not i:
                    continue
                self.near.setdefault(i, set()).add(z)
                if v == "loaded" and c.rows.get(r, {}).get("up"):
                    self.holders.setdefault(i, []).append((z, r))

    def cell_row(self, zone: str, replica: str) -> Rows:
        """A replica's row with the state of each item on it."""
        rows = self.cells.get(zone, BLANK).rows
        held = {k.partition("|")[2]: v for k, v in rows.items() if k.startswith(replica + "|")}
        return {**rows.get(replica, {}), "held": held}

    def has_room(self, zone: str, item: str) -> bool:
        """Whether some replica of the zone could take an item, by this copy, with nothing evicted."""
        rule = self.rules.items.get(item)
        if rule is None:
            return False
        rows = self.cells.get(zone, BLANK).rows
        free = {r: v["room"] for r, v in rows.items() if "|" not in r and v["up"] and self.may_use(r)}
        for k in rows:
            r, _, i = k.partition("|")
            if i and r in free and i in self.rules.items:
                free[r] -= self.rules.items[i].size
        group = {r for r in free if self.book["platform"][r]["group"] == rule.group}
        return any(free[r] >= rule.full for r in group)

    def may_use(self, replica: str) -> bool:
        """False for a replica that is leaving, unlisted, or in an emptied zone."""
        r = self.book["platform"].get(replica)
        if r is None or replica in self.book["leaving"] or replica in self.shunned:
            return False
        return r["zone"] not in self.book["drains"] and identifiers.Zone(r["zone"]) not in self.shunned_zones
