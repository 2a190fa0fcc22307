"""Bounded queues of requests. Urgent queues are served first by stride scheduling, the clients of a queue in
turn: nobody starves."""

import collections
import collections.abc

import basaltport.query_api.query_proxy.request as request

STRIDE = 1 << 20

Accepts = collections.abc.Callable[[request.Request], bool]


class Queue:
    """The requests of one queue, by client; `position` is how far its stride has come."""

    __slots__ = ("name", "by_client", "size", "position", "urgency")

    def __init__(self, name: str, urgency: int, position: int) -> None:
        """An empty queue."""
        self.name = name
        self.urgency = urgency
        self.by_client: collections.OrderedDict[str, collections.deque[request.Request]]
        self.by_client = collections.OrderedDict()
        self.size = 0
        self.position = position

    def put(self, waiting: request.Request, at_front: bool = False) -> None:
        """Append a request to its client's, or put it before them."""
        requests = self.by_client.get(waiting.client)
        if requests is None:
            requests = self.by_client[waiting.client] = collections.deque()
        if at_front:
            requests.appendleft(waiting)
        else:
            requests.append(waiting)
        self.size += 1

    def remove(self, waiting: request.Request) -> None:
        """Remove a request, if it is here."""
        requests = self.by_client.get(waiting.client)
        if requests is None or waiting not in requests:
            return
        requests.remove(waiting)
        self.size -= 1
        if not requests:
            del self.by_client[waiting.client]

    def take(self, accepts: Accepts) -> request.Request | None:
        """Remove the next request, clients in turn, that `accepts` takes."""
        for client in list(self.by_client):
            for waiting in self.by_client[client]:
                if not accepts(waiting):
                    continue
                self.by_client.move_to_end(client)
                self.remove(waiting)
                return waiting
        return None

    def __iter__(self) -> collections.abc.Iterator[request.Request]:
        """All requests, client by client."""
        for requests in self.by_client.values():
            yield from requests


class Queues:
    """All queues of a query node."""

    def __init__(self) -> None:
        """No queues yet."""
        self.by_name: dict[str, Queue] = {}
        self.position = 0

    def queue(self, name: str, urgency: int) -> Queue:
        """The queue of a name, made where there is none."""
        found = self.by_name.get(name)
        if found is None:
            found = self.by_name[name] = Queue(name, urgency, self.position)
        found.urgency = urgency
        return found

    def put(self, waiting: request.Request, at_front: bool = False) -> None:
        """Put a request into its queue; one that was empty gains nothing from the time it was."""
        queue = self.queue(waiting.queue, waiting.rule.urgency)
        if queue.size == 0:
            queue.position = max(queue.position, self.position)
        queue.put(waiting, at_front)

    def remove(self, waiting: request.Request) -> None:
        """Remove a request, if it is here."""
        queue = self.by_name.get(waiting.queue)
        if queue:
            queue.remove(waiting)

    def size(self, name: str) -> int:
        """How many requests wait in a queue."""
        queue = self.by_name.get(name)
        return queue.size if queue else 0

    def total(self) -> int:
        """How many requests wait."""
        return sum(queue.size for queue in self.by_name.values())

    def take(self, accepts: Accepts) -> request.Request | None:
        """Remove the next request that `accepts` takes, of the queue whose turn it is."""
        waiting = [queue for queue in self.by_name.values() if queue.size]
        for queue in sorted(waiting, key=lambda queue: (queue.position, -queue.urgency, queue.name)):
            taken = queue.take(accepts)
            if taken is None:
                continue
            self.position = max(self.position, queue.position)
            queue.position += STRIDE >> queue.urgency
            return taken
        return None

    def __iter__(self) -> collections.abc.Iterator[request.Request]:
        """All requests, queue by queue."""
        for queue in self.by_name.values():
            yield from queue
