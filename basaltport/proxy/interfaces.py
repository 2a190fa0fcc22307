"""The interface of the node that the parts of the proxy's reducer use."""

import collections.abc
import random
import typing

import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.replica_table as replica_table
import basaltport.proxy.routing as routing


class FleetView(typing.Protocol):
    """The identity of a proxy and its view of the fleet in the current step.

    `now` is the proxy's clock in ms. `rows` holds replicas by id as received from the feed; the mapping is
    replaced, not modified, when any replica changes. `timings` holds the deployment's limits, see
    docs/design/platform.md. `zones` is the number of zones.
    """

    now: identifiers.Millis
    rng: random.Random
    me: member.Me
    timings: collections.abc.Mapping[str, float]
    zones: int
    table: routing.RoutingTable
    rows: dict[str, replica_table.FeedRow]
    unconfirmed_zones: frozenset[str]

    def proxy_count(self) -> int:
        """Returns about how many proxies there are, for the balance of load."""
        ...

    def max_proxy_count(self) -> int:
        """Returns how many proxies share the limits that hold over all proxies: never too few."""
        ...

    def evacuated_zones(self) -> collections.abc.Collection[str]:
        """Returns the zones that accept no new requests."""
        ...
