"""Which of the requests that wait go out, and which can't be answered in time any more.

An arrival concerns its own group, the end of an attempt the groups that its replica may take, and only what
time or the feed changes concerns all of them.
"""

import collections.abc
import heapq

import basaltport.identifiers as identifiers
import basaltport.proxy.admission_queue as admission_queue
import basaltport.proxy.attempt as attempt
import basaltport.proxy.load_balancing as load_balancing
import basaltport.proxy.model_readiness as model_readiness
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.request as request

Groups = collections.abc.Iterable[admission_queue.WaitingGroup]


class QueueLauncher:
    """Takes requests out of the queue for replicas that may take them."""

    def __init__(
        self,
        queue: admission_queue.AdmissionQueue,
        balancer: load_balancing.LoadBalancer,
        attempts: attempt.AttemptTracker,
    ) -> None:
        """`attempts`: sends them."""
        self.queue = queue
        self.balancer = balancer
        self.attempts = attempts

    def launch(self, groups: Groups) -> None:
        """Launch what can go of some groups, the most urgent and then the oldest first."""
        self.launch_while(groups, lambda: True)

    def launch_at(self, replica_id: str) -> None:
        """Launch what can go to a replica that has room for more than before, until it has none."""
        replica = self.balancer.replicas().get(replica_id)
        if replica is not None and self.queue and self.balancer.has_room(replica):
            self.launch_while(self.groups_of(replica), lambda: self.balancer.has_room(replica))

    def launch_while(self, groups: Groups, may_go_on: collections.abc.Callable[[], bool]) -> None:
        """The same, as long as it may go on."""
        heads = [(first.queue_key, group.need) for group in groups if (first := group.first()) is not None]
        heapq.heapify(heads)
        while heads and may_go_on():
            _, need = heads[0]
            following = self.launch_first(need)
            if following is None:
                heapq.heappop(heads)
            else:
                heapq.heapreplace(heads, (following.queue_key, need))

    def launch_first(self, need: admission_queue.ReplicaNeed) -> request.Request | None:
        """Launch the first request of a need if a replica may take it; the one that follows it, None where
        none does or none can go."""
        group = self.queue.group(need)
        waiting = group.first() if group is not None else None
        if group is None or waiting is None:
            return None
        replica = self.balancer.choose(waiting)
        if replica is None:
            return None
        del self.queue[waiting.id]
        self.attempts.launch(waiting, replica)
        return group.first()

    def groups_of(self, replica: replica_table.ReplicaRow) -> list[admission_queue.WaitingGroup]:
        """The groups whose requests a replica may take, as far as the feed and former attempts go."""
        return [
            group
            for item in replica.items()
            for group in self.queue.groups_for(item)
            if group.need.service == replica.service and group.need.allows(replica.replica_id)
        ]


class ExpiryCheck:
    """Finds requests that can no longer be answered in time."""

    def __init__(
        self,
        balancer: load_balancing.LoadBalancer,
        readiness: model_readiness.ModelReadiness,
    ) -> None:
        """`readiness`: tells when waits for items end."""
        self.balancer = balancer
        self.readiness = readiness

    def first_expired(
        self, group: admission_queue.WaitingGroup, now: identifiers.Millis
    ) -> request.Request | None:
        """A request of a group whose time is over, if any. The wait for an item ends a time after the arrival
        that is the same for all of a group, or with the deadline."""
        least_ms = max(attempt.LEAST_TIME_MS, self.balancer.latency.of(group.need.service) // 2)
        for waiting in (group.first_due(), group.first_arrived()):
            if waiting is not None and now >= self.readiness.wait_ends_at(waiting) - least_ms:
                return waiting
        return None
