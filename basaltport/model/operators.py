"""Operators of the model: they read, change on what they read, race, and send again after lost answers."""

import collections.abc
import dataclasses

import basaltport.model.interfaces as interfaces
import basaltport.model.linearizability as linearizability

PATIENCE_MS = 1500
SEND_AGAIN_MS = 50
REPEATS = 4
STATUS_OK, STATUS_STALE = 200, 412
UNDECIDED = (503, 504)
REPEATED_SHARE = 0.3
Answer = interfaces.Answer
TimedCallback = collections.abc.Callable[[Answer | None, int], None]
"""Called with the answer, or None, and with when the call was made in virtual ms."""
LIMITS = {"header_bytes": 16384, "header_wait_ms": 3000, "idle_close_ms": 15000}
BODY_BYTES = 1_000_000


def configuration(edition: int, mark: int) -> interfaces.Body:
    """A configuration whose content tells who wrote it."""
    return {
        "edition": edition,
        "routes": [],
        "services": [],
        "limits": {**LIMITS, "body_bytes": BODY_BYTES + mark},
    }


def value_of(document: interfaces.Body | None) -> linearizability.Value:
    """The register's value that a configuration is."""
    if not document:
        return linearizability.Value()
    return linearizability.Value(document["edition"], str(document["limits"]["body_bytes"]))


@dataclasses.dataclass(slots=True)
class Order:
    """One change of one operator, under one change id however often it is sent."""

    change: str
    begin: int
    base: int
    value: linearizability.Value
    document: interfaces.Body
    sent: int = 0
    status: int | None = None


class Operator:
    """Reads, then changes what it read, again and again; `left` calls are still to make."""

    def __init__(self, world: interfaces.OperatedWorld, name: str, pause_ms: int) -> None:
        """`pause_ms`: the longest wait between two calls."""
        self.world = world
        self.name = name
        self.pause_ms = pause_ms
        self.left = 0
        self.count = 0
        self.seen = linearizability.Value()
        self.busy = False
        self.order: Order | None = None
        self.taken: list[Order] = []

    def make(self, changes: int) -> None:
        """So many changes more, each after a read."""
        self.left += changes
        if not self.busy:
            self.busy = True
            self._read()

    def _go_on(self) -> None:
        if self.left <= 0:
            self.busy = False
            return
        self.world.later(1 + self.world.rng.randrange(self.pause_ms + 1), self._read)

    def _member(self) -> str | None:
        names = self.world.reachable()
        return self.world.rng.choice(names) if names else None

    def _send(self, verb: str, callback: TimedCallback, **body: object) -> None:
        """Calls `callback` with the answer, or with None once patience is over."""
        name = self._member()
        if name is None:
            self.world.later(PATIENCE_MS, callback, None, self.world.now)
            return
        begin = self.world.now
        call = self.world.ask(name, verb, **body)
        self.world.when_answered(call, PATIENCE_MS, lambda answer: callback(answer, begin))

    # reads

    def _read(self) -> None:
        self._send("configuration", self._have_read)

    def _have_read(self, answer: Answer | None, begin: int) -> None:
        if answer is None or answer[0] != STATUS_OK:
            self.left -= 1
            self._go_on()
            return
        self.seen = value_of(answer[1]["document"])
        self.world.record(
            linearizability.Operation(self.name, linearizability.Kind.READ, begin, self.world.now, self.seen)
        )
        self._change()

    # changes

    def _change(self) -> None:
        self.count += 1
        self.left -= 1
        mark = self.world.next_mark()
        document = configuration(self.seen.version + 1, mark)
        order = Order(
            f"{self.name}-{self.count}", self.world.now, self.seen.version, value_of(document), document
        )
        self.order = order
        self._submit(order)

    def _submit(self, order: Order) -> None:
        order.sent += 1
        body = {"change": order.change, "base": order.base, "document": order.document}
        self._send("configure", lambda answer, begin: self._have_sent(order, answer, begin), **body)

    def _have_sent(self, order: Order, answer: Answer | None, begin: int) -> None:
        if answer and answer[0] in (STATUS_OK, STATUS_STALE):
            self._decided(order, answer[0], answer[1], begin)
            return
        if order.sent <= REPEATS:
            self.world.later(SEND_AGAIN_MS, self._submit, order)
            return
        self.finish()
        self._go_on()

    def _decided(self, order: Order, status: int, body: interfaces.Body, begin: int) -> None:
        self.order = None
        kind = linearizability.Kind
        now = self.world.now
        if status == STATUS_OK:
            self.world.record(
                linearizability.Operation(self.name, kind.CHANGE, order.begin, now, order.value, order.base)
            )
            self._maybe_repeat(order)
        else:
            value = linearizability.Value(body["edition"])
            self.world.refused(order.change)
            self.world.record(linearizability.Operation(self.name, kind.REFUSAL, begin, now, value))
        self._go_on()

    def finish(self) -> None:
        """Records the order that is open, if one is, as one whose outcome is not known."""
        order, self.order = self.order, None
        if order is None:
            return
        self.world.record(linearizability.unanswered(self.name, order.begin, order.base, order.value))

    def _maybe_repeat(self, order: Order) -> None:
        """Now and then one of those that were acknowledged is sent once more, as after a lost answer."""
        self.taken.append(order)
        if self.world.rng.random() >= REPEATED_SHARE:
            return
        order = self.world.rng.choice(self.taken)
        body = {"change": order.change, "base": order.base, "document": order.document}
        self._send("configure", lambda answer, begin: self._repeated(order, answer), **body)

    def _repeated(self, order: Order, answer: Answer | None) -> None:
        if answer and answer[0] not in (STATUS_OK, *UNDECIDED):
            self.world.refused(order.change)
