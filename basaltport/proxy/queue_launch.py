"""Sends waiting requests to replicas, and finds those that can no longer be answered in time.

An arrival affects only its own group, the end of an attempt only the groups that the replica can serve; all
groups are checked only when time passes or the feed changes.
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
    """Takes requests out of the queue and sends them to replicas with capacity."""

    def __init__(
        self,
        queue: admission_queue.AdmissionQueue,
        balancer: load_balancing.LoadBalancer,
        attempts: attempt.AttemptTracker,
    ) -> None:
        """`attempts` sends the requests."""
        self.queue = queue
        self.balancer = balancer
        self.attempts = attempts

    def launch(self, groups: Groups) -> None:
        """Send all sendable requests of the given groups, the most urgent and then the oldest first."""
        self.launch_while(groups, lambda: True)

    def launch_at(self, replica_id: str) -> None:
        """Send waiting requests to a replica that gained capacity, until it has none left."""
        replica = self.balancer.replicas().get(replica_id)
        if replica is not None and self.queue and self.balancer.has_room(replica):
            self.launch_while(self.groups_for_replica(replica), lambda: self.balancer.has_room(replica))

    def launch_while(self, groups: Groups, may_continue: collections.abc.Callable[[], bool]) -> None:
        """Send requests of the given groups in order of urgency and age while `may_continue` returns true."""
        heads = [(first.queue_key, group.need) for group in groups if (first := group.first()) is not None]
        heapq.heapify(heads)
        while heads and may_continue():
            _, need = heads[0]
            following = self.launch_first(need)
            if following is None:
                heapq.heappop(heads)
            else:
                heapq.heapreplace(heads, (following.queue_key, need))

    def launch_first(self, need: admission_queue.ReplicaNeed) -> request.Request | None:
        """Send the first request with the given constraints if a replica can take it.

        Returns the next request of the group, or None if there is none or nothing could be sent.
        """
        group = self.queue.group(need)
        waiting_request = group.first() if group is not None else None
        if group is None or waiting_request is None:
            return None
        replica = self.balancer.choose(waiting_request)
        if replica is None:
            return None
        del self.queue[waiting_request.id]
        self.attempts.launch(waiting_request, replica)
        return group.first()

    def groups_for_replica(self, replica: replica_table.ReplicaRow) -> list[admission_queue.WaitingGroup]:
        """Returns the groups whose requests a replica can serve, according to the feed and earlier
        attempts."""
        return [
            group
            for item in replica.items()
            for group in self.queue.groups_for_item(item)
            if group.need.service == replica.service and group.need.allows(replica.replica_id)
        ]


class ExpiryCheck:
    """Finds requests that can no longer be answered in time."""

    def __init__(
        self,
        balancer: load_balancing.LoadBalancer,
        readiness: model_readiness.ModelReadiness,
    ) -> None:
        """`readiness` determines when waits for items end."""
        self.balancer = balancer
        self.readiness = readiness

    def first_expired(
        self, group: admission_queue.WaitingGroup, now: identifiers.Millis
    ) -> request.Request | None:
        """Returns a request of a group that can no longer be answered in time, or None.

        The wait for an item ends at the deadline, or at a time after the arrival that is the same for the
        whole group; so only the earliest deadline and the earliest arrival are checked.
        """
        min_service_ms = max(
            attempt.MIN_TIME_LEFT_MS, self.balancer.latency.for_service(group.need.service) // 2
        )
        for waiting_request in (group.earliest_deadline(), group.earliest_arrival()):
            if (
                waiting_request is not None
                and now >= self.readiness.wait_ends_at(waiting_request) - min_service_ms
            ):
                return waiting_request
        return None
