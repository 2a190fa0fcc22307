"""Which proxies are in touch with the controllers, and which of them lack what was published long ago."""

import typing

import basaltport.simulation.routes.fleet_base as fleet_base
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.process_rows as process_rows

LOOK_MS = 50


class Published(typing.NamedTuple):
    """What a leader had published at a time: `messages` in its `term`."""

    time: int
    term: typing.Any
    messages: int


class TouchMixin(fleet_base.FleetBase):
    """Looks round every LOOK_MS. `core_upset`: when something last went wrong among the controllers."""

    def touch_start(self) -> None:
        """Nobody is in touch."""
        self.core, self.touching = set(), set()
        self.touch_shown: frozenset[str] = frozenset()
        self.in_reach_since: dict[str, int] = {}
        self.core_upset, self.calm = 0, False
        self.published: list[Published] = []

    def disturb(self, name: str) -> None:
        """A fault at a process: it is not in touch, nor is anyone if it is a controller."""
        self.in_reach_since.pop(name, None)
        self.touching.discard(name)
        if name in self.core:
            self.core_upset = self.now

    def joined(self, one: str, other: str) -> bool:
        """Whether messages pass both ways."""
        return (one, other) not in self.cuts and (other, one) not in self.cuts

    def look_round(self) -> None:
        """Which controllers reach most of them, and who is in touch with all of those."""
        most = self.core_in_reach()
        if not most:
            self.core_upset = self.now + self.timings.in_touch_ms
        calm = bool(most) and self.now - self.core_upset > self.timings.in_touch_ms
        if calm != self.calm:
            self.calm = calm
            self.record(process_rows.CoreInTouch, calm)
        for node in self.proxies():
            self.look_at_proxy(node, most)
        self.note_touch()
        self.note_stale()
        self.later(LOOK_MS, self.look_round)

    def core_in_reach(self) -> list[str]:
        """Controllers that run and reach most of all controllers."""
        running = [node.name for node in self.core_nodes() if node.member and not node.frozen]

        def reaches(name: str) -> int:
            """How many it reaches, itself included."""
            return sum(1 for other in running if name == other or self.joined(name, other))

        return [name for name in running if 2 * reaches(name) > len(self.core)]

    def look_at_proxy(self, node: nodes.Node, most: list[str]) -> None:
        """Whether a proxy is in touch with all of these controllers."""
        runs = node.member and not node.frozen and not node.member.stopped
        if not runs or not all(self.joined(node.name, name) for name in most):
            self.in_reach_since.pop(node.name, None)
            self.touching.discard(node.name)
            return
        since = self.in_reach_since.setdefault(node.name, self.now)
        if self.calm and self.now - since > self.timings.in_touch_ms:
            self.touching.add(node.name)
        else:
            self.touching.discard(node.name)

    def note_touch(self) -> None:
        """Tells who came in touch, and who is no longer."""
        for name in sorted(self.touching ^ self.touch_shown):
            self.record(process_rows.Touch, name, name in self.touching)
        self.touch_shown = frozenset(self.touching)

    def note_stale(self) -> None:
        """Proxies in touch that do not have the rows which their leader published `apply_ms` ago."""
        name = self.leader()
        leader = self.nodes[name].member if name else None
        if not leader or not leader.rows_known:
            self.published = []
            return
        if self.published and self.published[-1].term != leader.current_term:
            self.published = []
        self.published.append(Published(self.now, leader.current_term, leader.rows_version))
        while self.now - self.published[0].time > self.timings.apply_ms:
            self.note_stale_since(self.published.pop(0))

    def note_stale_since(self, published: Published) -> None:
        """Proxies in touch that lack something of this."""
        for name in sorted(self.touching):
            proxy = self.nodes[name].member
            behind = proxy.feed_term == published.term and proxy.rows_version < published.messages
            if proxy.feed_term < published.term or behind:
                self.record(process_rows.Stale, name, proxy.rows_version, published.messages)
