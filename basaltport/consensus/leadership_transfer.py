"""Leadership transfer: a leader that stops, or whose disk fails, hands over to the member with the most
synced entries."""

import typing

import basaltport.consensus.listeners as listeners
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.timing as timing
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.messages as messages

NOTHING_SYNCED = -1
"""Log index that stands for a member that has not acknowledged any entry."""


class LeadershipTransferNeeds(typing.Protocol):
    """What `LeadershipTransferMixin` needs of its node."""

    me: member.Me
    now: identifiers.Millis
    appended_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    listeners: listeners.Listeners
    current_term: identifiers.Term
    leading: bool
    match_index: dict[str, int]
    acked_at_ms: dict[str, int]
    leaving_since_ms: dict[str, int]

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Return the term and index of the last log entry, committed or not."""

    def compute_appended_state(self) -> state_machine.ClusterState:
        """Return the state with the uncommitted entries applied."""

    def address_of(self, member_id: str) -> str | None:
        """Return the latest known address of a member, None if unknown."""

    def member_addresses(self) -> list[str]:
        """Return the addresses of all members."""

    def step_down(self, why: str) -> None:
        """Stop leading; `why` is logged."""


if typing.TYPE_CHECKING:
    Needs = LeadershipTransferNeeds
else:
    Needs = object


class LeadershipTransferMixin(Needs):
    """Chooses a successor, names it to the voters, and steps down."""

    def transfer_start(self) -> None:
        """Resign whenever the disk fails."""
        self.listeners.disk_failed.append(self.resign_for_disk)

    def live_voters(self) -> set[str]:
        """Return the ids of the voters that acknowledged within `timing.RESPONSIVE_WITHIN`, including this
        member."""
        since = self.now - timing.RESPONSIVE_WITHIN
        voters = quorum.voters(self.appended_state)
        return {
            member_id
            for member_id in voters
            if member_id == self.me.seat or self.acked_at_ms.get(member_id, since) > since
        }

    def choose_successor(self) -> str | None:
        """Return the live voter with the most synced entries, None if the live voters are no majority without
        this member. A leaving member is chosen only if there is no other."""
        if not self.policy.joint_consensus:
            return self.equal_disk_member()
        others = self.live_voters() - {self.me.seat}
        if not quorum.has_majority(self.appended_state, others):
            return None
        staying = self.appended_state.members.keys() - self.leaving_since_ms.keys()
        candidates = sorted(others & staying) or sorted(others)
        return max(candidates, key=lambda member_id: self.match_index.get(member_id, NOTHING_SYNCED))

    def equal_disk_member(self) -> str | None:
        """Return the first disk member, by id, that has synced this leader's whole log."""
        last_index = self.head()[1]
        equal = [
            member_id
            for member_id in self.appended_state.disk_members
            if member_id != self.me.seat and self.match_index.get(member_id) == last_index
        ]
        return min(equal, default=None)

    def hand_over(self, why: str) -> None:
        """Name the successor, if there is one, to the other voters, and step down. `why` is logged."""
        successor = self.choose_successor()
        if successor:
            message = messages.LeadershipTransfer(self.current_term, identifiers.MemberId(successor))
            for address in self.voter_addresses() if self.policy.joint_consensus else self.member_addresses():
                self.send(address, message)
        self.step_down(why)

    def resign_if_possible(self, why: str) -> bool:
        """Step down and return True; with joint consensus only if there is a successor."""
        if not self.policy.joint_consensus:
            self.step_down(why)
            return True
        if not self.choose_successor():
            return False
        self.hand_over(why)
        return True

    def resign_for_disk(self) -> None:
        """Step down because the disk failed, since this member's own records may be lost."""
        if not self.leading:
            return
        if self.policy.joint_consensus:
            self.hand_over("the disk failed")
            return
        self.step_down("the disk failed")

    def voter_addresses(self) -> list[str]:
        """Return the sorted addresses of all other voters."""
        voters = quorum.voters(self.compute_appended_state())
        addresses = {self.address_of(member_id) or record.address for member_id, record in voters.items()}
        return sorted(addresses - {self.me.addr})
