"""What must hold of the limits of tenants, checked over a trace."""

import bisect
import collections
import collections.abc
import typing

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.request_rows as request_rows
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.routes.tenant_versions as tenant_versions
import basaltport.simulation.routes.timeline as timeline
import basaltport.simulation.routes.timings as timings
import basaltport.simulation.trace as trace

Finding = finding.Finding
MS_PER_S = 1000
NEVER = float("inf")
NEGLECTED_SHARE = 0.25
"""A tenant is neglected whose requests are served less than this share as often as all."""
FEW = 12
"""Requests of a tenant below which the share that is served tells nothing."""


class Run(typing.NamedTuple):
    """A request of a tenant that a replica ran: when it was sent, and when it arrived there."""

    sent: int
    arrived: int


class Bound(typing.NamedTuple):
    """What a version lets a tenant make in a window, from when on that binds."""

    binds_ms: float
    version: tenant_versions.Version


def quota(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """In any `quota_window_s`, the requests of a tenant that were sent in it and arrived in it at a replica
    that ran them, over all proxies, in touch or not, are at most (rate x window + burst) x (1 + excess) +
    slack. A lower limit binds windows that begin once all proxies have been in touch `apply_ms` past its
    acknowledgement."""
    versions = tenant_versions.of(rows)
    bounds = binding_bounds(rows, versions, facts.timings)
    findings = []
    for tenant, runs in sorted(runs_of_tenants(rows, versions).items()):
        findings += over_limit(tenant, runs, bounds, versions, facts.timings)
    return findings


def runs_of_tenants(rows: trace.Trace, versions: tenant_versions.Versions) -> dict[str, list[Run]]:
    """By tenant what ran, in the order in which it was sent; of a request that ran more than once the first
    run. Where a replica was told no tenant, it is the newest that had the key."""
    keys = {row.operation: row.key for row in trace.of_kind(rows, tenant_rows.Keyed)}
    seen: set[str] = set()
    runs = collections.defaultdict(list)
    for row in trace.of_kind(rows, tenant_rows.TenantRan):
        key = keys[row.operation]
        tenant = row.tenant or newest_owner(versions, key, row.at_ms)
        if tenant and row.try_id not in seen:
            seen.add(row.try_id)
            runs[tenant].append(Run(row.sent, row.arrived))
    return {tenant: sorted(known) for tenant, known in runs.items()}


def newest_owner(versions: tenant_versions.Versions, key: str | None, at_ms: int) -> str:
    """The tenant that had a key last, or an empty string."""
    owners = [
        version.owners[key]
        for version in versions.sent_by(at_ms)
        if key is not None and key in version.owners
    ]
    return owners[-1] if owners else ""


def binding_bounds(
    rows: trace.Trace, versions: tenant_versions.Versions, bounds: timings.Timings
) -> list[Bound]:
    """Each acknowledged version, and when all proxies have been in touch `apply_ms` past that."""
    first_boots: dict[str, int] = {}
    for boot in trace.of_kind(rows, process_rows.Boot):
        first_boots.setdefault(boot.node, boot.at_ms)
    touches = trace.of_kind(rows, process_rows.Touch)
    in_touch = {
        node: timeline.Timeline(row for row in touches if row.node == node)
        for node in first_boots
        if node.startswith("p")
    }
    found = []
    for version in versions.versions:
        if version.acked_ms == tenant_versions.NEVER:
            continue
        due = version.acked_ms + bounds.apply_ms
        times = [state.next_on(due) for node, state in in_touch.items() if first_boots[node] <= due]
        found.append(Bound(max((NEVER if time is None else time for time in times), default=NEVER), version))
    return found


def over_limit(
    tenant: str,
    runs: list[Run],
    bounds: list[Bound],
    versions: tenant_versions.Versions,
    limits: timings.Timings,
) -> list[Finding]:
    """The first window of a tenant that is over its bound, for each second in which one begins."""
    window = MS_PER_S * limits.quota_window_s
    sent_times = [run.sent for run in runs]
    findings, told = [], set[int]()
    for index, run in enumerate(runs):
        start, end = run.sent, run.sent + window
        if start // MS_PER_S in told or (index and runs[index - 1].sent == start):
            continue
        in_window = runs[index : bisect.bisect_right(sent_times, end)]
        count = sum(1 for other in in_window if other.arrived <= end)
        most = most_allowed(tenant, start, end, bounds, versions, limits)
        if count > most:
            told.add(start // MS_PER_S)
            text = f"{tenant}: {count} ran in the {window} ms from {start}, {most:g} allowed"
            findings.append(Finding("quota", start, text))
    return findings


def most_allowed(
    tenant: str,
    start: int,
    end: int,
    bounds: collections.abc.Sequence[Bound],
    versions: tenant_versions.Versions,
    limits: timings.Timings,
) -> float:
    """The requests that a tenant may make in a window, by the highest of its limits that may be in force in
    it."""
    binding = [bound.version for bound in bounds if bound.binds_ms <= start]
    first = binding[-1].edition if binding else 0
    rows = [
        version.tenants[tenant]
        for version in versions.sent_by(end)
        if version.edition >= first and not version.refused and tenant in version.tenants
    ]
    if not rows or not all(row.is_limited for row in rows):
        return NEVER
    highest = max(row.rate_per_s * limits.quota_window_s + row.burst for row in rows)
    return highest * (1 + limits.quota_excess) + limits.quota_slack


def neglected(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """No tenant is served less than a quarter as often as all, against what is within its limit; of a tenant
    that sends more it does not matter which requests are served."""
    counts = served_by_tenant(rows)
    every = sum(count.served for count in counts.values()) / max(1, sum(c.within for c in counts.values()))
    return [
        Finding(
            "neglected", rows[-1].at_ms, f"{tenant}: {count.served} of {count.within} requests were served"
        )
        for tenant, count in sorted(counts.items())
        if count.within >= FEW and count.served < NEGLECTED_SHARE * every * count.within
    ]


class Served(typing.NamedTuple):
    """How many requests of a tenant were within its limit, and how many were served, at most as many."""

    within: int
    served: int


def served_by_tenant(rows: trace.Trace) -> dict[str, Served]:
    """By tenant; an empty name stands for requests without a key."""
    versions = tenant_versions.of(rows)
    ends = trace.of_kind(rows, request_rows.OperationEnd)
    done = {row.operation for row in ends if row.outcome == "done"}
    within: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for row in trace.of_kind(rows, tenant_rows.Keyed):
        tenant = newest_owner(versions, row.key, row.at_ms)
        within[tenant] += row.within
        served[tenant] += row.operation in done
    return {tenant: Served(count, min(count, served[tenant])) for tenant, count in within.items()}
