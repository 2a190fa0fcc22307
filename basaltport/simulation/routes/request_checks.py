"""What must hold of clients' requests, checked over a trace."""

import bisect
import collections

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.replica_rows as replica_rows
import basaltport.simulation.routes.request_rows as request_rows
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.trace as trace

Finding = finding.Finding
ONCE_ONLY = ("once", "stream")
HANDED_BACK = ("absent", "moved")
NOT_FOUND = 404
NEVER_RAN_STATUSES = (408, 421, 429, 503)
STARVED_REQUESTS = 4
STARVED_SPAN_MS = 8000
SERVICES = ("s", "t")
MS_PER_S = 1000
COLD_WINDOW_MS = 1000


def once_only(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What may run once runs once, whatever its client and its proxy do."""
    seen: dict[str, str] = {}
    findings = []
    for row in trace.of_kind(rows, request_rows.Ran):
        if row.kind not in ONCE_ONLY:
            continue
        again = next((key for key in (row.try_id, row.operation) if key in seen), None)
        if again is not None:
            text = f"{again} ran at {seen[again]} and again at {row.replica}"
            findings.append(Finding("once-only", row.at_ms, text))
        seen[row.try_id] = seen[row.operation] = row.replica
    return findings


def never_ran(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What was answered with a status that says so has not run and never does."""
    ran = {row.try_id for row in trace.of_kind(rows, request_rows.Ran)}
    return [
        Finding("promise", row.at_ms, f"{row.try_id} was answered {row.status} by {row.node} and ran")
        for row in trace.of_kind(rows, request_rows.TryEnd)
        if row.outcome == "own" and row.status in NEVER_RAN_STATUSES and row.try_id in ran
    ]


def resends(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """By service: arrivals beyond the first of each request in a window, against its requests."""
    return [found for service in SERVICES for found in resends_of(rows, facts, service)]


def resends_of(rows: trace.Trace, facts: run_facts.RunFacts, service: str) -> list[Finding]:
    """The same for one service."""
    timings = facts.timings
    span = MS_PER_S * timings.retry_window_s
    services = {row.operation: row.service for row in trace.of_kind(rows, request_rows.Operation)}
    tries = [row.at_ms for row in trace.of_kind(rows, request_rows.Try) if services[row.operation] == service]
    more = further_arrivals(rows, service)
    times = [row.at_ms for row in more]

    def tries_between(start: int, end: int) -> int:
        """Requests that clients sent in this span."""
        return bisect.bisect_left(tries, end) - bisect.bisect_left(tries, start)

    findings = []
    for index, row in enumerate(more):
        start = row.at_ms - span
        count = index + 1 - bisect.bisect_right(times, start)
        requests = max(tries_between(start - ago, row.at_ms + 1 - ago) for ago in (0, span // 2, span))
        if count > timings.retry_ratio * requests + timings.retry_slack:
            text = f"{service}: {count} further arrivals on {requests} requests"
            findings.append(Finding("resends", row.at_ms, text))
    return findings


def further_arrivals(rows: trace.Trace, service: str) -> list[request_rows.Arrive]:
    """Arrivals of requests for this service that had arrived at a replica before."""
    seen, more = set(), []
    for row in trace.of_kind(rows, request_rows.Arrive):
        if row.meant != service:
            continue
        if row.try_id in seen:
            more.append(row)
        seen.add(row.try_id)
    return more


def cold(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Requests sent and arrived within one second at a replica that is cold."""
    spans = {row.replica: row for row in trace.of_kind(rows, replica_rows.Cold)}
    most = facts.cold_rate * facts.timings.cold_excess + facts.timings.cold_slack
    sent_to: dict[str, list[int]] = collections.defaultdict(list)
    findings = []
    for row in trace.of_kind(rows, request_rows.Arrive):
        span = spans.get(row.replica)
        if row.said in HANDED_BACK or span is None or not span.since <= row.at_ms <= span.until:
            continue
        sent = sent_to[row.replica]
        sent.append(row.sent)
        count = sum(1 for time in sent if time > row.at_ms - COLD_WINDOW_MS)
        if count > most:
            text = f"{row.replica} got {count} requests in a second, {most:g} allowed"
            findings.append(Finding("cold", row.at_ms, text))
    return findings


def not_owed(rows: trace.Trace) -> set[str]:
    """Operations that the configuration does not allow, or that lie beyond their tenants' limits."""
    return {row.operation for row in trace.of_kind(rows, tenant_rows.Keyed) if not row.owed}


def starved(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Items requested often enough over long enough that were never served."""
    requested: dict[str, list[int]] = collections.defaultdict(list)
    beyond = not_owed(rows)
    for row in trace.of_kind(rows, request_rows.Operation):
        if row.item and row.operation not in beyond:
            requested[row.item].append(row.at_ms)
    ends = trace.of_kind(rows, request_rows.OperationEnd)
    served = {row.item for row in ends if row.outcome == "done"}
    findings = []
    for item, times in requested.items():
        often = len(times) >= STARVED_REQUESTS and times[-1] - times[0] > STARVED_SPAN_MS
        if often and item not in served:
            text = f"{item} was asked for {len(times)} times and never served"
            findings.append(Finding("starved", times[-1], text))
    return findings


def share_served(rows: trace.Trace, start_ms: int, end_ms: int) -> float:
    """Of the requests that clients sent in this span and that are owed; 0 where there were none."""
    beyond = not_owed(rows)
    ended = {row.operation: row.outcome for row in trace.of_kind(rows, request_rows.OperationEnd)}
    operations = trace.of_kind(rows, request_rows.Operation)
    sent = [
        row.operation for row in operations if start_ms <= row.at_ms < end_ms and row.operation not in beyond
    ]
    return sum(ended.get(operation) == "done" for operation in sent) / len(sent) if sent else 0.0


def back(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Of what was sent in each stated span, the stated share was served."""
    findings = []
    for span in facts.served:
        share = share_served(rows, span.start_ms, span.end_ms)
        if share < span.share:
            text = f"{share:.3f} of those from {span.start_ms} to {span.end_ms} ms were served"
            findings.append(Finding("back", span.start_ms, text))
    return findings


def final_answers(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A rejection says when to come back, and comes before the client gives up: none is kept to its end."""
    findings = []
    for row in trace.of_kind(rows, request_rows.TryEnd):
        own = row.outcome == "own"
        if own and row.status in NEVER_RAN_STATUSES and not row.retry:
            text = f"{row.try_id}: {row.status} without when to come back"
            findings.append(Finding("final-word", row.at_ms, text))
        if row.outcome == "gone" and not row.running and row.touch:
            text = f"{row.try_id} got no answer from {row.node} and runs nowhere"
            findings.append(Finding("held", row.at_ms, text))
        if own and row.status == NOT_FOUND:
            findings.append(Finding("denied", row.at_ms, f"{row.try_id} was answered 404 by {row.node}"))
    return findings
