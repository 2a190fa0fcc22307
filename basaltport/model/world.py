"""The model's world: controllers and proxies by their own reducers, machines, operators, checks."""

import collections
import traceback
import typing

import basaltport.events as events
import basaltport.fleet.messages as fleet_messages
import basaltport.controller.events as controller_events
import basaltport.member as member
import basaltport.messages as messages
import basaltport.model.checks as checks
import basaltport.model.finding as finding
import basaltport.model.interfaces as interfaces
import basaltport.model.linearizability as linearizability
import basaltport.model.machines as machines
import basaltport.model.operators as operators
import basaltport.model.standins as standins
import basaltport.placement.effects as effects
import basaltport.simulation.processes as processes
import basaltport.simulation.routes.nodes as nodes

REPLICAS = ("r1", "r2")
LIST_MS = 20
HELD_SHARE = 0.5
"""Of what a cut stops, what is held up and not lost."""
HELD_MS = 20_000
"""What was held up for longer is lost."""
LATE_MS = 400
"""What was held up comes within this time after the cut heals."""
OPERATORS = 3
OPERATOR_PAUSE_MS = 400
DOUBLED_SHARE = 0.02
DELAY_MS = 25


class World(nodes.Nodes):
    """Links lose, delay, double and reorder; what a cut holds up may come after it heals."""

    def __init__(self, seed: int, members: int = 3, bearable: bool = True, rough: bool = True) -> None:
        """Controllers are about to start; `rough` links delay, double and reorder."""
        self.bearable = bearable
        self.machines = machines.Machines([f"k{i + 1}" for i in range(members)])
        self.calls: dict[str, int] = {}
        self.waiting: dict[str, interfaces.AnswerCallback] = {}
        self.marks = 0
        self.well_at: dict[tuple[str, int], int] = {}
        self.well_since = 0
        self.retired: set[str] = set()
        self.zombies: set[str] = set()
        self.parted: collections.Counter[tuple[str, str]] = collections.Counter()
        self.checks = checks.Checks(self)
        self.passed_on: str | None = None
        """The call whose answer a member is just hearing of its leader."""
        super().__init__(seed, members)
        self.operators = [operators.Operator(self, f"op{i + 1}", OPERATOR_PAUSE_MS) for i in range(OPERATORS)]
        self.delay_max = 1
        if rough:
            self.reordering, self.across_incarnations = True, True
            self.doubling, self.delay_max = DOUBLED_SHARE, DELAY_MS
        self.later(checks.LOOK_MS, self.look_round)

    # stand-ins

    def placement(self) -> standins.Placement:
        """For each controller its own."""
        return standins.Placement(REPLICAS)

    def proxy_of(self, identity: member.Me, seed: int) -> standins.Proxy:
        """A proxy that only follows."""
        return standins.Proxy(identity, seed, self.now)

    def do_list(self, node: nodes.Node, effect: object) -> None:
        """The platform answers a little later."""
        self.later(LIST_MS, self.read_list, node, node.incarnation)

    def read_list(self, node: nodes.Node, incarnation: int) -> None:
        """Its answer comes."""
        rows = [{"id": r, "service": "s", "models": {}} for r in REPLICAS]
        listed: typing.Callable[..., processes.Event] = controller_events.Listed
        self.give(node, incarnation, listed(self.now, True, rows))

    def do_order(self, node: nodes.Node, effect: effects.Order) -> None:
        """An order to a replica."""
        self.checks.orders_replica(node, effect.replica, effect.fence)

    # checks

    def look(self, node: nodes.Node, was: int) -> None:
        """Checks after a step."""
        self.checks.stepped(node, was)

    def holds(self, node: nodes.Node) -> bool:
        """Whether a member may act as the only leader."""
        return bool(node.member.holds_lease_at(self.clock(node)))

    def look_round(self) -> None:
        """Checks over time."""
        self.later(checks.LOOK_MS, self.look_round)
        if not self.leader() or self.lossy or self.zombies:
            self.well_since = self.now + 1
        self.checks.look_round()

    def current(self) -> set[str]:
        """Processes that are part of the fleet, not replaced ones that live on."""
        proxies = {n.name for n in self.nodes.values() if not n.disk}
        return {m.node for m in self.machines.rows} | proxies

    def well(self) -> typing.Iterator[tuple[nodes.Node, int]]:
        """Processes that run and have no fault, and since when."""
        current = self.current()
        faulty = {machine.node for machine in self.machines.rows if machine.faults}
        faulty |= {name for pair in self.cuts if current.issuperset(pair) for name in pair}
        for name in sorted(current):
            node = self.nodes[name]
            key = (name, node.incarnation)
            if node.member is None or node.frozen or name in faulty:
                self.well_at.pop(key, None)
                continue
            yield node, self.well_at.setdefault(key, self.now)

    def add(self, name: str, disk: bool = True) -> nodes.Node:
        """A replaced process that lives on never hears of newer ones."""
        node = super().add(name, disk)
        for other in sorted(self.retired):
            self.part_links([(other, name), (name, other)])
        return node

    # links

    def do_send(self, node: nodes.Node, effect: events.Send) -> None:
        """What is sent is seen by the checks first."""
        msg = effect.msg
        self.checks.says(node, msg)
        if isinstance(msg, messages.Heartbeat):
            self.checks.heartbeat_sent(node, msg)
        elif isinstance(msg, fleet_messages.Update):
            self.checks.feeds(node)
        elif isinstance(msg, messages.Reply):
            self.checks.answers(node, msg.call, msg.status, msg.body)
        super().do_send(node, effect)

    def step(self, node: nodes.Node, event: processes.Event) -> None:
        """Acknowledgements are seen by the checks first."""
        if node.member is None:
            return
        message = event.msg if isinstance(event, events.Heard) else None
        if isinstance(message, messages.HeartbeatAck):
            self.checks.ack_heard(node, message)
        self.passed_on = message.call if isinstance(message, messages.Reply) else None
        if isinstance(event, events.Synced):
            self.checks.durable.synced(node, event.token, event.ok)
        try:
            super().step(node, event)
        except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as e:
            trace = traceback.extract_tb(e.__traceback__)[-1]
            facts = {"node": node.name, "error": repr(e), "at": f"{trace.filename}:{trace.lineno}"}
            raise finding.BrokenError(finding.Rule.CRASH, self.now, **facts) from e

    def do_write(self, node: nodes.Node, effect: events.Write) -> None:
        """What the disk will hold once it says so."""
        self.checks.durable.asked(node, effect.token, effect.records, effect.whole is not None)
        super().do_write(node, effect)

    def started(self, node: nodes.Node) -> None:
        """A start reads the disk."""
        if node.disk:
            self.checks.durable.started(node)

    def part_links(self, pairs: list[tuple[str, str]]) -> None:
        """Cuts these links once more; each is whole again when it was joined as often."""
        self.parted.update(pairs)
        self.cuts = set(self.parted)

    def join_links(self, pairs: list[tuple[str, str]]) -> None:
        """What whole links held up comes, unless it is too old."""
        self.parted.subtract(pairs)
        self.parted = +self.parted
        self.cuts = set(self.parted)
        held, self.held = self.held, []
        for at, callback, args in held:
            if (args[0].name, args[1].name) in self.cuts:
                self.held.append((at, callback, args))
            elif self.now - at < HELD_MS:
                self.later(self.rng.randrange(1, LATE_MS), callback, *args)

    def keep(self, callback: typing.Callable[..., object], *args: object) -> None:
        """A part of what a cut stops is only held up."""
        if self.rng.random() < HELD_SHARE:
            super().keep(callback, *args)

    # operators

    def next_mark(self) -> int:
        """Tells the content of one change from all others."""
        self.marks += 1
        return self.marks

    def reachable(self) -> list[str]:
        """Members that operators can ask: a frozen one takes the call and says nothing."""
        return sorted(n.name for n in self.controllers())

    def ask(self, name: str, verb: str, **body: object) -> str:
        """Remembers when the call was made."""
        self.calls[f"c{self.n + 1}"] = self.now
        return super().ask(name, verb, **body)

    def when_answered(self, call: str, patience_ms: int, callback: interfaces.AnswerCallback) -> None:
        """Once, with status and body, or with None after `patience_ms`."""
        if self.answers.get(call):
            callback(self.answers[call])
            return
        self.waiting[call] = callback
        self.later(patience_ms, self.give_up, call)

    def give_up(self, call: str) -> None:
        """The caller waits no longer."""
        callback = self.waiting.pop(call, None)
        if callback:
            callback(None)

    def do_answer(self, node: nodes.Node, effect: events.Answer) -> None:
        """The caller goes on."""
        super().do_answer(node, effect)
        was_checked = effect.call == self.passed_on and effect.call in self.checks.confirmed
        if node.member.leading and not was_checked:
            self.checks.answers(node, effect.call, effect.status, effect.body)
        callback = self.waiting.pop(effect.call, None)
        if callback:
            self.later(0, callback, self.answers[effect.call])

    def record(self, operation: linearizability.Operation) -> None:
        """One call more of the history."""
        self.checks.history.append(operation)

    def refused(self, change: str) -> None:
        """A change that an operator was told is not made."""
        self.checks.refuse(change)

    def finish(self) -> None:
        """The checks of the whole run."""
        for operator in self.operators:
            operator.finish()
        self.checks.finish()
