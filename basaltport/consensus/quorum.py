"""Majorities of the agreed roster.

While a joint change is under way there are two rosters, the former and the next, and whatever is decided
needs a majority of each (joint consensus); else there is one."""

import collections.abc

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine

Seats = collections.abc.Set[str]


def is_majority(some: Seats, of: Seats) -> bool:
    """Whether more than half of `of` are among `some`."""
    return 2 * len(some & of) > len(of)


def voter_sets(state: state_machine.ClusterState) -> list[Seats]:
    """The sets of seats that each must give a majority."""
    if state.former_members is None:
        return [state.members.keys()]
    return [state.members.keys(), state.former_members.keys()]


def voters(state: state_machine.ClusterState) -> dict[str, log.MemberRecord]:
    """Rows by seat of all that vote now."""
    return {**(state.former_members or {}), **state.members}


def has_majority(state: state_machine.ClusterState, seats: Seats) -> bool:
    """Whether `seats` hold a majority of every set of voters."""
    return all(is_majority(seats, of) for of in voter_sets(state))


def majority_value(state: state_machine.ClusterState, value_of: collections.abc.Callable[[str], int]) -> int:
    """The highest value that a majority of every set of voters has reached; 0 without voters."""
    return min(_median_low(sorted(map(value_of, of), reverse=True)) for of in voter_sets(state))


def _median_low(values: list[int]) -> int:
    return values[len(values) // 2] if values else 0
