"""Operators that give and take keys, add and drop tenants, and raise and lower limits, also in series."""

import typing

import basaltport.simulation.routes.operator as operator
import basaltport.simulation.routes.tenant_clients as tenant_clients
import basaltport.simulation.routes.tenants as tenants

BEGINS_MS = 2500
"""From when a key is given until clients send it."""
STOPS_MS = 8000
"""From when a key is taken until its clients stop to send it."""
LEAST_TENANTS = 10
LOWER, HIGHER = 0.4, 2.0
NEW_TENANT_SHARE = 0.02

Edit = typing.Callable[[], object]


class TenantOperatorMixin(operator.OperatorMixin, tenant_clients.TenantClientMixin):
    """Comes before the world. `book`: the tenants of the next configuration; `given`: how many keys were
    given so far; `series`: which series of changes goes on, 0 where none does."""

    def operator_start(self) -> None:
        """The first tenants."""
        super().operator_start()
        self.book = tenants.first_tenants()
        self.given, self.added = 0, 0
        self.series = 0

    # edits: each goes into the next configuration that is sent

    def put(self, row: tenants.Tenant) -> None:
        """A tenant as it is to be from now on."""
        self.book[row.name] = row

    def put_keys(self, tenant: str, keys: typing.Iterable[str]) -> None:
        """A tenant with these keys instead."""
        self.put(self.book[tenant]._replace(keys=tuple(keys)))

    def give_key(self, tenant: str) -> str:
        """A tenant gets a key that nobody ever had; its clients soon send it."""
        self.given += 1
        key = f"given-{self.given}"
        self.put_keys(tenant, [*self.book[tenant].keys, key])
        self.later(BEGINS_MS, self.begin_to_send, tenant, key)
        return key

    def begin_to_send(self, tenant: str, key: str) -> None:
        """Its clients know the key."""
        self.keys_in_use[tenant].append(key)

    def take_key(self, tenant: str) -> None:
        """A tenant loses its oldest key, and gets another if it was the last; its clients go on to send it
        for a while."""
        key, *rest = self.book[tenant].keys
        self.put_keys(tenant, rest)
        if not rest:
            self.give_key(tenant)
        self.later(STOPS_MS, self.stop_to_send, tenant, key)

    def stop_to_send(self, tenant: str, key: str) -> None:
        """Its clients know that the key is gone."""
        keys = self.keys_in_use[tenant]
        if key in keys:
            keys.remove(key)

    def pass_key_on(self, tenant: str, other: str) -> None:
        """The oldest key of a tenant is another's from now on, and so are the clients that send it."""
        key, *rest = self.book[tenant].keys
        if not rest:
            return
        self.put_keys(tenant, rest)
        self.put_keys(other, [*self.book[other].keys, key])
        self.stop_to_send(tenant, key)
        self.begin_to_send(other, key)

    def add_tenant(self) -> str:
        """A tenant that was not there."""
        self.added += 1
        name = f"new-tenant-{self.added}"
        self.book[name] = tenants.Tenant(name, ())
        self.keys_in_use[name] = []
        self.tenant_shares[name] = NEW_TENANT_SHARE
        self.give_key(name)
        return name

    def drop_tenant(self, tenant: str) -> None:
        """A tenant is gone with its keys; its clients go on for a while."""
        if len(self.book) <= LEAST_TENANTS:
            return
        del self.book[tenant]
        self.hot.pop(tenant, None)
        self.later(STOPS_MS, self.tenant_shares.pop, tenant, None)

    def usual_rate(self, tenant: str) -> float:
        """Requests a second that a tenant makes as a rule."""
        return self.tenant_shares.get(tenant, NEW_TENANT_SHARE) * self.size.flow

    def limit(self, tenant: str, factor: float = tenants.LIMIT_FACTOR) -> None:
        """A tenant may make `factor` times its usual rate, and a second's worth at once."""
        rate_per_s = round(factor * self.usual_rate(tenant), 3)
        self.put(self.book[tenant]._replace(rate_per_s=rate_per_s, burst=rate_per_s))

    def limit_all(self, factor: float = tenants.LIMIT_FACTOR) -> None:
        """All tenants have limits."""
        for tenant in self.book:
            self.limit(tenant, factor)

    def scale_limit(self, tenant: str, factor: float) -> None:
        """A limit is another one from now on, if there is one."""
        row = self.book[tenant]
        self.put(row._replace(rate_per_s=row.rate_per_s * factor, burst=row.burst * factor))

    # series

    def any_tenant(self) -> str:
        """Some tenant that is in the next configuration."""
        return self.rng.choice(sorted(self.book))

    def large_tenant(self) -> str:
        """One of the largest that are there."""
        return self.rng.choice(list(self.book)[: tenants.LARGE])

    def edit_keys(self) -> None:
        """One random edit of keys or tenants."""
        edits: list[Edit] = [
            lambda: self.take_key(self.large_tenant()),
            lambda: self.take_key(self.any_tenant()),
            lambda: self.give_key(self.any_tenant()),
            lambda: self.pass_key_on(self.large_tenant(), self.any_tenant()),
            self.add_tenant,
            lambda: self.drop_tenant(self.rng.choice(list(self.book)[tenants.LARGE :])),
        ]
        self.rng.choices(edits, (4, 2, 2, 3, 1, 1))[0]()

    def is_changing(self) -> bool:
        """Whether a configuration that was sent has no clear answer yet."""
        return any(change.status is None and change.verb == "configure" for change in self.changes.values())

    def change_keys(self, every_ms: int) -> None:
        """From now on edits of keys in series, each sent once the one before has its answer; none with 0."""
        self.series += 1
        if every_ms:
            self.later(every_ms, self.next_key_change, every_ms, self.series)

    def next_key_change(self, every_ms: int, series: int) -> None:
        """One edit, and when the next comes."""
        if series != self.series:
            return
        self.edit_keys()
        if not self.is_changing():
            self.configure()
        self.later(every_ms, self.next_key_change, every_ms, series)
