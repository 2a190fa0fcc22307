"""Members of the older path: whoever says hello is a member at once; the disk members among them are kept
apart."""

import collections.abc
import typing

import basaltport.consensus.codec as codec
import basaltport.consensus.discovery as discovery
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member

SILENT_MS = 6000
"""A member that was not heard for so long is removed."""
DROP = 1600
"""Milliseconds after which a disk member that did not acknowledge counts for agreement no more, where it can
be spared."""
STUCK = 2000
"""Milliseconds after which an uncommitted change of the disk members is followed by another."""
HEARD_MS = 2500
"""A member that said hello within this time is taken in."""
NEVER_MS = -(10**9)
CHANGES = ("roster", "found", "lead")
"""Operations that change the members: none is begun while one is uncommitted."""

Row = dict[str, typing.Any]
"""A member as it said hello; see `codec.decode_member`."""


class OpenMembershipNeeds(typing.Protocol):
    """What `OpenMembershipMixin` needs of the node it is part of."""

    me: member.Me
    now: identifiers.Millis
    appended_state: state_machine.ClusterState
    acked_at_ms: dict[str, int]
    needs: set[str]
    left: set[str]

    def settled(self) -> bool:
        """Whether an entry of this leader's term is committed."""

    def pending(self, *ops: str) -> bool:
        """Whether an operation of one of these kinds is uncommitted."""

    def heard_within(self, ms: int) -> list[Row]:
        """Rows of the members heard of so lately."""

    def quiet(self, member_id: str) -> int:
        """Milliseconds since a member was last heard."""

    def append(self, op: Row) -> identifiers.LogIndex:
        """Append an entry to the log."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:
    Needs = OpenMembershipNeeds
else:
    Needs = object


class OpenMembershipMixin(Needs):
    """The leader keeps the list of members as it hears of them, a change at a time."""

    def open_membership_start(self) -> None:
        """Begin to lead: the disk members count as changed just now."""
        self.disk_members_changed_at_ms: int = self.now

    def take_all_members(self) -> None:
        """Make the next change that is due, unless one is under way: new members, then the disk members, then
        less by a lost one."""
        if not self.settled() or self.pending(*CHANGES):
            return
        state = self.appended_state
        if self.pending("ledgers"):
            if self.now - self.disk_members_changed_at_ms > STUCK:
                self.keep_ledgers(state)
            return
        if self.take_new(state.members) or self.keep_ledgers(state):
            return
        self.drop_lost(state)

    def take_new(self, members: collections.abc.Mapping[str, log.MemberRecord]) -> bool:
        """Take in members that said hello lately, one by one, or in the place of those of their names;
        whether there were any."""
        ids_by_name = {record.name: member_id for member_id, record in members.items()}
        heard = [*self.heard_within(HEARD_MS), self.me.row()]
        new = [
            row
            for row in heard
            if row["seat"] not in self.left and members.get(row["seat"]) != codec.decode_member(row)
        ]
        replacements: list[list[typing.Any]] = [
            [ids_by_name[row["name"]], row] for row in new if row["name"] in ids_by_name
        ]
        added = [row for row in new if row["name"] not in ids_by_name]
        if not replacements and not added:
            return False
        for row in [row for _, row in replacements] + added[:1]:
            self.acked_at_ms[row["seat"]] = self.now
            self.needs.add(row["seat"])
            self.note(log_events.Event.SEAT_ADDED, member=row["name"], seat=row["seat"])
        self.append({"op": "roster", "swap": replacements, "add": added[0] if added else None})
        return True

    def heard_of(self, member_id: str) -> bool:
        """A disk member counts as live only once it spoke to this leader."""
        return member_id == self.me.seat or self.now - self.acked_at_ms.get(member_id, NEVER_MS) < DROP

    def keep_ledgers(self, state: state_machine.ClusterState) -> bool:
        """Add live members with disks to the disk members, and leave out lost ones where enough live or too
        few are left to agree; whether anything changed."""
        present = set(state.disk_members)
        live = {
            member_id
            for member_id, record in state.members.items()
            if record.role == discovery.DISK_ROLE and self.heard_of(member_id)
        }
        wanted = present | live
        lost = present - live
        if lost and (len(live) >= self.me.ledgers or 2 * len(present & live) <= len(present)):
            wanted = live
        if wanted == present:
            return False
        self.disk_members_changed_at_ms = self.now
        self.append({"op": "ledgers", "ledgers": sorted(wanted)})
        return True

    def drop_lost(self, state: state_machine.ClusterState) -> bool:
        """Remove one member that stopped or was not heard for SILENT_MS; whether there was one."""
        lost = [
            member_id
            for member_id in state.members
            if member_id in self.left or self.quiet(member_id) > SILENT_MS
        ]
        if not lost:
            return False
        first = min(lost)
        self.note(log_events.Event.SEAT_DROPPED, member=state.members[first].name, seat=first)
        self.append({"op": "roster", "drops": [first]})
        return True
