"""Planned shutdown: a leaving member announces it, and keeps voting until the others have removed it."""

import typing

import basaltport.consensus.listeners as listeners
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

MIN_VOTERS = 3
"""The removal of lost members leaves at least this many voters."""


def tolerated_losses(voters: int, live: int) -> int:
    """Return how many live voters may be lost while a majority of all voters remains; negative if there is
    none."""
    return live - voters // 2 - 1


def voters_to_remove(voters: int, live: int) -> int:
    """Return how many of the lost voters to remove so that the most further losses are tolerated, the fewest
    that achieve that, keeping at least MIN_VOTERS."""
    removable = min(voters - live, voters - MIN_VOTERS)
    return max(
        range(max(removable, 0) + 1), key=lambda removed: (tolerated_losses(voters - removed, live), -removed)
    )


def is_removal_useful(voters: int, live: int) -> bool:
    """Whether removing lost voters increases the number of tolerated losses."""
    return voters_to_remove(voters, live) > 0


class LeavingNeeds(typing.Protocol):
    """What `LeavingMixin` needs of its node."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    listeners: listeners.Listeners
    learners: dict[str, dict[str, typing.Any]]
    leading: bool
    stopped: bool

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def voter_addresses(self) -> list[str]:
        """Return the addresses of all other voters."""

    def hand_over(self, why: str) -> None:
        """Transfer leadership to a successor and step down."""

    def end_follower_lease(self, member_id: str) -> None:
        """Discard the lease of a follower that stops."""


if typing.TYPE_CHECKING:
    Needs = LeavingNeeds
else:
    Needs = object


class LeavingMixin(Needs):
    """Members that leave. `leaving_since_ms`: when each last announced that, in milliseconds of this member's
    clock."""

    def leaving_start(self) -> None:
        """Start with no leaving members, and repeat this member's own announcement to each new leader."""
        self.leaving_since_ms: dict[str, int] = {}
        self.leaving_announced_at_ms: int | None = None
        if self.policy.joint_consensus:
            self.listeners.heartbeat_heard.append(self.announce_leaving_to_leader)

    def on_stop(self, event: events.Stop) -> None:
        """Hand over if leading, and announce that this member leaves; it votes until it is removed, see
        `may_exit`."""
        for call in self.listeners.stopping:
            call()
        self.stopped = True
        self.stopped_at = self.now
        if self.policy.joint_consensus:
            self.announce_leaving(self.voter_addresses())
        if self.leading:
            self.hand_over("the process stops")

    def announce_leaving(self, addresses: list[str]) -> None:
        """Tell the members at these addresses that this one leaves, and record when."""
        self.leaving_announced_at_ms = self.now
        for address in addresses:
            self.send(address, messages.MemberLeaving(self.me.seat))

    def announce_leaving_to_leader(self, heartbeat: messages.Heartbeat) -> None:
        """Repeat the announcement to the leader, which may have been elected since the first one."""
        announced_at_ms = self.leaving_announced_at_ms
        if (
            self.stopped
            and announced_at_ms is not None
            and self.now - announced_at_ms >= timing.LEAVING_NOTICE_INTERVAL
        ):
            self.announce_leaving([heartbeat.addr])

    def hear_member_leaving(self, src: str, message: messages.MemberLeaving) -> None:
        """Record that a member leaves, so that a leader replaces or removes it; as a learner it is dropped at
        once."""
        if not self.policy.joint_consensus:
            self.end_follower_lease(message.member_id)
            return
        self.leaving_since_ms[message.member_id] = self.now
        self.learners.pop(message.member_id, None)

    def clear_leaving_if_returned(self, member_id: str) -> None:
        """Forget that a member was leaving if it is heard long after its announcement; messages sent before
        the announcement may arrive shortly after it."""
        if self.now - self.leaving_since_ms.get(member_id, self.now) > timing.RETURN_AFTER_LEAVING:
            del self.leaving_since_ms[member_id]

    def may_exit(self) -> bool:
        """Whether the process may exit after `Stop`: this member no longer votes, the others will not remove
        it, or it has waited for LEAVING_TIMEOUT. Until then a further loss may require its vote (M8)."""
        if not self.stopped or self.now - self.stopped_at >= timing.LEAVING_TIMEOUT:
            return True
        voters = quorum.voters(self.cluster_state)
        if self.me.seat not in voters:
            return True
        return self.cluster_state.former_members is None and not is_removal_useful(
            len(voters), len(voters) - 1
        )
