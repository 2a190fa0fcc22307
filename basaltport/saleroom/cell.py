"""Copies of each zone's cell at every member: what its replicas hold, as the zone's steward last said."""

import basaltport.kinds as kinds


class CellMixin:
    """Needs Member. The newer copy, by fence and then version, always wins."""

    def cell_start(self):
        self.cells = {}
        self.holders = {}

    def hear_cellnews(self, src, m):
        c = self.cells.get(m.zone)
        if c and (c["fence"], c["version"]) >= (m.fence, m.version):
            return
        self.cells[m.zone] = {"fence": m.fence, "version": m.version, "rows": m.rows, "at": self.now}
        self.index()

    def index(self):
        hs = {}
        for z, c in self.cells.items():
            for r, row in c["rows"].items():
                if not row["up"]:
                    continue
                for i, h in row["held"].items():
                    if h == "loaded":
                        hs.setdefault(i, []).append((z, r))
        self.holders = hs

    def cell_row(self, zone, replica):
        return self.cells.get(zone, {}).get("rows", {}).get(replica, {})

    def may_use(self, replica):
        """False for a replica that is leaving, unlisted, or in an emptied zone."""
        r = self.book["platform"].get(replica)
        if r is None or replica in self.book["leaving"] or replica in self.shunned:
            return False
        return r["zone"] not in self.book["drains"] and kinds.Zone(r["zone"]) not in self.shunned_zones
