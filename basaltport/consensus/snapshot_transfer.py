"""Snapshots of the committed state and the uncommitted entries, for members that lack too much of the log."""

import collections.abc
import typing

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages


class SnapshotTransferNeeds(typing.Protocol):
    """What `SnapshotTransferMixin` needs of its node."""

    me: member.Me
    cluster_state: state_machine.ClusterState
    uncommitted_entries: list[log.LogEntry]
    current_term: identifiers.Term

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def address_of(self, member_id: str) -> str | None:
        """Return the latest known address of a member, None if unknown."""

    def write(
        self,
        records: list[log.DiskRecord],
        whole: state_machine.ReplicatedState | None = None,
        then: collections.abc.Iterable[object] = (),
    ) -> None:
        """Write records, or a snapshot (`whole`), and release the effects in `then` once they are synced."""

    def state_applied(self) -> None:
        """Tell the listeners that the committed state advanced."""

    def drop_retained_before_snapshot(self, previous_index: int) -> None:
        """Discard the retained entries if a snapshot leaves a gap after them."""


if typing.TYPE_CHECKING:
    Needs = SnapshotTransferNeeds
else:
    Needs = object


class SnapshotTransferMixin(Needs):
    """Sends and installs snapshots; installing one never moves the committed state back."""

    def make_snapshot(self) -> state_machine.ReplicatedState:
        """Return the committed state and the uncommitted entries."""
        return state_machine.ReplicatedState(self.cluster_state, tuple(self.uncommitted_entries))

    def hear_snapshot_request(self, src: str, message: messages.SnapshotRequest) -> None:
        """Send a snapshot to a candidate of the current term."""
        if message.term != self.current_term:
            return
        address = self.address_of(message.member_id)
        if address:
            self.send(address, messages.Snapshot(message.term, self.me.seat, self.make_snapshot()))

    def install_snapshot(self, snapshot: state_machine.ReplicatedState) -> None:
        """Replace state and entries by a snapshot. Of a snapshot with an older state only the entries after
        this member's committed index are used, and only if it contains the entry at that index."""
        index_before = self.cluster_state.log_index
        # M6: the committed state never moves back.
        if snapshot.cluster_state.log_index >= index_before:
            self.cluster_state: state_machine.ClusterState = snapshot.cluster_state
            self.uncommitted_entries = list(snapshot.uncommitted)
            self.write([], whole=self.make_snapshot())
            self.state_applied()
            self.drop_retained_before_snapshot(index_before)
            return
        committed = (index_before, self.cluster_state.term)
        if not any((entry.index, entry.term) == committed for entry in snapshot.uncommitted):
            return
        self.uncommitted_entries = [entry for entry in snapshot.uncommitted if entry.index > index_before]
        self.write([], whole=self.make_snapshot())
