"""Clients that belong to tenants and send their keys; some send none, or one that nobody ever had."""

import basaltport.simulation.routes.clients as clients
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.routes.tenant_versions as tenant_versions
import basaltport.simulation.routes.tenants as tenants

STRANGERS, KEYLESS = 0.01, 0.01
KEYLESS_ON_PUBLIC = 0.5
PUBLIC_KINDS = ("plain",)
LEAST_BURST = 1.0
MS_PER_S = 1000


class ExactBucket:
    """What a tenant may make, counted at one place: the measure of what it is owed."""

    def __init__(self, now: int, burst: float) -> None:
        """It is full. `exceeded_at`: when it was empty last, None where it never was."""
        self.filled_at, self.level = now, burst
        self.exceeded_at: int | None = None

    def admit(self, now: int, rate_per_s: float, burst: float) -> bool:
        """Whether one request more is within the limit, which counts it."""
        refill = rate_per_s * (now - self.filled_at) / MS_PER_S
        self.level, self.filled_at = min(burst, self.level + refill), now
        if self.level < 1:
            self.exceeded_at = now
            return False
        self.level -= 1
        return True


class TenantClientMixin(clients.ClientMixin):
    """Comes before the world. `keys_in_use`: by tenant the keys that its clients send, also such as were
    dropped; `tenant_shares`: of the usual traffic; `hot`: what tenants send beside that, a second."""

    versions: tenant_versions.Versions

    def clients_start(self) -> None:
        """The usual clients."""
        super().clients_start()
        self.keys_in_use = {row.name: list(row.keys) for row in tenants.first_tenants().values()}
        names = list(self.keys_in_use)
        self.tenant_shares = dict(zip(names, tenants.shares(len(names)), strict=True))
        self.hot: dict[str, float] = {}
        self.buckets: dict[str, ExactBucket] = {}
        self.next_tenant: str | None = None
        self.strangers = 0

    # keys

    def choose_key(self, operation: clients.Operation) -> None:
        """Whose client it is, and what it sends."""
        public = operation.kind in PUBLIC_KINDS
        operation.key = self.key_of_client(public)
        tenant = self.allowed_tenant(operation.key)
        if tenant is None:
            within = owed = public and operation.key is None
        else:
            within = self.is_within_limit(tenant)
            owed = within and self.is_quiet(tenant.name)
        self.record(tenant_rows.Keyed, operation.id, operation.key, public, within, owed)

    def key_of_client(self, public: bool) -> str | None:
        """The key of a client, None where it has none."""
        if self.next_tenant is not None:
            return self.key_of(self.next_tenant)
        point = self.rng.random()
        if point < (KEYLESS_ON_PUBLIC if public else KEYLESS):
            return None
        if point > 1 - STRANGERS:
            self.strangers += 1
            return f"stranger-{self.strangers}"
        names = list(self.tenant_shares)
        return self.key_of(self.rng.choices(names, list(self.tenant_shares.values()))[0])

    def key_of(self, tenant: str) -> str | None:
        """One of the keys that the clients of a tenant send."""
        keys = self.keys_in_use[tenant]
        return self.rng.choice(keys) if keys else None

    def allowed_tenant(self, key: str | None) -> tenants.Tenant | None:
        """The tenant that has a key by each configuration that may be in force, with the least of its limits;
        None where one of them doesn't know the key, or has it for another tenant."""
        now = self.elapsed()
        allowed = self.versions.allowed(now, now, self.timings.apply_ms)
        owners = {version.owners.get(key) for version in allowed}
        if len(owners) != 1 or None in owners:
            return None
        rows = [version.tenants[name] for version in allowed for name in owners if name is not None]
        return min(rows, key=lambda row: row.rate_per_s if row.is_limited else float("inf"))

    def is_within_limit(self, tenant: tenants.Tenant) -> bool:
        """Whether one request more is within a tenant's limit, which counts it."""
        if not tenant.is_limited:
            return True
        burst = max(LEAST_BURST, tenant.burst)
        bucket = self.buckets.setdefault(tenant.name, ExactBucket(self.now, burst))
        return bucket.admit(self.now, tenant.rate_per_s, burst)

    def is_quiet(self, tenant: str) -> bool:
        """Whether a tenant was within its limit all along a window."""
        bucket = self.buckets.get(tenant)
        if bucket is None or bucket.exceeded_at is None:
            return True
        return self.now - bucket.exceeded_at > MS_PER_S * self.timings.quota_window_s

    # traffic

    def heat(self, tenant: str, per_second: float) -> None:
        """From now on a tenant sends so much beside its usual; nothing with 0."""
        begins = not self.hot.get(tenant)
        self.hot[tenant] = per_second
        if begins and per_second:
            self.later(1, self.next_hot_operation, tenant)

    def next_hot_operation(self, tenant: str) -> None:
        """A request of a hot tenant, and when its next one comes."""
        per_second = self.hot.get(tenant)
        if not per_second or not self.mix:
            return
        mix = [part for part in self.mix if part.kind not in PUBLIC_KINDS]
        chosen = self.rng.choices(mix, [part.share for part in mix])[0]
        item, zone = self.rng.choice(chosen.items), self.rng.choice(self.zones)
        self.next_tenant = tenant
        self.start_operation(chosen.kind, item, zone, chosen.service)
        self.next_tenant = None
        pause = int(self.rng.expovariate(per_second / MS_PER_S))
        self.later(max(1, pause), self.next_hot_operation, tenant)
