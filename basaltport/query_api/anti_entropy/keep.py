"""A keeper of senders' keys: who claimed each, and what came of it. Records of a range are whole here
only once they were copied from most of the keepers before, or everything claimed before has lapsed."""

import dataclasses
import typing

import basaltport.configuration.rules as rules
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.messages as messages
import basaltport.range_digests as ranges

COPY = 200
LAPSE = 2000
NOW = identifiers.Millis(0)
BYTES = 64 << 20
FINAL = ("done", "unknown")


class ClaimRow(typing.TypedDict):
    """What came of one query's claim on a key, as it is sent to other keepers: `q` the query, `k` its try."""

    q: str
    digest: str
    owner: str
    k: int
    state: str
    status: int
    reply: dict[str, typing.Any]


Claims = dict[str, ClaimRow]


@dataclasses.dataclass(slots=True)
class Join:
    """The copying of a range: `at`, the serial that made this seat its keeper; `prior`, the keepers before
    with their stints; `got`, those that were copied from; `next`, when the others are asked again."""

    at: int
    prior: dict[str, int]
    since: int
    next: int
    got: set[str]

    def has_most(self) -> bool:
        """Whether most of the keepers before were copied from."""
        return 2 * len(self.got) > len(self.prior) or not self.prior


class Record:
    """Claims on one key by query: usually one; more where senders raced."""

    __slots__ = ("who", "until")

    def __init__(self, who: Claims, until: int) -> None:
        """Claims by query, kept until a time."""
        self.who = who
        self.until = until


def row(query: str, digest: str, owner: str, k: int) -> ClaimRow:
    """A claim that was just made."""
    return {"q": query, "digest": digest, "owner": owner, "k": k, "state": "held", "status": 0, "reply": {}}


def copied(who: Claims) -> Claims:
    """Claims that may be changed without the others."""
    return {q: w.copy() for q, w in who.items()}


def merge(who: Claims, newer: Claims) -> None:
    """Take another keeper's claims, but over one whose outcome is known."""
    for q, w in newer.items():
        was = who.get(q)
        if was is None:
            who[q] = w
        elif was["state"] not in FINAL:
            who[q] = {**w, "k": max(w["k"], was["k"])}


class KeepNeeds(typing.Protocol):
    """What `KeepMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    book: dict[str, typing.Any]
    rules: rules.Rules

    def addr_of(self, seat: str) -> str | None:
        """The address of a seat, if it is known."""

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:
    Needs = KeepNeeds
else:
    Needs = object


class KeepMixin(Needs):
    """Keeps records of clients' keys for the ranges that the agreed book gives to this seat."""

    def keep_start(self) -> None:
        """Begin with nothing kept."""
        self.kept: list[dict[str, Record]] = [{} for _ in range(ranges.RANGES)]
        self.kept_bytes = 0
        self.whole: dict[str, int] = {}
        self.past: dict[str, int | None] = {}
        self.joins: dict[str, Join] = {}
        self.swept = 0

    def keepers(self, kid: str) -> dict[str, typing.Any]:
        """The keepers of a key: `seats` since serial `at`."""
        nobody: dict[str, typing.Any] = {"at": 0, "seats": {}}
        found: dict[str, typing.Any] = self.book["keepers"].get(str(ranges.range_of(kid)), nobody)
        return found

    def kept_count(self) -> int:
        """How many keys are kept."""
        return sum(len(x) for x in self.kept)

    # joining

    def join_ranges(self) -> None:
        """A new keeper of a range starts with nothing of it; one that joins anew with what it has."""
        for i, r in self.book["keepers"].items():
            mine = r["seats"].get(self.me.seat)
            if mine is None:
                self.joins.pop(i, None)
                continue
            at, prior = mine
            joining = self.joins.get(i)
            if self.whole.get(i) == at or joining is not None and joining.at == at:
                continue
            self.past[i] = self.whole.pop(i, self.past.get(i))
            got: set[str] = {self.me.seat} if prior.get(self.me.seat) == self.past[i] is not None else set()
            if not got:
                self.kept[int(i)], self.past[i] = {}, None
            self.joins[i] = Join(at, prior, self.now, self.now, got)
        self.count_bytes()

    def count_bytes(self) -> None:
        """Count the kept replies anew."""
        rs = (w for x in self.kept for c in x.values() for w in c.who.values())
        self.kept_bytes = sum(len(str(w["reply"])) for w in rs)

    def tick_keep(self) -> None:
        """Go on with copying, and drop the records of one range that have lapsed."""
        for i, j in list(self.joins.items()):
            if j.has_most() or self.blank_left(j) <= 0:
                self.whole[i] = j.at
                del self.joins[i]
                self.note(
                    log_events.Event.KEYS_WHOLE,
                    range=int(i),
                    copied=len(j.got),
                    records=len(self.kept[int(i)]),
                )
            elif self.now >= j.next:
                self.ask_keepers(int(i), j)
        self.swept = (self.swept + 1) % ranges.RANGES
        x = self.kept[self.swept]
        for kid in [k for k, c in x.items() if self.now >= c.until]:
            self.drop_record(x, kid)

    def ask_keepers(self, i: int, j: Join) -> None:
        """Ask the keepers before for a range, but those that were copied from."""
        j.next = self.now + COPY
        digest = self.digest_of(i)
        for s in sorted(set(j.prior) - j.got):
            addr = self.addr_of(s)
            if addr:
                at, stint = identifiers.LogIndex(j.at), identifiers.LogIndex(j.prior[s])
                self.send(addr, messages.KeepWant(self.me.seat, i, at, stint, digest))

    def drop_record(self, x: dict[str, Record], kid: str) -> None:
        """Forget a key."""
        for w in x.pop(kid).who.values():
            self.kept_bytes -= len(str(w["reply"]))

    def blank_left(self, j: Join) -> int:
        """For how long claims made before may still hold."""
        return j.since + self.rules.keep_ms + LAPSE - self.now

    def digest_of(self, i: int) -> int:
        """The digest of a range."""
        return ranges.digests({k: sorted(c.who.items()) for k, c in self.kept[i].items()})[i]

    def hear_keepwant(self, src: str, m: messages.KeepWant) -> None:
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

    def hear_keepcopy(self, src: str, m: messages.KeepCopy) -> None:
        """A keeper before tells what it holds of a range."""
        j = self.joins.get(str(m.range))
        if j is None or j.at != m.at or m.seat not in j.prior:
            return
        x = self.kept[m.range]
        for kid, (left, who) in m.rows.items():
            c = x.setdefault(kid, Record({}, 0))
            c.until = max(c.until, self.now + left)
            merge(c.who, copied(who))
        self.count_bytes()
        j.got.add(m.seat)

    # claims

    def hear_claim(self, src: str, m: messages.Claim) -> None:
        """A query claims a key; told blank while the range is not whole here."""
        addr = self.addr_of(m.owner)
        r = self.keepers(m.kid)
        mine = r["seats"].get(self.me.seat)
        if addr is None or mine is None or r["at"] != m.at:
            return
        i = str(ranges.range_of(m.kid))
        if self.whole.get(i) != mine[0]:
            j = self.joins.get(i)
            left = self.blank_left(j) if j else COPY
            self.send(addr, self.claimed(m, "blank", left=identifiers.Millis(max(0, left))))
            return
        self.send(addr, self.judge(m, self.kept[int(i)]))

    def claimed(
        self, m: messages.Claim, state: str, w: ClaimRow | None = None, left: identifiers.Millis = NOW
    ) -> messages.Claimed:
        """The answer to a claim, with what is known of the claim that stands in its way."""
        if w is None:
            return messages.Claimed(self.me.seat, m.query, m.k, state, 0, {}, identifiers.MemberId(""), left)
        owner = identifiers.MemberId(w["owner"])
        return messages.Claimed(self.me.seat, m.query, m.k, state, w["status"], w["reply"], owner, left)

    def judge(self, m: messages.Claim, x: dict[str, Record]) -> messages.Claimed:
        """Grant a claim, or tell why not."""
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

    def release(self, m: messages.Settle, x: dict[str, Record], c: Record) -> None:
        """Forget a claim that was made no later than this word and has no outcome."""
        w = c.who.get(m.query)
        if w is None or w["k"] > m.k or w["state"] != "held":
            return
        del c.who[m.query]
        if not c.who:
            del x[m.kid]

    def hear_settle(self, src: str, m: messages.Settle) -> None:
        """Free: the query never ran and never will. A claim made after this word was sent stays."""
        i = ranges.range_of(m.kid)
        x = self.kept[i]
        c = x.get(m.kid)
        if m.state == "free":
            if c is not None:
                self.release(m, x, c)
            return
        if self.me.seat not in self.keepers(m.kid)["seats"]:
            return
        if c is None:
            c = x[m.kid] = Record({}, 0)
        c.until = self.now + self.rules.keep_ms
        was = c.who.get(m.query)
        if was is not None and was["state"] in FINAL:
            return
        w = c.who[m.query] = row(m.query, m.digest, m.owner, m.k)
        size = len(str(m.reply))
        fits = self.kept_bytes + size <= BYTES
        w["state"], w["status"], w["reply"] = m.state, m.status, m.reply if fits else {}
        self.kept_bytes += size if fits else 0
