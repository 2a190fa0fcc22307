"""The proxy's side of the feed.

A proxy keeps its state and rows while it has no leader, and never replaces them by older ones.
"""

import collections.abc
import typing

import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.fleet.messages as messages
import basaltport.identifiers as identifiers
import basaltport.member as member

FOLLOW_INTERVAL_MS = 400
"""Interval between two `Follow` messages to a known leader."""
SEEK_INTERVAL_MS = 300
"""Interval between two attempts to find a leader."""
FIRST_SEEK_INTERVAL_MS = 100
"""Interval between two attempts to find a leader by a proxy that has no rows yet."""
LEADER_TIMEOUT_MS = 1200
"""A proxy looks for a leader again after this time without an update."""
MIN_FOLLOW_INTERVAL_MS = 100
"""Minimum interval between two `Follow` messages that ask for missing entries or rows."""
RESUME_DELAY_MS = 300
"""After a pause of the process, its state counts as possibly outdated for this long: the messages that it
reads first waited in its socket buffers and may be old."""
LONG_AGO = -(10**9)
"""A time in ms that is earlier than any real one."""

Row = dict[str, typing.Any]
Rows = dict[str, Row]
Ids = collections.abc.Collection[str]


class FollowNeeds(typing.Protocol):
    """The attributes and methods that `FollowMixin` requires of its class."""

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
    """Receives the feed from the leader; a proxy overrides its hooks.

    `cluster_state`: the replicated state. `leader_log_index`: the highest log index that the leader has
    announced. `rows`: replicas by id. `controllers`: their addresses. `proxies`: the number of live proxies,
    0 if unknown. `last_update_at`: when the leader's last update came, in ms. Hooks: `state_changed`,
    `rows_changed`, `model_statuses_received`, `usage`.
    """

    def follow_start(self) -> None:
        """Initialize the attributes: no state, no rows, no leader."""
        self.cluster_state = state_machine.ClusterState()
        self.leader_log_index = identifiers.LogIndex(0)
        self.rows: Rows = {}
        self.controllers: list[str] = []
        self.proxies = 0
        self.last_update_at = LONG_AGO
        self.feed_term = identifiers.Term()
        self.rows_version = -1
        self.unconfirmed_zones: frozenset[str] = frozenset()
        """Zones whose replicas may be cold although their rows don't show it."""
        self.leader_address = ""
        self.last_update_number = 0
        """The highest number of an update of this feed."""
        self.is_report_due = False
        """Whether the leader waits for a report of what this proxy has received."""
        self.last_follow_at = LONG_AGO
        self.last_tick_at = int(self.now)
        self.resumed_at = LONG_AGO

    def has_leader(self) -> bool:
        """Whether an update of the leader came within LEADER_TIMEOUT_MS."""
        return self.now - self.last_update_at < LEADER_TIMEOUT_MS

    def is_up_to_date(self) -> bool:
        """Whether all entries that the leader announced are applied, the leader is live, and the process has
        not just resumed from a pause."""
        is_awake = (
            self.now - self.last_tick_at < LEADER_TIMEOUT_MS and self.now - self.resumed_at >= RESUME_DELAY_MS
        )
        return is_awake and self.has_leader() and self.cluster_state.log_index >= self.leader_log_index

    # hooks, which the proxy overrides

    def state_changed(self) -> None:
        """Called after `cluster_state` has changed."""

    def rows_changed(self, ids: Ids) -> None:
        """Called after the rows of these replicas were added, changed or removed."""

    def model_statuses_received(self, statuses: Row) -> None:
        """Called with the leader's answer to a demand report: a model status document for each item."""

    def usage(self) -> tuple[dict[str, int], dict[str, int]]:
        """Returns the requests by item since the last call, and the requests that run now by replica."""
        return {}, {}

    # messages to the leader

    def tick_follow(self) -> None:
        """Report to the leader, or look for one, at the interval for each; detect a pause of the process."""
        if self.now - self.last_tick_at >= LEADER_TIMEOUT_MS:
            self.resumed_at = self.now
        self.last_tick_at = self.now
        seek_interval = SEEK_INTERVAL_MS if self.rows_version >= 0 else FIRST_SEEK_INTERVAL_MS
        interval = FOLLOW_INTERVAL_MS if self.has_leader() else seek_interval
        if self.is_report_due:
            interval = MIN_FOLLOW_INTERVAL_MS
        if self.now - self.last_follow_at >= interval:
            self.send_follow()

    def target_addresses(self) -> list[str]:
        """Returns the addresses for messages to the leader: its own, or those of all known controllers.

        The lists of addresses that controllers send have no version: a controller that lags behind may list
        former controllers under the newest term, and an update with a newer list may be lost. So the members
        in the applied state, which never goes back, are always included.
        """
        if self.has_leader() and self.leader_address:
            return [self.leader_address]
        members = {record.address for record in quorum.voters(self.cluster_state).values()}
        known = {*members, *self.controllers, *self.me.seeds, self.leader_address}
        return sorted(known - {self.me.addr, ""})

    def send_follow(self) -> None:
        """Send a `Follow` message with the usage since the last one."""
        self.last_follow_at, self.is_report_due = self.now, False
        request_counts, running_counts = self.usage() if self.has_leader() else ({}, {})
        for address in self.target_addresses():
            self.send(address, self.follow_message(request_counts, running_counts))

    def follow_message(self, request_counts: Row, running_counts: Row) -> messages.Follow:
        """Returns a `Follow` message.

        Without the leader's address its term is zero, so that the leader sends all rows and all addresses
        again.
        """
        me, log_index = self.me, self.cluster_state.log_index
        term = self.feed_term if self.leader_address else identifiers.Term()
        return messages.Follow(
            me.name,
            me.zone,
            me.addr,
            term,
            log_index,
            self.rows_version,
            request_counts,
            running_counts,
            self.last_update_number,
            self.proxies,
        )

    def report_demand(self, demand: dict[str, int], waited_ms: dict[str, int] | None = None) -> None:
        """Send the leader the number of requests that wait for each item, and for how long it has been in
        demand."""
        me = self.me
        for address in self.target_addresses():
            self.send(address, messages.Want(me.name, me.zone, me.addr, demand, waited_ms or {}))

    # messages from controllers

    def hear_update(self, source: str, update: messages.Update) -> None:
        """Apply an update, unless it is of an older term, and ask for entries or rows that are still
        missing."""
        if update.term < self.feed_term:
            return
        if update.term > self.feed_term:
            self.feed_term, self.rows_version, self.leader_address = update.term, -1, ""
            self.leader_log_index, self.last_update_number = update.log_index, 0
        self.leader_log_index = max(self.leader_log_index, update.log_index)
        self.last_update_number = max(self.last_update_number, update.number)
        self.last_update_at = self.now
        self.proxies = self.count_proxies(update)
        if update.leader_address:
            self.leader_address, self.controllers = update.leader_address, list(update.controller_addresses)
        before = self.cluster_state.log_index
        self.apply_state_update(update)
        changed = self.apply_rows_update(update)
        self.apply_unconfirmed_zones(update)
        if self.cluster_state.log_index > before:
            self.state_changed()
        if changed:
            self.rows_changed(changed)
        is_behind = update.log_index > self.cluster_state.log_index or update.rows_version > self.rows_version
        has_much = self.cluster_state.log_index > before or update.has_all_rows
        self.is_report_due = self.is_report_due or is_behind or has_much
        if self.is_report_due and self.now - self.last_follow_at >= MIN_FOLLOW_INTERVAL_MS:
            self.send_follow()

    def count_proxies(self, update: messages.Update) -> int:
        """Returns the number of live proxies after an update, 0 if it is unknown.

        It divides rates that hold over all proxies, so it may be too high but never too low. A leader that
        has just begun to lead has not heard all proxies: until then it only raises a count that is known.
        """
        if update.is_count_settled:
            return update.proxy_count
        return max(self.proxies, update.proxy_count) if self.proxies else 0

    def apply_state_update(self, update: messages.Update) -> None:
        """Install the copy of the state if it is newer, and apply the entries that follow on it without a
        gap."""
        if update.state_copy is not None and update.state_copy.log_index > self.cluster_state.log_index:
            self.cluster_state = update.state_copy
        for entry in update.entries:
            if entry.index == self.cluster_state.log_index + 1:
                self.cluster_state = state_machine.apply(self.cluster_state, entry)

    def apply_rows_update(self, update: messages.Update) -> set[str]:
        """Apply the rows of an update that is newer and has no gap before it; returns the ids of changed
        rows."""
        if update.rows_version < 0 or update.rows_version <= self.rows_version:
            return set()
        if update.has_all_rows:
            rows = update.rows
        elif update.base_version <= self.rows_version and self.rows_version >= 0:
            rows = {**self.rows, **update.rows}
            for replica_id in update.removed_ids:
                rows.pop(replica_id, None)
        else:
            return set()
        self.rows_version = update.rows_version
        former, self.rows = self.rows, rows
        return {
            replica_id
            for replica_id in former.keys() | rows.keys()
            if former.get(replica_id) != rows.get(replica_id)
        }

    def apply_unconfirmed_zones(self, update: messages.Update) -> None:
        """Replace the unconfirmed zones if the rows are as new as the update; otherwise only add to them."""
        zones = frozenset(update.unconfirmed_zones)
        has_rows = update.rows_version <= self.rows_version
        self.unconfirmed_zones = zones if has_rows else self.unconfirmed_zones | zones

    def hear_redirect(self, source: str, redirect: messages.Redirect) -> None:
        """Look for the leader at the addresses that a controller names.

        A leader that steps down names no other, so the next message goes to all controllers. A proxy that
        knows no controller yet also accepts a list of an older term, as its seeds may have no newer one.
        """
        if redirect.controller_addresses and (redirect.term >= self.feed_term or not self.controllers):
            self.controllers = list(redirect.controller_addresses)
        if self.has_leader() and (redirect.leader_address or redirect.term != self.feed_term):
            return
        if not redirect.leader_address:
            self.last_update_at = LONG_AGO
            return
        known = {self.leader_address, *self.controllers, *self.me.seeds}
        if redirect.term >= self.feed_term and redirect.leader_address not in known:
            self.leader_address = redirect.leader_address
            self.send(redirect.leader_address, self.follow_message({}, {}))

    def hear_facts(self, source: str, facts: messages.Facts) -> None:
        """Pass the leader's model statuses on to the proxy."""
        self.model_statuses_received(facts.statuses)
