"""What must hold of operators' changes and of what proxies know of them, checked over a trace."""

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.operator_rows as operator_rows
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.routes.timeline as timeline
import basaltport.simulation.trace as trace

Finding = finding.Finding
ACKNOWLEDGED = 200
GAVE_UP = 0
ZONE_CHANGES = ("evacuate", "readmit")


def changes(rows: trace.Trace) -> dict[str, operator_rows.Change]:
    """The changes that were sent, by id."""
    return {row.change: row for row in trace.of_kind(rows, operator_rows.Change)}


def acknowledged(rows: trace.Trace, verb: str) -> list[operator_rows.ChangeAnswered]:
    """The acknowledgements of changes of one kind."""
    answers = trace.of_kind(rows, operator_rows.ChangeAnswered)
    return [row for row in answers if row.verb == verb and row.status == ACKNOWLEDGED]


def in_force(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A configuration is in force at every proxy in touch within `apply_ms`; never back within an
    incarnation."""
    findings = gone_back(rows)
    sent = changes(rows)
    due = [
        (row.at_ms + facts.timings.apply_ms, sent[row.change].edition)
        for row in acknowledged(rows, "configure")
    ]
    touches = trace.of_kind(rows, process_rows.Touch)
    for node in {row.node for row in touches}:
        in_touch = timeline.Timeline(row for row in touches if row.node == node)
        findings += not_in_force(rows, node, in_touch, due)
    return findings


def gone_back(rows: trace.Trace) -> list[Finding]:
    """Proxies that took up an older configuration than they had in the same incarnation."""
    findings, newest = [], dict[tuple[str, int], int]()
    for row in trace.of_kind(rows, process_rows.Edition):
        incarnation = row.node, row.incarnation
        if row.edition < newest.get(incarnation, 0):
            text = f"{row.node} went from {newest[incarnation]} to {row.edition}"
            findings.append(Finding("back", row.at_ms, text))
        newest[incarnation] = row.edition
    return findings


def not_in_force(
    rows: trace.Trace, node: str, in_touch: timeline.Timeline, due: list[tuple[int, int]]
) -> list[Finding]:
    """What a proxy has not in force though it is in touch; `due`: times and editions."""
    taken_up = [row for row in trace.of_kind(rows, process_rows.Edition) if row.node == node]
    findings = []
    for due_ms, edition in due:
        time = in_touch.next_on(due_ms)
        if time is None or time > rows[-1].at_ms:
            continue
        editions = [row.edition for row in taken_up if row.at_ms <= time]
        if not editions or editions[-1] < edition:
            text = f"{node} has {editions[-1:]} and not {edition}, in touch"
            findings.append(Finding("in-force", time, text))
    return findings


def refused(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What was refused is in force nowhere; of two on one base, one is taken."""
    answers = trace.of_kind(rows, operator_rows.ChangeAnswered)
    rejected = {row.change for row in answers if row.status not in (GAVE_UP, ACKNOWLEDGED)}
    findings = [
        Finding(
            "refused",
            row.at_ms,
            f"{row.node} has edition {row.edition} of {row.change}, which was refused",
        )
        for row in trace.of_kind(rows, process_rows.Edition)
        if row.change in rejected
    ]
    sent, taken = changes(rows), dict[int | None, str]()
    for row in acknowledged(rows, "configure"):
        base = sent[row.change].base
        if base in taken:
            text = f"{taken[base]} and {row.change} were both taken on {base}"
            findings.append(Finding("refused", row.at_ms, text))
        taken[base] = row.change
    return findings


def survives(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What a controller reads back at the end, against what was acknowledged and asked."""
    end_ms, sent, final = rows[-1].at_ms, changes(rows), facts.final
    if final is None:
        return [Finding("survives", end_ms, "nothing is read back at the end")]
    edition, change = final["edition"], sent.get(final["by"])
    newest = max((sent[row.change].edition for row in acknowledged(rows, "configure")), default=0)
    findings = []
    if edition < newest:
        text = f"edition {edition} is read back, {newest} was taken"
        findings.append(Finding("survives", end_ms, text))
    if change is None or change.edition != edition:
        findings.append(Finding("survives", end_ms, f"edition {edition} is not what was sent"))
    return findings + zones_survive(rows, facts.evacuated_zones)


def zones_survive(rows: trace.Trace, evacuated_zones: list[str] | None) -> list[Finding]:
    """The evacuated zones at the end are those that were acknowledged and not readmitted since."""
    last = {zone: verb for zone, verb in last_zone_changes(rows).items() if verb}
    if evacuated_zones is None and last:
        return [Finding("survives", rows[-1].at_ms, "there is no leader at the end")]
    return [
        Finding("survives", rows[-1].at_ms, f"{zone}: the last was {verb}, evacuated are {evacuated_zones}")
        for zone, verb in last.items()
        if (verb == "evacuate") != (zone in (evacuated_zones or ()))
    ]


def last_zone_changes(rows: trace.Trace) -> dict[str | None, str]:
    """By zone, the last change if it was acknowledged, or an empty string."""
    last: dict[str | None, str] = {}
    for row in rows:
        if isinstance(row, operator_rows.Change) and row.verb in ZONE_CHANGES:
            last[row.zone] = ""
        elif isinstance(row, operator_rows.ChangeAnswered) and row.verb in ZONE_CHANGES:
            if row.status == ACKNOWLEDGED:
                last[row.zone] = row.verb
    return last


def answered(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A proper change is answered in time where most controllers are in touch and no answer is lost all
    along; all are in the end."""
    settled = timeline.of(rows, process_rows.CoreInTouch)
    losing = timeline.of(rows, operator_rows.RepliesLost)
    spans: dict[str, tuple[int, int]] = {}
    for row in rows:
        if isinstance(row, operator_rows.Change):
            spans[row.change] = (row.at_ms, rows[-1].at_ms)
        elif isinstance(row, (operator_rows.ChangeAnswered, operator_rows.Unclear)):
            spans[row.change] = (spans[row.change][0], row.at_ms)
    findings = []
    for change, (sent_ms, end_ms) in spans.items():
        start = settled.next_on(sent_ms)
        if start is None or end_ms - start <= facts.timings.ack_within_ms:
            continue
        calm = not settled.changes_between(start, end_ms)
        if calm and not losing.is_on(start) and not losing.changes_between(start, end_ms):
            text = f"{change} was not answered in {end_ms - start} ms of calm"
            findings.append(Finding("acked", end_ms, text))
    return findings


def agreed(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """All processes agree to one state for each log index."""
    return [
        Finding("agreed", row.at_ms, f"{row.node} has another state of index {row.log_index} than others had")
        for row in trace.of_kind(rows, process_rows.Differs)
    ]


def fed(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A proxy in touch has the rows of replicas that were published `apply_ms` ago; one finding for each."""
    found: dict[str, Finding] = {}
    for row in trace.of_kind(rows, process_rows.Stale):
        text = f"{row.node} has rows up to {row.rows_seen}, {row.published} were published long ago"
        found.setdefault(row.node, Finding("fed", row.at_ms, text))
    return list(found.values())
