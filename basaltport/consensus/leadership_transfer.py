"""A leader that ends, or whose disk fails, hands over to the member that has the most of its log."""

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
"""Stands for the last log index of a member that has not acknowledged any entry."""


class LeadershipTransferNeeds(typing.Protocol):
    """What `LeadershipTransferMixin` needs of the node it is part of."""

    me: member.Me
    now: identifiers.Millis
    appended_state: state_machine.ClusterState
    policy: voting_policy.VotingPolicy
    listeners: listeners.Listeners
    current_term: identifiers.Term
    leading: bool
    match: dict[str, int]
    acked_at_ms: dict[str, int]
    gone: dict[str, int]

    def send(self, addr: str, msg: object) -> None:
        """Send a message to an address."""

    def head(self) -> tuple[identifiers.Term, identifiers.LogIndex]:
        """Term and index of the last entry held."""

    def compute_appended_state(self) -> state_machine.ClusterState:
        """The state with all entries held, committed or not."""

    def address_of(self, seat: str) -> str | None:
        """Where a member was last heard of."""

    def addrs(self) -> list[str]:
        """Addresses of all members."""

    def step_down(self, why: str) -> None:
        """Lead no more."""


if typing.TYPE_CHECKING:
    Needs = LeadershipTransferNeeds
else:
    Needs = object


class LeadershipTransferMixin(Needs):
    """Chooses a successor, names it to the voters and steps down."""

    def transfer_start(self) -> None:
        """Resign whenever the disk fails."""
        self.listeners.disk_failed.append(self.resign_for_disk)

    def live(self) -> set[str]:
        """Ids of the voters that answered within `timing.RESPONSIVE` milliseconds, this one included."""
        since = self.now - timing.RESPONSIVE
        voters = quorum.voters(self.appended_state)
        return {
            member_id
            for member_id in voters
            if member_id == self.me.seat or self.acked_at_ms.get(member_id, since) > since
        }

    def successor(self) -> str | None:
        """The id of the member that holds the most, where the others are a majority without this one; a
        member that leaves only where there is no other."""
        if not self.policy.joint_consensus:
            return self.equal_disk_member()
        others = self.live() - {self.me.seat}
        if not quorum.has_majority(self.appended_state, others):
            return None
        staying = self.appended_state.members.keys() - self.gone.keys()
        candidates = sorted(others & staying) or sorted(others)
        return max(candidates, key=lambda member_id: self.match.get(member_id, NOTHING_SYNCED))

    def equal_disk_member(self) -> str | None:
        """Of the disk members that hold all that this leader has, the first by id."""
        last_index = self.head()[1]
        equal = [
            member_id
            for member_id in self.appended_state.disk_members
            if member_id != self.me.seat and self.match.get(member_id) == last_index
        ]
        return min(equal, default=None)

    def hand_over(self, why: str) -> None:
        """Name the successor, if there is one, to the other voters, and step down. `why`: for the log."""
        successor = self.successor()
        if successor:
            message = messages.LeadershipTransfer(self.current_term, identifiers.MemberId(successor))
            for address in self.voter_addresses() if self.policy.joint_consensus else self.addrs():
                self.send(address, message)
        self.step_down(why)

    def resign_by_choice(self, why: str) -> bool:
        """Whether it did: with joint consensus only where a successor is at hand."""
        if not self.policy.joint_consensus:
            self.step_down(why)
            return True
        if not self.successor():
            return False
        self.hand_over(why)
        return True

    def resign_for_disk(self) -> None:
        """Stop leading, since this member's own records may be lost."""
        if not self.leading:
            return
        if self.policy.joint_consensus:
            self.hand_over("the disk failed")
            return
        self.step_down("the disk failed")

    def voter_addresses(self) -> list[str]:
        """Addresses of all other voters."""
        voters = quorum.voters(self.compute_appended_state())
        addresses = {self.address_of(member_id) or record.address for member_id, record in voters.items()}
        return sorted(addresses - {self.me.addr})
