"""Requests that wait for a replica, in groups of those that the same replicas may take.

What happens to one request or at one replica concerns few groups, and of a group its first request, so that
no event walks all that waits: to enter, to leave, and the next one of a group cost O(log n).
"""

import collections.abc
import heapq
import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.request as request

MOST_WAITING = 2000
"""Requests that the queue takes."""
LEAST_STALE = 16
"""A heap is made anew when it has so many entries, and twice as many as members."""


class ReplicaNeed(typing.NamedTuple):
    """What a request needs of a replica; requests of one need may go to the same replicas."""

    service: str
    item: identifiers.Item
    """What the replica holds; "" for any of the service."""
    only: frozenset[str] | None
    """The ids of the replicas that it may still go to; None for any."""

    def allows(self, replica_id: str) -> bool:
        """Whether the request may go to a replica as far as its former attempts go."""
        return self.only is None or replica_id in self.only


def need_of(waiting: request.Request) -> ReplicaNeed:
    """What a request needs, which does not change while it waits."""
    only = None if waiting.may_reach_another() else frozenset(waiting.reached_replicas)
    return ReplicaNeed(waiting.service, waiting.item, only)


class _RequestHeap:
    """Requests of a group, that of the lowest key first. Those that left go when they come up."""

    __slots__ = ("_entries", "_members")

    def __init__(self, members: collections.abc.Mapping[int, request.Request]) -> None:
        """`members`: the requests of the group by id, as they are at any time."""
        self._entries: list[tuple[float, ...]] = []
        self._members = members

    def push(self, *key: float) -> None:
        """Add a request by its key, the last part of which is its id."""
        heapq.heappush(self._entries, key)
        if len(self._entries) > max(LEAST_STALE, 2 * len(self._members)):
            self._entries = [entry for entry in set(self._entries) if entry[-1] in self._members]
            heapq.heapify(self._entries)

    def first(self) -> request.Request | None:
        """The request of the lowest key."""
        while self._entries:
            waiting = self._members.get(int(self._entries[0][-1]))
            if waiting is not None:
                return waiting
            heapq.heappop(self._entries)
        return None


class WaitingGroup:
    """Requests of one need. `demand`: the sum of their weights in what the placement is told."""

    __slots__ = ("need", "members", "demand", "_by_rank", "_by_arrival", "_by_deadline")

    def __init__(self, need: ReplicaNeed) -> None:
        """None yet."""
        self.need = need
        self.members: dict[int, request.Request] = {}
        self.demand = 0
        self._by_rank = _RequestHeap(self.members)
        self._by_arrival = _RequestHeap(self.members)
        self._by_deadline = _RequestHeap(self.members)

    def add(self, waiting: request.Request) -> None:
        """One more."""
        self.members[waiting.id] = waiting
        self.demand += waiting.demand_weight()
        self._by_rank.push(*waiting.queue_key)
        self._by_arrival.push(waiting.arrived_at, waiting.id)
        self._by_deadline.push(waiting.deadline, waiting.id)

    def remove(self, request_id: int) -> None:
        """One less."""
        self.demand -= self.members.pop(request_id).demand_weight()

    def first(self) -> request.Request | None:
        """The most urgent, and of those the oldest."""
        return self._by_rank.first()

    def first_arrived(self) -> request.Request | None:
        """The one that arrived before all others."""
        return self._by_arrival.first()

    def first_due(self) -> request.Request | None:
        """The one whose deadline comes before all others'."""
        return self._by_deadline.first()


class AdmissionQueue(collections.abc.MutableMapping[int, request.Request]):
    """Requests that wait for a replica, by id."""

    def __init__(self, waiting: collections.abc.Mapping[int, request.Request] | None = None) -> None:
        """Those of another queue, if any."""
        self._group_of: dict[int, WaitingGroup] = {}
        self._groups: dict[str, dict[ReplicaNeed, WaitingGroup]] = {}
        self.update(waiting or {})

    def __getitem__(self, request_id: int) -> request.Request:
        """A request that waits."""
        return self._group_of[request_id].members[request_id]

    def __setitem__(self, request_id: int, waiting: request.Request) -> None:
        """A request begins to wait."""
        if request_id in self._group_of:
            del self[request_id]
        need = need_of(waiting)
        of_item = self._groups.setdefault(need.item, {})
        group = of_item.get(need)
        if group is None:
            group = of_item[need] = WaitingGroup(need)
        group.add(waiting)
        self._group_of[request_id] = group

    def __delitem__(self, request_id: int) -> None:
        """A request waits no more."""
        group = self._group_of.pop(request_id)
        group.remove(request_id)
        if group.members:
            return
        need = group.need
        of_item = self._groups[need.item]
        del of_item[need]
        if not of_item:
            del self._groups[need.item]

    def __iter__(self) -> collections.abc.Iterator[int]:
        """The ids of all."""
        return iter(self._group_of)

    def __len__(self) -> int:
        """How many wait."""
        return len(self._group_of)

    def __contains__(self, request_id: object) -> bool:
        """Whether a request waits."""
        return request_id in self._group_of

    def is_full(self) -> bool:
        """Whether it takes no more."""
        return len(self) >= MOST_WAITING

    def items_waited_for(self) -> list[str]:
        """The items that requests wait for, "" among them where some need none."""
        return list(self._groups)

    def groups(self) -> list[WaitingGroup]:
        """All groups."""
        return [group for of_item in self._groups.values() for group in of_item.values()]

    def groups_for(self, item: str) -> list[WaitingGroup]:
        """The groups of those that wait for an item."""
        return list(self._groups.get(item, {}).values())

    def group(self, need: ReplicaNeed) -> WaitingGroup | None:
        """The group of a need, if any wait for it."""
        return self._groups.get(need.item, {}).get(need)

    def waiting_for(self, item: str) -> list[request.Request]:
        """Those that wait for an item."""
        return [waiting for group in self.groups_for(item) for waiting in group.members.values()]
