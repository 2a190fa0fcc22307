"""What must hold of replicas and of what they are sent, checked over a trace."""

import basaltport.simulation.finding as finding
import basaltport.simulation.query_api.checks.check_facts as check_facts
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.trace as trace

Finding = finding.Finding
LEAVING_MS = 3000
EMPTIED_MS = 5000
OK = 200
CONFLICT = 409
UNCLEAR = 504
FRESH_SLOTS = 2
DOUBLINGS_MAX = 14
MS_PER_S = 1000


def marks(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """Nothing to a leaving replica after 3 s, nor to an emptied zone after 5 s, from when it was learned."""
    answers = trace.of_kind(trace_rows, rows.Answered)
    taken = {row.call for row in answers if row.status == OK}
    rejected = {row.call for row in answers if row.status not in (OK, UNCLEAR)}
    leaving: dict[str | None, int] = {}
    emptied: dict[str | None, int] = {}
    findings = []
    for row in trace_rows:
        if isinstance(row, rows.Asked) and row.call not in rejected:
            if row.call in taken or row.verb in ("undrain", "platform"):
                leaving = follow_marks(row, leaving, emptied)
        elif isinstance(row, rows.Reach):
            since = row.at_ms - leaving.get(row.replica, row.at_ms)
            if since > LEAVING_MS:
                findings.append(Finding("leaving", row.at_ms, f"{row.replica} was reached {since} ms after"))
            since = row.at_ms - emptied.get(row.zone, row.at_ms)
            if since > EMPTIED_MS:
                findings.append(Finding("emptied", row.at_ms, f"{row.zone} was reached {since} ms after"))
    return findings


def follow_marks(
    row: rows.Asked, leaving: dict[str | None, int], emptied: dict[str | None, int]
) -> dict[str | None, int]:
    """The marks on replicas after a request; those on zones are changed in place."""
    if row.verb == "leaving":
        leaving.setdefault(row.replica, row.at_ms)
    if row.verb == "drain":
        emptied.setdefault(row.zone, row.at_ms)
    if row.verb == "undrain":
        emptied.pop(row.zone, None)
    if row.verb == "platform":
        return {replica: since for replica, since in leaving.items() if replica in (row.listed or ())}
    return leaving


def flood(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """A replica that has just started gets few requests at first, and twice as many each second."""
    findings = []
    for row in trace.of_kind(trace_rows, rows.Ran):
        group = facts.groups[row.group]
        fresh = group.get("fresh_slots", FRESH_SLOTS) << min(row.age // MS_PER_S, DOUBLINGS_MAX)
        limit = min(group["slots"], fresh)
        if row.running > limit:
            text = f"{row.replica} runs {row.running}, {limit} at {row.age} ms of age"
            findings.append(Finding("flood", row.at_ms, text))
    return findings


def store(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """No more loads at once than the store bears."""
    return [
        Finding("store", row.at_ms, f"{row.at_once} loads at once, {facts.loads} allowed")
        for row in trace.of_kind(trace_rows, rows.Load)
        if row.at_once > facts.loads
    ]


def room(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """No replica is ordered to hold more than it has room for."""
    return [
        Finding("room", row.at_ms, f"{row.replica}: {rows.as_json(row)}")
        for row in trace.of_kind(trace_rows, rows.OverRoom)
    ]


def order_givers(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """Orders taken by one start of a replica come under rising fences, each fence from one node."""
    giver: dict[tuple[str, str, int], str] = {}
    highest: dict[tuple[str, str], int] = {}
    findings = []
    for row in trace.of_kind(trace_rows, rows.Order):
        if row.status == CONFLICT:
            continue
        start, fence = (row.replica, row.epoch), row.body["fence"]
        if fence < highest.get(start, 0):
            text = f"{row.replica} took fence {fence} after {highest[start]}"
            findings.append(Finding("order", row.at_ms, text))
        highest[start] = max(highest.get(start, 0), fence)
        first = giver.setdefault((*start, fence), row.node)
        if first != row.node:
            text = f"{row.replica}: {first} and {row.node} under one fence"
            findings.append(Finding("order", row.at_ms, text))
    return findings
