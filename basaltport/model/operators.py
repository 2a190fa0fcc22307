"""Operators of the model: they read, change on what they read, race, and send again after lost answers."""

import dataclasses
import typing

import basaltport.model.linearizability as linearizability

PATIENCE = 1500
REPEATS = 4
LIMITS = {"header_bytes": 16384, "header_wait_ms": 3000, "idle_close_ms": 15000}
BODY_BYTES = 1_000_000


def document(edition: int, mark: int) -> dict:
    """A configuration whose content tells who wrote it."""
    return {
        "edition": edition,
        "routes": [],
        "services": [],
        "limits": {**LIMITS, "body_bytes": BODY_BYTES + mark},
    }


def value_of(doc: dict | None) -> linearizability.Value:
    if not doc:
        return linearizability.Value()
    return linearizability.Value(doc["edition"], str(doc["limits"]["body_bytes"]))


@dataclasses.dataclass(slots=True)
class Order:
    """One change of one operator, under one change id however often it is sent."""

    change: str
    begin: int
    base: int
    value: linearizability.Value
    document: dict
    sent: int = 0
    status: int | None = None


class Operator:
    """Reads, then changes what it read, again and again; `left` calls are still to make."""

    def __init__(self, world: typing.Any, name: str, pause: int) -> None:
        self.world = world
        self.name = name
        self.pause = pause
        self.left = 0
        self.count = 0
        self.seen = linearizability.Value()
        self.busy = False
        self.order: Order | None = None

    def make(self, changes: int) -> None:
        self.left += changes
        if not self.busy:
            self.busy = True
            self.read()

    def go_on(self) -> None:
        if self.left <= 0:
            self.busy = False
            return
        self.world.later(1 + self.world.rng.randrange(self.pause + 1), self.read)

    def member(self) -> str | None:
        names = self.world.reachable()
        return self.world.rng.choice(names) if names else None

    def send(self, verb: str, then: typing.Callable, **body: object) -> None:
        """Calls `then` with the answer, or with None once patience is over."""
        name = self.member()
        if name is None:
            self.world.later(PATIENCE, then, None, self.world.now)
            return
        begin = self.world.now
        call = self.world.ask(name, verb, **body)
        self.world.when_answered(call, PATIENCE, lambda answer: then(answer, begin))

    # reads

    def read(self) -> None:
        self.send("configuration", self.have_read)

    def have_read(self, answer: tuple | None, begin: int) -> None:
        if answer is None or answer[0] != 200:
            self.left -= 1
            self.go_on()
            return
        self.seen = value_of(answer[1]["document"])
        self.world.record(
            linearizability.Operation(self.name, linearizability.Kind.READ, begin, self.world.now, self.seen)
        )
        self.change()

    # changes

    def change(self) -> None:
        self.count += 1
        self.left -= 1
        mark = self.world.next_mark()
        doc = document(self.seen.version + 1, mark)
        order = Order(f"{self.name}-{self.count}", self.world.now, self.seen.version, value_of(doc), doc)
        self.order = order
        self.submit(order)

    def submit(self, order: Order) -> None:
        order.sent += 1
        body = {"change": order.change, "base": order.base, "document": order.document}
        self.send("configure", lambda answer, begin: self.have_sent(order, answer, begin), **body)

    def have_sent(self, order: Order, answer: tuple | None, begin: int) -> None:
        status = answer[0] if answer else None
        if status in (200, 412):
            self.settled(order, status, answer[1], begin)
            return
        if order.sent <= REPEATS:
            self.world.later(50, self.submit, order)
            return
        self.finish()
        self.go_on()

    def settled(self, order: Order, status: int, body: dict, begin: int) -> None:
        self.order = None
        kind = linearizability.Kind
        now = self.world.now
        if status == 200:
            self.world.record(
                linearizability.Operation(self.name, kind.CHANGE, order.begin, now, order.value, order.base)
            )
            self.maybe_repeat(order)
        else:
            value = linearizability.Value(body["edition"])
            self.world.refused(order.change)
            self.world.record(linearizability.Operation(self.name, kind.REFUSAL, begin, now, value))
        self.go_on()

    def finish(self) -> None:
        """Nobody told what came of the order that is open, if one is."""
        order, self.order = self.order, None
        if order is None:
            return
        self.world.record(linearizability.unanswered(self.name, order.begin, order.base, order.value))

    def maybe_repeat(self, order: Order) -> None:
        """Now and then what was acknowledged is sent once more, as after a lost answer."""
        if self.world.rng.random() >= 0.3:
            return
        body = {"change": order.change, "base": order.base, "document": order.document}
        self.send("configure", lambda answer, begin: self.repeated(order, answer), **body)

    def repeated(self, order: Order, answer: tuple | None) -> None:
        if answer and answer[0] not in (200, 503, 504):
            self.world.refused(order.change)
