"""The moments of agreement that other parts of a member act on, each a list of calls in their order."""

import collections.abc
import dataclasses
import typing

Calls = list[collections.abc.Callable[[], object]]
CallsWithMessage = list[collections.abc.Callable[[typing.Any], object]]
CallsWithVotes = list[collections.abc.Callable[[dict[str, typing.Any]], object]]
CallsWithEntry = list[collections.abc.Callable[[typing.Any], object]]


@dataclasses.dataclass(slots=True, eq=False)
class Listeners:
    """The lists of calls, one for each moment; a part of a member adds its calls when the member is made.

    `state_applied`: a newer agreed state is in force here. `entry_retained`: with each committed entry that
    is kept. `log_synced`: records reached the disk. `disk_failed`: a write failed. `heartbeat_heard`: with
    each heartbeat, after it was taken. `leader_resigned`: with the message by which the leader that is
    followed hands over, before it is forgotten. `transfer_heard`: with such a message, after that.
    `leadership_started`: with the votes by member id, after the first entry was appended. `leader_tick`:
    while this member leads, before its heartbeat. `leadership_ending`: before it steps down.
    `leadership_ended`: after. `stopping`: the process was told to stop, before anything else is done about
    it.
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
