"""The leader's side of the feed: sends each proxy the log entries and the rows of replicas that it lacks."""

import typing

import basaltport.consensus.log as log
import basaltport.consensus.sizes as sizes
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.listeners as listeners
import basaltport.fleet.in_flight as in_flight
import basaltport.fleet.messages as messages
import basaltport.fleet.readmitted_zones as readmitted_zones
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.text as text

IDLE_UPDATE_INTERVAL_MS = 1000
"""Interval of the empty updates to a proxy that is up to date."""
PROXY_TIMEOUT_MS = 3000
"""A proxy that has sent nothing for this long is dropped."""
ROWS_INTERVAL_MS = 40
"""Minimum interval between two updates with changed rows."""
MAX_REMOVED_ROWS = 5000
"""Maximum number of removed rows whose removal is remembered for proxies that lag behind."""
ENTRIES_PREFERENCE_BYTES = 2000
"""Entries are sent instead of a copy of the state if they are at most this much larger than the copy."""
ROW_BYTES = 500
"""Approximate size of one row in bytes."""
NO_ROWS_VERSION = -1
"""The rows version of a proxy without rows, or of a leader that has not read the list of replicas."""
LONG_AGO = -(10**9)
"""A time in ms that is earlier than any real one."""
NO_LEADER = identifiers.Name("")


def feed_state(state: state_machine.ClusterState) -> state_machine.ClusterState:
    """Returns the part of the replicated state that proxies need; see `codec.encode_feed_state`."""
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


class StatePart(typing.NamedTuple):
    """What an update carries of the replicated state: entries, or a copy."""

    entries: list[log.LogEntry]
    copy: state_machine.ClusterState | None


class RowsPart(typing.NamedTuple):
    """What an update carries of the rows: all of them (`is_full`), or those that changed and the ids that
    were removed after the version `base`."""

    is_full: bool
    base: int
    rows: Row
    removed_ids: list[str]


class Proxy:
    """What the leader knows of a proxy: what it was sent and what it acknowledged. Times are in ms."""

    __slots__ = (
        *("zone", "address", "last_heard_at", "sent_at", "probed_at", "in_flight"),
        *("sent_log_index", "sent_rows_version", "sent_controllers", "sent_proxy_count"),
    )

    def __init__(self) -> None:
        """Initialize: nothing was received from the proxy or sent to it."""
        self.zone = identifiers.Zone("")
        self.address = ""
        self.last_heard_at = LONG_AGO
        """The time of its last `Follow` message."""
        self.sent_log_index = 0
        self.sent_rows_version = NO_ROWS_VERSION
        self.sent_controllers: list[str] | None = None
        self.sent_proxy_count = 0
        self.sent_at = LONG_AGO
        self.probed_at = LONG_AGO
        self.in_flight = in_flight.UpdatesInFlight()

    def restart(self, log_index: int, rows_version: int) -> None:
        """Let the next update start from what the proxy reports that it has."""
        self.sent_log_index, self.sent_rows_version, self.sent_controllers = log_index, rows_version, None
        self.in_flight.clear()

    def lacks_sent(self, follow: messages.Follow) -> bool:
        """Whether a proxy reports less than it was sent."""
        return follow.log_index < self.sent_log_index or follow.rows_version < self.sent_rows_version

    def has_lost(self, follow: messages.Follow, now: int) -> bool:
        """Whether a report of this term's feed proves that an update was lost."""
        if not follow.last_update:
            self.in_flight.remove_held(follow.log_index, follow.rows_version)
            return self.lacks_sent(follow) and self.in_flight.is_overdue(now)
        reported = self.in_flight.remove_reported(follow.last_update)
        if reported is not None:
            return follow.log_index < reported.log_index or follow.rows_version < reported.rows_version
        return self.lacks_sent(follow) and not self.in_flight


class ReplicaRows(typing.Protocol):
    """The rows of replicas by id, and the ids of those that changed since the last rows version."""

    rows: Row
    changed: set[str]
    list_wanted_at: int


class PublishNeeds(typing.Protocol):
    """The attributes and methods that `PublishMixin` requires of the controller; see `consensus`."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    retained_entries: dict[int, log.LogEntry]
    leading: bool
    leader: typing.Any
    current_term: identifiers.Term
    placement: ReplicaRows
    list_lag_ms: int
    listeners: listeners.Listeners

    def send(self, address: str, message: object) -> None:
        """Send a message to an address."""

    def holds_lease(self) -> bool:
        """Whether this controller leads under a valid lease."""

    def hears_leader(self) -> bool:
        """Whether the leader's heartbeats are current."""

    def usage_reported(self, zone: str, request_counts: Row, running_counts: Row) -> None:
        """Called with a proxy's requests by item since its last report, and those that run now by replica."""


if typing.TYPE_CHECKING:
    Needs = PublishNeeds
else:
    Needs = object


class PublishMixin(Needs):
    """Publishes the feed. `rows_known`: the list of replicas was read since this controller began to lead."""

    def publish_start(self) -> None:
        """Initialize without proxies, and subscribe to the beginning and the end of this controller's
        leadership."""
        self.listeners.leadership_started.append(self.restart_feed)
        self.listeners.leadership_ended.append(self.redirect_proxies)
        self.readmitted_zones = readmitted_zones.ReadmittedZones(self.now)
        self.forget_proxies()

    def forget_proxies(self) -> None:
        """Reset the attributes: no proxies, no rows version, nothing published."""
        self.proxies: dict[str, Proxy] = {}
        self.update_count = 0
        """Number of the last update; it never repeats within a term."""
        self.leads_since = self.now
        self.former_proxy_count = 0
        """The highest number of proxies by which proxies went that reported while the count was unsettled."""
        self.rows_known = False
        self.rows_version = 0
        self.row_versions: dict[str, int] = {}
        """The rows version of each row's last change, by replica id; the oldest change first."""
        self.rows_sent_at = LONG_AGO
        self.published_versions: tuple[int, int] | None = None
        self.published_zones: list[str] = []
        self.last_check_at = LONG_AGO

    def clear_feed(self) -> None:
        """Forget all proxies, what was published, and which rows changed."""
        self.forget_proxies()
        self.placement.changed.clear()

    def restart_feed(self, votes: Row) -> None:
        """Start the feed from nothing when this controller begins to lead: every proxy gets a full update."""
        self.clear_feed()

    def is_count_settled(self) -> bool:
        """Whether every live proxy has had time to report since this controller began to lead."""
        return self.now - self.leads_since >= PROXY_TIMEOUT_MS

    def live_proxy_count(self) -> int:
        """Returns the number of live proxies; while it is unsettled, at least what proxies went by before."""
        if self.is_count_settled():
            return len(self.proxies)
        return max(len(self.proxies), self.former_proxy_count)

    def redirect_proxies(self) -> None:
        """Tell all proxies, when this controller stops leading, to look for the next leader at once."""
        redirect = messages.Redirect(self.current_term, NO_LEADER, "", self.controllers())
        for proxy in self.proxies.values():
            self.send(proxy.address, redirect)
        self.clear_feed()

    def controllers(self) -> list[str]:
        """Returns the addresses of all controllers."""
        return sorted(record.address for record in self.cluster_state.members.values())

    def hear_follow(self, source: str, follow: messages.Follow) -> None:
        """Record what a proxy has received, or redirect it to the leader if this controller is not the
        leader."""
        if not self.leading:
            leader = self.leader if self.hears_leader() else None
            term, name, address = self.current_term, NO_LEADER, ""
            if leader:
                term, name, address = leader.term, leader.name, leader.addr
            self.send(follow.address, messages.Redirect(term, name, address, self.controllers()))
            return
        proxy = self.proxies.get(follow.name)
        if proxy is None:
            proxy = self.proxies[follow.name] = Proxy()
        proxy.zone, proxy.address, proxy.last_heard_at = follow.zone, follow.address, self.now
        if not self.is_count_settled():
            self.former_proxy_count = max(self.former_proxy_count, follow.proxy_count)
        self.update_position(proxy, follow)
        if follow.request_counts or follow.running_counts:
            self.usage_reported(follow.zone, follow.request_counts, follow.running_counts)
        self.published_versions = None

    def update_position(self, proxy: Proxy, follow: messages.Follow) -> None:
        """Choose what the next update to a proxy starts from.

        A proxy whose feed is not of this term, because it or this leader has just started, is sent all rows,
        all addresses and the entries after its log index. If a report proves that an update was lost, the
        next one starts from what is reported. While that is open, a probe is sent: a small update, whose
        arrival proves it.
        """
        is_of_term = follow.term == self.current_term
        if not is_of_term:
            proxy.sent_controllers = None
        if not is_of_term and not proxy.in_flight:
            proxy.restart(follow.log_index, NO_ROWS_VERSION)
        elif is_of_term and proxy.has_lost(follow, self.now):
            proxy.restart(
                min(proxy.sent_log_index, follow.log_index), min(proxy.sent_rows_version, follow.rows_version)
            )
        elif proxy.in_flight and (not is_of_term or proxy.lacks_sent(follow)):
            self.probe_proxy(proxy)

    def probe_proxy(self, proxy: Proxy) -> None:
        """Send a proxy an update without content, at most once within RESEND_MS, and only under a lease, as
        every update: a former leader must not seem alive."""
        if self.now - proxy.probed_at < in_flight.RESEND_MS or not self.holds_lease():
            return
        proxy.probed_at = self.now
        version = self.rows_version if self.rows_known else NO_ROWS_VERSION
        self.send_parts(proxy, StatePart([], None), RowsPart(False, version, {}, []))

    def send_model_statuses(self, address: str, statuses: Row) -> None:
        """Answer a `Want` message."""
        self.send(address, messages.Facts(statuses))

    # updates

    def publish(self) -> None:
        """Send an update to each proxy that lacks something, and every IDLE_UPDATE_INTERVAL_MS to the others;
        drop silent proxies."""
        self.observe_zones()
        if not self.leading or not self.holds_lease():
            return
        if self.rows_known and self.placement.changed:
            self.assign_row_version()
        log_index = self.cluster_state.log_index
        versions = (log_index, self.rows_version)
        if versions == self.published_versions and self.now - self.last_check_at < ROWS_INTERVAL_MS:
            return
        self.last_check_at = self.now
        for name in [
            name for name, proxy in self.proxies.items() if self.now - proxy.last_heard_at > PROXY_TIMEOUT_MS
        ]:
            del self.proxies[name]
        is_rows_due = self.rows_known and self.now - self.rows_sent_at >= ROWS_INTERVAL_MS
        proxy_count = self.live_proxy_count()
        zones = self.readmitted_zones.unconfirmed(self.now)
        for proxy in self.proxies.values():
            is_behind = (
                zones != self.published_zones
                or proxy.sent_log_index < log_index
                or is_rows_due
                and proxy.sent_rows_version < self.rows_version
            )
            if is_behind and proxy.in_flight.has_room():
                self.send_update(proxy)
            elif proxy.sent_proxy_count < proxy_count or self.now - proxy.sent_at >= IDLE_UPDATE_INTERVAL_MS:
                self.probe_proxy(proxy)
        if is_rows_due or not self.rows_known:
            self.rows_sent_at, self.published_versions = self.now, versions
        self.published_zones = zones

    def observe_zones(self) -> None:
        """Notice zones that are readmitted, on every controller, since any may lead next. The leader reads
        the list again as soon as it can show a later state."""
        if self.readmitted_zones.observe(self.cluster_state.evacuated_zones, self.now):
            self.placement.list_wanted_at = self.now + self.list_lag_ms
            self.published_versions = None

    def confirm_zones(self, listed_as_of: int) -> None:
        """Note that the rows show the state of this time, or a later one."""
        self.readmitted_zones.confirm(listed_as_of)
        self.published_versions = None

    def assign_row_version(self) -> None:
        """Increment the rows version and record it for the rows that changed."""
        self.rows_version += 1
        for replica_id in self.placement.changed:
            self.row_versions.pop(replica_id, None)
            self.row_versions[replica_id] = self.rows_version
        self.placement.changed.clear()
        while len(self.row_versions) > MAX_REMOVED_ROWS + len(self.placement.rows):
            del self.row_versions[next(iter(self.row_versions))]

    def send_update(self, proxy: Proxy) -> None:
        """Send a proxy the entries and rows that it lacks."""
        state, rows = self.state_since(proxy.sent_log_index), self.rows_since(proxy.sent_rows_version)
        proxy.sent_log_index = self.cluster_state.log_index
        proxy.sent_rows_version = self.rows_version if self.rows_known else NO_ROWS_VERSION
        self.send_parts(proxy, state, rows)

    def send_parts(self, proxy: Proxy, state: StatePart, rows: RowsPart) -> None:
        """Send a proxy an update with these parts, and with the addresses of the controllers if it lacks
        them."""
        controllers = self.controllers()
        includes_leader = proxy.sent_controllers != controllers
        self.update_count += 1
        update = messages.Update(
            self.current_term,
            self.me.name if includes_leader else NO_LEADER,
            self.me.addr if includes_leader else "",
            controllers if includes_leader else [],
            self.cluster_state.log_index,
            state.entries,
            state.copy,
            rows.is_full,
            rows.base,
            self.rows_version if self.rows_known else NO_ROWS_VERSION,
            rows.rows,
            rows.removed_ids,
            self.live_proxy_count(),
            self.update_count,
            self.is_count_settled(),
            self.readmitted_zones.unconfirmed(self.now),
        )
        proxy.sent_controllers, proxy.sent_at = controllers, self.now
        proxy.sent_proxy_count = update.proxy_count
        size = sum(map(sizes.entry_size, state.entries)) + ROW_BYTES * len(rows.rows)
        size += sizes.state_size(state.copy) if state.copy else text.OVERHEAD
        sent = in_flight.SentUpdate(
            self.update_count, proxy.sent_log_index, proxy.sent_rows_version, size, self.now
        )
        proxy.in_flight.record(sent)
        self.send(proxy.address, update)

    def state_since(self, index: int) -> StatePart:
        """Returns the entries after an index, or a copy of the state if they are not all retained or are
        larger than the copy."""
        newest = self.cluster_state.log_index
        may_be_retained = newest - index <= len(self.retained_entries)
        entries = (
            [self.retained_entries.get(i) for i in range(index + 1, newest + 1)]
            if may_be_retained
            else [None]
        )
        found = [entry for entry in entries if entry]
        if index and len(found) == len(entries):
            entries_size = sum(sizes.entry_size(entry) for entry in found)
            if entries_size <= sizes.state_size(self.cluster_state) + ENTRIES_PREFERENCE_BYTES:
                return StatePart(found, None)
        return StatePart([], feed_state(self.cluster_state))

    def rows_since(self, version: int) -> RowsPart:
        """Returns the rows that changed after a version, or all rows if the version is below 0."""
        if not self.rows_known:
            return RowsPart(False, NO_ROWS_VERSION, {}, [])
        rows = self.placement.rows
        if version < 0:
            return RowsPart(True, NO_ROWS_VERSION, dict(rows), [])
        changed = [replica_id for replica_id, changed_in in self.row_versions.items() if changed_in > version]
        present = {replica_id: rows[replica_id] for replica_id in changed if replica_id in rows}
        return RowsPart(
            False, version, present, [replica_id for replica_id in changed if replica_id not in rows]
        )
