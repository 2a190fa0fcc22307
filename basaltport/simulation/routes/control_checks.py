"""What must hold of the controllers, checked over a trace, beside the checks of the routed path."""

import basaltport.simulation.finding as finding
import basaltport.simulation.routes.operator_checks as operator_checks
import basaltport.simulation.routes.operator_rows as operator_rows
import basaltport.simulation.routes.process_rows as process_rows
import basaltport.simulation.routes.run_facts as run_facts
import basaltport.simulation.trace as trace

Finding = finding.Finding
ACKNOWLEDGED = 200
PRECONDITION_FAILED = 412
UNCLEAR = (0, 408, 429, 500, 502, 503, 504)
NOT_REJECTED = (ACKNOWLEDGED, *UNCLEAR)

InForce = process_rows.Kept | process_rows.Edition | operator_rows.ReadEnd


def stale_read(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A read begun after an acknowledgement, or after another read's end, gives that or something newer."""
    newest, sent = 0, operator_checks.changes(rows)
    least: dict[str, tuple[int, str]] = {}
    findings = []
    for row in rows:
        if isinstance(row, operator_rows.ChangeAnswered):
            if row.verb == "configure" and row.status == ACKNOWLEDGED:
                newest = max(newest, sent[row.change].edition)
        elif isinstance(row, operator_rows.Read):
            least[row.read] = (newest, row.node)
        elif isinstance(row, operator_rows.ReadEnd) and row.status == ACKNOWLEDGED:
            edition, node = least[row.read]
            if row.edition < edition:
                text = f"{node} gave {row.edition}; {edition} was in force before"
                findings.append(Finding("stale-read", row.at_ms, text))
            newest = max(newest, row.edition)
    return findings


def confirmed(rows: trace.Trace) -> list[tuple[operator_rows.ChangeAnswered, int]]:
    """Each acknowledgement of a configuration, with its edition."""
    sent = operator_checks.changes(rows)
    return [(row, sent[row.change].edition) for row in operator_checks.acknowledged(rows, "configure")]


def in_force(rows: trace.Trace) -> list[InForce]:
    """What tells which configuration is in force somewhere."""
    return [row for row in rows if isinstance(row, InForce)]


def two_confirmed(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Under one number one change is confirmed, and nowhere is another in force."""
    findings, change_of = [], dict[int, str]()
    for answer, edition in confirmed(rows):
        first = change_of.setdefault(edition, answer.change)
        if first != answer.change:
            text = f"{first} and {answer.change} both under {edition}"
            findings.append(Finding("two-confirmed", answer.at_ms, text))
    for row in in_force(rows):
        if not row.change or change_of.get(row.edition, row.change) == row.change:
            continue
        text = f"{row.change} in force as {row.edition}, confirmed is {change_of[row.edition]}"
        findings.append(Finding("two-confirmed", row.at_ms, text))
    return findings


def wrongly_refused(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """Every change here is valid, so it is refused only where another one on its base came before."""
    on_base: dict[int | None, list[str]] = {}
    sent, findings = operator_checks.changes(rows), []
    for row in rows:
        if isinstance(row, operator_rows.Change) and row.verb == "configure":
            on_base.setdefault(row.base, []).append(row.change)
        if not isinstance(row, operator_rows.ChangeAnswered) or row.status in NOT_REJECTED:
            continue
        base = sent[row.change].base
        others = [change for change in on_base.get(base, ()) if change != row.change]
        if row.status != PRECONDITION_FAILED or row.verb != "configure" or not others:
            text = f"{row.change} on {base} was answered {row.status}"
            findings.append(Finding("wrongly-refused", row.at_ms, text))
    return findings


def refused_but_taken(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What was refused is in force at no controller, and no read gives it."""
    answers = trace.of_kind(rows, operator_rows.ChangeAnswered)
    rejected = {row.change for row in answers if row.status not in NOT_REJECTED}
    return [
        Finding("refused-but-taken", row.at_ms, f"{row.change} was refused and is in force as {row.edition}")
        for row in in_force(rows)
        if not isinstance(row, process_rows.Edition) and row.change in rejected
    ]


def repeat_refused(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """A change that was confirmed, sent again as it was, is confirmed again or left open."""
    answers = trace.of_kind(rows, operator_rows.ChangeAnswered)
    taken = {row.change for row in answers if row.status == ACKNOWLEDGED}
    return [
        Finding("repeat-refused", row.at_ms, f"{row.change} again at {row.node}: {row.status}")
        for row in trace.of_kind(rows, operator_rows.Repeat)
        if row.change in taken and row.status not in NOT_REJECTED
    ]


def controller_back(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """In one incarnation of a controller no older configuration comes into force."""
    findings, newest = [], dict[tuple[str, int], int]()
    for row in trace.of_kind(rows, process_rows.Kept):
        incarnation = row.node, row.incarnation
        if row.edition < newest.get(incarnation, 0):
            text = f"{row.node} went from {newest[incarnation]} to {row.edition}"
            findings.append(Finding("keeper-back", row.at_ms, text))
        newest[incarnation] = row.edition
    return findings


def old_given(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """No proxy, in touch or not, takes up a configuration that was superseded `apply_ms` ago."""
    acknowledged = [(answer.at_ms, edition) for answer, edition in confirmed(rows)]
    findings = []
    for row in trace.of_kind(rows, process_rows.Edition):
        before = row.at_ms - facts.timings.apply_ms
        least = max((edition for time, edition in acknowledged if time < before), default=0)
        if row.edition < least:
            text = f"{row.node} took up {row.edition}, {least} was acknowledged"
            findings.append(Finding("old-given", row.at_ms, text))
    return findings


def one_holder(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """At most one controller holds the leader's lease at a time, and it has all that is acknowledged in
    force."""
    findings = []
    for row in trace.of_kind(rows, process_rows.Holders):
        if len(row.nodes) > 1:
            findings.append(Finding("one-holder", row.at_ms, f"{list(row.nodes)} hold at once"))
        if row.behind:
            text = f"{list(row.behind)} without {row.acked}, which was acknowledged"
            findings.append(Finding("holder-behind", row.at_ms, text))
    return findings


def bounds(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """What was to be there within a stated time was."""
    findings = []
    for row in trace.of_kind(rows, operator_rows.Bound):
        if row.took is None or row.took > row.most:
            took = "never" if row.took is None else f"after {row.took} ms"
            findings.append(Finding(row.what, row.at_ms, f"there {took}, to be there within {row.most} ms"))
    return findings


CHECKS = (
    stale_read,
    two_confirmed,
    wrongly_refused,
    refused_but_taken,
    repeat_refused,
    controller_back,
    old_given,
    one_holder,
    bounds,
)


def run(rows: trace.Trace, facts: run_facts.RunFacts) -> list[Finding]:
    """The findings of every check."""
    return [found for check in CHECKS for found in check(rows, facts)]
