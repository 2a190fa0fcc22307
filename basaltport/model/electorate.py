"""Which sets of members another leader could be elected by, told from a leader's own log.

Whoever is elected has every committed entry in its log, and the next change of members is appended only once
the one before is committed. So a candidate decides by the member list that is agreed or by the newest, one
change further; in a joint change it needs both lists. `docs/control-safety.md` has the argument."""

import collections.abc

import basaltport.consensus.log as log
import basaltport.consensus.quorum as quorum
import basaltport.consensus.state_machine as state_machine

MemberIds = quorum.MemberIds


def rosters(
    agreed: state_machine.ClusterState, tail: collections.abc.Iterable[log.LogEntry]
) -> list[list[MemberIds]]:
    """For the agreed state and each change behind it: the sets of voters that must each give a majority."""
    at = agreed
    found = [quorum.voter_sets(at)]
    for entry in tail:
        at = state_machine.apply(at, entry)
        if (of := quorum.voter_sets(at)) != found[-1]:
            found.append(of)
    return found


def elects(member_ids: MemberIds, voters: list[MemberIds]) -> bool:
    """Whether `member_ids` are a majority of each set of voters."""
    return all(2 * len(member_ids & of) > len(of) for of in voters)


def excluded(member_ids: MemberIds, voters: list[MemberIds]) -> bool:
    """Whether those that are not among `member_ids` can elect nobody."""
    others = {member_id for of in voters for member_id in of} - member_ids
    return not elects(others, voters)


def bears(member_ids: MemberIds, candidates: list[list[MemberIds]]) -> bool:
    """Whether the answers of `member_ids` confirm a leader: they are a majority of the agreed member list, so
    that not even half of it is left, which would do with proof of lost disks; or, to end a joint change, of
    the newest. By none that a candidate may decide by can the other members elect anybody."""
    agreed, newest = candidates[0], candidates[-1]
    whole = elects(member_ids, agreed) or len(agreed) > 1 and elects(member_ids, newest)
    return whole and all(excluded(member_ids, voters) for voters in candidates)
