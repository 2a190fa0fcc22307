"""The tenants of a simulated fleet: a few large ones and many small ones, their keys and their limits."""

import collections.abc
import typing

COUNT = 30
SHARE_EXPONENT = 1.1
KEYS_OF_LARGE, KEYS_OF_SMALL = 3, 1
LARGE = 4
URGENCIES = 3
LIMIT_FACTOR = 1.6


class Tenant(typing.NamedTuple):
    """A tenant as a configuration has it; a rate of 0 is no limit."""

    name: str
    keys: tuple[str, ...]
    urgency: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit on its requests."""
        return self.rate_per_s > 0


def shares(count: int) -> list[float]:
    """The shares of traffic of so many tenants, the largest first."""
    weights = [1 / (rank + 1) ** SHARE_EXPONENT for rank in range(count)]
    return [weight / sum(weights) for weight in weights]


def first_tenants(count: int = COUNT) -> dict[str, Tenant]:
    """Tenants without limits, by name, the largest first."""
    found = {}
    for rank in range(count):
        name = f"tenant-{rank + 1}"
        keys = KEYS_OF_LARGE if rank < LARGE else KEYS_OF_SMALL
        found[name] = Tenant(name, tuple(f"key-{rank + 1}-{n + 1}" for n in range(keys)), rank % URGENCIES)
    return found


def section(tenants: collections.abc.Iterable[Tenant]) -> list[dict[str, typing.Any]]:
    """The tenants as a configuration has them."""
    rows = []
    for tenant in tenants:
        row: dict[str, typing.Any] = {"name": tenant.name, "keys": list(tenant.keys)}
        row["urgency"] = tenant.urgency
        if tenant.is_limited:
            row |= {"rate_per_s": tenant.rate_per_s, "burst": tenant.burst}
        rows.append(row)
    return rows
