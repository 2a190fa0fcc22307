"""The claim of a sender's key: held by most of its keepers before the query's first byte goes out."""

import hashlib
import json

import basaltport.events as events
import basaltport.messages as messages
import basaltport.query_api.query_proxy.query as query

RETRY = 100
FOLLOW = 200
SILENT = 1500
AGAIN = (300, 1500)


def kid_of(line, sender, key):
    return hashlib.sha256(json.dumps([line, sender, key]).encode()).hexdigest()[:40]


def digest_of(body):
    return hashlib.sha256(json.dumps(body, sort_keys=True).encode()).hexdigest()[:40]


class Claim:
    __slots__ = ("kid", "digest", "at", "k", "answers", "next", "began", "held", "rest", "following")

    def __init__(self, kid, digest, now):
        self.kid = kid
        self.digest = digest
        self.at = -1
        self.k = 0
        self.answers = {}
        self.next = now
        self.began = now
        self.held = False
        self.rest = None
        self.following = False


class ClaimMixin:
    """Needs the other mixins of Rostrum. Grants count for the try and the keepers they were asked under."""

    def claim_start(self):
        self.claiming = {}
        self.settles = []

    def begin_claim(self, q, ev):
        q.state = query.KEY
        q.claim = Claim(kid_of(q.line, q.sender, ev.key), digest_of(q.body), self.now)
        self.queries[q.id] = q
        self.claiming[q.id] = q
        self.send_claim(q)

    def send_claim(self, q):
        c = q.claim
        r = self.keepers(c.kid)
        if r["at"] != c.at:
            c.at, c.answers = r["at"], {}
            c.k += 1
        c.next = self.now + (FOLLOW if c.following else RETRY)
        for s in sorted(r["seats"]):
            a = c.answers.get(s)
            addr = self.addr_of(s)
            if addr and not (a and a.state == "granted"):
                m = messages.Claim(c.kid, c.digest, q.id, self.me.seat, c.at, c.k)
                self.send(addr, m)

    def tick_claims(self):
        for q in list(self.claiming.values()):
            if self.now >= q.until:
                self.fate_unknown(q, "first-still-running" if q.claim.following else "keepers-silent")
                continue
            if self.now >= q.claim.next:
                self.weigh_claim(q)
            if q.id in self.claiming and self.now >= q.claim.next:
                self.send_claim(q)
        for s in [s for s in self.settles if self.now >= s[0]]:
            self.settles.remove(s)
            self.tell_keepers(s[1])

    def hear_claimed(self, src, m):
        q = self.claiming.get(m.query)
        if q is None or m.k != q.claim.k:
            return
        q.claim.answers[m.seat] = m
        self.weigh_claim(q)

    def weigh_claim(self, q):
        c = q.claim
        r = self.keepers(c.kid)
        if r["at"] != c.at:
            c.next = self.now
            return
        n, by = len(r["seats"]), {}
        for a in c.answers.values():
            by.setdefault(a.state, []).append(a)
        if 2 * len(by.get("granted", ())) > n:
            self.claim_held(q)
            return
        for st in ("done", "unknown", "other"):
            if st in by:
                getattr(self, "first_" + st)(q, by[st][0])
                return
        if 2 * len(by.get("full", []) + by.get("granted", [])) > n:
            self.refuse(q, 429, "keys-full", "no room to remember another key")
            return
        taken = by.get("taken", [])
        if taken and 2 * (n - len(taken)) <= n or taken and len(c.answers) == n:
            self.follow(q, taken[0])
            return
        if self.now - c.began > SILENT and not c.following:
            left = max([a.left for a in by.get("blank", [])], default=0)
            code = "key-fate-unknown" if left else "keepers-silent"
            self.fate_unknown(q, code, left)

    def follow(self, q, a):
        """Another query has this key: give back what was granted and wait for the other's fate."""
        c = q.claim
        if a.owner not in self.book["roster"]:
            self.fate_unknown(q, "key-fate-unknown")
            return
        c.following = True
        self.give_back(q)
        c.answers = {}
        c.k += 1
        c.next = self.now + FOLLOW // 2 + self.rng.randrange(FOLLOW)

    def give_back(self, q):
        c = q.claim
        self.tell_keepers(
            messages.Settle(c.kid, c.digest, q.id, self.me.seat, c.k, "free", 0, {}),
        )

    def tell_keepers(self, m):
        for s in sorted(self.keepers(m.kid)["seats"]):
            addr = self.addr_of(s)
            if addr:
                self.send(addr, m)

    def claim_held(self, q):
        """Most keepers hold it for this query alone: the rest of the line's program runs."""
        del self.claiming[q.id]
        q.claim.held = True
        q.state = query.WAIT
        self.run_program(q, *q.claim.rest)

    def first_done(self, q, a):
        self.claiming.pop(q.id, None)
        self.queries.pop(q.id, None)
        self.give_back(q)
        if not a.reply:
            d = "it ran and was answered; the reply was too large to keep"
            self.final(q.id, 409, "reply-not-kept", d, "yes", 0)
            return
        self.tally["repeated"] = self.tally.get("repeated", 0) + 1
        self.emit(events.Repeat(q.id, a.status, a.reply))

    def first_unknown(self, q, a):
        self.fate_unknown(q, "key-fate-unknown")

    def first_other(self, q, a):
        self.refuse_id(q.id, 422, "key-reused", "this key came before with another query")

    def fate_unknown(self, q, code, retry=0):
        self.give_up(q, 503, code, "another query with this key may have run; this one did not", retry)

    def settle_claim(self, q, ran, status=0, reply=None):
        """The query's end is told to its keepers, more than once since frames may be lost."""
        c = q.claim
        self.claiming.pop(q.id, None)
        st = {"no": "free", "yes": "done"}.get(ran, "unknown") if c.held else "free"
        m = messages.Settle(c.kid, c.digest, q.id, self.me.seat, c.k, st, status, reply or {})
        self.tell_keepers(m)
        self.settles += [(self.now + t, m) for t in AGAIN]
