"""The leader's replication: heartbeats with the entries that each member lacks, their acknowledgements, and
commits."""

import collections.abc
import dataclasses
import typing

import basaltport.consensus.follower as follower
import basaltport.consensus.follower_lease as follower_lease
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.sizes as sizes
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

RESEND_MS = 250
"""Entries sent to a member within this time may still be in flight, and are not sent again."""
SLOWEST_LINK_BYTES_PER_MS = 300
"""Throughput in bytes per millisecond that every link provides, with a margin: half of 5 Mbit/s."""
LARGE_BYTES = 1 << 20
LARGE_TRANSFERS_MAX = 4
REMEMBERED_HEARTBEATS = 100
NEVER_MS = -(10**9)
NOTHING_SYNCED = -1
"""Log index that stands for a member that has not acknowledged any entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Unacknowledged data sent to a member: the number of the first heartbeat that carried it and when that
    was sent (ms), its bytes, the committed index that the first heartbeat carried, and the last log index in
    it."""

    heartbeat_number: int
    sent_at_ms: int
    size_bytes: int
    commit_index: int
    last_index: int

    def arrives_by_ms(self) -> int:
        """Return when the data has arrived even over the slowest link, in milliseconds."""
        return self.sent_at_ms + RESEND_MS + self.size_bytes // SLOWEST_LINK_BYTES_PER_MS


class Payload(typing.NamedTuple):
    """What a heartbeat carries: entries or a snapshot, and the term and index of the preceding entry."""

    entries: list[log.LogEntry]
    snapshot: state_machine.ReplicatedState | None
    previous_term: identifiers.Term
    previous_index: identifiers.LogIndex


class EntriesAfter(typing.NamedTuple):
    """The entries after the one of `previous_index`; `entries` is None if a snapshot is needed."""

    entries: list[log.LogEntry] | None
    previous_term: identifiers.Term
    previous_index: identifiers.LogIndex


class ReplicationNeeds(typing.Protocol):
    """What `ReplicationMixin` needs of its node."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    appended_state: state_machine.ClusterState
    uncommitted_entries: list[log.LogEntry]
    retained_entries: dict[int, log.LogEntry]
    current_term: identifiers.Term
    synced_term: identifiers.Term
    synced_head: follower.Head
    learners: dict[str, dict[str, typing.Any]]
    leading: bool
    highest_term_count: int
    lease_started_at_ms: int

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def head(self) -> follower.Head:
        """Return the term and index of the last log entry, committed or not."""

    def make_snapshot(self) -> state_machine.ReplicatedState:
        """Return the committed state and the uncommitted entries."""

    def apply_committed(self, commit_index: int, commit_term: identifiers.Term) -> None:
        """Apply the entries up to the index `commit`."""

    def address_of(self, member_id: str) -> str | None:
        """Return the latest known address of a member, None if unknown."""

    def update_learners(self) -> None:
        """Update the set of members that receive the log without voting."""

    def ack_to_return(self, member_id: str, record: follower_lease.MemberOrRow) -> int:
        """Return the number of the acknowledgement that a heartbeat returns to a member."""

    def clear_leaving_if_returned(self, member_id: str) -> None:
        """Forget that a member was leaving if it has returned."""

    def record_acked_heartbeat(self, member_id: str, number: int) -> None:
        """Record that a member acknowledged the heartbeat of this number."""

    def renew_lease(self) -> None:
        """Renew the leader lease from the heartbeats that a majority acknowledged."""

    def step_down(self, why: str) -> None:
        """Stop leading; `why` is logged."""

    def record_commit_times(self) -> None:
        """Record when the pending changes were committed."""

    def answer_ready_requests(self) -> None:
        """Answer the pending changes and reads that are ready."""


if typing.TYPE_CHECKING:
    Needs = ReplicationNeeds
else:
    Needs = object


class ReplicationMixin(Needs):
    """Replication state of a leader, by member id.

    `match_index`: the last index up to which the member has synced this leader's log; `acked_at_ms`: when it
    last acknowledged; `last_sent`: when entries were last sent to it, and up to which index;
    `needs_snapshot`: the members that need a snapshot; `latest_acks`: see `follower_lease.LatestAcks`.
    """

    def replication_start(self, voters: collections.abc.Iterable[str]) -> None:
        """Initialize the state for a new term, in which nothing is known of the other members but that
        `voters`, by id, have just answered."""
        self.match_index: dict[str, int] = {}
        self.last_sent: dict[str, tuple[int, int]] = {}
        self.transfers_in_flight: dict[str, Transfer] = {}
        self.acked_at_ms: dict[str, int] = dict.fromkeys(voters, self.now)
        self.heartbeat_times: dict[int, int] = {}
        self.latest_acks: follower_lease.LatestAcks = {}
        self.heartbeat_sent_at_ms: int = NEVER_MS
        self.heartbeat_number = 0
        self.needs_snapshot: set[str] = set()

    # heartbeats

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all voters and learners, except to a voter whose address a learner has taken
        over."""
        self.update_learners()
        self.heartbeat_sent_at_ms = self.now
        self.heartbeat_number += 1
        self.heartbeat_times[self.heartbeat_number] = self.now
        self.heartbeat_times.pop(self.heartbeat_number - REMEMBERED_HEARTBEATS, None)
        taken_addresses = {row["addr"] for row in self.learners.values()}
        for member_id, record in quorum.voters(self.appended_state).items():
            if member_id != self.me.seat and record.address not in taken_addresses:
                self.send_heartbeat_to(member_id, record)
        for member_id, row in self.learners.items():
            self.send_heartbeat_to(member_id, row)
        self.renew_lease()

    def send_heartbeat_to(self, member_id: str, record: follower_lease.MemberOrRow) -> None:
        """Send a member a heartbeat with what it lacks. `record`: its `MemberRecord`, or a learner's row."""
        entries, snapshot, previous_term, previous_index = self.payload_for(member_id)
        acknowledged = self.ack_to_return(member_id, record)
        heartbeat = messages.Heartbeat(
            self.current_term,
            self.me.seat,
            self.me.name,
            self.me.addr,
            self.heartbeat_number,
            self.cluster_state.log_index,
            self.cluster_state.term,
            previous_term,
            previous_index,
            entries,
            snapshot,
            identifiers.Millis(self.now - self.lease_started_at_ms),
            acknowledged,
        )
        self.send(self.address_of(member_id) or record["addr"], heartbeat)

    def payload_for(self, member_id: str) -> Payload:
        """Return what the next heartbeat to a member carries; at most LARGE_TRANSFERS_MAX large payloads are
        in flight."""
        head = self.head()
        nothing = Payload([], None, *head)
        payload = self.missing_for(member_id, head)
        if payload is None:
            return nothing
        snapshot = payload.snapshot
        size = (
            sizes.replicated_state_size(snapshot) if snapshot else sum(map(sizes.entry_size, payload.entries))
        )
        is_large = size > LARGE_BYTES and not self.is_in_flight(member_id)
        if is_large and self.large_transfers() >= LARGE_TRANSFERS_MAX:
            return nothing
        self.needs_snapshot.discard(member_id)
        self.last_sent[member_id] = (self.now, head[1])
        self.record_transfer(member_id, size, bool(snapshot))
        return payload

    def missing_for(self, member_id: str, head: follower.Head) -> Payload | None:
        """Return the part of the log up to `head` that a member lacks and that is not in flight to it, None
        for nothing."""
        last_index = head[1]
        if member_id in self.needs_snapshot:
            return Payload([], self.make_snapshot(), *head)
        synced = self.match_index.get(member_id)
        if synced is not None and synced >= last_index:
            return None
        sent_at_ms, sent_index = self.last_sent.get(member_id, (NEVER_MS, 0))
        is_recent = self.now - sent_at_ms < RESEND_MS or self.is_in_flight(member_id)
        if is_recent and sent_index >= last_index:
            return None
        base = synced if synced is not None else last_index - 1
        after = self.entries_after(max(base, sent_index) if is_recent else base)
        if after.entries is None:
            return Payload([], self.make_snapshot(), after.previous_term, after.previous_index)
        return Payload(after.entries, None, after.previous_term, after.previous_index)

    def entries_after(self, log_index: int) -> EntriesAfter:
        """Return the entries after the one of `log_index` and the term of that one, or None for the entries
        if a snapshot is needed."""
        terms = {int(self.cluster_state.log_index): self.cluster_state.term}
        terms.update({index: entry.term for index, entry in self.retained_entries.items()})
        terms.update({entry.index: entry.term for entry in self.uncommitted_entries})
        if log_index not in terms:
            return EntriesAfter(None, *self.head())
        retained = [
            self.retained_entries[index] for index in sorted(self.retained_entries) if index > log_index
        ]
        entries = retained + [entry for entry in self.uncommitted_entries if entry.index > log_index]
        # M6: entries with a gap are not sent.
        if not log.are_contiguous(entries, log_index):
            return EntriesAfter(None, *self.head())
        return EntriesAfter(entries, terms[log_index], identifiers.LogIndex(log_index))

    # transfers in flight

    def record_transfer(self, member_id: str, size: int, whole: bool = False) -> None:
        """Record `size` bytes sent to a member. They are added to data in flight, which arrives before them;
        a snapshot (`whole`) supersedes it."""
        in_flight = Transfer(self.heartbeat_number, self.now, 0, self.cluster_state.log_index, 0)
        if self.is_in_flight(member_id) and not whole:
            in_flight = self.transfers_in_flight[member_id]
        transfer = dataclasses.replace(
            in_flight, size_bytes=in_flight.size_bytes + size, last_index=self.head()[1]
        )
        self.transfers_in_flight[member_id] = transfer

    def is_in_flight(self, member_id: str) -> bool:
        """Whether the data last sent to a member may still arrive: no later heartbeat was answered without
        it, and a slow link would still be transmitting it."""
        transfer = self.transfers_in_flight.get(member_id)
        return transfer is not None and self.now < transfer.arrives_by_ms()

    def finish_transfer(self, ack: messages.HeartbeatAck) -> None:
        """End a transfer once an acknowledgement shows that it arrived or was lost. Heartbeats arrive in the
        order they were sent, so an answer to a later one shows whether the data of an earlier one arrived."""
        transfer = self.transfers_in_flight.get(ack.member_id)
        if transfer is None:
            return
        has_arrived = self.match_index.get(ack.member_id, NOTHING_SYNCED) >= transfer.last_index
        was_lost = (
            ack.heartbeat_number > transfer.heartbeat_number and ack.applied_index < transfer.commit_index
        )
        if has_arrived or was_lost:
            del self.transfers_in_flight[ack.member_id]

    def was_sent_later(self, ack: messages.HeartbeatAck) -> bool:
        """Whether the data that an acknowledgement reports missing was sent with a later heartbeat."""
        if (
            self.is_in_flight(ack.member_id)
            and ack.heartbeat_number < self.transfers_in_flight[ack.member_id].heartbeat_number
        ):
            return True
        self.transfers_in_flight.pop(ack.member_id, None)
        return False

    def large_transfers(self) -> int:
        """Return how many large transfers may be in flight."""
        return sum(
            transfer.size_bytes > LARGE_BYTES and self.is_in_flight(member_id)
            for member_id, transfer in self.transfers_in_flight.items()
        )

    # acknowledgements

    def hear_heartbeat_ack(self, src: str, ack: messages.HeartbeatAck) -> None:
        """Process an acknowledgement; step down if it is a refusal with a newer term."""
        if not self.leading:
            return
        if not ack.accepted:
            if ack.current_term > self.current_term:
                self.step_down(f"newer term {ack.current_term.text()}")
                self.highest_term_count: int = max(self.highest_term_count, ack.current_term.count)
            return
        # M1: only acknowledgements of this leader's term count.
        if ack.current_term == self.current_term:
            self.process_ack(ack)
        self.clear_leaving_if_returned(ack.member_id)
        if ack.needs_snapshot and ack.member_id in self.needs_snapshot and ack.member_id in self.learners:
            self.send_heartbeat_to(ack.member_id, self.learners[ack.member_id])

    def process_ack(self, ack: messages.HeartbeatAck) -> None:
        """Record how far a member has synced the log, and commit what a majority has synced."""
        self.acked_at_ms[ack.member_id] = self.now
        self.record_acked_heartbeat(ack.member_id, ack.heartbeat_number)
        if ack.needs_snapshot:
            self.resend_to(ack)
            return
        matching = self.entries_after(ack.synced_log_index)
        # M1: synced entries count only if they match this leader's log.
        if matching.entries is not None and matching.previous_term == ack.synced_log_term:
            self.match_index[ack.member_id] = max(
                ack.synced_log_index, self.match_index.get(ack.member_id, 0)
            )
        self.finish_transfer(ack)
        self.record_latest_ack(ack)
        self.commit_replicated()
        self.answer_ready_requests()

    def record_latest_ack(self, ack: messages.HeartbeatAck) -> None:
        """Record an acknowledgement unless a later one of the same incarnation of the member is known."""
        latest = self.latest_acks.get(ack.member_id)
        if (
            latest is None
            or ack.ack_number > latest[0]
            or ack.ack_number >> follower.INCARNATION_SHIFT != latest[0] >> follower.INCARNATION_SHIFT
        ):
            self.latest_acks[ack.member_id] = (ack.ack_number, self.now, ack.applied_index)

    def resend_to(self, ack: messages.HeartbeatAck) -> None:
        """Send a snapshot to a member that could not append the entries sent to it."""
        if self.was_sent_later(ack):
            return
        self.needs_snapshot.add(ack.member_id)
        record = self.appended_state.members.get(ack.member_id)
        if record:
            self.send_heartbeat_to(ack.member_id, record)

    # commits

    def own_log_synced(self) -> None:
        """Count this leader's own synced entries towards commits."""
        if self.leading and self.synced_term == self.current_term:
            self.match_index[self.me.seat] = self.synced_head[1]
            self.commit_replicated()
            self.answer_ready_requests()

    def commit_replicated(self) -> None:
        """Commit the last entry of this leader's term that majorities of the voters and of the disk members
        have synced, with all entries before it."""
        index_before = self.cluster_state.log_index
        for entry in reversed(self.uncommitted_entries):
            # M3: an entry of an older term is committed only by a later entry of this leader's term.
            if entry.term != self.current_term:
                break
            if self.is_held_by_majorities(entry.index):
                self.apply_committed(entry.index, entry.term)
                break
        if self.cluster_state.log_index == index_before:
            return
        self.record_commit_times()
        self.send_heartbeats()

    def is_held_by_majorities(self, log_index: int) -> bool:
        """Whether majorities of the voters and of the disk members have synced the log up to this index."""
        holders = {member_id for member_id, synced in self.match_index.items() if synced >= log_index}
        if not quorum.has_majority(self.appended_state, holders):
            return False
        return quorum.is_majority(holders, set(self.appended_state.disk_members))
