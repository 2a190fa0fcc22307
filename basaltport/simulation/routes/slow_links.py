"""Machines whose link has a bandwidth: messages leave and arrive one after another."""

import typing

import basaltport.events as events
import basaltport.frames as frames
import basaltport.simulation.routes.nodes as nodes

BITS_PER_BYTE = 8
BITS_PER_MBPS_AND_MS = 1000


class Direction(typing.NamedTuple):
    """One way of a machine's link; the two do not hinder each other."""

    name: str
    sends: bool


class SlowLinkMixin(nodes.Nodes):
    """Comes before the world. `link_mbps`: bandwidth by process; those not named have no limit;
    `link_free_at`: when a direction has sent all it was given."""

    def slow_links_start(self) -> None:
        """No link has a limit."""
        self.link_mbps: dict[str, float] = {}
        self.link_idle_at: dict[Direction, float] = {}

    def do_send(self, node: nodes.Node, effect: events.Send) -> None:
        """Sends a message; over a slow link it comes after what was sent before."""
        receiver = self.by_addr.get(effect.addr)
        if receiver is not None and (node.name, receiver.name) not in self.cuts:
            ways = [Direction(node.name, True), Direction(receiver.name, False)]
            slow = [way for way in ways if way.name in self.link_mbps]
            if slow:
                bits = BITS_PER_BYTE * len(frames.pack(effect.msg))
                self.occupy(slow, (node.name, receiver.name), bits)
        super().do_send(node, effect)

    def occupy(self, ways: list[Direction], link: tuple[str, str], bits: int) -> None:
        """Each way is taken until the bits are through; what this pair sends next comes after them."""
        for way in ways:
            took = bits / (self.link_mbps[way.name] * BITS_PER_MBPS_AND_MS)
            idle_at = max(self.link_idle_at.get(way, 0.0), self.now) + took
            self.link_idle_at[way] = idle_at
            self.in_order(link, int(idle_at))
