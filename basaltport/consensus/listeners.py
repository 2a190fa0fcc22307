"""Events of the consensus that other parts of a member react to; each event has a list of callbacks."""

import collections.abc
import dataclasses
import typing

Calls = list[collections.abc.Callable[[], object]]
CallsWithMessage = list[collections.abc.Callable[[typing.Any], object]]
CallsWithVotes = list[collections.abc.Callable[[dict[str, typing.Any]], object]]
CallsWithEntry = list[collections.abc.Callable[[typing.Any], object]]


@dataclasses.dataclass(slots=True, eq=False)
class Listeners:
    """The callbacks of each event, called in order; the parts of a member add theirs when it is created.

    `state_applied`: the committed state advanced. `entry_retained`: with each committed entry that is
    retained. `log_synced`: records were synced. `disk_failed`: a write failed. `heartbeat_heard`: with each
    heartbeat, after it was processed. `leader_resigned`: with the LeadershipTransfer of the followed leader,
    before the leader is cleared. `transfer_heard`: with a LeadershipTransfer, after that.
    `leadership_started`: with the votes by member id, after the first entry of the term was appended.
    `leader_tick`: at each tick of a leader, before its heartbeat. `leadership_ending`: before the leader
    steps down. `leadership_ended`: after it stepped down. `stopping`: the process was told to stop, before
    any other reaction.
    """

    state_applied: Calls = dataclasses.field(default_factory=list)
    entry_retained: CallsWithEntry = dataclasses.field(default_factory=list)
    log_synced: Calls = dataclasses.field(default_factory=list)
    disk_failed: Calls = dataclasses.field(default_factory=list)
    heartbeat_heard: CallsWithMessage = dataclasses.field(default_factory=list)
    leader_resigned: CallsWithMessage = dataclasses.field(default_factory=list)
    transfer_heard: CallsWithMessage = dataclasses.field(default_factory=list)
    leadership_started: CallsWithVotes = dataclasses.field(default_factory=list)
    leader_tick: Calls = dataclasses.field(default_factory=list)
    leadership_ending: Calls = dataclasses.field(default_factory=list)
    leadership_ended: Calls = dataclasses.field(default_factory=list)
    stopping: Calls = dataclasses.field(default_factory=list)
