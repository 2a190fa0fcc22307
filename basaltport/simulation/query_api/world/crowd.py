"""Clients that send at random by a demand document, on the world's time."""

import random
import typing

import basaltport.simulation.query_api.world.client_request as client_request
import basaltport.simulation.query_api.world.clients as clients
import basaltport.simulation.query_api.world.world_base as world_base

MS_PER_S = 1000
KEYED_SHARE = 0.3
LEAVING_SHARE = 0.02
STREAM_SHARE = 0.5
GOES_AWAY_MS = (1, 200)
REPEATED_AT_ONCE_MS = (0, 60)
REPEATED_LATER_MS = (60, 4000)


class Repeat(typing.NamedTuple):
    """What a client sends again: the queue, the item's model and adapter, and who it is."""

    queue: str
    model: str
    adapter: str
    token_hash: str


class Crowd:
    """Clients that do not wait for answers before they send again.

    `factor`: by queue, how many times its rate; `keyed`: the share of requests that run once and have a key;
    `leave`: the share whose client hangs up."""

    def __init__(
        self,
        world: clients.ClientMixin,
        demand: world_base.Document,
        configuration: world_base.Document,
        hashes: typing.Callable[[str], str],
        seed: int,
    ) -> None:
        """Nothing is sent until `start`; `hashes` gives what a node knows of a token."""
        self.world, self.demand, self.configuration, self.hashes = world, demand, configuration, hashes
        self.rng = random.Random(seed)
        self.on = False
        self.factor: dict[str, float] = {}
        self.keyed, self.leave = KEYED_SHARE, LEAVING_SHARE

    def start(self) -> None:
        """Begins to send in all queues."""
        self.on = True
        for queue in self.demand["lines"]:
            self.next(queue)

    def stop(self) -> None:
        """Sends no more."""
        self.on = False

    def next(self, queue: str) -> None:
        """Schedules the next request of a queue."""
        rate = self.demand["lines"][queue]["rate"] * self.factor.get(queue, 1)
        pause = int(self.rng.expovariate(rate) * MS_PER_S)
        self.world.later(max(1, pause), self.send, queue)

    def send(self, queue: str) -> None:
        """One request of a queue, and what its client does with it."""
        if not self.on:
            return
        demand = self.demand["lines"][queue]
        model, _, adapter = self.rng.choice(demand["items"]).partition("/")
        client = self.rng.choice(sorted(demand["senders"]))
        once = self.configuration["lines"][queue]["once_only"]
        stream = bool(demand.get("stream")) and self.rng.random() < STREAM_SHARE
        token_hash = self.hashes(demand["senders"][client])
        keyed = once and self.rng.random() < self.keyed
        key = f"k{self.world.sent_count + 1}" if keyed else ""
        request = self.world.send_request(queue, model, adapter, token_hash, once, key=key, stream=stream)
        if key:
            self.repeat(request, Repeat(queue, model, adapter, token_hash), stream)
        if request.outcome == "" and self.rng.random() < self.leave:
            self.world.later(self.rng.randrange(*GOES_AWAY_MS), self.world.go_away, request.id)
        self.next(queue)

    def repeat(self, request: client_request.ClientRequest, repeat: Repeat, stream: bool) -> None:
        """The same key again at any node: at once, and later as after an answer that never came."""
        pauses = (self.rng.randrange(*REPEATED_AT_ONCE_MS), self.rng.randrange(*REPEATED_LATER_MS))
        for pause in pauses:
            self.world.later(pause, self.send_again, request, repeat, stream)

    def send_again(self, request: client_request.ClientRequest, repeat: Repeat, stream: bool) -> None:
        """A repeat of a request under its key."""
        key, prompt = request.key, request.prompt
        self.world.send_request(*repeat, True, key=key, prompt=prompt, stream=stream)
