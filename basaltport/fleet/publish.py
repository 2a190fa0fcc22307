"""The leader's side of the feed to proxies: the agreed book and replicas' rows, to each what it lacks."""

import typing

import basaltport.consensus.log as log
import basaltport.consensus.sizes as sizes
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.listeners as listeners
import basaltport.consensus.replication as replication
import basaltport.fleet.messages as messages
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.text as text

IDLE = 1000
FORGET = 3000
RESEND = 300
ROWS = 40
GONE = 5000
SMALL = 2000
LONG_AGO = -(10**9)
NOBODY = identifiers.Name("")
ROW_BYTES = 500
"""About how much one row takes."""


def feed_part(state: state_machine.ClusterState) -> state_machine.ClusterState:
    """The part of the agreed state that proxies need; see `codec.encode_feed_state`."""
    return state_machine.ClusterState(
        log_index=state.log_index,
        term=state.term,
        configuration_version=state.configuration_version,
        configuration=state.configuration,
        evacuated_zones=state.evacuated_zones,
        members=state.members,
        voting=state.voting,
        shards=state.shards,
    )


Row = dict[str, typing.Any]


class BookPart(typing.NamedTuple):
    """What a proxy lacks of the agreed book: entries, or a copy."""

    entries: list[log.LogEntry]
    copy: state_machine.ClusterState | None


class RowsPart(typing.NamedTuple):
    """What a proxy lacks of the rows: changed ones and ids gone since number `base`, or with `full` all."""

    full: bool
    base: int
    rows: Row
    gone: list[str]


class Proxy:
    """A follower: what it has or was sent, and of what it says it has: how much, since when no more."""

    __slots__ = ("zone", "address", "at", "serial", "seen", "told", "sent_at", "reset_at", "said", "arrives")

    def __init__(self) -> None:
        """Nothing is known of it."""
        self.zone = identifiers.Zone("")
        self.address = ""
        self.at = LONG_AGO
        self.serial = 0
        self.seen = -1
        self.told: list[str] | None = None
        self.sent_at = LONG_AGO
        self.reset_at = LONG_AGO
        self.said: dict[str, tuple[int, int]] = {}
        self.arrives = LONG_AGO

    def sent(self, size: int, now: int) -> None:
        """Note an update: one after another they take their time over the slowest link."""
        self.sent_at = now
        self.arrives = max(self.arrives, now) + size // replication.SLOWEST_LINK

    def lost(self, what: str, has: int, now: int) -> bool:
        """Whether it has said for RESEND that it has this much and no more, though more must have arrived."""
        was = self.said.get(what)
        if has >= getattr(self, what) or was is None or was[0] != has:
            self.said[what] = (has, now)
            return False
        if now - was[1] < RESEND or now < self.arrives:
            return False
        self.said[what] = (has, now)
        return True


class Placed(typing.Protocol):
    """The rows of replicas, and the ids of those changed since they were last published."""

    rows: Row
    changed: set[str]


class PublishNeeds(typing.Protocol):
    """What `PublishMixin` needs of the controller it is part of; see `consensus`."""

    me: member.Me
    now: identifiers.Millis
    book: state_machine.ClusterState
    retained_entries: dict[int, log.LogEntry]
    leading: bool
    leader: typing.Any
    current_term: identifiers.Term
    placement: Placed
    listeners: listeners.Listeners

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def holds(self) -> bool:
        """Whether this leader was vouched for lately."""

    def hears_leader(self) -> bool:
        """Whether the leader was heard lately."""

    def usage_heard(self, zone: str, use: Row, load: Row) -> None:
        """A proxy's use of items and replicas."""


if typing.TYPE_CHECKING:
    Needs = PublishNeeds
else:
    Needs = object


class PublishMixin(Needs):
    """`rows_known`: the list was read since this one leads."""

    def publish_start(self) -> None:
        """Begin without proxies, and act when this controller begins to lead and when it ends."""
        self.listeners.leadership_started.append(self.publish_to_new_proxies)
        self.listeners.leadership_ended.append(self.redirect_proxies)
        self.forget_proxies()

    def forget_proxies(self) -> None:
        """Nothing is known of any proxy."""
        self.proxies: dict[str, Proxy] = {}
        self.rows_known = False
        self.feed_n = 0
        self.feed_at: dict[str, int] = {}
        self.rows_sent = LONG_AGO
        self.published: tuple[int, int] | None = None
        self.looked = LONG_AGO

    def publish_clear(self) -> None:
        """Forget all proxies and what was published."""
        self.forget_proxies()
        self.placement.changed.clear()

    def publish_to_new_proxies(self, votes: Row) -> None:
        """This controller leads: proxies are told anew."""
        self.publish_clear()

    def redirect_proxies(self) -> None:
        """This controller leads no more: proxies look for the next leader at once."""
        m = messages.Redirect(self.current_term, NOBODY, "", self.controllers())
        for p in self.proxies.values():
            self.send(p.address, m)
        self.publish_clear()

    def controllers(self) -> list[str]:
        """The addresses of all controllers."""
        return sorted(r["addr"] for r in self.book.members.values())

    def hear_follow(self, src: str, m: messages.Follow) -> None:
        """A proxy tells what it has; one that asks a controller that does not lead is sent on."""
        if not self.leading:
            x = self.leader if self.hears_leader() else None
            gen, name, addr = (x.gen, x.name, x.addr) if x else (self.current_term, NOBODY, "")
            self.send(m.address, messages.Redirect(gen, name, addr, self.controllers()))
            return
        p = self.proxies.get(m.name)
        if p is None:
            p = self.proxies[m.name] = Proxy()
        p.zone, p.address, p.at = m.zone, m.address, self.now
        self.hear_state(p, m)
        if m.use or m.load:
            self.usage_heard(m.zone, m.use, m.load)
        self.published = None

    def hear_state(self, p: Proxy, m: messages.Follow) -> None:
        """One that has nothing of this leader, new or started anew, is sent all; one that stays behind what
        it was sent lost something, however much else went out to it meanwhile."""
        if m.gen != self.current_term:
            if self.now - p.reset_at >= RESEND and self.now >= p.arrives:
                p.serial, p.seen, p.told, p.reset_at = m.serial, -1, None, self.now
            return
        if p.lost("serial", m.serial, self.now):
            p.serial = m.serial
        if p.lost("seen", m.seen, self.now):
            p.seen = m.seen

    def tell_facts(self, address: str, facts: Row) -> None:
        """Answer a `Want`."""
        self.send(address, messages.Facts(facts))

    # updates

    def publish(self) -> None:
        """To each proxy what it lacks, at once; else an empty word now and then."""
        if not self.leading or not self.holds():
            return
        if self.rows_known and self.placement.changed:
            self.number_rows()
        state = (self.book.log_index, self.feed_n)
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

    def number_rows(self) -> None:
        """Give the rows that changed the next number of the feed."""
        self.feed_n += 1
        for i in self.placement.changed:
            self.feed_at.pop(i, None)
            self.feed_at[i] = self.feed_n
        self.placement.changed.clear()
        while len(self.feed_at) > GONE + len(self.placement.rows):
            del self.feed_at[next(iter(self.feed_at))]

    def update(self, p: Proxy) -> None:
        """Send a proxy what it lacks."""
        entries, copy = self.book_for(p.serial)
        full, base, rows, gone = self.rows_for(p.seen)
        n = self.feed_n if self.rows_known else -1
        controllers = self.controllers()
        fresh = p.told != controllers
        m = messages.Update(
            self.current_term,
            self.me.name if fresh else NOBODY,
            self.me.addr if fresh else "",
            controllers if fresh else [],
            self.book.log_index,
            entries,
            copy,
            full,
            base,
            n,
            rows,
            gone,
            len(self.proxies),
        )
        p.serial, p.seen, p.told = self.book.log_index, n, controllers
        size = sum(map(sizes.entry_size, entries)) + ROW_BYTES * len(rows)
        size += sizes.state_size(copy) if copy else text.OVERHEAD
        p.sent(size, self.now)
        self.send(p.address, m)

    def book_for(self, serial: int) -> BookPart:
        """Entries after a serial, or a copy of what proxies need where those are not here or are more."""
        top = self.book.log_index
        here = top - serial <= len(self.retained_entries)
        es = [self.retained_entries.get(k) for k in range(serial + 1, top + 1)] if here else [None]
        if (
            serial
            and all(es)
            and sum(sizes.entry_size(e) for e in es if e) <= sizes.state_size(self.book) + SMALL
        ):
            return BookPart([e for e in es if e], None)
        return BookPart([], feed_part(self.book))

    def rows_for(self, seen: int) -> RowsPart:
        """Rows after a number of the feed, all of them where it is below 0."""
        if not self.rows_known:
            return RowsPart(False, -1, {}, [])
        rows = self.placement.rows
        if seen < 0:
            return RowsPart(True, -1, dict(rows), [])
        ids = [i for i, n in self.feed_at.items() if n > seen]
        here = {i: rows[i] for i in ids if i in rows}
        return RowsPart(False, seen, here, [i for i in ids if i not in rows])
