"""Which zones keep a kept item: those that hold it first, then by weight, never one that is lost or full."""

import basaltport.rendezvous as rendezvous
import basaltport.query_api.cell.cell as cell

LOST = 4000


class HomeMixin:
    """Needs CellMixin and compiled rules. Every steward decides alike, from the same cells."""

    def homes_start(self):
        self.seen_alive = {}

    def see_zones(self):
        """When each zone last had a replica of each group that is up and may be used."""
        for z in self.rules.zones:
            c = self.cells.get(z, cell.BLANK)
            for r, v in c.rows.items():
                if "|" not in r and v["up"] and self.may_use(r):
                    self.seen_alive[(z, self.book["platform"][r]["group"])] = self.now

    def alive(self, z, group):
        """A zone is lost once none of its replicas was up for a while; one not heard of yet is not."""
        if z in self.book["drains"] or not self.zone_has(z, group):
            return False
        if not self.cells.get(z, cell.BLANK).whole:
            return True
        at = self.seen_alive.setdefault((z, group), self.now)
        return self.now - at < LOST

    def zone_has(self, z, group):
        rows = self.book["platform"].items()
        return any(v["zone"] == z and v["group"] == group and self.may_use(r) for r, v in rows)

    def kept_here(self, r, d):
        if not r.kept or not self.alive(d.zone, r.group):
            return False
        base = r.item.base()
        zs = [z for z in self.rules.zones if self.alive(z, r.group)]
        held = self.near.get(r.item, ())
        by = self.near.get(base, ())
        zs = [z for z in zs if z in held or self.could_hold(z, r)]
        zs.sort(key=lambda z: (z not in held, z not in by, -rendezvous.weight(base, z)))
        return d.zone in zs[: max(1, r.copies)]

    def could_hold(self, z, r):
        """Whether some replica of the zone has room for it beside the kept items that it holds."""
        rows = self.cells.get(z, cell.BLANK).rows
        if not self.cells.get(z, cell.BLANK).whole:
            return True
        free = {}
        for k, v in rows.items():
            if "|" not in k and v["up"] and self.may_use(k) and self.book["platform"][k]["group"] == r.group:
                free[k] = v["room"]
        for k in rows:
            p, _, i = k.partition("|")
            rule = self.rules.items.get(i) if i and p in free else None
            if rule is not None and (rule.kept or r.item.is_adapter() and i == r.item.base()):
                free[p] -= rule.size
        need = r.size
        if r.item.is_adapter():
            on = {p for p in free if f"{p}|{r.item.base()}" in rows}
            free = {p: n for p, n in free.items() if p in on} if on else free
            need += 0 if on else self.rules.items[r.item.base()].size
        return any(n >= need for n in free.values())
