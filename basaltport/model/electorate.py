"""Which sets of seats another leader could be elected by, told from a leader's own log.

Whoever is elected has every committed entry in its log, and the next change of members is appended only once
the one before is committed. So a candidate decides by the roster that is agreed or by the newest, one change
further; in a joint change it needs both rosters. `docs/control-safety.md` has the argument."""

import collections.abc

import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine

Seats = quorum.Seats


def rosters(
    agreed: state_machine.ClusterState, tail: collections.abc.Iterable[log.LogEntry]
) -> list[list[Seats]]:
    """For the agreed book and each change behind it: the sets of voters that must each give a majority."""
    at = agreed
    found = [quorum.voter_sets(at)]
    for entry in tail:
        at = state_machine.apply(at, entry)
        if (of := quorum.voter_sets(at)) != found[-1]:
            found.append(of)
    return found


def elects(seats: Seats, voters: list[Seats]) -> bool:
    """Whether `seats` are a majority of each set of voters."""
    return all(2 * len(seats & of) > len(of) for of in voters)


def excluded(seats: Seats, voters: list[Seats]) -> bool:
    """Whether those that are not among `seats` can elect nobody."""
    others = {seat for of in voters for seat in of} - seats
    return not elects(others, voters)


def bears(seats: Seats, candidates: list[list[Seats]]) -> bool:
    """Whether the word of `seats` is enough: it is a majority's of the agreed roster, so that not even half
    of it is left, which would do with proof of lost disks; or, to end a joint change, of the newest. By none
    that a candidate may decide by can the other seats elect anybody."""
    agreed, newest = candidates[0], candidates[-1]
    whole = elects(seats, agreed) or len(agreed) > 1 and elects(seats, newest)
    return whole and all(excluded(seats, voters) for voters in candidates)
