"""The links between simulated processes: which are cut, what a cut holds back, and in what order messages
come."""

import typing

import basaltport.identifiers as identifiers
import basaltport.simulation.virtual_time as virtual_time

HeldDelivery = tuple[identifiers.Millis, virtual_time.Callback, tuple[typing.Any, ...]]


class Links(virtual_time.VirtualTime):
    """Links in both directions between processes, by their names.

    `cuts`: the directions (from, to) in which nothing passes; `held`: deliveries that a cut holds back, each
    with the time since when."""

    def __init__(self, seed: int) -> None:
        """All links are whole."""
        super().__init__(seed)
        self.cuts: set[tuple[str, str]] = set()
        self.held: list[HeldDelivery] = []
        self.last_arrival: dict[tuple[typing.Any, ...], float] = {}

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Nothing passes in this direction any more; with `both`, nor in the other one."""
        self.cuts |= {(source, target), (target, source)} if both else {(source, target)}

    def in_order(self, link: tuple[typing.Any, ...], arrival: float) -> float:
        """When a message arrives that would arrive then, behind all that were sent before it on this link."""
        self.last_arrival[link] = max(self.last_arrival.get(link, 0), arrival)
        return self.last_arrival[link]

    def release_held(self, held_ms: float) -> None:
        """Delivers what was held back for less than `held_ms`; connections have dropped the rest."""
        held, self.held = self.held, []
        for since, deliver, args in held:
            if self.now - since < held_ms:
                self.later(1, deliver, *args)
