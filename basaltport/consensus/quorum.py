"""Majorities of the voters.

During a joint change there are two sets of voters, the former and the next, and every decision needs a
majority of each (joint consensus); otherwise there is one set.
"""

import collections.abc

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine

MemberIds = collections.abc.Set[str]


def is_majority(members: MemberIds, voters: MemberIds) -> bool:
    """Whether `members` include more than half of `voters`."""
    return 2 * len(members & voters) > len(voters)


def voter_sets(state: state_machine.ClusterState) -> list[MemberIds]:
    """Return the sets of voters of which each must give a majority."""
    if state.former_members is None:
        return [state.members.keys()]
    return [state.members.keys(), state.former_members.keys()]


def voters(state: state_machine.ClusterState) -> dict[str, log.MemberRecord]:
    """Return the records, by member id, of all members that vote now."""
    return {**(state.former_members or {}), **state.members}


def has_majority(state: state_machine.ClusterState, members: MemberIds) -> bool:
    """Whether `members` include a majority of every set of voters."""
    return all(is_majority(members, voter_set) for voter_set in voter_sets(state))


def majority_value(state: state_machine.ClusterState, value_of: collections.abc.Callable[[str], int]) -> int:
    """Return the highest value that a majority of every set of voters has reached, 0 without voters."""
    return min(_median_low(sorted(map(value_of, voter_set), reverse=True)) for voter_set in voter_sets(state))


def _median_low(values: list[int]) -> int:
    return values[len(values) // 2] if values else 0
