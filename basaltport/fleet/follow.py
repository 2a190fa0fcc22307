"""A proxy's side of the feed: what it knows, kept also while no leader is heard; never older than it was."""

import collections.abc
import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.fleet.messages as messages
import basaltport.identifiers as identifiers
import basaltport.member as member

FOLLOW_MS = 400
"""How often the leader is told what is known here."""
SEEK_MS = 300
"""How often a leader is looked for,"""
FIRST_SEEK_MS = 100
"""and how often by a proxy that knows nothing yet."""
UNLED_MS = 1200
"""A leader that was not heard of for longer is looked for anew."""
AT_ONCE_MS = 100
"""The least time between two requests for what is lacking."""
WAKING_MS = 300
"""After a pause of this process what waited in its sockets is heard first, which may be old."""
LONG_AGO = -(10**9)

Row = dict[str, typing.Any]
Rows = dict[str, Row]
Ids = collections.abc.Collection[str]


class FollowNeeds(typing.Protocol):
    """What `FollowMixin` needs of the member it is part of."""

    me: member.Me
    now: identifiers.Millis

    def send(self, address: str, message: object) -> None:
        """Send a message to an address."""
        return None


if typing.TYPE_CHECKING:
    Needs = FollowNeeds
else:
    Needs = object


class FollowMixin(Needs):
    """`cluster_state`: the agreed state, `told_index`: how far the leader said that it goes, `rows`: replicas
    by id, `controllers`: addresses, `proxies`: how many live, `led_at`: when the leader was heard.
    Hooks: `followed`, `rows_changed`, `on_facts`, `usage`."""

    def follow_start(self) -> None:
        """Begin with nothing known."""
        self.cluster_state = state_machine.ClusterState()
        self.told_index = identifiers.LogIndex(0)
        self.rows: Rows = {}
        self.controllers: list[str] = []
        self.proxies = 0
        self.led_at = LONG_AGO
        self.feed_gen = identifiers.Term()
        self.feed_n = -1
        self.leader_address = ""
        self.follow_at = LONG_AGO
        self.ticked_at = int(self.now)
        self.woke_at = LONG_AGO

    def led(self) -> bool:
        """Whether the leader was heard lately."""
        return self.now - self.led_at < UNLED_MS

    def knows_newest(self) -> bool:
        """Whether all that the leader told of lately is in force here, and this process did not pause."""
        is_awake = self.now - self.ticked_at < UNLED_MS and self.now - self.woke_at >= WAKING_MS
        return is_awake and self.led() and self.cluster_state.log_index >= self.told_index

    # hooks

    def followed(self) -> None:
        """The agreed state changed."""

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
        if self.now - self.ticked_at >= UNLED_MS:
            self.woke_at = self.now
        self.ticked_at = self.now
        unled = SEEK_MS if self.feed_n >= 0 else FIRST_SEEK_MS
        every = FOLLOW_MS if self.led() else unled
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
        members = {record.address for record in quorum.voters(self.cluster_state).values()}
        known = {*members, *self.controllers, *self.me.seeds, self.leader_address}
        return sorted(known - {self.me.addr, ""})

    def follow(self) -> None:
        """Tell what is known, and what was used since."""
        self.follow_at = self.now
        use, load = self.usage() if self.led() else ({}, {})
        for address in self.addresses():
            self.send(address, self.follow_of(use, load))

    def follow_of(self, use: Row, load: Row) -> messages.Follow:
        """Where the leader's address is not known, it is to tell all anew."""
        me, log_index = self.me, self.cluster_state.log_index
        term = self.feed_gen if self.leader_address else identifiers.Term()
        return messages.Follow(me.name, me.zone, me.addr, term, log_index, self.feed_n, use, load)

    def want(self, items: dict[str, int], waited_ms: dict[str, int] | None = None) -> None:
        """Tell the leader how many requests wait for items, and for how long each was asked for."""
        me = self.me
        for address in self.addresses():
            self.send(address, messages.Want(me.name, me.zone, me.addr, items, waited_ms or {}))

    # hearing

    def hear_update(self, source: str, update: messages.Update) -> None:
        """An older leader's update is ignored; what does not join on to what is known is asked for."""
        if update.gen < self.feed_gen:
            return
        if update.gen > self.feed_gen:
            self.feed_gen, self.feed_n, self.leader_address = update.gen, -1, ""
            self.told_index = update.serial
        self.told_index = max(self.told_index, update.serial)
        self.led_at = self.now
        self.proxies = update.proxies
        if update.leader_address:
            self.leader_address, self.controllers = update.leader_address, list(update.controllers)
        before = self.cluster_state.log_index
        self.take_book(update)
        changed = self.take_rows(update)
        if self.cluster_state.log_index > before:
            self.followed()
        if changed:
            self.rows_changed(changed)
        lacks = update.serial > self.cluster_state.log_index or update.n > self.feed_n
        if lacks and self.now - self.follow_at >= AT_ONCE_MS:
            self.follow()

    def take_book(self, update: messages.Update) -> None:
        """Take the copy if it is newer, and entries that join on."""
        if update.copy is not None and update.copy.log_index > self.cluster_state.log_index:
            self.cluster_state = update.copy
        for entry in update.entries:
            if entry.index == self.cluster_state.log_index + 1:
                self.cluster_state = state_machine.apply(self.cluster_state, entry)

    def take_rows(self, update: messages.Update) -> set[str]:
        """Ids whose rows are not as they were."""
        if update.n < 0 or update.n <= self.feed_n:
            return set()
        if update.full:
            rows = update.rows
        elif update.base <= self.feed_n and self.feed_n >= 0:
            rows = {**self.rows, **update.rows}
            for replica_id in update.gone:
                rows.pop(replica_id, None)
        else:
            return set()
        self.feed_n = update.n
        former, self.rows = self.rows, rows
        return {
            replica_id
            for replica_id in former.keys() | rows.keys()
            if former.get(replica_id) != rows.get(replica_id)
        }

    def hear_redirect(self, source: str, redirect: messages.Redirect) -> None:
        """A leader that steps down names nobody: all controllers are asked at once. Whoever knows none
        yet takes the word of an older term too, as it may be all that its seeds can give."""
        if redirect.controllers and (redirect.gen >= self.feed_gen or not self.controllers):
            self.controllers = list(redirect.controllers)
        if self.led() and (redirect.address or redirect.gen != self.feed_gen):
            return
        if not redirect.address:
            self.led_at = LONG_AGO
            return
        known = {self.leader_address, *self.controllers, *self.me.seeds}
        if redirect.gen >= self.feed_gen and redirect.address not in known:
            self.leader_address = redirect.address
            self.send(redirect.address, self.follow_of({}, {}))

    def hear_facts(self, source: str, facts: messages.Facts) -> None:
        """The leader tells how items stand."""
        self.on_facts(facts.items)
