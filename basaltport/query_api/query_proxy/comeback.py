"""Final words: one for each query, with what ran and, unless the sender erred, when to come back."""

import basaltport.events as events
import basaltport.query_api.zone_controller.slots as slots

OWN = (400, 401, 403, 404, 413, 422)
AGAIN = 200
UNKNOWN = 2000
ELECTION = 2500


class ComebackMixin:
    """Needs the other mixins of Rostrum."""

    def final(self, qid, status, code, detail, ran, retry):
        b = {"query": qid, "error": code, "detail": detail, "ran": ran}
        if status not in OWN:
            retry = b["retry_after_ms"] = max(retry, AGAIN)
        q = self.queries.pop(qid, None)
        if q is not None and q.claim:
            self.settle_claim(q, ran)
        self.tally[code] = self.tally.get(code, 0) + 1
        self.emit(events.Close(qid, status, b, retry))

    def refuse_id(self, qid, status, code, detail="", retry=0):
        self.final(qid, status, code, detail, "no", retry)

    def refuse(self, q, status, code, detail="", retry=0):
        """A refusal is said only where nothing ran; after a dispatch of unknown fate the word is unknown."""
        self.lines.drop(q)
        if q.resent:
            self.give_up(q, status, code, detail, retry)
            return
        self.refuse_id(q.id, status, code, detail, retry or self.come_back(q))

    def give_up(self, q, status, code, detail="", retry=0):
        """A final word where it may have run."""
        self.final(q.id, status, code, detail, "unknown", retry or self.come_back(q))

    def lease_back(self):
        """What an election and the lapse of old leases may still take."""
        return max(AGAIN, ELECTION - (self.now - self.lease_end))

    def come_back(self, q):
        """When asking again is likely to help: lease, load left, a replica's rest, ramp, line ahead."""
        if not self.leased():
            return self.lease_back()
        rs = [r for _, r in self.holders.get(q.item, []) if self.may_use(r)]
        if not rs:
            return self.load_left(q.item) or UNKNOWN
        rest = min(max(0, self.down.get(r, 0) - self.now) for r in rs)
        n = sum(self.slot(r).n for r in rs if self.now < self.slot(r).until)
        if not n:
            return max(rest, slots.RAMP)
        return rest + max(AGAIN, self.ahead(q) * self.typical(q.item) // n)

    def load_left(self, item):
        f = self.fact(item)
        since = self.now - f.load_since if f.state == "loading" else 0
        return max(0, f.expected - since)
