"""What the parts of the proxy's reducer need of the node that they are part of."""

import collections.abc
import random
import typing

import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.routing as routing


class FleetView(typing.Protocol):
    """Who a proxy is, and what it knows of the fleet at this step.

    `now`: ms on its clock. `rows`: replicas by id, as the feed has them; replaced whole when any changes.
    `timings`: the deployment's bounds, see docs/design/platform.md. `zones`: how many there are.
    """

    now: identifiers.Millis
    rng: random.Random
    me: member.Me
    timings: collections.abc.Mapping[str, float]
    zones: int
    table: routing.RoutingTable
    rows: dict[str, replica_table.FeedRow]

    def peers(self) -> int:
        """How many proxies share limits that hold over all of them."""
        ...

    def evacuated_zones(self) -> collections.abc.Collection[str]:
        """Zones that take nothing new."""
        ...
