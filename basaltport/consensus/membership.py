"""Who votes: new members learn first, and one change is agreed before the next; replacement is by joint
consensus."""

import collections.abc
import typing

import basaltport.consensus.codec as codec
import basaltport.consensus.discovery as discovery
import basaltport.consensus.leaving as leaving
import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member

CHANGES = ("roster", "joint", "final", "found", "lead")
"""Operations that change the members: none is begun while one is uncommitted."""
NEVER_MS = -(10**9)
NOTHING_SYNCED = -1
"""Stands for the last log index of a member that has not acknowledged any entry."""

Row = dict[str, typing.Any]
"""A member as it said hello; see `codec.decode_member`."""
Members = collections.abc.Mapping[str, log.MemberRecord]
"""Members by id."""


class MembershipNeeds(typing.Protocol):
    """What `MembershipMixin` needs of the node it is part of."""

    me: member.Me
    now: identifiers.Millis
    policy: voting_policy.VotingPolicy
    cluster_state: state_machine.ClusterState
    appended_state: state_machine.ClusterState
    match: dict[str, int]
    sent: dict[str, tuple[int, int]]
    needs: set[str]
    acked_at_ms: dict[str, int]
    gone: dict[str, int]
    since: int
    resumed_at_ms: int

    def heard_within(self, ms: int) -> list[Row]:
        """Rows of the members heard of so lately."""

    def holds(self) -> bool:
        """Whether this leader's lease is confirmed."""

    def pending(self, *ops: str) -> bool:
        """Whether an operation of one of these kinds is uncommitted."""

    def append(self, op: Row) -> identifiers.LogIndex:
        """Append an entry to the log."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""

    def take_all_members(self) -> None:
        """Change the members without joint consensus."""


if typing.TYPE_CHECKING:
    Needs = MembershipNeeds
else:
    Needs = object


class MembershipMixin(Needs):
    """`learners`: rows by member id of those that are fed but do not vote; `learning_since`: when each came,
    in milliseconds of this member's clock."""

    def clear_learners(self) -> None:
        """Feed nobody."""
        self.learners: dict[str, Row] = {}
        self.learning_since: dict[str, int] = {}

    def learn(self) -> None:
        """Members that said hello lately and do not vote yet are fed the log."""
        if not self.policy.joint_consensus:
            return
        voters = quorum.voters(self.appended_state)
        heard = self.heard_within(timing.LEARNER)
        rows = {row["seat"]: row for row in heard if row["role"] == discovery.DISK_ROLE}
        self.learners = {
            member_id: row
            for member_id, row in rows.items()
            if member_id not in voters and member_id not in self.gone
        }
        self.learning_since = {
            member_id: self.learning_since.get(member_id, self.now) for member_id in self.learners
        }
        self.needs.update(
            member_id
            for member_id in self.learners
            if member_id not in self.match and member_id not in self.sent
        )

    def maintain_membership(self) -> None:
        """Make the next change of the members that is due; run with each tick of a leader."""
        if self.policy.joint_consensus:
            self.change_one_member()
            return
        self.take_all_members()

    def change_one_member(self) -> None:
        """Ends a joint change; new rows of known members; then one that has caught up; then less by the lost
        ones. Until a change of members is agreed both sets of them decide. Majorities of sets one member
        apart meet, but half of one, which elects with proof of lost disks (`proven_replacements`), may miss a
        majority of the other."""
        # M8: one change at a time, each committed before the next; M4: by a leader that holds its lease.
        if not self.holds() or self.pending(*CHANGES):
            return
        if self.appended_state.former_members is not None:
            self.append({"op": "final"})
            return
        members = self.appended_state.members
        for row in [*self.heard_within(timing.LEARNER), self.me.row()]:
            known = members.get(row["seat"])
            if known is not None and known != codec.decode_member(row):
                self.append({"op": "roster", "add": row})
                return
        if not self.add_member(members):
            self.drop_seats(members)

    def quiet(self, member_id: str) -> int:
        """Milliseconds since a member was last heard, as far as this leader could hear it."""
        if member_id == self.me.seat:
            return 0
        return self.now - max(self.acked_at_ms.get(member_id, self.since), self.resumed_at_ms)

    def ready(self, member_id: str) -> bool:
        """Whether a learner has all that is agreed, synced, and answers."""
        caught_up = self.match.get(member_id, NOTHING_SYNCED) >= self.cluster_state.log_index
        return caught_up and self.now - self.acked_at_ms.get(member_id, NEVER_MS) < timing.RESPONSIVE

    def add_member(self, members: Members) -> bool:
        """A learner that is ready takes the place of its former self or of a member that is lost; where all
        others live it comes beside them. While a member may be lost, it waits for what becomes of it. Whether
        one was added."""
        # M8: it has all that is committed before it votes.
        learner = min((member_id for member_id in self.learners if self.ready(member_id)), default=None)
        if learner is None:
            return False
        row = self.learners[learner]
        former = self.replaced_by(row, members)
        if former is None and not self.may_join_beside(learner, members):
            return False
        self.note(log_events.Event.SEAT_ADDED, member=row["name"], seat=learner)
        self.append({"op": "joint", "drops": [former] if former else [], "adds": [row]})
        return True

    def may_join_beside(self, learner: str, members: Members) -> bool:
        """Whether no member may be lost. Beside an odd number a majority takes one more: there the new one
        has to be known for as long as a lost member may go unnoticed, or both could not be lost."""
        if any(self.quiet(member_id) > timing.RESPONSIVE for member_id in members):
            return False
        return len(members) % 2 == 0 or self.now - self.learning_since[learner] >= timing.SILENT

    def replaced_by(self, row: Row, members: Members) -> str | None:
        """The id of the member whose place a new one takes, or None: the one at its address, whose process is
        no more, else of the lost ones the one of its name first."""
        for member_id in sorted(members):
            if members[member_id].address == row["addr"]:
                return member_id
        lost = [member_id for member_id in members if self.is_lost_member(member_id)]
        return min(
            lost,
            key=lambda member_id: (members[member_id].name != row["name"], self.drop_order(member_id)),
            default=None,
        )

    def is_lost_member(self, member_id: str) -> bool:
        """Whether a member said lately that it leaves, or was not heard for long."""
        if member_id == self.me.seat:
            return False
        leaves = member_id in self.gone and self.now - self.gone[member_id] < timing.LEAVE_WAIT
        return leaves or self.quiet(member_id) > timing.SILENT

    def drop_order(self, member_id: str) -> tuple[int, str]:
        """The one heard of longest ago goes first: one that said that it leaves still votes, which the others
        may need to agree that one less votes."""
        return self.acked_at_ms.get(member_id, self.since), member_id

    def drop_seats(self, members: Members) -> bool:
        """Lost members go where without them more losses are borne, all in one joint change: with one less at
        a time, majorities on the way would need more of those that are left. Whether any went."""
        lost = sorted(
            (member_id for member_id in members if self.is_lost_member(member_id)), key=self.drop_order
        )
        dropped = lost[: leaving.seats_to_drop(len(members), len(members) - len(lost))]
        if not dropped:
            return False
        for member_id in dropped:
            self.note(log_events.Event.SEAT_DROPPED, member=members[member_id].name, seat=member_id)
        self.append({"op": "joint", "drops": dropped, "adds": []})
        return True
