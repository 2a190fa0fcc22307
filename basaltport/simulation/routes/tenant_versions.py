"""The configurations that operators sent, with their tenants, and which of them may be gone by at a time."""

import functools
import typing

import basaltport.simulation.routes.operator_rows as operator_rows
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.routes.tenants as tenants
import basaltport.simulation.trace as trace

ACKNOWLEDGED = 200
GAVE_UP = 0
NEVER = float("inf")


class Version:
    """A configuration: `acked_ms` is when it was acknowledged, `NEVER` where it was not; `refused`: an
    operator was told that it was not taken."""

    def __init__(
        self, edition: int, change: str, sent_ms: int, rows: typing.Iterable[tenants.Tenant]
    ) -> None:
        """It is about to be sent."""
        self.edition, self.change, self.sent_ms = edition, change, sent_ms
        self.acked_ms, self.refused = NEVER, False
        self.tenants = {row.name: row for row in rows}

    @functools.cached_property
    def owners(self) -> dict[str | None, str]:
        """The tenant of each key."""
        return {key: tenant.name for tenant in self.tenants.values() for key in tenant.keys}


class Versions:
    """All configurations of a run, in the order of their editions."""

    def __init__(self) -> None:
        """None was sent."""
        self.versions: list[Version] = []
        self.of_change: dict[str, Version] = {}

    def sent(self, edition: int, change: str, at_ms: int, rows: typing.Iterable[tenants.Tenant]) -> None:
        """An operator begins to send one."""
        version = Version(edition, change, at_ms, rows)
        self.versions.append(version)
        self.versions.sort(key=lambda known: known.edition)
        self.of_change[change] = version

    def answered(self, change: str, status: int, at_ms: int) -> None:
        """A change has its clear answer."""
        version = self.of_change.get(change)
        if version is None or status == GAVE_UP:
            return
        if status == ACKNOWLEDGED:
            version.acked_ms = min(version.acked_ms, at_ms)
        else:
            version.refused = True

    def allowed(self, sent_ms: float, until_ms: float, apply_ms: float) -> list[Version]:
        """Those by which a request may be handled that was sent at `sent_ms` and is handled by `until_ms`:
        the newest that was acknowledged more than `apply_ms` before, and what was sent after it."""
        binding = self.binding(sent_ms - apply_ms)
        first = binding.edition if binding else 0
        return [
            version
            for version in self.versions
            if version.edition >= first and version.sent_ms <= until_ms and not version.refused
        ]

    def binding(self, before_ms: float) -> Version | None:
        """The newest that was acknowledged before a time."""
        acked = [version for version in self.versions if version.acked_ms < before_ms]
        return acked[-1] if acked else None

    def sent_by(self, at_ms: float) -> list[Version]:
        """Those that were sent by a time, also what was refused."""
        return [version for version in self.versions if version.sent_ms <= at_ms]


def of(rows: trace.Trace) -> Versions:
    """What a trace tells of them."""
    versions = Versions()
    for row in rows:
        if isinstance(row, tenant_rows.TenantsSent):
            versions.sent(row.edition, row.change, row.at_ms, row.tenants)
        elif isinstance(row, operator_rows.ChangeAnswered):
            versions.answered(row.change, row.status, row.at_ms)
    return versions
