"""Membership of clusters with open membership (query API): every member that says hello is added at once, and
the list of disk members is maintained separately."""

import collections.abc
import typing

import basaltport.consensus.codec as codec
import basaltport.consensus.discovery as discovery
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member

MEMBER_TIMEOUT_MS = 6000
"""A member that was not heard for this long is removed."""
DISK_MEMBER_TIMEOUT_MS = 1600
"""A disk member that did not acknowledge for this long no longer counts for commits, if enough others do."""
DISK_MEMBERS_CHANGE_TIMEOUT_MS = 2000
"""A change of the disk members that is uncommitted for this long is followed by another one."""
HELLO_WINDOW_MS = 2500
"""A member that said hello within this time is added."""
NEVER_MS = -(10**9)
CHANGES = ("roster", "found", "lead")
"""Kinds of operations that change the members; no change starts while one of them is uncommitted."""

Row = dict[str, typing.Any]
"""A member's Hello row; see `codec.decode_member`."""


class OpenMembershipNeeds(typing.Protocol):
    """What `OpenMembershipMixin` needs of its node."""

    me: member.Me
    now: identifiers.Millis
    appended_state: state_machine.ClusterState
    acked_at_ms: dict[str, int]
    needs_snapshot: set[str]
    stopped_followers: set[str]

    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""

    def has_uncommitted(self, *ops: str) -> bool:
        """Whether an operation of one of these kinds is not yet committed."""

    def heard_within(self, ms: int) -> list[Row]:
        """Return the rows of the members heard of in the last `ms` milliseconds."""

    def silence_ms(self, member_id: str) -> int:
        """Return for how many milliseconds a member has not been heard."""

    def append(self, op: Row) -> identifiers.LogIndex:
        """Append an operation to the log and return the index of its entry."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""


if typing.TYPE_CHECKING:
    Needs = OpenMembershipNeeds
else:
    Needs = object


class OpenMembershipMixin(Needs):
    """The leader's maintenance of an open list of members, one change at a time."""

    def open_membership_start(self) -> None:
        """Start a term as if the disk members had just changed."""
        self.disk_members_changed_at_ms: int = self.now

    def change_open_membership(self) -> None:
        """Propose the next change that is due unless one is uncommitted: new members, then the disk members,
        then the removal of a lost member."""
        if not self.has_committed_in_term() or self.has_uncommitted(*CHANGES):
            return
        state = self.appended_state
        if self.has_uncommitted("ledgers"):
            if self.now - self.disk_members_changed_at_ms > DISK_MEMBERS_CHANGE_TIMEOUT_MS:
                self.update_disk_members(state)
            return
        if self.add_new_members(state.members) or self.update_disk_members(state):
            return
        self.remove_lost_member(state)

    def add_new_members(self, members: collections.abc.Mapping[str, log.MemberRecord]) -> bool:
        """Add the first new member that said hello recently, and replace members by new ones of the same
        names; return whether there were any."""
        ids_by_name = {record.name: member_id for member_id, record in members.items()}
        rows = [*self.heard_within(HELLO_WINDOW_MS), self.me.row()]
        new_rows = [
            row
            for row in rows
            if row["seat"] not in self.stopped_followers
            and members.get(row["seat"]) != codec.decode_member(row)
        ]
        replacements: list[list[typing.Any]] = [
            [ids_by_name[row["name"]], row] for row in new_rows if row["name"] in ids_by_name
        ]
        added = [row for row in new_rows if row["name"] not in ids_by_name]
        if not replacements and not added:
            return False
        for row in [row for _, row in replacements] + added[:1]:
            self.acked_at_ms[row["seat"]] = self.now
            self.needs_snapshot.add(row["seat"])
            self.note(log_events.Event.SEAT_ADDED, member=row["name"], seat=row["seat"])
        self.append({"op": "roster", "swap": replacements, "add": added[0] if added else None})
        return True

    def is_live_disk_member(self, member_id: str) -> bool:
        """Whether a disk member acknowledged to this leader recently; before its first acknowledgement it
        does not count as live."""
        return (
            member_id == self.me.seat
            or self.now - self.acked_at_ms.get(member_id, NEVER_MS) < DISK_MEMBER_TIMEOUT_MS
        )

    def update_disk_members(self, state: state_machine.ClusterState) -> bool:
        """Add live members with disks to the disk members, and remove lost ones if enough are live or too few
        remain for a majority; return whether anything changed."""
        current_members = set(state.disk_members)
        live = {
            member_id
            for member_id, record in state.members.items()
            if record.role == discovery.DISK_ROLE and self.is_live_disk_member(member_id)
        }
        next_members = current_members | live
        lost = current_members - live
        if lost and (len(live) >= self.me.ledgers or 2 * len(current_members & live) <= len(current_members)):
            next_members = live
        if next_members == current_members:
            return False
        self.disk_members_changed_at_ms = self.now
        self.append({"op": "ledgers", "ledgers": sorted(next_members)})
        return True

    def remove_lost_member(self, state: state_machine.ClusterState) -> bool:
        """Remove one member that stopped or was silent for MEMBER_TIMEOUT_MS; return whether there was
        one."""
        lost = [
            member_id
            for member_id in state.members
            if member_id in self.stopped_followers or self.silence_ms(member_id) > MEMBER_TIMEOUT_MS
        ]
        if not lost:
            return False
        first = min(lost)
        self.note(log_events.Event.SEAT_DROPPED, member=state.members[first].name, seat=first)
        self.append({"op": "roster", "drops": [first]})
        return True
