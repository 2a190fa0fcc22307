"""The routed path's world with closer looks at its controllers: who holds, what is in force, who joins."""

import typing

import basaltport.events as events
import basaltport.placement.effects as effects
import basaltport.simulation.processes as processes
import basaltport.simulation.routes.control_operator as control_operator
import basaltport.simulation.routes.fleet_world as fleet_world
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.slow_links as slow_links

LOOK_MS = 10
END_AFTER_RELEASE_MS = 100
RELEASE_CHECK_MS = 20
GROWN_CONTROLLERS = 5
CATCH_UP_MS = {3: 4000, GROWN_CONTROLLERS: 6000}


class ControlWorld(slow_links.SlowLinkMixin, control_operator.ControlOperatorMixin, fleet_world.World):
    """`catch_up_ms`: how long a new or returned controller counts as lost; `list_reader`: the controller that
    read the list last."""

    def __init__(self, seed: int, preset: str = "small", packed: bool = False) -> None:
        """A fleet that is about to start."""
        self.slow_links_start()
        self.kept_shown: dict[tuple[str, int], typing.Any] = {}
        self.holders_seen: tuple[tuple[str, int], ...] = ()
        self.list_reader = ""
        super().__init__(seed, preset, packed)
        self.catch_up_ms = CATCH_UP_MS[self.size.controllers]
        self.later(0, self.look_at_holders)

    # what is seen

    def step(self, node: nodes.Node, event: processes.Event) -> None:
        """After each step of a controller: which configuration it has in force."""
        super().step(node, event)
        if node.disk is not None and node.member is not None:
            self.look_at_controller(node)

    def look_at_controller(self, node: nodes.Node) -> None:
        """Tells of a configuration that came in force."""
        document = node.member.cluster_state.configuration
        if document is None or document is self.kept_shown.get((node.name, node.incarnation)):
            return
        self.kept_shown[node.name, node.incarnation] = document
        edition, change = document["edition"], document["by"]
        self.record(process_rows.Kept, node.name, node.incarnation, edition, change)

    def look_at_holders(self) -> None:
        """Whenever it changes: who holds, with which edition in force, and what is acknowledged by then."""
        holders = [node for node in self.up() if node.member.holds_lease_at(self.now)]
        seen = tuple((node.name, self.edition_in_force(node)) for node in holders)
        behind = tuple(name for name, edition in seen if edition < self.edition)
        if seen != self.holders_seen or behind:
            names = tuple(name for name, _ in seen)
            self.record(process_rows.Holders, names, behind, self.edition)
        self.holders_seen = seen
        self.later(LOOK_MS, self.look_at_holders)

    def edition_in_force(self, node: nodes.Node) -> int:
        """The edition of the configuration that a process has; 0 where it has none."""
        return int((node.member.cluster_state.configuration or {}).get("edition", 0))

    def do_list(self, node: nodes.Node, effect: effects.List) -> None:
        """Remembers who reads the list."""
        self.list_reader = node.name
        super().do_list(node, effect)

    # joining and leaving

    def new_name(self) -> str:
        """A name that no controller has now."""
        return f"k{max(int(name[1:]) for name in self.core) + 1}"

    def add_controller(self, name: str, after: int = 0) -> None:
        """An empty controller starts at an address that nobody had."""
        self.add(name)
        self.core.add(name)
        self.disturb(name)
        self.later(after, self.boot, name)

    def remove_controller(self, name: str) -> None:
        """It is gone for good, with its disk."""
        self.kill(name, power=True)
        node = self.nodes.pop(name)
        node.member, node.incarnation = None, node.incarnation + 1
        self.core.discard(name)
        self.core_upset = self.now

    def retire_controller(self, name: str) -> None:
        """SIGTERM; its process ends once the others need its vote no more, and it is gone for good."""
        node = self.nodes[name]
        self.disturb(name)
        self.record(process_rows.Stop, name)
        self.step(node, events.Stop(self.now))
        self.later(RELEASE_CHECK_MS, self.retired, name, node)

    def retired(self, name: str, node: nodes.Node) -> None:
        """Whether it may end by now."""
        if self.nodes.get(name) is not node:
            return
        if node.member is not None and not node.member.may_exit():
            self.later(RELEASE_CHECK_MS, self.retired, name, node)
            return
        self.record(process_rows.Released, name)
        self.later(END_AFTER_RELEASE_MS, self.end_retired, name, node)

    def end_retired(self, name: str, node: nodes.Node) -> None:
        """It ends."""
        if self.nodes.get(name) is node:
            self.remove_controller(name)

    def lose_controller(self, name: str) -> None:
        """It loses power, and stays away."""
        if name in self.nodes and self.nodes[name].member is not None:
            self.kill(name, power=True)

    def point_seeds_at(self, names: list[str]) -> None:
        """Processes that start from now on know these addresses alone."""
        self.seeds = [self.nodes[name].addr for name in names]

    def caught_up(self, name: str) -> bool:
        """Whether it is a member with all that who leads has in force."""
        leader, node = self.leader(), self.nodes.get(name)
        if leader is None or node is None or node.member is None:
            return False
        state = self.nodes[leader].member.cluster_state
        return node.seat in state.members and bool(node.member.cluster_state.log_index >= state.log_index)
