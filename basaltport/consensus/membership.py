"""Membership changes where only disk members vote: new members join as learners and are added by joint
consensus, one change at a time."""

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
"""Kinds of operations that change the members; no change starts while one of them is uncommitted."""
NEVER_MS = -(10**9)
NOTHING_SYNCED = -1
"""Log index that stands for a member that has not acknowledged any entry."""

Row = dict[str, typing.Any]
"""A member's Hello row; see `codec.decode_member`."""
Members = collections.abc.Mapping[str, log.MemberRecord]
"""Member records by member id."""


class MembershipNeeds(typing.Protocol):
    """What `MembershipMixin` needs of its node."""

    me: member.Me
    now: identifiers.Millis
    policy: voting_policy.VotingPolicy
    cluster_state: state_machine.ClusterState
    appended_state: state_machine.ClusterState
    match_index: dict[str, int]
    last_sent: dict[str, tuple[int, int]]
    needs_snapshot: set[str]
    acked_at_ms: dict[str, int]
    leaving_since_ms: dict[str, int]
    leading_since_ms: int
    resumed_at_ms: int

    def heard_within(self, ms: int) -> list[Row]:
        """Return the rows of the members heard of in the last `ms` milliseconds."""

    def holds_lease(self) -> bool:
        """Whether the leader lease holds now."""

    def has_uncommitted(self, *ops: str) -> bool:
        """Whether an operation of one of these kinds is not yet committed."""

    def append(self, op: Row) -> identifiers.LogIndex:
        """Append an operation to the log and return the index of its entry."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event by its number."""

    def change_open_membership(self) -> None:
        """Propose the next change of an open membership."""


if typing.TYPE_CHECKING:
    Needs = MembershipNeeds
else:
    Needs = object


class MembershipMixin(Needs):
    """The leader's learners and membership changes. `learners`: by member id, the rows of members that
    receive the log but do not vote; `learning_since`: when each became a learner, in milliseconds of this
    member's clock."""

    def clear_learners(self) -> None:
        """Remove all learners."""
        self.learners: dict[str, Row] = {}
        self.learning_since: dict[str, int] = {}

    def update_learners(self) -> None:
        """Make learners of the members that said hello recently and are not voters."""
        if not self.policy.joint_consensus:
            return
        voters = quorum.voters(self.appended_state)
        heard = self.heard_within(timing.LEARNER_HELLO_WINDOW)
        rows = {row["seat"]: row for row in heard if row["role"] == discovery.DISK_ROLE}
        self.learners = {
            member_id: row
            for member_id, row in rows.items()
            if member_id not in voters and member_id not in self.leaving_since_ms
        }
        self.learning_since = {
            member_id: self.learning_since.get(member_id, self.now) for member_id in self.learners
        }
        self.needs_snapshot.update(
            member_id
            for member_id in self.learners
            if member_id not in self.match_index and member_id not in self.last_sent
        )

    def maintain_membership(self) -> None:
        """Propose the next membership change that is due; called at each tick of a leader."""
        if self.policy.joint_consensus:
            self.change_one_member()
            return
        self.change_open_membership()

    def change_one_member(self) -> None:
        """Propose one change, in this order: complete a joint change, update the record of a known member,
        add a learner that has caught up, remove lost members.

        Until a change is committed both the former and the next members decide. Majorities of two sets that
        differ by one member intersect, but half of one set, which elects with proof of lost disks
        (`proven_replacements`), may miss a majority of the other.
        """
        # M8: one change at a time, each committed before the next; M4: only by a leader that holds its lease.
        if not self.holds_lease() or self.has_uncommitted(*CHANGES):
            return
        if self.appended_state.former_members is not None:
            self.append({"op": "final"})
            return
        members = self.appended_state.members
        for row in [*self.heard_within(timing.LEARNER_HELLO_WINDOW), self.me.row()]:
            known = members.get(row["seat"])
            if known is not None and known != codec.decode_member(row):
                self.append({"op": "roster", "add": row})
                return
        if not self.add_member(members):
            self.remove_lost_members(members)

    def silence_ms(self, member_id: str) -> int:
        """Return for how many milliseconds a member has not been heard, without the time in which this leader
        was not elected or paused."""
        if member_id == self.me.seat:
            return 0
        return self.now - max(self.acked_at_ms.get(member_id, self.leading_since_ms), self.resumed_at_ms)

    def is_caught_up(self, member_id: str) -> bool:
        """Whether a learner has synced all committed entries and is responsive."""
        caught_up = self.match_index.get(member_id, NOTHING_SYNCED) >= self.cluster_state.log_index
        return caught_up and self.now - self.acked_at_ms.get(member_id, NEVER_MS) < timing.RESPONSIVE_WITHIN

    def add_member(self, members: Members) -> bool:
        """Add the first learner that has caught up, in place of its former self or of a lost member, or as an
        additional member if all are alive; return whether one was added. While a member may be lost, no
        additional member is added."""
        # M8: a learner has all committed entries before it votes.
        learner = min(
            (member_id for member_id in self.learners if self.is_caught_up(member_id)), default=None
        )
        if learner is None:
            return False
        row = self.learners[learner]
        former = self.replaced_by(row, members)
        if former is None and not self.may_join_without_replacing(learner, members):
            return False
        self.note(log_events.Event.SEAT_ADDED, member=row["name"], seat=learner)
        self.append({"op": "joint", "drops": [former] if former else [], "adds": [row]})
        return True

    def may_join_without_replacing(self, learner: str, members: Members) -> bool:
        """Whether a learner may be added without replacing a member: all members must be responsive. Adding
        to an odd number of members increases the majority, so the learner must then have been known for as
        long as a loss may stay undetected, or the loss of both could not be tolerated."""
        if any(self.silence_ms(member_id) > timing.RESPONSIVE_WITHIN for member_id in members):
            return False
        return len(members) % 2 == 0 or self.now - self.learning_since[learner] >= timing.MEMBER_TIMEOUT

    def replaced_by(self, row: Row, members: Members) -> str | None:
        """Return the id of the member that a learner replaces, None for none: the one at the learner's
        address, whose process has ended, else a lost member, preferably of the same name."""
        for member_id in sorted(members):
            if members[member_id].address == row["addr"]:
                return member_id
        lost = [member_id for member_id in members if self.is_lost_member(member_id)]
        return min(
            lost,
            key=lambda member_id: (members[member_id].name != row["name"], self.removal_order(member_id)),
            default=None,
        )

    def is_lost_member(self, member_id: str) -> bool:
        """Whether a member announced recently that it leaves, or has been silent for MEMBER_TIMEOUT."""
        if member_id == self.me.seat:
            return False
        leaves = (
            member_id in self.leaving_since_ms
            and self.now - self.leaving_since_ms[member_id] < timing.LEAVING_TIMEOUT
        )
        return leaves or self.silence_ms(member_id) > timing.MEMBER_TIMEOUT

    def removal_order(self, member_id: str) -> tuple[int, str]:
        """Return the sort key for removals: the member heard longest ago comes first, because one that is
        leaving still votes, which may be needed to commit the removal."""
        return self.acked_at_ms.get(member_id, self.leading_since_ms), member_id

    def remove_lost_members(self, members: Members) -> bool:
        """Remove lost members if more losses are tolerated without them, all in one joint change, since
        single removals would need larger majorities of the remaining members on the way; return whether any
        was removed."""
        lost = sorted(
            (member_id for member_id in members if self.is_lost_member(member_id)), key=self.removal_order
        )
        removed = lost[: leaving.voters_to_remove(len(members), len(members) - len(lost))]
        if not removed:
            return False
        for member_id in removed:
            self.note(log_events.Event.SEAT_DROPPED, member=members[member_id].name, seat=member_id)
        self.append({"op": "joint", "drops": removed, "adds": []})
        return True
