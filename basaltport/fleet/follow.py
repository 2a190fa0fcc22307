"""A proxy's side of the feed: what it knows, kept also while no leader is heard; never older than it was."""

import collections.abc
import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.fleet.messages as messages
import basaltport.identifiers as identifiers
import basaltport.member as member

FOLLOW = 400
SEEK = 300
FIRST = 100
UNLED = 1200
AT_ONCE = 100
LONG_AGO = -(10**9)

Row = dict[str, typing.Any]
Rows = dict[str, Row]
Ids = collections.abc.Collection[str]


class FollowNeeds(typing.Protocol):
    """What `FollowMixin` needs of the member it is part of."""

    me: member.Me
    now: identifiers.Millis

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""
        return None


if typing.TYPE_CHECKING:
    Needs = FollowNeeds
else:
    Needs = object


class FollowMixin(Needs):
    """`book`: the agreed book, `rows`: replicas by id, `controllers`: addresses, `proxies`: how
    many live, `led_at`: when the leader was heard. Hooks: `followed`, `rows_changed`, `on_facts`, `usage`."""

    def follow_start(self) -> None:
        """Begin with nothing known."""
        self.book = state_machine.ClusterState()
        self.rows: Rows = {}
        self.controllers: list[str] = []
        self.proxies = 0
        self.led_at = LONG_AGO
        self.feed_gen = identifiers.Term()
        self.feed_n = -1
        self.leader_address = ""
        self.follow_at = LONG_AGO

    def led(self) -> bool:
        """Whether the leader was heard lately."""
        return self.now - self.led_at < UNLED

    # hooks

    def followed(self) -> None:
        """The book changed."""

    def rows_changed(self, ids: Ids) -> None:
        """Rows of these ids came, changed or went."""

    def on_facts(self, items: Row) -> None:
        """Facts by item, as Placement gives them."""

    def usage(self) -> tuple[dict[str, int], dict[str, int]]:
        """(use, load) since the last call; see Follow."""
        return {}, {}

    # asking

    def tick_follow(self) -> None:
        """Tell the leader what is known, or look for one, as often as each is due."""
        unled = SEEK if self.feed_n >= 0 else FIRST
        every = FOLLOW if self.led() else unled
        if self.now - self.follow_at >= every:
            self.follow()

    def addresses(self) -> list[str]:
        """Where to ask: the leader, or all controllers that are known.

        The lists that controllers send have no version: one that stayed behind names former controllers under
        the newest term, and an update with a newer list may be lost. So the members of the agreed state that
        is in force here, which never goes back, are always among those asked.
        """
        if self.led() and self.leader_address:
            return [self.leader_address]
        members = {record.address for record in quorum.voters(self.book).values()}
        known = {*members, *self.controllers, *self.me.seeds, self.leader_address}
        return sorted(known - {self.me.addr, ""})

    def follow(self) -> None:
        """Tell what is known, and what was used since."""
        self.follow_at = self.now
        use, load = self.usage() if self.led() else ({}, {})
        for a in self.addresses():
            self.send(a, self.follow_of(use, load))

    def follow_of(self, use: Row, load: Row) -> messages.Follow:
        """Where the leader's address is not known, it is to tell all anew."""
        m, s = self.me, self.book.log_index
        gen = self.feed_gen if self.leader_address else identifiers.Term()
        return messages.Follow(m.name, m.zone, m.addr, gen, s, self.feed_n, use, load)

    def want(self, items: dict[str, int]) -> None:
        """Tell the leader how many requests wait for items."""
        for a in self.addresses():
            self.send(a, messages.Want(self.me.name, self.me.zone, self.me.addr, items))

    # hearing

    def hear_update(self, src: str, m: messages.Update) -> None:
        """An older leader's word counts for nothing; what does not join on to what is known is asked for."""
        if m.gen < self.feed_gen:
            return
        if m.gen > self.feed_gen:
            self.feed_gen, self.feed_n, self.leader_address = m.gen, -1, ""
        self.led_at = self.now
        self.proxies = m.proxies
        if m.leader_address:
            self.leader_address, self.controllers = m.leader_address, list(m.controllers)
        was = self.book.log_index
        self.take_book(m)
        ids = self.take_rows(m)
        if self.book.log_index > was:
            self.followed()
        if ids:
            self.rows_changed(ids)
        lacks = m.serial > self.book.log_index or m.n > self.feed_n
        if lacks and self.now - self.follow_at >= AT_ONCE:
            self.follow()

    def take_book(self, m: messages.Update) -> None:
        """Take the copy if it is newer, and entries that join on."""
        if m.copy is not None and m.copy.log_index > self.book.log_index:
            self.book = m.copy
        for entry in m.entries:
            if entry.index == self.book.log_index + 1:
                self.book = state_machine.apply(self.book, entry)

    def take_rows(self, m: messages.Update) -> set[str]:
        """Ids whose rows are not as they were."""
        if m.n < 0 or m.n <= self.feed_n:
            return set()
        if m.full:
            new = m.rows
        elif m.base <= self.feed_n and self.feed_n >= 0:
            new = {**self.rows, **m.rows}
            for i in m.gone:
                new.pop(i, None)
        else:
            return set()
        self.feed_n = m.n
        old, self.rows = self.rows, new
        return {i for i in old.keys() | new.keys() if old.get(i) != new.get(i)}

    def hear_redirect(self, src: str, m: messages.Redirect) -> None:
        """A leader that steps down names nobody: all controllers are asked at once. Whoever knows none
        yet takes the word of an older term too, as it may be all that its seeds can give."""
        if m.controllers and (m.gen >= self.feed_gen or not self.controllers):
            self.controllers = list(m.controllers)
        if self.led() and (m.address or m.gen != self.feed_gen):
            return
        if not m.address:
            self.led_at = LONG_AGO
            return
        if m.gen >= self.feed_gen and m.address not in {
            self.leader_address,
            *self.controllers,
            *self.me.seeds,
        }:
            self.leader_address = m.address
            self.send(m.address, self.follow_of({}, {}))

    def hear_facts(self, src: str, m: messages.Facts) -> None:
        """The leader tells how items stand."""
        self.on_facts(m.items)
