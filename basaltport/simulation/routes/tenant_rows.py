"""The rows of a trace that tell of tenants: what was configured, which keys were sent, and for whom
replicas ran."""

import dataclasses

import basaltport.simulation.routes.tenants as tenants
import basaltport.simulation.trace as trace


@dataclasses.dataclass(frozen=True, slots=True)
class TenantsSent(trace.Row):
    """An operator begins to send a configuration with these tenants."""

    KIND = "tenants"
    change: str
    edition: int
    tenants: tuple[tenants.Tenant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Keyed(trace.Row):
    """The key of an operation, None where its client has none. `public`: its route needs none; `within`: the
    configuration allows it, and a count at one place would find it within its tenant's limit; `owed`: it is
    within, and so was all that its tenant sent lately, so that no other may be served in its place."""

    KIND = "keyed"
    operation: str
    key: str | None
    public: bool
    within: bool
    owed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TenantRan(trace.Row):
    """A replica begins to run a request for `tenant`, as it was told. `sent`: when its client sent it;
    `arrived`: when it reached the replica; `touch`: its proxy was in touch when it passed it on."""

    KIND = "tenant-ran"
    replica: str
    try_id: str
    operation: str
    node: str
    tenant: str
    sent: int
    arrived: int
    touch: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Alone(trace.Row):
    """A proxy can reach no controller, or can again."""

    KIND = "alone"
    node: str
    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BridgeCut(trace.Row):
    """Two zones can't reach each other, while others reach both."""

    KIND = "bridge-cut"
    zone: str
    other: str
