"""Which replica a request goes to: usable ones that hold its item, the near and little used first."""

import basaltport.failure_detection.duties as duties
import basaltport.relay.budget as budget
import basaltport.relay.health as health

FAR = 0.3
KNEE = 16
FAILED = 0.5
SLOW = 0.3
LEAN = 0.12
AFFINE = 1000
DEFAULT_SLOTS = 8


class PickMixin:
    """Needs Relay. An item of "" stands for the whole service."""

    def pick_start(self):
        self.health = {}
        self.indexed = None
        self.by_item = {}

    def rows_changed(self, ids):
        for r in [r for r in self.health if r not in self.rows and not self.health[r].running]:
            del self.health[r]
        for r in ids:
            row = self.rows.get(r)
            if row and row.get("cold_ms"):
                self.health_of(r).cold_until = self.now + row["cold_ms"]
            if row and r in self.health:
                h = self.health[r]
                h.absent = {i: t for i, t in h.absent.items() if t > self.now}
        self.unpark()
        self.pump()

    def holders(self, service, item):
        """Ids of the replicas that hold an item, by the rows as they are now."""
        if self.indexed is not self.rows:
            self.index()
        return self.by_item.get((service, item), ())

    def index(self):
        self.indexed, out = self.rows, {}
        for r, row in self.rows.items():
            out.setdefault((row["service"], ""), []).append(r)
            for m, adapters in row["models"].items():
                out.setdefault((row["service"], m), []).append(r)
                for a in adapters:
                    out.setdefault((row["service"], f"{m}/{a}"), []).append(r)
        self.by_item = out

    def health_of(self, r):
        h = self.health.get(r)
        if h is None:
            h = self.health[r] = health.Health(budget.Cold())
        return h

    def slots_of(self, row):
        s = self.table.services.get(row["service"])
        return row.get("slots") or (s.slots if s else 0) or DEFAULT_SLOTS

    def cap(self, row):
        """How many attempts of this node a replica may run: twice an even share, at least four."""
        return max(4, 2 * self.slots_of(row) // max(1, self.peers() // max(1, self.zones)))

    def cold_share(self, r, row):
        s = self.table.services.get(row["service"])
        if s is None or not s.cold_rate:
            return 10**6
        total = s.cold_rate * self.timings["cold_excess"] + self.timings["cold_slack"]
        return budget.Cold.share(total, self.peers(), self.me.name, r)

    def open(self, r, row):
        """Whether new requests may go there at all."""
        if row["state"] != "ready" or row["zone"] in self.book["drains"]:
            return False
        h = self.health.get(r)
        return h is None or not h.dead

    def usable(self, q):
        return [r for r in self.holders(q.service, q.item) if self.fits(q, r)]

    def held(self, q):
        """Whether a replica that is open holds the item, free or not."""
        for r in self.holders(q.service, q.item):
            h = self.health.get(r)
            if self.open(r, self.rows[r]) and (
                h is None or not h.lacks(q.item, self.now) and self.now >= h.down
            ):
                return True
        return False

    def fits(self, q, r):
        row = self.rows[r]
        if not self.open(r, row) or r not in q.sent_to and not q.spare():
            return False
        h = self.health_of(r)
        if self.now < h.down or h.lacks(q.item, self.now) or h.running >= self.cap(row):
            return False
        if self.now < h.cold_until and not h.cold.room(self.now, self.cold_share(r, row)):
            return False
        return True

    def pick(self, q):
        best, score = None, None
        for r in self.usable(q):
            s = self.score(q, r)
            if score is None or s < score:
                best, score = r, s
        return best

    def score(self, q, r):
        row, h = self.rows[r], self.health_of(r)
        share = max(1.0, min(KNEE, self.slots_of(row)) * self.zones / self.peers())
        s = h.running / share + min(2.0, h.first / max(1, q.route.target))
        if row["zone"] != self.me.zone:
            s += FAR
        if r in q.avoid:
            s += 10
        if h.fails:
            s += FAILED
        if h.first and self.typical(q.service) and h.first > 2 * self.typical(q.service):
            s += SLOW
        if q.tokens >= AFFINE:
            s += LEAN * (duties.weight(f"{q.item}|{q.prefix}", r) / 2**64)
        else:
            s += 0.01 * self.rng.random()
        return s
