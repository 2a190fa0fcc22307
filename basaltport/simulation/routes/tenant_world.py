"""A fleet whose clients belong to tenants: keys, limits, and what replicas are told of them."""

import basaltport.events as events
import basaltport.simulation.routes.attempts as attempts
import basaltport.simulation.routes.document as document
import basaltport.simulation.routes.fleet_world as fleet_world
import basaltport.simulation.routes.nodes as nodes
import basaltport.simulation.routes.replicas as replicas
import basaltport.simulation.routes.tenant_clients as tenant_clients
import basaltport.simulation.routes.tenant_operator as tenant_operator
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.routes.tenant_versions as tenant_versions
import basaltport.simulation.routes.tenants as tenants


class TenantWorld(tenant_operator.TenantOperatorMixin, fleet_world.World):
    """A fleet with tenants. `versions`: the configurations that were sent; `alone`: proxies that can reach no
    controller."""

    def __init__(self, seed: int, preset: str = "small", packed: bool = False) -> None:
        """See `fleet_world.World`."""
        self.versions = tenant_versions.Versions()
        self.alone: frozenset[str] = frozenset()
        super().__init__(seed, preset, packed)

    # configurations

    def document(self, edition: int, change: str) -> document.Document:
        """The configuration with its tenants, for which some routes are public."""
        rows = tuple(self.book.values())
        self.versions.sent(edition, change, self.elapsed(), rows)
        self.record(tenant_rows.TenantsSent, change, edition, rows)
        sent = super().document(edition, change)
        for route in sent["routes"]:
            if route["name"] in tenant_clients.PUBLIC_KINDS:
                route["public"] = True
        return {**sent, "tenants": tenants.section(rows)}

    def do_answer(self, node: nodes.Node, effect: events.Answer) -> None:
        """An answer to an operator, which may tell that a configuration is taken."""
        change = self.change_of.get(effect.call)
        super().do_answer(node, effect)
        if change is not None and change.status is not None:
            self.versions.answered(change.id, change.status, self.elapsed())

    # requests

    def begin(self, attempt: attempts.SentAttempt, replica: replicas.Replica) -> None:
        """A replica begins to run a request for whom it was told."""
        client_try = attempt.client_try
        self.record(
            tenant_rows.TenantRan,
            replica.id,
            client_try.id,
            client_try.operation.id,
            attempt.node.name,
            str(attempt.effect.tenant),
            self.elapsed(client_try.sent_at),
            self.elapsed(attempt.arrived_at),
            attempt.touch,
        )
        super().begin(attempt, replica)

    # faults

    def freeze(self, name: str, on: bool = True) -> None:
        """SIGSTOP, or SIGCONT: then the process reads what clients had sent meanwhile."""
        super().freeze(name, on)
        incarnation = self.nodes[name].incarnation
        for (node, of, _), client_try in self.tries.items():
            if not on and (node, of) == (name, incarnation) and not client_try.over:
                client_try.read = True
        self.look_who_is_alone()

    def heal(self) -> None:
        """All links are whole."""
        super().heal()
        self.look_who_is_alone()

    def cut_bridge(self, zone: str, other: str) -> None:
        """Nothing passes between two zones any more, neither between processes nor to replicas."""
        self.record(tenant_rows.BridgeCut, zone, other)
        for left in self.in_zone(zone):
            for right in self.in_zone(other):
                if left in self.nodes or right in self.nodes:
                    self.cut(left, right)

    def in_zone(self, zone: str) -> list[str]:
        """Processes and replicas of a zone."""
        there = [name for name in self.nodes if self.zone_of(name) == zone]
        return there + [replica.id for replica in self.replicas.values() if replica.zone == zone]

    def add_proxy(self) -> str:
        """A proxy more."""
        newest = max(int(node.name[1:]) for node in self.proxies())
        name = f"p{newest + 1}"
        self.add(name, False)
        self.boot(name)
        return name

    def isolate_proxy(self, name: str) -> None:
        """A proxy can't reach any controller."""
        for controller in sorted(self.core):
            self.cut(name, controller)

    # what is seen

    def look_round(self) -> None:
        """Also which proxies can reach no controller."""
        super().look_round()
        self.look_who_is_alone()

    def look_who_is_alone(self) -> None:
        """Tells which proxies can reach no controller from now on, and which can again."""
        running = [node.name for node in self.core_nodes() if node.member and not node.frozen]
        alone = frozenset(
            node.name
            for node in self.proxies()
            if node.member and not any(self.joined(node.name, name) for name in running)
        )
        for name in sorted(alone ^ self.alone):
            self.record(tenant_rows.Alone, name, name in alone)
        self.alone = alone

    def hottest(self) -> str:
        """The largest tenant that is there."""
        shares = self.tenant_shares
        return max(self.book, key=lambda name: shares.get(name, 0.0))

    def coldest(self) -> str:
        """The smallest of the first tenants that is there."""
        shares = self.tenant_shares
        return min((name for name in self.book if name in shares), key=lambda name: shares[name])
