"""The whole routed path on virtual time: controllers, proxies, replicas, clients and operators."""

import dataclasses
import random
import typing

import basaltport.events as events
import basaltport.member as member
import basaltport.placement.machine as machine
import basaltport.proxy.node as relay
import basaltport.simulation.processes as processes
import basaltport.simulation.routes.attempts as attempts
import basaltport.simulation.routes.clients as clients
import basaltport.simulation.routes.document as document
import basaltport.simulation.routes.fleet_size as fleet_size
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.operator as operator
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.replica_rows as replica_rows
import basaltport.simulation.routes.replicas as replicas
import basaltport.simulation.routes.timings as timings
import basaltport.simulation.routes.touch as touch

ZONES = ("x", "y", "z")
REPLACED_MS = 500
REPLACED_UPSET_MS = 4000
RESTART_MS = 1000
END_CHECK_MS = 50
DRAIN_CONNECTIONS_MS = 2600
GRACE_SLACK_MS = 800
CONTROLLER_STOPS_MS = 200
READY_MS = 10_000
WARM_UP_MS = 4000
MS_PER_S = 1000

RARE_FROM = 8
HOT = 2
KIND_SHARES = (("safe", 0.5), ("once", 0.2), ("stream", 0.15), ("resume", 0.15))


class World(
    operator.OperatorMixin,
    clients.ClientMixin,
    attempts.AttemptMixin,
    replicas.ReplicaMixin,
    touch.TouchMixin,
):
    """A fleet of one of the sizes in `fleet_size.PRESETS`, about to start."""

    def __init__(self, seed: int, preset: str = "small", packed: bool = False) -> None:
        """Controllers, replicas and proxies start within `nodes.BOOT_SPREAD_MS`."""
        size = self.size = fleet_size.PRESETS[preset]
        self.zones = list(ZONES)
        self.trace, self.start = [], None
        self.timings = timings.Timings()
        self.lag, self.list_down, self.lost_answers, self.late_orders = 800, False, 0.0, 0.0
        self.mb = {f"m{i}": 70_000.0 for i in range(size.models)}
        self.adapter_mb, self.room, self.places = 66.0, 220_000.0, 8
        self.load_ms, self.disk_ms, self.loads_per_s, self.at_once = 600, 380, 2.0, 7
        self.slots, self.cold_rate = replicas.SLOTS, 8.0
        self.touch_start()
        self.shown_document: dict[tuple[str, int], typing.Any] = {}
        super().__init__(seed, size.controllers, True, packed)
        self.start = self.now
        self.core = {f"k{i + 1}" for i in range(size.controllers)}
        self.core_upset = self.now
        self.replicas_start()
        self.attempts_start()
        self.clients_start()
        self.operator_start()
        self.start_fleet()
        self.later(0, self.look_round)

    def start_fleet(self) -> None:
        """Replicas run at once; proxies are started at random within `nodes.BOOT_SPREAD_MS`."""
        size = self.size
        for i, held in enumerate(replicas.spread(list(self.mb), size.replicas, size.each)):
            self.start_replica("s", self.zones[i % 3], held)
        for i in range(size.plain):
            self.start_replica("t", self.zones[i % 3])
        for i in range(size.proxies):
            name = f"p{i + 1}"
            self.add(name, False)
            self.later(self.rng.randrange(0, nodes.BOOT_SPREAD_MS), self.boot, name)

    # what the processes are

    def zone_of(self, name: str) -> str:
        """Processes take turns."""
        return self.zones[(int(name[1:]) - 1) % 3]

    def placement(self) -> machine.Placement:
        """The real one."""
        return machine.Placement(random.Random(self.rng.getrandbits(nodes.ID_BITS)))

    def proxy_of(self, me: member.Me, seed: int) -> relay.ProxyNode:
        """The real one."""
        bounds = dataclasses.asdict(self.timings)
        return relay.ProxyNode(me, seed, self.now, bounds, len(self.zones))

    def document(self, edition: int, change: str) -> dict[str, typing.Any]:
        """The configuration of an edition, as a change of this id sends it."""
        return document.configuration(self, edition, change)

    # starts and ends

    def boot(self, name: str, first: bool = False) -> None:
        """Starts a process."""
        super().boot(name, first)
        self.record(process_rows.Boot, name, self.nodes[name].incarnation)
        self.disturb(name)

    def kill(self, name: str, power: bool = False, disk: bool = False) -> None:
        """Ends a process at once, if it runs."""
        node = self.nodes[name]
        if node.member is None and not disk:
            return
        self.record(process_rows.Kill, name, power, disk)
        self.disturb(name)
        if node.disk is None:
            self.cut_clients(node)
            incarnation = node.incarnation
            node.member, node.incarnation, node.held = None, node.incarnation + 1, []
            self.drop_attempts(node, incarnation)
            return
        super().kill(name, power, disk)

    def restart(self, name: str, power: bool = False, disk: bool = False, after: int = RESTART_MS) -> None:
        """Ends a process at once, and starts it again `after` ms."""
        if name not in self.nodes:
            return
        self.kill(name, power, disk)
        self.later(after, self.back, name)

    def back(self, name: str) -> None:
        """Starts a process that does not run."""
        if name in self.nodes and self.nodes[name].member is None:
            self.boot(name)

    def replace(self, name: str, after: int = REPLACED_MS) -> str:
        """A controller is gone for good; another with its role starts empty at another address."""
        self.kill(name, disk=True)
        node = self.nodes.pop(name)
        self.core.discard(name)
        newest = max(int(other[1:]) for other in self.nodes if other[0] == "k")
        new = f"k{newest + 1 + int(name[1:])}"
        self.by_addr[node.addr].member = None
        self.add(new)
        self.core.add(new)
        self.disturb(new)
        self.later(after, self.boot, new)
        self.later(after + REPLACED_UPSET_MS, self.disturb, new)
        return new

    def stop_proxy(self, name: str, after: int = REPLACED_MS) -> None:
        """SIGTERM: it says that it is not ready, finishes what it has, and starts again."""
        node = self.nodes[name]
        if node.member is None:
            return
        self.disturb(name)
        self.record(process_rows.Stop, name)
        self.step(node, events.Stop(self.now))
        end = self.now + MS_PER_S * self.timings.grace_s - GRACE_SLACK_MS
        self.later(DRAIN_CONNECTIONS_MS, self.restart_when_drained, node, node.incarnation, end, after)

    def restart_when_drained(self, node: nodes.Node, incarnation: int, end: int, after: int) -> None:
        """Restarts a proxy that is asked to end once it has no requests, or its time is over."""
        if node.incarnation != incarnation:
            return
        if node.member.requests and self.now < end:
            self.later(END_CHECK_MS, self.restart_when_drained, node, incarnation, end, after)
            return
        self.restart(node.name, after=after)

    def stop_controller(self, name: str, after: int = REPLACED_MS) -> None:
        """SIGTERM: a leader hands over; it ends soon and starts again."""
        node = self.nodes[name]
        if node.member is None or node.frozen:
            return
        self.disturb(name)
        self.record(process_rows.Stop, name)
        self.step(node, events.Stop(self.now))
        self.later(CONTROLLER_STOPS_MS, self.restart, name, False, False, after)

    # faults

    def unlist(self, on: bool = True) -> None:
        """The list can't be read, or can be again."""
        self.record(replica_rows.Unlisted, on)
        self.list_down = on

    def freeze(self, name: str, on: bool = True) -> None:
        """SIGSTOP, or SIGCONT."""
        node = self.nodes[name]
        if node.member is None or node.frozen == on:
            return
        self.record(process_rows.Freeze, name, on)
        self.disturb(name)
        super().freeze(name, on)
        self.disturb(name)

    def stall(self, name: str, on: bool = True) -> None:
        """A disk stalls, or goes on."""
        self.record(process_rows.Stall, name, on)
        self.disturb(name)
        super().stall(name, on)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Cuts a link between processes, or between a process and a replica."""
        super().cut(source, target, both)
        for name in (source, target):
            self.disturb(name)

    def heal(self) -> None:
        """All links are whole."""
        for source, target in sorted(self.cuts):
            self.disturb(source)
            self.disturb(target)
        self.record(process_rows.Heal)
        super().heal()

    def split(self, left: typing.Collection[str], hold: bool = True) -> None:
        """Cuts these processes off from all others; with `hold` the cuts hold messages back."""
        self.holding = hold
        self.record(process_rows.Split, tuple(sorted(left)), hold)
        self.part(set(left))

    # what is seen

    def differs(self, node: nodes.Node, state: nodes.AgreedState) -> None:
        """What is agreed differs: a finding of the checks."""
        self.record(process_rows.Differs, node.name, int(state.log_index))

    def step(self, node: nodes.Node, event: processes.Event) -> None:
        """After each step of a proxy: which configuration it has."""
        super().step(node, event)
        if node.name[0] != "p" or node.member is None:
            return
        shown = node.member.cluster_state.configuration
        if shown is not self.shown_document.get((node.name, node.incarnation)):
            self.shown_document[node.name, node.incarnation] = shown
            edition, change = shown["edition"], shown["by"]
            self.record(process_rows.Edition, node.name, node.incarnation, edition, change)

    # begin

    def ready(self) -> typing.Self:
        """Runs until the cluster is founded and configured and all proxies are ready."""
        self.must(self.configure)
        self.until(lambda: len(self.taken_in) == len(self.proxies()), READY_MS)
        self.run(WARM_UP_MS)
        return self

    def usual(self, flow: float | None = None) -> None:
        """The usual traffic: most for two hot models, some for a few others, a little for rare ones."""
        models = list(self.mb)
        hot, warm, rare = models[:HOT], models[HOT:RARE_FROM], models[RARE_FROM:]
        mix = []
        for share, items in ((50, hot), (30, warm), (4, rare)):
            for kind, part in KIND_SHARES:
                mix.append(clients.Mix(share * part, kind, items, "s"))
        mix.append(clients.Mix(4, "safe", [f"{models[0]}/a1", f"{models[1]}/a2"], "s"))
        mix.append(clients.Mix(10, "plain", [""], "t"))
        self.traffic(self.size.flow if flow is None else flow, mix)
