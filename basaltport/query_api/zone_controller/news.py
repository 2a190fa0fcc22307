"""News of a cell from its steward to every member: changed rows with digests, ranges on request."""

import basaltport.messages as messages
import basaltport.range_digests as ranges

NEWS = 500
QUIET = 1500


class NewsMixin:
    """Needs the duty of a zone."""

    def rows_of(self, d):
        rows = {}
        for p in d.reps.values():
            rows[p.id] = {"up": p.up, "epoch": p.epoch, "room": p.room}
            for i, h in p.held.items():
                rows[f"{p.id}|{i}"] = h["state"]
        return rows

    def tell(self, d):
        """A new owner is silent until its replicas spoke: what it has not heard is no news."""
        if self.unheard(d, QUIET):
            return
        rows = self.rows_of(d)
        if rows == d.shown and self.now - d.news_at < NEWS:
            return
        new = {k: v for k, v in rows.items() if d.shown.get(k) != v}
        gone = [k for k in d.shown if k not in rows]
        d.news_at = self.now
        d.shown = rows
        d.version += 1
        m = self.news(d, new, gone, "")
        for a in self.addrs():
            self.send(a, m)

    def news(self, d, rows, gone, bits):
        ds = ranges.digests(d.shown)
        return messages.CellNews(d.zone, d.fence, self.me.seat, d.version, rows, gone, ds, bits)

    def hear_cellwant(self, src, m):
        d = self.duties.get(m.zone)
        addr = self.addr_of(m.seat)
        if d is None or d.fence != m.fence or addr is None or self.unheard(d, QUIET):
            return
        bits = ranges.unpack(m.ranges)
        self.send(addr, self.news(d, ranges.cut(d.shown, bits), [], ranges.pack(bits)))
