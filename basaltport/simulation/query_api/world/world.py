"""The simulator of the JSON API: the nodes' own reducers on virtual time, links and disks. One seed, one
run."""

import random
import typing

import result

import basaltport.events as events
import basaltport.frames as frames
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.query_api.events as query_events
import basaltport.query_api.log_node as log_node
import basaltport.query_api.query_node as query_node
import basaltport.simulation.processes as processes
import basaltport.simulation.query_api.world.backend as backend
import basaltport.simulation.query_api.world.clients as clients
import basaltport.simulation.query_api.world.operators as operators
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.query_api.world.streams as streams
import basaltport.simulation.query_api.world.world_base as world_base
import basaltport.simulation.virtual_disk as virtual_disk

Node = world_base.Node
TICK_MS = 25
BOOT_SPREAD_MS = 300
GRACE_MS = 10_000
GRACE_SLACK_MS = 500
LAST_MS = 100
SEED_BITS = 64
ID_BITS = 32
LEASED_EVENT = 42
"""The number of the event that a member logs when it takes a configuration up."""


class World(
    backend.BackendMixin,
    clients.ClientMixin,
    streams.StreamMixin,
    operators.OperatorMixin,
):
    """Nodes, replicas, clients and operators of one preset.

    `loss`, `twice`: shares of messages that are lost and doubled; `packed` sends every message as a frame's
    bytes; without it, the same messages go unpacked, faster."""

    def __init__(self, seed: int, preset: world_base.Preset, loss: float = 0.0, packed: bool = False) -> None:
        """Replicas run, nodes are not there yet."""
        super().__init__(seed)
        self.packed, self.preset = packed, preset
        self.start = self.now
        self.loss, self.twice, self.slow, self.hold = loss, 0.0, 1, None
        self.trace = []
        self.configuration = {}
        self.frames = self.moved = 0
        self.backend_start()
        self.clients_start()
        self.operators_start()

    def elapsed(self) -> int:
        """Ms since the run began."""
        return int(self.now - self.start)

    # nodes

    def build(self) -> None:
        """The nodes of the preset, which start at random within BOOT_SPREAD_MS."""
        preset = self.preset
        counts = ((world_base.LOG_NODE, preset.log_nodes), (world_base.QUERY_NODE, preset.query_nodes))
        for role, count in counts:
            for i in range(count):
                self.add_node(f"{role}-{i + 1}", role, f"z{i % preset.zones + 1}")
        for name in self.nodes:
            self.later(self.rng.randrange(0, BOOT_SPREAD_MS), self.boot, name)

    def add_node(self, name: str, role: str, zone: str) -> Node:
        """A node at a new address; it does not run yet."""
        node = Node(name, role, zone, f"10.0.0.{len(self.by_addr) + 1}:1")
        self.nodes[name] = node
        self.by_addr[node.addr] = node
        if role == world_base.LOG_NODE:
            node.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random()))
        return node

    def move(self, name: str) -> None:
        """A node that does not run gets another address."""
        node = self.nodes[name]
        del self.by_addr[node.addr]
        self.moved += 1
        node.addr = f"10.9.0.{self.moved}:1"
        self.by_addr[node.addr] = node

    def seeds(self) -> list[str]:
        """The addresses that every node knows from its settings."""
        names = (f"{world_base.LOG_NODE}-1", f"{world_base.QUERY_NODE}-1", f"{world_base.QUERY_NODE}-2")
        return [self.nodes[name].addr for name in names if name in self.nodes]

    def boot(self, name: str) -> None:
        """Starts a process, unless its disk can't be read."""
        node = self.nodes[name]
        new_id = f"{name}-{self.rng.getrandbits(ID_BITS):08x}"
        held, current_term = None, identifiers.Term()
        if node.disk is not None:
            loaded = node.disk.load()
            if isinstance(loaded, result.Err):
                node.reason = loaded.err_value
                self.record(rows.DiskRefused, name, node.reason)
                return
            held, current_term = loaded.ok_value
            new_id = node.seat = node.seat or new_id
        node.member = self.start_member(node, new_id, held, current_term)
        node.incarnation += 1
        node.frozen = node.stopping = False
        node.held = []
        self.record(rows.Boot, name, new_id)
        self.tick(name, node.incarnation)

    def start_member(
        self,
        node: Node,
        member_id: str,
        held: world_base.Document | None,
        current_term: identifiers.Term,
    ) -> processes.Reducer:
        """The reducer of a node, with what its disk holds."""
        preset = self.preset
        me = member.Me(
            preset.house,
            identifiers.Name(node.name),
            identifiers.MemberId(member_id),
            node.role,
            identifiers.Zone(node.zone),
            node.addr,
            node.addr,
            self.seeds(),
            preset.log_nodes + preset.query_nodes,
            preset.log_nodes,
        )
        seed = self.rng.getrandbits(SEED_BITS)
        log: typing.Any = log_node.LogNode
        query: typing.Any = query_node.QueryNode
        if node.role == world_base.LOG_NODE:
            return log(me, seed, self.now, held, current_term)
        return query(me, seed, self.now)

    def kill(self, name: str, power: bool = False, disk: bool = False) -> None:
        """The process ends; with `power` its unsynced bytes go, with `disk` its whole folder."""
        node = self.nodes[name]
        self.record(rows.Kill, name, power, disk)
        if node.member is not None:
            self.cut_clients(node)
        node.member = None
        node.incarnation += 1
        if node.disk is None:
            return
        if disk:
            node.disk = virtual_disk.VirtualDisk(random.Random(self.rng.random()))
            node.seat = ""
            return
        node.disk.power_loss()

    def stop(self, name: str) -> None:
        """The process ends in good order: what it holds is finished first, within GRACE_MS."""
        node = self.nodes[name]
        self.record(rows.Stop, name)
        node.stopping = True
        end = self.now + GRACE_MS
        takes_requests = node.role == world_base.QUERY_NODE

        def finished() -> bool:
            """Whether nothing is in flight, or the time is over."""
            in_flight = takes_requests and node.member is not None and node.member.requests
            return not in_flight or self.now >= end

        self.run_until(finished, GRACE_MS + GRACE_SLACK_MS)
        self.step(node, events.Stop(self.now))
        self.run(LAST_MS)
        self.kill(name)

    def freeze(self, name: str) -> None:
        """SIGSTOP."""
        self.record(rows.Freeze, name)
        self.nodes[name].frozen = True

    def wake(self, name: str) -> None:
        """SIGCONT: what came meanwhile is delivered."""
        node = self.nodes[name]
        if node.member is None or not node.frozen:
            return
        self.record(rows.Wake, name)
        node.frozen = False
        held, node.held = node.held, []
        self.deliver_late(node, held)

    def tick(self, name: str, incarnation: int) -> None:
        """The timer of a process; leases at an old configuration are told in the trace."""
        node = self.nodes[name]
        if node.incarnation != incarnation or node.member is None:
            return
        if not node.frozen:
            self.step(node, events.Tick(self.now))
            if node.role == world_base.QUERY_NODE and node.member.leased():
                version = node.member.cluster_state.configuration_version
                if version < self.acked:
                    self.record(rows.StaleLease, name, version, self.acked)
        self.later(TICK_MS, self.tick, name, incarnation)

    def step(self, node: Node, event: processes.Event) -> None:
        """One step of a reducer, with its effects; attempts that are lost are told in the trace."""
        if isinstance(event, query_events.AttemptEnded):
            lost = event.outcome in ("late", "broken") and event.detail != "abandoned"
            if lost:
                request_id = event.attempt_id.rsplit(".", 1)[0]
                self.record(rows.AttemptLost, node.name, request_id, event.outcome)
        self.carry_out(node, node.member.step(event))

    def leader(self) -> Node | None:
        """The node that leads and has committed something in its term, or None."""
        for node in self.nodes.values():
            if node.member is not None and node.role == world_base.LOG_NODE:
                if node.member.leading and node.member.has_committed_in_term():
                    return node
        return None

    # links

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Nothing passes in this direction any more; with `both`, nor in the other one."""
        self.record(rows.Cut, source, target, both)
        super().cut(source, target, both)

    def split(self, left: typing.Collection[str]) -> None:
        """Cuts these processes off from all others."""
        right = [name for name in self.nodes if name not in left]
        self.record(rows.Split, tuple(sorted(left)))
        for name in left:
            for other in right:
                super().cut(name, other)

    def bad_links(self, loss: float, twice: float, slow: int) -> None:
        """Messages are lost and doubled, as shares, and slow, by a factor."""
        self.record(rows.BadLinks, loss > 0 or slow > 1, loss, twice, slow)
        self.loss, self.twice, self.slow = loss, twice, slow

    def heal(self) -> None:
        """What links held back through the cut comes now, in its order, as far as they hold that long."""
        self.record(rows.Heal)
        self.cuts = set()
        self.release_held((self.hold or 0) + 1)

    def do_send(self, node: Node, effect: events.Send) -> None:
        """Sends a message to whoever is at the address."""
        receiver = self.by_addr.get(effect.addr)
        if receiver is None:
            return
        self.frames += 1
        message = frames.pack(effect.msg) if self.packed else effect.msg
        is_cut = (node.name, receiver.name) in self.cuts
        for _ in range(2 if self.rng.random() < self.twice else 1):
            if is_cut and self.hold is not None:
                self.held.append((self.now, self.arrive, (node.name, receiver, message)))
                continue
            if is_cut or self.rng.random() < self.loss:
                continue
            self.at(self.arrival(node, receiver), self.arrive, node.name, receiver, message)

    def arrival(self, node: Node, receiver: Node) -> float:
        """When a message arrives: links keep order, save where messages are lost and doubled."""
        time = self.now + (self.rng.randrange(1, 4) * self.slow if receiver is not node else 0)
        if self.loss:
            return time
        link = (node.name, receiver.name, node.incarnation, receiver.incarnation)
        return self.in_order(link, time)

    def arrive(self, source: str, receiver: Node, message: object) -> None:
        """A message reaches whoever runs at the receiver's address by then."""
        if (source, receiver.name) in self.cuts or receiver.member is None:
            return
        if isinstance(message, bytes):
            message = frames.unpack(message).unwrap()
        self.give(receiver, receiver.incarnation, events.Heard(self.now, source, message))

    # disks, events

    def stall(self, name: str, on: bool = True) -> None:
        """A disk stalls, or goes on."""
        self.record(rows.Stall, name, on)
        super().stall(name, on)

    def fill(self, name: str, on: bool) -> None:
        """A disk is full, or no longer."""
        self.record(rows.Full, name, on)
        self.nodes[name].disk.full = on

    def do_note(self, node: Node, effect: events.Note) -> None:
        """A member logs an event."""
        leased = node.member.leased() if effect.number == LEASED_EVENT else None
        member_id, fields = node.member.me.seat, dict(effect.fields)
        self.record(rows.NoteLogged, node.name, member_id, effect.number, fields, leased)
