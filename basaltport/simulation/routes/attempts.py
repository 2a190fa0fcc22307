"""Attempts of proxies at replicas: what is sent, what is passed on, what is proven when one is lost."""

import typing

import basaltport.proxy.events as proxy_events
import basaltport.proxy.attempt_outcome as outcomes
import basaltport.simulation.routes.fleet_base as fleet_base
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.request_rows as request_rows

if typing.TYPE_CHECKING:
    import basaltport.simulation.routes.clients as clients
    import basaltport.simulation.routes.replicas as replicas

Outcome = outcomes.Outcome
CONNECT_MS = 400
PIECES = 4
STREAMS = ("stream", "resume")
WORK_MS = (40, 120)
COLD_FACTOR = 1.5
HANDSHAKES = 3
FAILS_WITH_ANSWER = 0.5
HANDED_BACK_STATUS = 421
REFUSED_STATUS = 503
FAILED_STATUS = 500
DONE_STATUS = 200
BLOCKED_MS = 100
FROZEN_MS = 50


class SentAttempt:
    """An attempt on its way from a proxy to a replica.

    `written`: its bytes may have gone out; `begun`: a part of the answer reached the proxy; `replica`: the
    one that has it; `arrived_at`: when it reached that; `pieces`: how many parts of the answer came;
    `piece_ms`: the time that one takes; `ended_at`: when it was over."""

    def __init__(
        self,
        node: nodes.Node,
        effect: proxy_events.Attempt,
        client_try: "clients.Try",
        item: str,
        sent_at: int,
    ) -> None:
        """The proxy wants it sent."""
        self.node, self.incarnation, self.effect = node, node.incarnation, effect
        self.client_try, self.item, self.sent_at = client_try, item, sent_at
        self.written = self.begun = self.over = self.touch = False
        self.replica: replicas.Replica | None = None
        self.pieces, self.piece_ms, self.arrived_at, self.ended_at = 0, 0.0, 0, 0

    @property
    def streams(self) -> bool:
        """Whether its answer is a stream, of which the client sees every part."""
        return self.client_try.operation.kind in STREAMS

    @property
    def alive(self) -> bool:
        """Whether it is not over and its proxy is still the same process."""
        return not self.over and self.node.incarnation == self.incarnation


class AttemptMixin(fleet_base.FleetBase):
    """Does for a proxy's reducer what its shell does."""

    def attempts_start(self) -> None:
        """Nothing was sent yet."""
        self.attempts = {}
        self.connected: set[fleet_base.AttemptKey | tuple[str, int, str]] = set()

    def do_attempt(self, node: nodes.Node, effect: proxy_events.Attempt) -> None:
        """Connects to the replica, or takes a connection that is kept, and sends the request."""
        item = node.member.requests[effect.request].item
        client_try = self.tries[node.name, node.incarnation, effect.request]
        attempt = SentAttempt(node, effect, client_try, item, self.now)
        self.attempts[node.name, node.incarnation, effect.attempt] = attempt
        client_try.attempts.append(attempt)
        attempt.touch = node.name in self.touching
        self.later(effect.remaining_ms, self.time_out, attempt)
        replica = self.at_place.get(effect.address)
        connection = (node.name, node.incarnation, effect.address)
        if replica is None:
            self.connected.discard(connection)
            self.later(self.rng.randrange(2, 8), self.lose, attempt, "refused to connect")
            return
        if connection not in self.connected and self.unreachable(node, replica):
            self.later(CONNECT_MS, self.lose, attempt, "no connection")
            return
        attempt.written = connection in self.connected
        delay = self.rng.randrange(1, 6) * (1 if attempt.written else HANDSHAKES)
        self.connected.add(connection)
        self.later(delay, self.arrives, attempt, replica)

    def unreachable(self, node: nodes.Node, replica: "replicas.Replica") -> bool:
        """Whether no connection can be made."""
        there, back = (node.name, replica.id), (replica.id, node.name)
        return replica.dark or there in self.cuts or back in self.cuts

    def arrives(self, attempt: SentAttempt, replica: "replicas.Replica") -> None:
        """The request reaches the replica, unless that is gone; a dark one never reads it."""
        if not attempt.alive:
            return
        if (attempt.node.name, replica.id) in self.cuts:
            self.keep(self.arrives, attempt, replica)
            return
        if self.at_place.get(replica.address) is not replica:
            self.lose(attempt, "reset")
            return
        attempt.written = True
        if replica.dark:
            return
        attempt.replica, attempt.arrived_at = replica, self.now
        verdict = replica.verdict(attempt)
        self.record_arrival(attempt, replica, verdict)
        if verdict == "run":
            self.begin(attempt, replica)
        elif verdict == "wait":
            replica.queue.append(attempt)
        else:
            attempt.replica = None
            handed_back = verdict in ("absent", "moved")
            status = HANDED_BACK_STATUS if handed_back else REFUSED_STATUS
            self.answer(attempt, Outcome(verdict), status)

    def record_arrival(self, attempt: SentAttempt, replica: "replicas.Replica", verdict: str) -> None:
        """What arrived where, for the checks."""
        self.record(
            request_rows.Arrive,
            replica.id,
            replica.zone,
            replica.service,
            attempt.client_try.id,
            attempt.node.name,
            self.elapsed(attempt.sent_at),
            attempt.touch,
            verdict,
            attempt.item,
            attempt.client_try.operation.service,
        )

    def begin(self, attempt: SentAttempt, replica: "replicas.Replica") -> None:
        """The replica begins to run it."""
        replica.running[id(attempt)] = attempt
        replica.runs[attempt.item.partition("/")[0]] += 1
        client_try = attempt.client_try
        operation = client_try.operation
        self.record(request_rows.Ran, replica.id, client_try.id, operation.id, operation.kind)
        slow = COLD_FACTOR if self.now < replica.cold_until else 1.0
        load = 1 + len(replica.running) / replica.slots
        attempt.piece_ms = self.rng.uniform(*WORK_MS) * replica.speed * slow * load
        attempt.pieces = client_try.pieces if attempt.streams else PIECES - 1
        fails = self.rng.random() < replica.failing
        self.later(int(attempt.piece_ms), self.fail if fails else self.piece, attempt, replica)

    def runs_on(self, attempt: SentAttempt, replica: "replicas.Replica") -> bool:
        """Whether the replica still runs it."""
        return replica.running.get(id(attempt)) is attempt

    def piece(self, attempt: SentAttempt, replica: "replicas.Replica") -> None:
        """One part of the answer; the last one ends it."""
        if not self.runs_on(attempt, replica):
            return
        if replica.dark or (replica.id, attempt.node.name) in self.cuts:
            self.later(BLOCKED_MS, self.piece, attempt, replica)
            return
        attempt.pieces += 1
        last = attempt.pieces >= PIECES
        if last:
            self.release_slot(attempt, replica)
        self.later(self.rng.randrange(1, 6), self.passed, attempt, attempt.pieces, last)
        if not last:
            self.later(int(attempt.piece_ms), self.piece, attempt, replica)

    def fail(self, attempt: SentAttempt, replica: "replicas.Replica") -> None:
        """An answer of failure, or one that breaks off."""
        if not self.runs_on(attempt, replica):
            return
        self.release_slot(attempt, replica)
        if self.rng.random() < FAILS_WITH_ANSWER:
            self.answer(attempt, Outcome.FAILED, FAILED_STATUS)
            return
        self.lose(attempt, "torn")

    def release_slot(self, attempt: SentAttempt, replica: "replicas.Replica") -> None:
        """Out of its slot; who waits there longest begins."""
        if replica.running.pop(id(attempt), None) is None:
            if attempt in replica.queue:
                replica.queue.remove(attempt)
            return
        replica.runs[attempt.item.partition("/")[0]] -= 1
        while replica.queue and len(replica.running) < replica.slots:
            self.begin_next(replica.queue.popleft(), replica)

    def begin_next(self, attempt: SentAttempt, replica: "replicas.Replica") -> None:
        """One that waited begins, if it may by now."""
        verdict = None if attempt.over else replica.verdict(attempt)
        if verdict == "run":
            self.begin(attempt, replica)
        elif verdict:
            attempt.replica = None
            outcome = Outcome.ABSENT if verdict == "absent" else Outcome.REFUSED
            self.answer(attempt, outcome, REFUSED_STATUS)

    def passed(self, attempt: SentAttempt, pieces: int, last: bool) -> None:
        """Bytes reach the proxy, and through it the client."""
        if not attempt.alive:
            return
        node, client_try = attempt.node, attempt.client_try
        if node.frozen:
            self.later(FROZEN_MS, self.passed, attempt, pieces, last)
            return
        attempt.begun = True
        if not client_try.over and attempt.streams:
            client_try.pieces = max(client_try.pieces, pieces)
        self.give(node, attempt.incarnation, proxy_events.Progress(self.now, attempt.effect.attempt))
        if last and not attempt.over:
            attempt.over, attempt.ended_at = True, self.now
            self.client_done(client_try)
            result = outcomes.Result(Outcome.DONE, DONE_STATUS)
            self.give(node, attempt.incarnation, proxy_events.Ended(self.now, attempt.effect.attempt, result))

    def answer(self, attempt: SentAttempt, outcome: outcomes.Outcome, status: int) -> None:
        """A whole answer of the replica is under way to the proxy."""
        self.later(self.rng.randrange(1, 6), self.end, attempt, outcome, status)

    def end(
        self,
        attempt: SentAttempt,
        outcome: outcomes.Outcome,
        status: int = 0,
        detail: str = "",
        resumes: bool = False,
    ) -> None:
        """The attempt's end at its proxy."""
        if not attempt.alive:
            return
        self.ended(attempt)
        result = outcomes.Result(outcome, status, detail, resumes)
        event = proxy_events.Ended(self.now, attempt.effect.attempt, result)
        self.give(attempt.node, attempt.incarnation, event)

    def ended(self, attempt: SentAttempt) -> None:
        """It is over, and its replica soon stops to work on it."""
        attempt.over, attempt.ended_at = True, self.now
        if attempt.replica is not None:
            self.later(1, self.release_slot, attempt, attempt.replica)

    def lose(self, attempt: SentAttempt, why: str, late: bool = False) -> None:
        """Tells what is proven of a connection that is lost, as the proxy's shell does."""
        if not attempt.written:
            self.end(attempt, Outcome.UNSENT, 0, why)
            return
        if attempt.begun and attempt.streams:
            resumes = attempt.client_try.operation.kind == "resume" and not late
            self.end(attempt, Outcome.CUT, 0, why, resumes)
            return
        self.end(attempt, Outcome.TIMED_OUT if late else Outcome.BROKEN, 0, why)

    def time_out(self, attempt: SentAttempt) -> None:
        """The client's time is over."""
        if attempt.alive:
            self.lose(attempt, "the time is over", True)

    def do_abort(self, node: nodes.Node, effect: proxy_events.Abort) -> None:
        """The proxy gives an attempt up."""
        attempt = self.attempts.get((node.name, node.incarnation, effect.attempt))
        if attempt:
            self.later(0, self.lose, attempt, "stopped")

    def drop_attempts(self, node: nodes.Node, incarnation: int) -> None:
        """The process is gone and its connections with it."""
        for key in [key for key in self.attempts if key[0] == node.name and key[1] == incarnation]:
            self.ended(self.attempts.pop(key))
