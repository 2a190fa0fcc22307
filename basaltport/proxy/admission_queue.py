"""Requests that wait for a replica, in groups that the same replicas can serve.

An event at one request or replica affects few groups, and only the first request of a group, so no event
scans the whole queue: adding, removing and finding the next request of a group cost O(log n).
"""

import collections.abc
import heapq
import typing

import basaltport.identifiers as identifiers
import basaltport.proxy.request as request

MAX_WAITING = 2000
"""Maximum number of requests in the queue."""
MIN_COMPACTION_SIZE = 16
"""A heap is rebuilt when it has more entries than this and than twice the number of its members."""


class ReplicaNeed(typing.NamedTuple):
    """The constraints on the replica for a request; requests with equal constraints can use the same
    replicas."""

    service: str
    item: identifiers.Item
    """The item that the replica must hold; "" for any replica of the service."""
    allowed_replicas: frozenset[str] | None
    """Ids of the replicas that the request may still be sent to; None for any replica."""

    def allows(self, replica_id: str) -> bool:
        """Whether the earlier attempts of the request still allow this replica."""
        return self.allowed_replicas is None or replica_id in self.allowed_replicas


def replica_need(waiting_request: request.Request) -> ReplicaNeed:
    """Returns the constraints of a request, which do not change while it waits."""
    allowed_replicas = (
        None if waiting_request.may_use_new_replica() else frozenset(waiting_request.reached_replicas)
    )
    return ReplicaNeed(waiting_request.service, waiting_request.item, allowed_replicas)


class _RequestHeap:
    """A heap of the requests of a group, lowest key first; entries of removed requests are dropped lazily."""

    __slots__ = ("_entries", "_members")

    def __init__(self, members: collections.abc.Mapping[int, request.Request]) -> None:
        """`members` is a live view of the requests of the group by id."""
        self._entries: list[tuple[float, ...]] = []
        self._members = members

    def push(self, *key: float) -> None:
        """Add a request by its key, whose last part is the request id."""
        heapq.heappush(self._entries, key)
        if len(self._entries) > max(MIN_COMPACTION_SIZE, 2 * len(self._members)):
            self._entries = [entry for entry in set(self._entries) if entry[-1] in self._members]
            heapq.heapify(self._entries)

    def first(self) -> request.Request | None:
        """Returns the request with the lowest key, or None if the group is empty."""
        while self._entries:
            waiting_request = self._members.get(int(self._entries[0][-1]))
            if waiting_request is not None:
                return waiting_request
            heapq.heappop(self._entries)
        return None


class WaitingGroup:
    """Waiting requests with the same replica constraints.

    `demand` is the sum of their weights in the demand reported to the placement.
    """

    __slots__ = ("need", "members", "demand", "_by_rank", "_by_arrival", "_by_deadline")

    def __init__(self, need: ReplicaNeed) -> None:
        """Create an empty group."""
        self.need = need
        self.members: dict[int, request.Request] = {}
        self.demand = 0
        self._by_rank = _RequestHeap(self.members)
        self._by_arrival = _RequestHeap(self.members)
        self._by_deadline = _RequestHeap(self.members)

    def add(self, waiting_request: request.Request) -> None:
        """Add a request to the group."""
        self.members[waiting_request.id] = waiting_request
        self.demand += waiting_request.demand_weight()
        self._by_rank.push(*waiting_request.queue_key)
        self._by_arrival.push(waiting_request.arrived_at, waiting_request.id)
        self._by_deadline.push(waiting_request.deadline, waiting_request.id)

    def remove(self, request_id: int) -> None:
        """Remove a request from the group."""
        self.demand -= self.members.pop(request_id).demand_weight()

    def first(self) -> request.Request | None:
        """Returns the oldest of the most urgent requests."""
        return self._by_rank.first()

    def earliest_arrival(self) -> request.Request | None:
        """Returns the request that arrived first."""
        return self._by_arrival.first()

    def earliest_deadline(self) -> request.Request | None:
        """Returns the request with the earliest deadline."""
        return self._by_deadline.first()


class AdmissionQueue(collections.abc.MutableMapping[int, request.Request]):
    """The requests that wait for a replica, by request id."""

    def __init__(self, waiting_request: collections.abc.Mapping[int, request.Request] | None = None) -> None:
        """Create a queue with the requests of another one, or an empty queue."""
        self._group_by_request: dict[int, WaitingGroup] = {}
        self._groups: dict[str, dict[ReplicaNeed, WaitingGroup]] = {}
        self.update(waiting_request or {})

    def __getitem__(self, request_id: int) -> request.Request:
        """Returns a waiting request."""
        return self._group_by_request[request_id].members[request_id]

    def __setitem__(self, request_id: int, waiting_request: request.Request) -> None:
        """Add a request to the queue."""
        if request_id in self._group_by_request:
            del self[request_id]
        need = replica_need(waiting_request)
        item_groups = self._groups.setdefault(need.item, {})
        group = item_groups.get(need)
        if group is None:
            group = item_groups[need] = WaitingGroup(need)
        group.add(waiting_request)
        self._group_by_request[request_id] = group

    def __delitem__(self, request_id: int) -> None:
        """Remove a request from the queue."""
        group = self._group_by_request.pop(request_id)
        group.remove(request_id)
        if group.members:
            return
        need = group.need
        item_groups = self._groups[need.item]
        del item_groups[need]
        if not item_groups:
            del self._groups[need.item]

    def __iter__(self) -> collections.abc.Iterator[int]:
        """Iterate over the ids of all waiting requests."""
        return iter(self._group_by_request)

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._group_by_request)

    def __contains__(self, request_id: object) -> bool:
        """Whether a request is waiting."""
        return request_id in self._group_by_request

    def is_full(self) -> bool:
        """Whether the queue accepts no more requests."""
        return len(self) >= MAX_WAITING

    def awaited_items(self) -> list[str]:
        """Returns the items that requests wait for, including "" if some need no item."""
        return list(self._groups)

    def groups(self) -> list[WaitingGroup]:
        """Returns all groups of waiting requests."""
        return [group for item_groups in self._groups.values() for group in item_groups.values()]

    def groups_for_item(self, item: str) -> list[WaitingGroup]:
        """Returns the groups of requests that wait for an item."""
        return list(self._groups.get(item, {}).values())

    def group(self, need: ReplicaNeed) -> WaitingGroup | None:
        """Returns the group with the given constraints, or None if no request has them."""
        return self._groups.get(need.item, {}).get(need)

    def requests_for_item(self, item: str) -> list[request.Request]:
        """Returns the requests that wait for an item."""
        return [
            waiting_request
            for group in self.groups_for_item(item)
            for waiting_request in group.members.values()
        ]
