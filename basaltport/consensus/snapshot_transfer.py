"""Whole copies of the agreed state and the entries behind it, for members that lack too much."""

import basaltport.consensus.book as book
import basaltport.consensus.state_machine as state_machine
import basaltport.messages as messages


class SnapshotTransferMixin:
    """Gives and takes copies; what is in force never goes back by one."""

    def copy(self) -> state_machine.ReplicatedState:
        return state_machine.ReplicatedState(self.book, tuple(self.tail))

    def hear_snapshot_request(self, src, m):
        if m.gen != self.current_term:
            return
        addr = self.address_of(m.seat)
        if addr:
            self.send(addr, messages.Snapshot(m.gen, self.me.seat, self.copy()))

    def install(self, copy):
        """Takes a copy over; what is in force here stays so: of a copy whose book is older only the entries
        behind what is in force are taken, and of one that does not reach it nothing."""
        was = self.book.log_index
        # M6: what is in force never goes back.
        if copy.cluster_state.log_index >= was:
            self.book, self.tail = copy.cluster_state, list(copy.uncommitted)
            self.write([], whole=self.copy())
            self.state_applied()
            self.retained_behind(was)
            return
        at = book.serial(self.book)
        if not any(e["s"] == at and book.gen_of(e) == book.gen(self.book) for e in copy.uncommitted):
            return
        self.tail = [e for e in copy.uncommitted if e["s"] > at]
        self.write([], whole=self.copy())
