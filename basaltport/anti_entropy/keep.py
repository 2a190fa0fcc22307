"""A keeper of senders' keys: who claimed each, and what came of it. Records of a range are whole here
only once they were copied from most of the keepers before, or everything claimed before has lapsed."""

import basaltport.kinds as kinds
import basaltport.messages as messages
import basaltport.anti_entropy.ranges as ranges

COPY = 200
LAPSE = 2000
BYTES = 64 << 20
FINAL = ("done", "unknown")


class Record:
    """Claims on one key by query: usually one; more where senders raced."""

    __slots__ = ("who", "until")

    def __init__(self, who, until):
        self.who = who
        self.until = until


def row(query, digest, owner, k):
    return {"q": query, "digest": digest, "owner": owner, "k": k, "state": "held", "status": 0, "reply": {}}


def copied(who):
    return {q: dict(w) for q, w in who.items()}


class KeepMixin:
    """Needs SeatMixin and compiled rules."""

    def keep_start(self):
        self.kept = [{} for _ in range(ranges.RANGES)]
        self.kept_bytes = 0
        self.whole = {}
        self.past = {}
        self.joins = {}
        self.swept = 0

    def keepers(self, kid):
        return self.book["keepers"].get(str(ranges.range_of(kid)), {"at": 0, "seats": {}})

    def kept_count(self):
        return sum(len(x) for x in self.kept)

    # joining

    def join_ranges(self):
        """A new keeper of a range starts with nothing of it; one that joins anew with what it has."""
        for i, r in self.book["keepers"].items():
            mine = r["seats"].get(self.me.seat)
            if mine is None:
                self.joins.pop(i, None)
                continue
            at, prior = mine
            if self.whole.get(i) == at or self.joins.get(i, {}).get("at") == at:
                continue
            self.past[i] = self.whole.pop(i, self.past.get(i))
            got = {self.me.seat} if prior.get(self.me.seat) == self.past[i] is not None else set()
            if not got:
                self.kept[int(i)], self.past[i] = {}, None
            self.joins[i] = {"at": at, "prior": prior, "since": self.now, "next": self.now, "got": got}
        self.count_bytes()

    def count_bytes(self):
        rs = (w for x in self.kept for c in x.values() for w in c.who.values())
        self.kept_bytes = sum(len(str(w["reply"])) for w in rs)

    def tick_keep(self):
        for i, j in list(self.joins.items()):
            if 2 * len(j["got"]) > len(j["prior"]) or not j["prior"] or self.blank_left(j) <= 0:
                self.whole[i] = j["at"]
                del self.joins[i]
                self.note(70, range=int(i), copied=len(j["got"]), records=len(self.kept[int(i)]))
                continue
            if self.now < j["next"]:
                continue
            j["next"] = self.now + COPY
            d = self.digest_of(int(i))
            for s in sorted(set(j["prior"]) - j["got"]):
                addr = self.addr_of(s)
                if addr:
                    self.send(addr, messages.KeepWant(self.me.seat, int(i), j["at"], j["prior"][s], d))
        self.swept = (self.swept + 1) % ranges.RANGES
        x = self.kept[self.swept]
        for kid in [k for k, c in x.items() if self.now >= c.until]:
            self.drop_record(x, kid)

    def drop_record(self, x, kid):
        for w in x.pop(kid).who.values():
            self.kept_bytes -= len(str(w["reply"]))

    def blank_left(self, j):
        return j["since"] + self.rules.keep_ms + LAPSE - self.now

    def digest_of(self, i):
        return ranges.digests({k: sorted(c.who.items()) for k, c in self.kept[i].items()})[i]

    def hear_keepwant(self, src, m):
        """Only from a copy that is whole for the stint asked of, and that takes no older claim any more."""
        addr = self.addr_of(m.seat)
        i = str(m.range)
        if addr is None or self.book["serial"] < m.at:
            return
        if m.stint not in (self.whole.get(i), self.past.get(i)):
            return
        rows = {}
        if self.digest_of(m.range) != m.digest:
            rows = {k: [c.until - self.now, copied(c.who)] for k, c in self.kept[m.range].items()}
        self.send(addr, messages.KeepCopy(self.me.seat, m.range, m.at, rows))

    def hear_keepcopy(self, src, m):
        j = self.joins.get(str(m.range))
        if j is None or j["at"] != m.at or m.seat not in j["prior"]:
            return
        x = self.kept[m.range]
        for kid, (left, who) in m.rows.items():
            c = x.setdefault(kid, Record({}, 0))
            c.until = max(c.until, self.now + left)
            for q, w in copied(who).items():
                was = c.who.get(q)
                if was is None:
                    c.who[q] = w
                elif was["state"] not in FINAL:
                    c.who[q] = {**w, "k": max(w["k"], was["k"])}
        self.count_bytes()
        j["got"].add(m.seat)

    # claims

    def hear_claim(self, src, m):
        addr = self.addr_of(m.owner)
        r = self.keepers(m.kid)
        mine = r["seats"].get(self.me.seat)
        if addr is None or mine is None or r["at"] != m.at:
            return
        i = str(ranges.range_of(m.kid))
        if self.whole.get(i) != mine[0]:
            j = self.joins.get(i)
            left = self.blank_left(j) if j else COPY
            self.send(addr, self.claimed(m, "blank", left=kinds.Millis(max(0, left))))
            return
        self.send(addr, self.judge(m, self.kept[int(i)]))

    def claimed(self, m, state, w=None, left=0):
        w = w or {"status": 0, "reply": {}, "owner": ""}
        return messages.Claimed(
            self.me.seat, m.query, m.k, state, w["status"], w["reply"], kinds.Seat(w["owner"]), left
        )

    def judge(self, m, x):
        c = x.get(m.kid)
        if c is not None and self.now >= c.until:
            self.drop_record(x, m.kid)
            c = None
        if c is None:
            if self.kept_count() >= self.rules.keep_bound:
                return self.claimed(m, "full")
            c = x[m.kid] = Record({}, self.now + self.rules.keep_ms)
        for w in c.who.values():
            if w["digest"] != m.digest:
                return self.claimed(m, "other")
            if w["state"] in FINAL:
                return self.claimed(m, w["state"], w)
        others = [w for q, w in c.who.items() if q != m.query]
        if others:
            return self.claimed(m, "taken", others[0])
        w = c.who.setdefault(m.query, row(m.query, m.digest, m.owner, m.k))
        w["k"] = max(w["k"], m.k)
        return self.claimed(m, "granted")

    def hear_settle(self, src, m):
        """Free: the query never ran and never will. A claim made after this word was sent stays."""
        i = ranges.range_of(m.kid)
        x = self.kept[i]
        c = x.get(m.kid)
        if m.state == "free":
            w = c.who.get(m.query) if c else None
            if w and w["k"] <= m.k and w["state"] == "held":
                del c.who[m.query]
                if not c.who:
                    del x[m.kid]
            return
        if self.me.seat not in self.keepers(m.kid)["seats"]:
            return
        if c is None:
            c = x[m.kid] = Record({}, 0)
        c.until = self.now + self.rules.keep_ms
        if c.who.get(m.query, {}).get("state") in FINAL:
            return
        w = c.who[m.query] = row(m.query, m.digest, m.owner, m.k)
        size = len(str(m.reply))
        fits = self.kept_bytes + size <= BYTES
        w.update(state=m.state, status=m.status, reply=m.reply if fits else {})
        self.kept_bytes += size if fits else 0
