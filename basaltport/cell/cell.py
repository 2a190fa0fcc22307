"""Copies of each zone's cell at every member: what its replicas hold, as the zone's steward last said."""

import basaltport.kinds as kinds
import basaltport.messages as messages
import basaltport.anti_entropy.ranges as ranges

ASK = 100
BLANK = {"fence": 0, "version": 0, "rows": {}, "whole": False}


class CellMixin:
    """Needs Member. Rows are keyed `replica` or `replica|item`. News comes as changed rows with digests
    of all; a copy that differs asks for the ranges in doubt. The higher fence, then version, wins."""

    def cell_start(self):
        self.cell_at = -(10**9)
        self.cells = {}
        self.holders = {}
        self.near = {}

    def hear_cellnews(self, src, m):
        c = self.cells.get(m.zone, BLANK)
        if (c["fence"], c["version"]) >= (m.fence, m.version) and not m.ranges:
            return
        if c["fence"] > m.fence:
            return
        if m.ranges:
            rows = ranges.mend(c["rows"], ranges.unpack(m.ranges), m.rows)
        else:
            rows = {**c["rows"], **m.rows}
            rows = {k: v for k, v in rows.items() if k not in m.gone}
        bits = ranges.differ(ranges.digests(rows), m.digests)
        whole = c["whole"] or not bits.any()
        v = max(m.version, c["version"]) if c["fence"] == m.fence else m.version
        self.cells[m.zone] = {"fence": m.fence, "version": v, "rows": rows, "whole": whole}
        addr = self.addr_of(m.seat)
        if bits.any() and addr:
            self.send(addr, messages.CellWant(m.zone, m.fence, self.me.seat, ranges.pack(bits)))
        self.index()

    def tick_cells(self):
        """A member that just came asks each steward for all it knows."""
        if self.now - self.cell_at < ASK:
            return
        self.cell_at = self.now
        for z, d in self.zone_duties():
            addr = self.addr_of(d["owner"])
            if not self.cells.get(z, BLANK)["whole"] and addr:
                every = ranges.pack(ranges.all_of())
                self.send(addr, messages.CellWant(z, kinds.Fence(d["fence"]), self.me.seat, every))

    def zone_duties(self):
        ds = self.book["duties"].items()
        return [(kinds.Zone(k[5:]), d) for k, d in ds if k.startswith("zone/")]

    def cells_known(self):
        return all(self.cells.get(z, BLANK)["whole"] for z, _ in self.zone_duties())

    def index(self):
        hs, near = {}, {}
        for z, c in self.cells.items():
            rows = c["rows"]
            for k, v in rows.items():
                r, _, i = k.partition("|")
                if i:
                    near.setdefault(i, set()).add(z)
                if i and v == "loaded" and rows.get(r, {}).get("up"):
                    hs.setdefault(i, []).append((z, r))
        self.holders, self.near = hs, near

    def cell_row(self, zone, replica):
        rows = self.cells.get(zone, BLANK)["rows"]
        held = {k.partition("|")[2]: v for k, v in rows.items() if k.startswith(replica + "|")}
        return {**rows.get(replica, {}), "held": held}

    def has_room(self, zone, item):
        """Whether some replica of the zone could take an item, by this copy, with nothing evicted."""
        rule = self.rules.items.get(item)
        if rule is None:
            return False
        rows = self.cells.get(zone, BLANK)["rows"]
        free = {r: v["room"] for r, v in rows.items() if "|" not in r and v["up"] and self.may_use(r)}
        for k in rows:
            r, _, i = k.partition("|")
            if i and r in free and i in self.rules.items:
                free[r] -= self.rules.items[i].size
        group = {r for r in free if self.book["platform"][r]["group"] == rule.group}
        return any(free[r] >= rule.full for r in group)

    def may_use(self, replica):
        """False for a replica that is leaving, unlisted, or in an emptied zone."""
        r = self.book["platform"].get(replica)
        if r is None or replica in self.book["leaving"] or replica in self.shunned:
            return False
        return r["zone"] not in self.book["drains"] and kinds.Zone(r["zone"]) not in self.shunned_zones
