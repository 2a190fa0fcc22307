"""The nodes of the replicated log: a follower, which votes and never leads, and a full member, which may
lead."""

import basaltport.consensus.discovery as discovery
import basaltport.consensus.election as election
import basaltport.consensus.follower as follower
import basaltport.consensus.follower_lease as follower_lease
import basaltport.consensus.founding as founding
import basaltport.consensus.leader_lease as leader_lease
import basaltport.consensus.leadership as leadership
import basaltport.consensus.leadership_transfer as leadership_transfer
import basaltport.consensus.leaving as leaving
import basaltport.consensus.listeners as listeners
import basaltport.consensus.membership as membership
import basaltport.consensus.open_membership as open_membership
import basaltport.consensus.read_index as read_index
import basaltport.consensus.replication as replication
import basaltport.consensus.snapshot_transfer as snapshot_transfer
import basaltport.consensus.state_machine as state_machine
import basaltport.consensus.voter as voter
import basaltport.consensus.voting_policy as voting_policy
import basaltport.identifiers as identifiers
import basaltport.member as member

NO_TERM = identifiers.Term()


class FollowerNode(
    discovery.DiscoveryMixin,
    voter.VoterMixin,
    snapshot_transfer.SnapshotTransferMixin,
    follower.FollowerMixin,
    member.Member,
):
    """A member that votes, stores the log and follows a leader.

    `policy`: the rules of its cluster; `replicated_state`: the log that its disk holds; `current_term`: the
    highest term on its disk; `process_started_at`: when the process started, in milliseconds of `now`.
    """

    leading = False

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        policy: voting_policy.VotingPolicy,
        replicated_state: state_machine.ReplicatedState | None = None,
        current_term: identifiers.Term = NO_TERM,
        process_started_at: identifiers.Millis | None = None,
    ) -> None:
        """Start without a leader, with what the disk holds; `seed` initializes the random number
        generator."""
        member.Member.__init__(self, me, seed, now)
        self.policy = policy
        self.listeners = listeners.Listeners()
        self.process_started_at_ms = now if process_started_at is None else process_started_at
        self.follower_start(replicated_state, current_term)
        self.voter_start(current_term)
        self.discovery_start()


class ConsensusNode(
    election.ElectionMixin,
    founding.FoundingMixin,
    leadership.LeadershipMixin,
    leader_lease.LeaderLeaseMixin,
    read_index.ReadIndexMixin,
    replication.ReplicationMixin,
    follower_lease.FollowerLeaseMixin,
    leadership_transfer.LeadershipTransferMixin,
    leaving.LeavingMixin,
    membership.MembershipMixin,
    open_membership.OpenMembershipMixin,
    FollowerNode,
):
    """A member that may also lead. Subclasses provide `ack_to_return`, `acknowledge`, `unknown`, `respond`
    and `serve_read`."""

    durable = True

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        policy: voting_policy.VotingPolicy,
        replicated_state: state_machine.ReplicatedState | None = None,
        current_term: identifiers.Term = NO_TERM,
        process_started_at: identifiers.Millis | None = None,
    ) -> None:
        """Start as a follower; the parameters are those of `FollowerNode`."""
        FollowerNode.__init__(self, me, seed, now, policy, replicated_state, current_term, process_started_at)
        self.clear_leadership()
        self.listeners.log_synced.append(self.own_log_synced)
        self.transfer_start()
        self.leaving_start()
        self.election_start()
