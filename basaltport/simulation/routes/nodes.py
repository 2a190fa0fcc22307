"""Controllers and proxies on virtual time, links and disks: their own reducers in one process."""

import copy
import random
import typing

import basaltport.consensus.quorum as quorum
import basaltport.controller.node as role
import basaltport.events as events
import basaltport.frames as frames
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.simulation.processes as processes
import basaltport.simulation.virtual_disk as virtual_disk
import basaltport.simulation.virtual_time as virtual_time

TICK_MS = 50
HELD_MS = 1500
RELEASE_CHECK_MS = 100
STOPPED_WITHIN_MS = 5000
BOOT_SPREAD_MS = 300
DELAY_MAX_MS = 11
SEEDS = 3
ID_BITS = 32

AgreedState = typing.Any
"""What members agree to."""

Answer = tuple[int, dict[str, typing.Any], identifiers.Millis]
Note = tuple[identifiers.Millis, str, int, dict[str, typing.Any]]


class Node(processes.Process):
    """One process at one address.

    `member_name`: the name it bears among members, which a replacing machine may share with its predecessor;
    `skew`: ms that its steady clock is ahead of the world's; `founders`: addresses that may found the
    cluster, on a first start only; `cluster_state`: the agreed state that was checked last."""

    def __init__(self, name: str, addr: str, disk: virtual_disk.VirtualDisk | None = None) -> None:
        """It does not run yet."""
        super().__init__(name, addr, disk)
        self.member_name, self.skew = name, 0
        self.founders: list[str] | None = None
        self.cluster_state: AgreedState = None


class Nodes(processes.Processes[Node]):
    """Controllers and proxies; who uses it gives `placement`, `proxy_of`, and effects beside Send and Write.

    Links keep their order and lose what is under way when the receiver restarts, as one connection does.
    `reordering` gives each message a delay of its own; `doubling` is the chance that it comes twice;
    `delay_max` the longest delay in ms; `across_incarnations` delivers to whoever lives at the address when
    it arrives; `lossy` is the share of messages that are lost; with `holding` a cut holds back what would
    arrive. `packed` sends each message as a frame's bytes."""

    def __init__(self, seed: int, controllers: int = 3, boot: bool = True, packed: bool = False) -> None:
        """So many controllers, which start at random within `BOOT_SPREAD_MS` if they are to `boot`."""
        super().__init__(seed)
        self.packed = packed
        self.lossy = 0.0
        self.reordering, self.doubling, self.delay_max, self.across_incarnations = (
            False,
            0.0,
            DELAY_MAX_MS,
            False,
        )
        self.agreed: dict[int, typing.Any] = {}
        self.answers: dict[str, typing.Any] = {}
        self.n = 0
        self.notes: list[Note] = []
        self.holding = True
        self.bytes = 0
        for i in range(controllers):
            self.add(f"k{i + 1}")
        self.seeds = [node.addr for node in self.nodes.values()][:SEEDS]
        for name in list(self.nodes) if boot else ():
            self.later(self.rng.randrange(0, BOOT_SPREAD_MS), self.boot, name, True)

    # what a world adds

    def placement(self) -> object:
        """What places models, for one controller."""
        raise NotImplementedError

    def proxy_of(self, me: member.Me, seed: int) -> processes.Reducer:
        """The reducer of a proxy."""
        raise NotImplementedError

    # nodes

    def add(self, name: str, disk: bool = True) -> Node:
        """A process at a new address; it does not run yet. Only controllers have a disk."""
        node = Node(name, self.address())
        node.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random())) if disk else None
        self.nodes[name] = self.by_addr[node.addr] = node
        return node

    def address(self) -> str:
        """An address that nobody had."""
        return f"10.0.0.{len(self.by_addr) + 1}:1"

    def zone_of(self, name: str) -> str:
        """The zone of a process."""
        return f"z-{name}"

    def boot(self, name: str, first: bool = False) -> None:
        """Starts a process; with `first` nothing can have been agreed before."""
        node = self.nodes[name]
        node.member = self.start_controller(node, first) if node.disk else self.start_proxy(node)
        node.incarnation, node.frozen, node.held, node.cluster_state = node.incarnation + 1, False, [], None
        self.started(node)
        self.tick(node, node.incarnation)

    def start_controller(self, node: Node, first: bool) -> processes.Reducer:
        """A controller's reducer, with what its disk holds."""
        held, current_term = node.disk.load().ok_value
        if not node.seat:
            node.seat = f"{node.member_name}-{self.rng.getrandbits(ID_BITS):08x}"
            node.founders = list(self.seeds) if first else None
        me = self.identity(node)
        seed = self.rng.getrandbits(ID_BITS)
        controller: typing.Any = role.Controller
        options = self.controller_options()
        return controller(me, seed, self.clock(node), held, current_term, self.placement(), **options)

    def controller_options(self) -> dict[str, typing.Any]:
        """What else controllers are started with."""
        return {}

    def start_proxy(self, node: Node) -> processes.Reducer:
        """A proxy's reducer."""
        return self.proxy_of(self.identity(node), self.rng.getrandbits(ID_BITS))

    def identity(self, node: Node) -> member.Me:
        """Who a process is among the members; those with a disk are controllers."""
        controls = node.disk is not None
        return member.Me(
            "house",
            identifiers.Name(node.member_name),
            identifiers.MemberId(node.seat),
            "ledger" if controls else "proxy",
            identifiers.Zone(self.zone_of(node.name)),
            node.addr,
            "",
            self.seeds,
            0,
            voters="ledgers" if controls else "seats",
            first_start=controls and node.founders is not None,
            founders=(node.founders or []) if controls else None,
        )

    def started(self, node: Node) -> None:
        """A process was made and has done nothing yet."""

    def clock(self, node: Node) -> identifiers.Millis:
        """The steady clock of a process."""
        return identifiers.Millis(self.now + node.skew)

    def proxy(self, name: str) -> processes.Reducer:
        """Starts a proxy and gives its reducer."""
        self.add(name, False)
        self.boot(name)
        return self.nodes[name].member

    def kill(self, name: str, power: bool = False, disk: bool = False) -> None:
        """The process ends; with `power` the bytes that are not synced go too, with `disk` the whole disk."""
        node = self.nodes[name]
        node.member, node.incarnation = None, node.incarnation + 1
        if node.disk is None:
            return
        if disk:
            node.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random()))
            node.seat, node.founders = "", None
            return
        if power:
            node.disk.power_loss()
        else:
            node.disk.finish_all()

    def stop(self, name: str) -> None:
        """The end that SIGTERM brings: the process goes once its member is released."""
        node = self.nodes[name]
        self.ask_to_stop(node)
        self.run(RELEASE_CHECK_MS)
        self.until(lambda: node.member is None or node.member.may_exit(), STOPPED_WITHIN_MS)
        self.kill(name)

    def ask_to_stop(self, node: Node) -> None:
        """SIGTERM."""
        self.step(node, events.Stop(self.clock(node)))

    def freeze(self, name: str, on: bool = True) -> None:
        """SIGSTOP, or SIGCONT: then what came meanwhile is delivered."""
        node = self.nodes[name]
        node.frozen = on
        if not on:
            held, node.held = node.held, []
            self.step(node, events.Tick(self.clock(node)))
            self.deliver_late(node, held)

    def tick(self, node: Node, incarnation: int) -> None:
        """The timer of a process."""
        if node.incarnation != incarnation:
            return
        if not node.frozen:
            self.step(node, events.Tick(self.clock(node)))
        self.later(TICK_MS, self.tick, node, incarnation)

    def step(self, node: Node, event: processes.Event) -> None:
        """One step of a reducer, with its effects; then the state that it agreed to is checked."""
        if node.member is None:
            return
        was = node.member.cluster_state.log_index
        self.carry_out(node, node.member.step(event))
        if node.member is not None:
            self.look(node, was)

    def look(self, node: Node, was: int) -> None:
        """One state for each log index, nothing taken back. A state that was checked is not checked again."""
        state = node.member.cluster_state
        if state is node.cluster_state:
            return
        node.cluster_state = state
        key = (
            tuple(state.term),
            str(state.configuration),
            sorted(state.evacuated_zones),
            sorted(state.members),
        )
        if state.log_index < was or self.agreed.setdefault(state.log_index, key) != key:
            self.differs(node, state)

    def differs(self, node: Node, state: AgreedState) -> None:
        """A process agreed to another state than others did, or to an older one than before."""
        raise AssertionError((node.name, state.log_index))

    def controllers(self) -> list[Node]:
        """Controllers that run."""
        return [node for node in self.nodes.values() if node.disk and node.member]

    def up(self) -> list[Node]:
        """Controllers that run and are not frozen."""
        return [node for node in self.controllers() if not node.frozen]

    def leader(self) -> str | None:
        """The name of the one that holds the leader's lease, or None."""
        holders = [
            (node.member.current_term, node.name)
            for node in self.up()
            if node.member.holds_lease_at(self.clock(node))
        ]
        return max(holders)[1] if holders else None

    def roster(self) -> list[str]:
        """Names of all that vote; while a member takes another's place, both."""
        leader = self.leader()
        assert leader is not None
        return sorted(
            record.name for record in quorum.voters(self.nodes[leader].member.cluster_state).values()
        )

    def settled(self, *names: str) -> bool:
        """Whether there is a leader whose agreed members are of these names, all of which run here, and no
        former members decide beside them."""
        leader = self.leader()
        if leader is None:
            return False
        state = self.nodes[leader].member.cluster_state
        if state.former_members is not None:
            return False
        member_ids = {node.seat for node in self.nodes.values()}
        return self.roster() == sorted(names) and state.members.keys() <= member_ids

    # links

    def part(self, left: typing.Collection[str]) -> None:
        """Cuts these processes off from all others."""
        for name in left:
            for other in self.nodes:
                if other not in left:
                    self.cut(name, other)

    def heal(self) -> None:
        """All links are whole, and what was held back comes."""
        self.cuts = set()
        self.release_held(HELD_MS)

    def keep(self, deliver: virtual_time.Callback, *args: object) -> None:
        """What a cut holds back comes once it heals, if that is soon; without `holding` it is lost."""
        if self.holding:
            self.held.append((self.now, deliver, args))

    def do_send(self, node: Node, effect: events.Send) -> None:
        """Sends a message to whoever is at the address."""
        receiver = self.by_addr.get(effect.addr)
        if receiver is None:
            return
        message = effect.msg
        if self.packed:
            raw = frames.pack(message)
            self.bytes += len(raw)
            message = frames.unpack(raw).unwrap()
        if (node.name, receiver.name) in self.cuts:
            self.keep(self.arrive, node, receiver, receiver.incarnation, message)
            return
        if self.rng.random() < self.lossy:
            return
        twice = self.doubling and self.rng.random() < self.doubling
        for sent in (message, copy.copy(message)) if twice else (message,):
            self.later(self.delay(node, receiver), self.arrive, node, receiver, receiver.incarnation, sent)

    def delay(self, node: Node, receiver: Node) -> float:
        """Ms that a message is under way."""
        delay = self.rng.randrange(1, self.delay_max + 1)
        if self.reordering:
            return delay
        return self.in_order((node.name, receiver.name), self.now + delay) - self.now

    def arrive(self, node: Node, receiver: Node, incarnation: int, message: object) -> None:
        """A message reaches the receiver, if the process that it was sent to still runs."""
        if self.across_incarnations:
            incarnation = receiver.incarnation
        if (node.name, receiver.name) in self.cuts:
            self.keep(self.arrive, node, receiver, incarnation, message)
            return
        self.give(receiver, incarnation, events.Heard(self.now, "", message))

    def do_note(self, node: Node, effect: events.Note) -> None:
        """Keeps an event that the member logs."""
        self.notes.append((self.now, node.name, effect.number, effect.fields))

    # operators

    def ask(self, name: str, verb: str, **body: object) -> str:
        """An operator's request at a process; its answer will stand in `answers` under the call's id."""
        self.n += 1
        call = f"c{self.n}"
        self.answers[call] = None
        node = self.nodes[name]
        event = events.Asked(self.now, call, verb, body, self.clock(node))
        self.give(node, node.incarnation, event)
        return call

    def do_answer(self, node: Node, effect: events.Answer) -> None:
        """Keeps the answer to an operator's request."""
        self.answers[effect.call] = (effect.status, effect.body, self.now)

    def asked(self, name: str, verb: str, ms: float = 4000, **body: object) -> tuple[int, typing.Any]:
        """Status and body of an answer, which must come within `ms`."""
        call = self.ask(name, verb, **body)
        assert self.until(lambda: self.answers[call], ms) is not None, (name, verb)
        status, response, _ = self.answers[call]
        return status, response
