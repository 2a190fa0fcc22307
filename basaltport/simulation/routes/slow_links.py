"""Machines whose link has a bandwidth: messages leave and arrive one after another."""

import typing

import basaltport.frames as frames

BITS_PER_MBPS_AND_MS = 1000


class Direction(typing.NamedTuple):
    """One way of a machine's link; the two do not hinder each other."""

    name: str
    sends: bool


class SlowLinkMixin:
    """Comes before `Nodes`. `link_mbps`: bandwidth by process; those not named have no limit."""

    def slow_links_start(self) -> None:
        self.link_mbps: dict[str, float] = {}
        self.link_free_at: dict[Direction, float] = {}

    def do_send(self, n, e):
        to = self.by_addr.get(e.addr)
        if to is not None and (n.name, to.name) not in self.cuts:
            ways = [Direction(n.name, True), Direction(to.name, False)]
            slow = [way for way in ways if way.name in self.link_mbps]
            if slow:
                self.occupy(slow, (n.name, to.name), 8 * len(frames.pack(e.msg)))
        super().do_send(n, e)

    def occupy(self, ways: list[Direction], link: tuple[str, str], bits: int) -> None:
        """Each way is taken until the bits are through; what this pair sends next comes after them."""
        for way in ways:
            took = bits / (self.link_mbps[way.name] * BITS_PER_MBPS_AND_MS)
            free = max(self.link_free_at.get(way, 0.0), self.now) + took
            self.link_free_at[way] = free
            self.last[link] = max(self.last.get(link, 0), int(free))
