"""The operator: changes sent to any controller until there is a clear answer, and what was answered."""

import typing

import basaltport.events as events
import basaltport.simulation.routes.fleet_base as fleet_base
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.operator_rows as operator_rows

LINK_MS = 12
NO_ANSWER_MS = 1000
RETRY_MS = 150
RETRY_MAX_MS = 1000
CHANGE_MS = 60_000
ZONE_CHANGE_MS = 4000
READ_BACK_MS = 15_000
READ_PAUSE_MS = 100
ACKNOWLEDGED = 200
CLEAR_STATUSES = (200, 400, 409, 412)
ZONE_CHANGES = ("evacuate", "readmit")
"""Nothing tells a copy of one of these from a new one, as on the platform."""
GAVE_UP = 0

Then = typing.Callable[[int], object]


class Change:
    """A change that an operator sends until it is answered.

    `until`: when the operator gives up; `status`: the clear answer, GAVE_UP, or None as long as neither is
    there; `requested_at`: the controller that it was sent to last; `then`: called with the clear answer."""

    def __init__(
        self, change_id: str, verb: str, body: dict[str, typing.Any], until: int, then: Then | None
    ) -> None:
        """It was not sent yet."""
        self.id, self.verb, self.body, self.until, self.then = change_id, verb, body, until, then
        self.status: int | None = None
        self.requested_at = ""


class OperatorMixin(fleet_base.FleetBase):
    """The world's operators. `edition`: the newest that is acknowledged; `last_edition`: the newest sent."""

    def operator_start(self) -> None:
        """Nothing was changed yet."""
        self.changes = {}
        self.change_of: dict[str, Change] = {}
        self.edition, self.last_edition = 0, 0

    def ask(self, name: str, verb: str, **body: object) -> str:
        """A call's id. It arrives later, so that whoever asked knows the id before the answer comes."""
        self.n += 1
        call = f"c{self.n}"
        self.answers[call] = None
        node = self.nodes[name]
        event = events.Asked(self.now, call, verb, body, self.clock(node))
        self.later(self.rng.randrange(1, LINK_MS), self.give, node, node.incarnation, event)
        return call

    def order_change(
        self, verb: str, then: Then | None = None, ms: int = CHANGE_MS, **body: object
    ) -> Change:
        """Sends a change; `then(status)` once there is a clear answer."""
        change = Change(f"c{len(self.changes) + 1}", verb, body, self.now + ms, then)
        self.changes[change.id] = change
        zone, base = change.body.get("zone"), change.body.get("base")
        self.record(operator_rows.Change, change.id, verb, zone, base, self.last_edition)
        self.send_change(change)
        return change

    def send_change(self, change: Change, pause: int = RETRY_MS) -> None:
        """Sends a change to another controller than before, with a longer pause each time."""
        if change.status is not None:
            return
        if self.now > change.until:
            change.status = GAVE_UP
            self.record(operator_rows.Unclear, change.id)
            return
        longer = min(RETRY_MAX_MS, pause * 2)
        running = [node.name for node in self.core_nodes() if node.member]
        if not running:
            self.later(pause, self.send_change, change, longer)
            return
        others = [name for name in running if name != change.requested_at]
        change.requested_at = self.rng.choice(others or [change.requested_at])
        change_id = f"{change.id}-{self.n}" if change.verb in ZONE_CHANGES else change.id
        call = self.ask(change.requested_at, change.verb, change=change_id, **change.body)
        self.change_of[call] = change
        self.later(NO_ANSWER_MS, self.time_out_change, change, call, longer)

    def time_out_change(self, change: Change, call: str, pause: int) -> None:
        """No answer came in time."""
        if self.answers[call] is None:
            self.change_of.pop(call, None)
            self.send_change(change, pause)

    def do_answer(self, node: nodes.Node, effect: events.Answer) -> None:
        """An answer; an unclear one to a change makes the operator send it again."""
        super().do_answer(node, effect)
        change = self.change_of.pop(effect.call, None)
        if change is None or change.status is not None:
            return
        if effect.status not in CLEAR_STATUSES:
            self.later(RETRY_MS, self.send_change, change)
            return
        change.status = effect.status
        zone = change.body.get("zone")
        self.record(operator_rows.ChangeAnswered, change.id, change.verb, effect.status, zone)
        if change.verb == "configure" and effect.status == ACKNOWLEDGED:
            self.edition = max(self.edition, change.body["document"]["edition"])
        if change.then:
            change.then(effect.status)

    # changes

    def configure(self, base: int | None = None, then: Then | None = None) -> Change:
        """A whole configuration of the next edition, on top of the last known one."""
        self.last_edition = max(self.last_edition, self.edition) + self.rng.randrange(1, 4)
        document = self.document(self.last_edition, f"c{len(self.changes) + 1}")
        base = self.edition if base is None else base
        return self.order_change("configure", then, base=base, document=document)

    def race(self) -> list[Change]:
        """Two operators build on the same edition."""
        base = self.edition
        return [self.configure(base), self.configure(base)]

    def evacuate(self, zone: str, then: Then | None = None) -> Change:
        """No request is to be sent to this zone any more."""
        return self.order_change("evacuate", then, ZONE_CHANGE_MS, zone=zone)

    def readmit(self, zone: str, then: Then | None = None) -> Change:
        """Requests may be sent to this zone again."""
        return self.order_change("readmit", then, ZONE_CHANGE_MS, zone=zone)

    def must(self, send: typing.Callable[[], Change], ms: int = 20_000) -> Change:
        """Runs until a change is acknowledged."""
        change = send()
        answered = self.until(lambda: change.status is not None, ms) is not None
        if not answered or change.status != ACKNOWLEDGED:
            self.record(operator_rows.NotAcked, change.id, change.verb, change.status or GAVE_UP)
        return change

    def until_answered(self, changes: list[Change], ms: int) -> None:
        """Runs until each of these has its clear answer or is given up, or `ms` have gone by."""
        self.until(lambda: all(change.status is not None for change in changes), ms)

    def read_back(self, ms: int = READ_BACK_MS) -> dict[str, typing.Any] | None:
        """The configuration as a controller reads it back, or None."""
        end = self.now + ms
        while self.now < end:
            running = [node.name for node in self.core_nodes() if node.member and not node.frozen]
            answer = self.request_and_wait(self.rng.choice(running), "configuration") if running else None
            if answer and answer[0] == ACKNOWLEDGED:
                document: dict[str, typing.Any] | None = answer[1]["document"]
                return document
            self.run(READ_PAUSE_MS)
        return None

    def request_and_wait(self, name: str, verb: str) -> nodes.Answer | None:
        """The answer of a controller, or None where none comes in time."""
        call = self.ask(name, verb)
        self.until(lambda: self.answers[call], NO_ANSWER_MS)
        answer: nodes.Answer | None = self.answers[call]
        return answer
