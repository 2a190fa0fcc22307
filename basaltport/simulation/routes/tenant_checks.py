"""What must hold of tenants and their keys, checked over a trace."""

import typing

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.quota_checks as quota_checks
import basaltport.simulation.routes.request_rows as request_rows
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.routes.tenant_versions as tenant_versions
import basaltport.simulation.routes.timeline as timeline
import basaltport.simulation.trace as trace

Finding = finding.Finding
NOBODY = ""
UNKNOWN_KEY_STATUSES = (401, 403)
DENIED_STATUSES = (401, 403, 404)


class KeyedEnd(typing.NamedTuple):
    """An end that a proxy gave to a request by itself, with the key and when the request was sent."""

    row: request_rows.TryEnd
    key: tenant_rows.Keyed
    sent_ms: int


def keys_sent(rows: trace.Trace) -> dict[str, tenant_rows.Keyed]:
    """What is told of the key of each operation."""
    return {row.operation: row for row in trace.of_kind(rows, tenant_rows.Keyed)}


def expected(
    versions: typing.Iterable[tenant_versions.Version], key: tenant_rows.Keyed
) -> typing.Collection[str]:
    """The tenants that a replica may be told where one of these versions is gone by; NOBODY where none has
    the key, as there is none on a public route."""
    owners = {version.owners[key.key] for version in versions if key.key in version.owners}
    return owners or {NOBODY}


def tenant_of(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A replica that runs a request is told the tenant that had the client's key, or one that the key was
    passed on to; nobody where the client has no key that a configuration had."""
    versions, keys = tenant_versions.of(rows), keys_sent(rows)
    findings = []
    for row in trace.of_kind(rows, tenant_rows.TenantRan):
        owners = expected(versions.sent_by(row.at_ms), keys[row.operation])
        if row.tenant not in owners:
            text = f"{row.try_id} ran at {row.replica} for {row.tenant!r}, its key is of {sorted(owners)}"
            findings.append(Finding("tenant-of", row.at_ms, text))
    return findings


def key_known(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Nothing runs whose key no configuration ever had, nor without a key where the route is not public."""
    versions, keys = tenant_versions.of(rows), keys_sent(rows)
    findings = []
    for row in trace.of_kind(rows, tenant_rows.TenantRan):
        sent = keys[row.operation]
        if sent.key is None and sent.public:
            continue
        if not any(sent.key in version.owners for version in versions.sent_by(row.at_ms)):
            what = "without a key" if sent.key is None else "with a key that nobody ever had"
            findings.append(Finding("key-known", row.at_ms, f"{row.try_id} ran at {row.replica} {what}"))
    return findings


def keys_in_force(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Proxies in touch go by a configuration that was acknowledged `apply_ms` before a request was sent, or
    by a newer one: nothing runs by a key that was dropped, or for its former tenant, and nothing is denied
    whose key is there."""
    return sorted(dropped_keys(rows, facts) + denied_in_touch(rows, facts), key=lambda found: found.at_ms)


def dropped_keys(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What ran with a key that was dropped long ago, or for a tenant that had it long ago."""
    versions, keys = tenant_versions.of(rows), keys_sent(rows)
    findings = []
    for row in trace.of_kind(rows, tenant_rows.TenantRan):
        sent = keys[row.operation]
        ever = versions.sent_by(row.at_ms)
        if not row.touch or not any(sent.key in version.owners for version in ever):
            continue
        owners = expected(versions.allowed(row.sent, row.at_ms, facts.timings.apply_ms), sent)
        text = f"{row.try_id}, sent at {row.sent} ms, ran by {row.node}"
        if NOBODY in owners:
            findings.append(Finding("keys-in-force", row.at_ms, f"{text} with a key that was dropped"))
        elif row.tenant not in owners and row.tenant in expected(ever, sent):
            text = f"{text} for {row.tenant!r}, its key is of {sorted(owners)}"
            findings.append(Finding("keys-in-force", row.at_ms, text))
    return findings


def denied_in_touch(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What proxies in touch denied though each configuration that they may go by has its key."""
    versions = tenant_versions.of(rows)
    findings = []
    for end in denials(rows, DENIED_STATUSES):
        row = end.row
        if row.touch and is_there(versions, end, facts.timings.apply_ms):
            text = (
                f"{row.try_id} of {end.sent_ms} ms was answered {row.status} by {row.node}, its key is there"
            )
            findings.append(Finding("keys-in-force", row.at_ms, text))
    return findings


def denials(rows: trace.Trace, statuses: typing.Collection[int]) -> list[KeyedEnd]:
    """Requests that proxies answered themselves with one of these statuses."""
    keys = keys_sent(rows)
    sent_ms = {row.try_id: row.at_ms for row in trace.of_kind(rows, request_rows.Try)}
    return [
        KeyedEnd(row, keys[row.operation], sent_ms[row.try_id])
        for row in trace.of_kind(rows, request_rows.TryEnd)
        if row.outcome == "own" and row.status in statuses and row.operation in keys
    ]


def is_there(versions: tenant_versions.Versions, end: KeyedEnd, apply_ms: int) -> bool:
    """Whether each configuration by which a request may be handled lets it pass."""
    if end.key.key is None:
        return end.key.public
    allowed = versions.allowed(end.sent_ms, end.row.at_ms, apply_ms)
    return bool(allowed) and all(end.key.key in version.owners for version in allowed)


def denied(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """No key is called unknown by a proxy that can't know: one that reaches no controller for `in_touch_ms`
    or has no configuration yet; nor, out of touch, one that was there for `in_touch_ms`."""
    versions, findings = tenant_versions.of(rows), []
    alone = timelines(rows)
    configured = configured_spans(rows)
    for end in denials(rows, UNKNOWN_KEY_STATUSES):
        row, why = end.row, ""
        state = alone.get(row.node)
        if (
            state is not None
            and state.is_on(row.at_ms)
            and is_long(state, row.at_ms, facts.timings.in_touch_ms)
        ):
            why = "which reaches no controller"
        elif not configured_at(configured, row.node, row.at_ms):
            why = "which has no configuration"
        elif not row.touch and is_there(versions, end, facts.timings.in_touch_ms):
            why = "out of touch, and its key is there"
        if why:
            text = f"{row.try_id} of {end.sent_ms} ms was answered {row.status} by {row.node}, {why}"
            findings.append(Finding("denied", row.at_ms, text))
    return findings


def timelines(rows: trace.Trace) -> dict[str, timeline.Timeline]:
    """By proxy, when it could reach no controller."""
    told = trace.of_kind(rows, tenant_rows.Alone)
    return {
        node: timeline.Timeline(row for row in told if row.node == node)
        for node in {row.node for row in told}
    }


def is_long(state: timeline.Timeline, at_ms: int, most_ms: int) -> bool:
    """Whether a state that is on at a time has been so for longer."""
    return state.is_on(at_ms - most_ms) and not state.changes_between(at_ms - most_ms, at_ms)


def configured_spans(rows: trace.Trace) -> dict[str, list[tuple[int, bool]]]:
    """By proxy, in order, when a process of it began, without a configuration, or took one up."""
    spans: dict[str, list[tuple[int, bool]]] = {}
    for row in rows:
        if isinstance(row, process_rows.Boot):
            spans.setdefault(row.node, []).append((row.at_ms, False))
        elif isinstance(row, process_rows.Edition):
            spans.setdefault(row.node, []).append((row.at_ms, True))
    return spans


def configured_at(spans: dict[str, list[tuple[int, bool]]], node: str, at_ms: int) -> bool:
    """Whether a proxy had a configuration at a time."""
    before = [has for since, has in spans.get(node, ()) if since <= at_ms]
    return bool(before) and before[-1]


CHECKS = (tenant_of, key_known, keys_in_force, denied, quota_checks.quota, quota_checks.neglected)


def run(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """The findings of every check of tenants."""
    return [found for check in CHECKS for found in check(rows, facts)]
