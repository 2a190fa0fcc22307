"""What every member does, leading or not: it stores the log, follows heartbeats, and acknowledges what it has
synced."""

import collections.abc
import random
import typing

import basaltport.consensus.listeners as listeners
import basaltport.consensus.log as log
import basaltport.consensus.sizes as sizes
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voting_policy as voting_policy
import basaltport.errors as errors
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.messages as messages

INCARNATION_SHIFT = 32
"""Number of low bits of an acknowledgement number; the bits above identify the incarnation of the member."""
INCARNATION_BITS = 30
REPLAYED_HEARTBEATS = 25
"""A heartbeat older than the newest one by this many numbers was delayed or replayed, and is logged."""
LONG_AGO_MS = -(10**9)
NEVER_LEASED_MS = -1
NO_TERM = identifiers.Term()
REMEMBERED_ACKS = 200

Head = tuple[identifiers.Term, identifiers.LogIndex]
"""Term and index of the last log entry."""


class FollowerNeeds(typing.Protocol):
    """What `FollowerMixin` needs of its node."""

    me: member.Me
    now: identifiers.Millis
    rng: random.Random
    policy: voting_policy.VotingPolicy
    listeners: listeners.Listeners
    current_term: identifiers.Term
    leading: bool
    durable: bool

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""

    def write(
        self,
        records: list[log.DiskRecord],
        whole: state_machine.ReplicatedState | None = None,
        then: collections.abc.Iterable[object] = (),
    ) -> None:
        """Request that records, or a snapshot (`whole`), be synced; then release the effects in `then`."""

    def install_snapshot(self, snapshot: state_machine.ReplicatedState) -> None:
        """Replace the log by a snapshot from another member."""

    def lose_leadership(self, term: identifiers.Term) -> None:
        """Step down if leading, because of a newer term."""


if typing.TYPE_CHECKING:
    Needs = FollowerNeeds
else:
    Needs = object


class FollowerMixin(Needs):
    """The log of a member: `cluster_state` is the committed state, `uncommitted_entries` the entries that are
    not known to be committed."""

    def follower_start(
        self,
        replicated_state: state_machine.ReplicatedState | None = None,
        current_term: identifiers.Term = NO_TERM,
    ) -> None:
        """Start with the state and the term that the disk holds. Acknowledgement numbers start at a random
        incarnation, to differ from those of an earlier incarnation of the same member."""
        replicated_state = replicated_state or state_machine.ReplicatedState()
        self.cluster_state = replicated_state.cluster_state
        self.uncommitted_entries = list(replicated_state.uncommitted)
        self.stopped = False
        self.older_terms_logged: set[identifiers.Term] = set()
        self.replayed_terms_logged: set[identifiers.Term] = set()
        self.newest_heartbeat_number = 0
        self.leader: messages.Heartbeat | None = None
        self.leader_heard_at_ms = LONG_AGO_MS
        self.last_ack_number = (
            self.rng.getrandbits(INCARNATION_BITS) << INCARNATION_SHIFT if self.policy.pre_vote else 0
        )
        self.ack_times: dict[int, int] = {}
        self.lease_expires_at_ms = NEVER_LEASED_MS
        self.synced_head = self.head()
        self.synced_term = current_term
        self.clear_retained_entries()

    def head(self) -> Head:
        """Return the term and index of the last log entry, committed or not."""
        if self.uncommitted_entries:
            return self.uncommitted_entries[-1].term, identifiers.LogIndex(self.uncommitted_entries[-1].index)
        return self.cluster_state.term, self.cluster_state.log_index

    def leased(self) -> bool:
        """Whether this follower holds a valid lease from its leader."""
        return self.now < self.lease_expires_at_ms

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""
        return state_machine.apply_all(self.cluster_state, self.uncommitted_entries)

    def mark_synced(self, head: Head, term: identifiers.Term) -> None:
        """Record that entries up to `head` and the term `term` are synced; acknowledge them to the leader and
        notify the listeners."""
        self.synced_head, self.synced_term = head, term
        if self.leader:
            self.send_ack(self.leader)
        for call in self.listeners.log_synced:
            call()

    def disk_failed(self) -> None:
        """Log a failed write and notify the listeners."""
        self.note(log_events.Event.DISK_FAILED)
        for call in self.listeners.disk_failed:
            call()

    def state_applied(self) -> None:
        """Notify the listeners that the committed state advanced."""
        for call in self.listeners.state_applied:
            call()

    def clear_leader(self, since: int) -> None:
        """Follow no leader; its silence counts from `since`, in milliseconds."""
        self.leader = None
        self.leader_heard_at_ms = since

    def hear_leadership_transfer(self, src: str, message: messages.LeadershipTransfer) -> None:
        """Stop following a leader that resigns, and notify the listeners, of which the named successor stands
        for election."""
        is_followed = self.leader is not None and message.term == self.leader.term
        if is_followed:
            for call in self.listeners.leader_resigned:
                call(message)
            self.clear_leader(LONG_AGO_MS)
        if is_followed or not self.policy.pre_vote:
            for call in self.listeners.transfer_heard:
                call(message)

    # heartbeats

    def hear_heartbeat(self, src: str, message: messages.Heartbeat) -> None:
        """Process a heartbeat, then notify the listeners."""
        self.process_heartbeat(message)
        for call in self.listeners.heartbeat_heard:
            call(message)

    def process_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Follow the sender, append its entries or install its snapshot, and acknowledge; a heartbeat of an
        older term is refused."""
        if self.policy.ordered_heartbeats and not self.in_order(heartbeat):
            return
        if heartbeat.term < self.current_term:
            self.refuse_heartbeat(heartbeat)
            return
        if heartbeat.term > self.current_term:
            self.current_term: identifiers.Term = heartbeat.term
            self.lose_leadership(heartbeat.term)
            self.write([log.TermRecord(heartbeat.term)])
        self.record_leader(heartbeat)
        needs_snapshot = False
        if heartbeat.snapshot:
            self.install_snapshot(heartbeat.snapshot)
        elif heartbeat.entries:
            needs_snapshot = not self.append_entries(heartbeat)
        self.apply_committed(heartbeat.commit_index, heartbeat.commit_term)
        self.extend_lease(heartbeat)
        self.send_ack(heartbeat, needs_snapshot)

    def extend_lease(self, heartbeat: messages.Heartbeat) -> None:
        """Renew this follower's lease if the heartbeat returns one of its acknowledgements."""
        # M5: the lease starts when the acknowledgement that the leader returns was sent.
        if heartbeat.returned_ack_number not in self.ack_times or self.stopped:
            return
        lease_ms = self.policy.follower_lease_ms - heartbeat.lease_age_ms
        self.lease_expires_at_ms = max(
            self.lease_expires_at_ms, self.ack_times[heartbeat.returned_ack_number] + lease_ms
        )

    def in_order(self, heartbeat: messages.Heartbeat) -> bool:
        """Whether a heartbeat may be processed; a snapshot in it that brings nothing new is removed. A late
        heartbeat from an older connection must not undo what was synced since (M6)."""
        if self.leader is not None and heartbeat.term == self.leader.term:
            if heartbeat.number < self.newest_heartbeat_number:
                return False
        last_term, last_index = self.head()
        if heartbeat.snapshot and last_term == heartbeat.term and heartbeat.snapshot.last_index <= last_index:
            heartbeat.snapshot = None
        return True

    def refuse_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Answer a leader of an older term with the current term; each such term is logged once."""
        if heartbeat.term not in self.older_terms_logged:
            self.older_terms_logged = {heartbeat.term}
            self.note(
                log_events.Event.OLD_GENERATION,
                leader=heartbeat.name,
                generation=heartbeat.term.text(),
                promised=self.current_term.text(),
            )
        self.send(heartbeat.addr, self.heartbeat_ack(heartbeat.number, False, False))

    def record_leader(self, heartbeat: messages.Heartbeat) -> None:
        """Follow the sender of a heartbeat; new leaders and replayed heartbeats are logged."""
        if self.leader is None or self.leader.term != heartbeat.term:
            self.note(log_events.Event.LEADER_HEARD, leader=heartbeat.name, generation=heartbeat.term.text())
            self.newest_heartbeat_number = 0
        is_replayed = heartbeat.number + REPLAYED_HEARTBEATS <= self.newest_heartbeat_number
        if is_replayed and heartbeat.term not in self.replayed_terms_logged:
            self.replayed_terms_logged = {heartbeat.term}
            self.note(
                log_events.Event.FRAME_REPLAYED,
                leader=heartbeat.name,
                generation=heartbeat.term.text(),
                n=heartbeat.number,
                newest=self.newest_heartbeat_number,
            )
        self.newest_heartbeat_number = max(self.newest_heartbeat_number, heartbeat.number)
        self.leader = heartbeat
        self.leader_heard_at_ms = self.now

    def send_ack(self, heartbeat: messages.Heartbeat, needs_snapshot: bool = False) -> None:
        """Acknowledge a heartbeat, unless its term is not yet synced. `needs_snapshot`: the entries cannot be
        appended, the leader should send a snapshot."""
        if self.durable and self.synced_term != self.current_term:
            return
        self.send(heartbeat.addr, self.heartbeat_ack(heartbeat.number, True, needs_snapshot))

    def heartbeat_ack(
        self, heartbeat_number: int, accepted: bool, needs_snapshot: bool
    ) -> messages.HeartbeatAck:
        """Return the next acknowledgement, with the last synced entry, and record when it was made."""
        self.last_ack_number += 1
        self.ack_times[self.last_ack_number] = self.now
        self.ack_times.pop(self.last_ack_number - REMEMBERED_ACKS, None)
        last_term, last_index = self.synced_head if self.durable else self.head()
        return messages.HeartbeatAck(
            self.current_term,
            self.me.seat,
            heartbeat_number,
            self.last_ack_number,
            accepted,
            self.current_term,
            last_term,
            last_index,
            self.cluster_state.log_index,
            needs_snapshot,
        )

    # the log

    def append_entries(self, heartbeat: messages.Heartbeat) -> bool:
        """Append a heartbeat's entries, replacing those that conflict; return False if they do not follow on
        this log and a snapshot is needed."""
        applied = self.cluster_state.log_index
        terms = {applied: self.cluster_state.term}
        terms.update({entry.index: entry.term for entry in self.uncommitted_entries})
        entries = heartbeat.entries
        if heartbeat.previous_index < applied:
            entries = [entry for entry in entries if entry.index > applied]
            if not entries or not log.are_contiguous(entries, applied):
                return bool(heartbeat.entries and heartbeat.entries[-1].index <= applied)
        elif terms.get(heartbeat.previous_index) != heartbeat.previous_term:
            return False
        elif not log.are_contiguous(entries, heartbeat.previous_index):
            return False
        known_count = 0
        while (
            known_count < len(entries) and terms.get(entries[known_count].index) == entries[known_count].term
        ):
            known_count += 1
        entries = entries[known_count:]
        if not entries:
            return True
        self.uncommitted_entries = [
            entry for entry in self.uncommitted_entries if entry.index < entries[0].index
        ] + entries
        self.write([log.EntryRecord(entry) for entry in entries])
        return True

    def apply_committed(self, commit: int, commit_term: identifiers.Term) -> None:
        """Apply the entries up to the index `commit` if the entry there is of `commit_term`; LogGapError if
        an entry before it is missing."""
        if commit <= self.cluster_state.log_index:
            return
        if not any(entry.index == commit and entry.term == commit_term for entry in self.uncommitted_entries):
            return
        # M6: no entry is applied after a gap.
        if not log.are_contiguous(self.uncommitted_entries, self.cluster_state.log_index):
            raise errors.LogGapError(self.cluster_state.log_index)
        applied = []
        while self.uncommitted_entries and self.uncommitted_entries[0].index <= commit:
            entry = self.uncommitted_entries.pop(0)
            self.cluster_state = state_machine.apply(self.cluster_state, entry)
            applied.append(entry)
        self.state_applied()
        if self.leading or self.policy.followers_retain_entries:
            for entry in applied:
                self.retain(entry)

    def retain(self, entry: log.LogEntry) -> None:
        """Retain a committed entry for members that lack it; only the newest entries without a gap are
        retained."""
        if self.retained_entries and entry.index - 1 not in self.retained_entries:
            self.clear_retained_entries()
        self.retained_entries[entry.index] = entry
        self.retained_bytes += sizes.entry_size(entry)
        while self.retains_too_much():
            oldest = self.retained_entries.pop(next(iter(self.retained_entries)))
            self.retained_bytes -= sizes.entry_size(oldest)
        for call in self.listeners.entry_retained:
            call(entry)

    def retains_too_much(self) -> bool:
        """Whether the retained entries exceed the policy's count or bytes; a single entry is always
        allowed."""
        if len(self.retained_entries) > self.policy.retained_entries_max:
            return True
        limit = self.policy.retained_bytes_max
        return limit is not None and self.retained_bytes > limit and len(self.retained_entries) > 1

    def drop_retained_before_snapshot(self, previous_index: int) -> None:
        """Discard the retained entries if a snapshot advanced the committed index from `previous_index` past
        them."""
        applied = self.cluster_state.log_index
        if applied > previous_index and applied not in self.retained_entries:
            self.clear_retained_entries()

    def clear_retained_entries(self) -> None:
        """Discard all retained entries."""
        self.retained_entries: dict[int, log.LogEntry] = {}
        self.retained_bytes = 0
