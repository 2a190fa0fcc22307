"""The simulator's operators: requests at nodes, their answers, and changes that are repeated."""

import typing

import basaltport.events as events
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.world_base as world_base

Document = world_base.Document
Answer = tuple[int, Document]
Then = typing.Callable[[int, Document], object]

ACKNOWLEDGED = 200
ANSWER_MS = 8000
CHANGE_MS = 20_000
PAUSE_MS = 100
POLL_MS = 25
ID_BITS = 40


class OperatorMixin(world_base.WorldBase):
    """`calls`: answers by call, None as long as there is none; `acked`: the newest version of the
    configuration that was acknowledged."""

    def operators_start(self) -> None:
        """Nothing was requested yet."""
        self.calls: dict[str, Answer | None] = {}
        self.verbs: dict[str, str] = {}
        self.then: dict[str, Then] = {}
        self.call_count = 0
        self.acked = 0

    def run_until(self, test: typing.Callable[[], object], ms: float) -> bool:
        """True as soon as the test holds, looking every POLL_MS; False if it does not in time."""
        end = self.now + ms
        while self.now < end:
            if test():
                return True
            self.run(POLL_MS)
        return bool(test())

    def live(self, role: str = world_base.QUERY_NODE) -> list[world_base.Node]:
        """The nodes of a role that run and are not frozen."""
        return [
            node
            for node in self.nodes.values()
            if node.role == role and node.member is not None and not node.frozen
        ]

    def ask(self, name: str, verb: str, body: Document, then: Then | None = None) -> str:
        """An operator's request at a node; the answer is kept under the call's id."""
        node = self.nodes[name]
        self.call_count += 1
        call = f"call-{self.call_count}"
        self.calls[call] = None
        self.verbs[call] = verb
        listed = tuple(sorted(body["replicas"])) if verb == "platform" else None
        change, zone, replica = body.get("change"), body.get("zone"), body.get("replica")
        version = body.get("if_serial")
        self.record(rows.Asked, call, name, verb, change, zone, replica, version, listed)
        if then:
            self.then[call] = then
        self.give(node, node.incarnation, events.Asked(self.now, call, verb, body))
        return call

    def do_answer(self, node: world_base.Node, effect: events.Answer) -> None:
        """A node answers an operator."""
        call, body = effect.call, effect.body
        self.calls[call] = (effect.status, body)
        if body.get("outcome") == "acknowledged" and self.verbs.get(call) in ("apply", "patch"):
            self.acked = max(self.acked, body["serial"])
        version = body["history"][-1]["serial"] if body.get("history") else body.get("serial")
        outcome, change, changed = body.get("outcome"), body.get("change"), body.get("changed")
        status = effect.status
        self.record(rows.Answered, call, node.name, status, outcome, version, change, changed)
        then = self.then.pop(call, None)
        if then:
            then(effect.status, effect.body)

    def asked(self, name: str, verb: str, body: Document | None = None, ms: int = ANSWER_MS) -> Answer | None:
        """Requests and runs until the answer is here."""
        call = self.ask(name, verb, body or {})
        self.run_until(lambda: self.calls[call] is not None, ms)
        return self.calls[call]

    def must(self, verb: str, body: Document, ms: int = CHANGE_MS) -> Answer:
        """Repeats a change at live nodes, by its id, until it is acknowledged."""
        body = {"change": f"must-{self.rng.getrandbits(ID_BITS):x}", **body}
        end = self.now + ms
        answer: Answer | None = None
        while self.now < end:
            live = self.live() or self.live(world_base.LOG_NODE)
            answer = self.asked(self.rng.choice(live).name, verb, dict(body)) if live else None
            if answer and answer[0] == ACKNOWLEDGED:
                return answer
            self.run(PAUSE_MS)
        raise AssertionError(f"{verb} not acknowledged in {ms} ms: {answer}")
