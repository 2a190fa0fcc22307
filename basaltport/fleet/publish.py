"""The leader's side of the feed to proxies: the agreed book and replicas' rows, to each what it lacks."""

import basaltport.consensus.feed as feed
import basaltport.fleet.messages as messages
import basaltport.text as text

IDLE = 1000
FORGET = 3000
RESEND = 300
ROWS = 40
GONE = 5000
SMALL = 2000
ROW_BYTES = 500
"""About how much one row takes."""
COPIED = ("serial", "gen", "mserial", "manifest", "drains", "roster", "voters", "slices")


class Proxy:
    """A follower: what it has or was sent, and of what it says it has: how much, since when no more."""

    __slots__ = ("zone", "address", "at", "serial", "seen", "told", "sent_at", "reset_at", "said", "arrives")

    def __init__(self):
        self.serial = 0
        self.seen = -1
        self.told = None
        self.sent_at = -(10**9)
        self.reset_at = -(10**9)
        self.said = {}
        self.arrives = -(10**9)

    def sent(self, size, now):
        """Notes an update: one after another they take their time over the slowest link."""
        self.sent_at = now
        self.arrives = max(self.arrives, now) + size // feed.SLOWEST_LINK

    def lost(self, what, has, now):
        """Whether it has said for RESEND that it has this much and no more, though more must have arrived."""
        was = self.said.get(what)
        if has >= getattr(self, what) or was is None or was[0] != has:
            self.said[what] = (has, now)
            return False
        if now - was[1] < RESEND or now < self.arrives:
            return False
        self.said[what] = (has, now)
        return True


class PublishMixin:
    """Needs RosterMixin, VoterMixin and `placement`. `rows_known`: the list was read since this one leads."""

    def publish_start(self):
        self.proxies = {}
        self.rows_known = False
        self.feed_n = 0
        self.feed_at = {}
        self.rows_sent = -(10**9)
        self.published = None
        self.looked = -(10**9)

    def publish_clear(self):
        self.publish_start()
        self.placement.changed.clear()

    def lead_start(self, *args):
        super().lead_start(*args)
        self.publish_clear()

    def step_down(self, why):
        """Proxies look for the next leader at once."""
        was, gen = self.leading, self.promised
        super().step_down(why)
        if was:
            m = messages.Redirect(gen, "", "", self.keepers())
            for p in self.proxies.values():
                self.send(p.address, m)
        self.publish_clear()

    def keepers(self):
        return sorted(r["addr"] for r in self.book["roster"].values())

    def hear_follow(self, src, m):
        if not self.leading:
            x = self.leader if self.hears_leader() else None
            known = (x.gen, x.name, x.addr) if x else (self.promised, "", "")
            self.send(m.address, messages.Redirect(*known, self.keepers()))
            return
        p = self.proxies.get(m.name)
        if p is None:
            p = self.proxies[m.name] = Proxy()
        p.zone, p.address, p.at = m.zone, m.address, self.now
        self.hear_state(p, m)
        if m.use or m.load:
            self.heard_use(m.zone, m.use, m.load)
        self.published = None

    def hear_state(self, p, m):
        """One that has nothing of this leader, new or started anew, is sent all; one that stays behind what
        it was sent lost something, however much else went out to it meanwhile."""
        if m.gen != self.promised:
            if self.now - p.reset_at >= RESEND and self.now >= p.arrives:
                p.serial, p.seen, p.told, p.reset_at = m.serial, -1, None, self.now
            return
        if p.lost("serial", m.serial, self.now):
            p.serial = m.serial
        if p.lost("seen", m.seen, self.now):
            p.seen = m.seen

    def tell_facts(self, address, facts):
        self.send(address, messages.Facts(facts))

    # updates

    def publish(self):
        """To each proxy what it lacks, at once; else an empty word now and then."""
        if not self.leading or not self.holds():
            return
        if self.rows_known and self.placement.changed:
            self.number_rows()
        state = (self.book["serial"], self.feed_n)
        if state == self.published and self.now - self.looked < ROWS:
            return
        self.looked = self.now
        for k in [k for k, p in self.proxies.items() if self.now - p.at > FORGET]:
            del self.proxies[k]
        rows = self.rows_known and self.now - self.rows_sent >= ROWS
        for p in self.proxies.values():
            lacks = p.serial < state[0] or rows and p.seen < self.feed_n
            if lacks or self.now - p.sent_at >= IDLE:
                self.update(p)
        if rows or not self.rows_known:
            self.rows_sent, self.published = self.now, state

    def number_rows(self):
        self.feed_n += 1
        for i in self.placement.changed:
            self.feed_at.pop(i, None)
            self.feed_at[i] = self.feed_n
        self.placement.changed.clear()
        while len(self.feed_at) > GONE + len(self.placement.rows):
            del self.feed_at[next(iter(self.feed_at))]

    def update(self, p):
        entries, copy = self.book_for(p.serial)
        full, base, rows, gone = self.rows_for(p.seen)
        n = self.feed_n if self.rows_known else -1
        keepers = self.keepers()
        fresh = p.told != keepers
        m = messages.Update(
            self.promised,
            self.me.name if fresh else "",
            self.me.addr if fresh else "",
            keepers if fresh else [],
            self.book["serial"],
            entries,
            copy,
            full,
            base,
            n,
            rows,
            gone,
            len(self.proxies),
        )
        p.serial, p.seen, p.told = self.book["serial"], n, keepers
        size = text.size(entries) + text.size(copy) + ROW_BYTES * len(rows)
        p.sent(size, self.now)
        self.send(p.address, m)

    def book_for(self, serial):
        """Entries after a serial, or a copy of what proxies need where those are not here or are more."""
        top = self.book["serial"]
        here = top - serial <= len(self.past)
        es = [self.past.get(k) for k in range(serial + 1, top + 1)] if here else [None]
        if serial and all(es) and sum(map(text.size, es)) <= text.size(self.book) + SMALL:
            return es, {}
        return [], {k: self.book[k] for k in COPIED if k in self.book}

    def rows_for(self, seen):
        if not self.rows_known:
            return False, -1, {}, []
        rows = self.placement.rows
        if seen < 0:
            return True, -1, dict(rows), []
        ids = [i for i, n in self.feed_at.items() if n > seen]
        return False, seen, {i: rows[i] for i in ids if i in rows}, [i for i in ids if i not in rows]
