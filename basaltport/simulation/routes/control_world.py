"""The world of routes with closer looks at its control machines: who holds, what is in force, who joins."""

import basaltport.events as events
import basaltport.simulation.routes.control_operator as control_operator
import basaltport.simulation.routes.slow_links as slow_links
import basaltport.simulation.routes.fleet_world as fleetworld

LOOK = 10
END_AFTER_RELEASE = 100
RELEASE_LOOK = 20
GROWN_CONTROLLERS = 5
CATCH_UP_MS = {3: 4000, GROWN_CONTROLLERS: 6000}


class ControlWorld(slow_links.SlowLinkMixin, control_operator.ControlOperatorMixin, fleetworld.World):
    """`catch_up_ms`: how long a new or returned control machine counts as lost."""

    def __init__(self, seed, preset="small", packed=False):
        self.slow_links_start()
        self.kept_shown, self.holders_seen, self.list_reader = {}, (), ""
        super().__init__(seed, preset, packed)
        self.catch_up_ms = CATCH_UP_MS[self.preset["keepers"]]
        self.later(0, self.look_at_holders)

    # what is seen

    def step(self, n, ev):
        super().step(n, ev)
        if n.disk is not None and n.member is not None:
            self.check_controller(n)

    def check_controller(self, n) -> None:
        document = n.member.book["manifest"]
        if document is None or document is self.kept_shown.get((n.name, n.incarnation)):
            return
        self.kept_shown[n.name, n.incarnation] = document
        edition, change = document["edition"], document["by"]
        self.log("kept", node=n.name, incarnation=n.incarnation, edition=edition, change=change)

    def look_at_holders(self) -> None:
        """Whenever it changes: who holds, with which edition in force, and what is acknowledged by then."""
        seen = tuple((n.name, self.edition_in_force(n)) for n in self.up() if n.member.holds_at(self.now))
        behind = [name for name, edition in seen if edition < self.edition]
        if seen != self.holders_seen or behind:
            self.log("holders", nodes=[name for name, _ in seen], behind=behind, acked=self.edition)
        self.holders_seen = seen
        self.later(LOOK, self.look_at_holders)

    def edition_in_force(self, n) -> int:
        return (n.member.book["manifest"] or {}).get("edition", 0)

    def do_list(self, n, e):
        self.list_reader = n.name
        super().do_list(n, e)

    # joining and leaving

    def new_name(self) -> str:
        return f"k{max(int(name[1:]) for name in self.core) + 1}"

    def add_controller(self, name: str, after: int = 0) -> None:
        """An empty control machine starts at an address that nobody had."""
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
        self.log("stop", node=name)
        self.step(node, events.Stop(self.now))
        self.later(RELEASE_LOOK, self.retired, name, node)

    def retired(self, name: str, node) -> None:
        if self.nodes.get(name) is not node:
            return
        if node.member is not None and not node.member.released():
            self.later(RELEASE_LOOK, self.retired, name, node)
            return
        self.log("released", node=name)
        self.later(END_AFTER_RELEASE, self.end_retired, name, node)

    def end_retired(self, name: str, node) -> None:
        if self.nodes.get(name) is node:
            self.remove_controller(name)

    def lose_controller(self, name: str) -> None:
        """It loses power, and stays away."""
        if name in self.nodes and self.nodes[name].member is not None:
            self.kill(name, power=True)

    def point_seeds_at(self, names: list[str]) -> None:
        self.seeds = [self.nodes[name].addr for name in names]

    def caught_up(self, name: str) -> bool:
        """Whether it is a member with all that who leads has in force."""
        leader, node = self.leader(), self.nodes.get(name)
        if leader is None or node is None or node.member is None:
            return False
        book = self.nodes[leader].member.book
        return node.seat in book["roster"] and node.member.book["serial"] >= book["serial"]
