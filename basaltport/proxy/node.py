"""The node that relays requests: one reducer over all its events."""

import collections.abc
import dataclasses
import random

import basaltport.cold_start.decision as cold_start
import basaltport.consensus.state_machine as state_machine
import basaltport.events as base
import basaltport.fleet.follow as follow
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.attempt as attempt
import basaltport.proxy.retry_decision as retry_decision
import basaltport.proxy.events as events
import basaltport.proxy.interfaces as interfaces
import basaltport.proxy.load_balancing as load_balancing
import basaltport.proxy.model_readiness as model_readiness
import basaltport.proxy.request as request
import basaltport.proxy.routing as routing

TIMINGS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 20,
    "cold_excess": 1.0,
    "cold_slack": 0,
    "drain_ms": 3000,
    "grace_s": 8,
}
STARTING = 1500
PARKED = 4000
COME_BACK = 1000
BOUND = 2000
ASSUMED = 16
NO_ROUTE = 404
REFUSED = 503
CONFIGURED = 42
STARTS = "no configuration yet"
ENDING = "this proxy ends"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not taken, and when its client may come back, in ms."""

    why: str
    retry_after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Parked:
    """A request that is held until the feed is there, until then at most."""

    until: float
    arrived: events.Arrived


class ProxyNode(
    model_readiness.ReadinessMixin,
    attempt.AttemptMixin,
    load_balancing.PickMixin,
    follow.FollowMixin,
    member.Member,
):
    """A proxy: requests wait, go to replicas, and have one end each."""

    me: member.Me
    now: identifiers.Millis
    rng: random.Random
    book: state_machine.ClusterState
    rows: dict[str, interfaces.Row]

    def __init__(
        self,
        me: member.Me,
        seed: int,
        now: identifiers.Millis,
        timings: collections.abc.Mapping[str, float] | None = None,
        zones: int = 1,
    ) -> None:
        """`zones`: how many zones there are; `timings`: the deployment's bounds, see docs/platform.md."""
        member.Member.__init__(self, me, seed, now)
        self.born = now
        self.timings = {**TIMINGS, **(timings or {})}
        self.zones = max(1, zones)
        self.table = routing.Table(None)
        self.table_of: interfaces.Row | None = None
        self.requests: dict[int, request.Request] = {}
        self.waiting: dict[int, request.Request] = {}
        self.parked: dict[int, Parked] = {}
        self.tally: dict[str, int] = {}
        self.used: dict[str, int] = {}
        self.stopped = False
        self.ending = False
        self.readiness_start()
        self.attempts_start()
        self.pick_start()
        follow.FollowMixin.follow_start(self)

    def peers(self) -> int:
        """How many proxies share limits that hold over all of them."""
        return self.proxies or ASSUMED

    def ready(self) -> bool:
        """Whether it takes clients."""
        return not self.stopped and not self.table.empty and bool(self.rows)

    # the feed

    def followed(self) -> None:
        """The agreed book changed."""
        manifest = self.book["manifest"]
        if manifest is not self.table_of:
            self.table_of = manifest
            self.table = routing.Table(manifest)
            lines = sum(map(len, self.table.hosts.values()))
            self.emit(base.Note(CONFIGURED, {"serial": int(self.book["mserial"]), "lines": lines}))
        self.unpark()
        self.pump()

    def usage(self) -> tuple[dict[str, int], dict[str, int]]:
        """What came since the last report, by item, and what runs now, by replica."""
        used, self.used = self.used, {}
        return used, {r: known.running for r, known in self.health.items() if known.running}

    # requests

    def on_arrived(self, ev: events.Arrived) -> None:
        """A client's request, read and whole."""
        if self.ending:
            self.emit(events.Close(ev.request, REFUSED, ENDING, attempt.SOON))
            return
        if self.table.empty or not self.rows:
            self.park(ev)
            return
        route = self.table.match(ev.host, ev.path)
        if route is None:
            self.emit(events.Close(ev.request, NO_ROUTE, "no route"))
            return
        arrived = request.Request(ev.request, route, ev)
        refusal = self.admit(arrived, ev)
        if refusal is not None:
            self.refused_here()
            self.emit(events.Close(arrived.id, REFUSED, refusal.why, refusal.retry_after))
            return
        self.pump()

    def admit(self, arrived: request.Request, ev: events.Arrived) -> Refusal | None:
        """The program of its route, up to the queue."""
        for step in arrived.route.program:
            refusal: Refusal | None = getattr(self, "do_" + step)(arrived, ev)
            if refusal is not None:
                return refusal
        return None

    def refused_here(self) -> None:
        """Counts a refusal of our own."""
        self.tally["refused-here"] = self.tally.get("refused-here", 0) + 1

    # a node that just started

    def park(self, ev: events.Arrived) -> None:
        """What comes before the feed did is held for a part of its time: a start takes a second or two."""
        if len(self.parked) >= BOUND:
            self.emit(events.Close(ev.request, REFUSED, STARTS, STARTING))
            return
        left = PARKED if ev.deadline < 0 else min(PARKED, ev.deadline * 2 // 3)
        self.parked[ev.request] = Parked(self.now + left, ev)

    def unpark(self) -> None:
        """Route what was held, once there is something to route by."""
        if not self.parked or self.table.empty or not self.rows:
            return
        parked, self.parked = self.parked, {}
        for held in parked.values():
            self.on_arrived(held.arrived)

    def expire_parked(self) -> None:
        """Refuse what was held for long enough."""
        for request_id, held in list(self.parked.items()):
            if self.now >= held.until:
                del self.parked[request_id]
                self.emit(events.Close(request_id, REFUSED, STARTS, STARTING))

    # the steps of routes' programs

    def do_deadline(self, arrived: request.Request, ev: events.Arrived) -> Refusal | None:
        """The smaller of the client's deadline and the route's, from when the request's head was there."""
        longest = arrived.route.deadline
        left = longest if ev.deadline < 0 else min(ev.deadline, longest)
        arrived.until = identifiers.Millis(ev.now - ev.body_ms + left)
        return None if arrived.until > self.now else Refusal("no time is left", COME_BACK)

    def do_share(self, arrived: request.Request, ev: events.Arrived) -> Refusal | None:
        """The service, by weight."""
        arrived.service = arrived.route.service(self.rng.random())
        return None

    def do_item(self, arrived: request.Request, ev: events.Arrived) -> Refusal | None:
        """The item, if its service has items and knows it."""
        service = self.table.services.get(arrived.service)
        if service is None or service.items is None:
            arrived.item = identifiers.Item("")
            return None
        if not service.knows(arrived.item):
            return Refusal("unknown model or adapter", COME_BACK)
        self.used[arrived.item] = self.used.get(arrived.item, 0) + 1
        return None

    def do_time(self, arrived: request.Request, ev: events.Arrived) -> Refusal | None:
        """Fails before sending where the time left cannot cover the expected load."""
        if not arrived.item or self.on_waiting_arrival(arrived) is not cold_start.Arrival.FAIL:
            return None
        return Refusal("a load takes longer than the time that is left", int(self.expected(arrived)))

    def do_queue(self, arrived: request.Request, ev: events.Arrived) -> Refusal | None:
        """Into the queue."""
        if len(self.waiting) >= BOUND:
            return Refusal("the queue is full", COME_BACK)
        self.requests[arrived.id] = self.waiting[arrived.id] = arrived
        self.retry_of(arrived.service).first(self.now)
        return None

    # the queue

    def pump(self) -> None:
        """Launch what can go, the most urgent and then the oldest first."""
        if not self.waiting:
            return
        full = set()
        for waiting in sorted(self.waiting.values(), key=lambda w: w.key):
            place = waiting.service, waiting.item
            if place in full and not waiting.avoid:
                continue
            replica = self.pick(waiting)
            if replica is not None:
                del self.waiting[waiting.id]
                self.launch(waiting, replica)
            elif not waiting.avoid:
                full.add(place)
        if self.waiting:
            self.ask_missing()

    def refuse(self, waiting: request.Request, why: str, retry_after: int) -> None:
        """Given up: a promise where it never ran; else no more than its end."""
        if retry_decision.give_up(waiting.begun, waiting.ran) is not retry_decision.Move.REFUSE:
            self.fail(waiting, attempt.GATEWAY_TIMEOUT, why)
            return
        self.drop(waiting)
        self.refused_here()
        self.emit(events.Close(waiting.id, REFUSED, why, int(retry_after)))

    def drop(self, ended: request.Request) -> None:
        """Forget a request."""
        self.release(ended)
        self.requests.pop(ended.id, None)
        self.waiting.pop(ended.id, None)

    def on_left(self, ev: events.Left) -> None:
        """The client went away: its attempt is stopped."""
        self.parked.pop(ev.request, None)
        left = self.requests.get(ev.request)
        if left is None:
            return
        self.drop(left)
        if left.run and left.run.id in self.runs:
            left.run.aborted = request.Aborted.CLIENT_LEFT
            self.emit(events.Abort(left.run.id))

    def on_tick(self, ev: base.Tick) -> None:
        """What time alone brings about."""
        follow.FollowMixin.tick_follow(self)
        self.expire_parked()
        self.expire()
        self.watch()
        if self.waiting:
            self.pump()

    def expire(self) -> None:
        """What can no longer be answered in time is refused as soon as that is known."""
        for waiting in list(self.waiting.values()):
            least = max(attempt.LEAST, self.typical(waiting.service) // 2)
            if self.stranded(waiting):
                self.refuse(waiting, "refused by the replica that it may go to", self.come_back(waiting))
            elif self.now >= self.limit(waiting) - least:
                self.refuse(waiting, "it could not be answered in time", self.come_back(waiting))

    def stranded(self, waiting: request.Request) -> bool:
        """Whether it may go only to replicas that hold its item no more, or take nothing new."""
        if waiting.spare():
            return False
        holders = self.holders(waiting.service, waiting.item)
        return not any(r in waiting.sent_to and self.open(r, self.rows[r]) for r in holders)

    def come_back(self, waiting: request.Request) -> int:
        """When a refused client may come back, in ms."""
        return max(attempt.SOON, self.item_status(waiting.item).retry_after_ms if waiting.item else 0)

    # the end

    def on_stop(self, ev: base.Stop) -> None:
        """Not ready from here on; what comes is still served."""
        self.stopped = True

    def on_finish(self, ev: events.Finish) -> None:
        """What waits is refused; attempts under way are stopped, and their ends tell what may be promised."""
        self.ending = True
        for request_id in self.parked:
            self.emit(events.Close(request_id, REFUSED, ENDING, attempt.SOON))
        self.parked = {}
        for waiting in list(self.waiting.values()):
            self.refuse(waiting, ENDING, attempt.SOON)
        for run in self.runs.values():
            if run.request in self.requests:
                run.aborted = request.Aborted.PROCESS_ENDS
                self.emit(events.Abort(run.id))
