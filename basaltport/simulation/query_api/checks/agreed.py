"""Checks of what is agreed: configurations, marks, reads. Only a fault itself, and a stated time, excuses."""

import collections

import basaltport.simulation.finding as finding
import basaltport.simulation.query_api.checks.check_facts as check_facts
import basaltport.simulation.query_api.checks.hindrances as hindrances
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.trace as trace

Finding = finding.Finding
OK = 200
NOT_FOUND = 404
NO_ANSWER = (503, 504)
ACKNOWLEDGED, REFUSED = "acknowledged", "refused"
CHANGES = ("apply", "patch", "drain", "undrain", "leaving", "platform")
CONFIGURATION_CHANGES = ("apply", "patch")
UNCONFIGURED_CODES = ("unknown-line", "unknown-token", "unknown-model", "not-in-line")
CHANGES_KEPT = 200
AT_THE_END_MS = -1


def asks(trace_rows: trace.Trace) -> dict[str, rows.Asked]:
    """The requests of operators, by call."""
    return {row.call: row for row in trace.of_kind(trace_rows, rows.Asked)}


def slow_changes(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """In force 2 s after the request; and where nothing hindered, every request got its answer by then."""
    deadlines = hindrances.Deadlines(trace_rows)
    asked = asks(trace_rows)
    findings, answered = [], set()
    for row in trace.of_kind(trace_rows, rows.Answered):
        if row.call not in asked:
            continue
        answered.add(row.call)
        end = deadlines.due(asked[row.call])
        acknowledged = row.outcome == ACKNOWLEDGED and asked[row.call].verb in CHANGES
        if acknowledged and row.at_ms > end:
            took = row.at_ms - deadlines.heard[row.call]
            text = f"{row.change} took {took} ms, {row.at_ms - end} too long"
            findings.append(Finding("in-force", row.at_ms, text))
        if deadlines.unhindered(asked[row.call]) and row.status in NO_ANSWER:
            text = f"{row.call} got {row.status} with nothing to hinder it"
            findings.append(Finding("in-force", row.at_ms, text))
    last = max((row.at_ms for row in trace_rows), default=0)
    for call, ask in asked.items():
        late = deadlines.heard[call] + hindrances.IN_FORCE_MS < last
        if call not in answered and late and deadlines.unhindered(ask):
            text = f"{call} ({ask.verb}) got no answer with nothing to hinder it"
            findings.append(Finding("in-force", ask.at_ms, text))
    return findings


class VersionsInForce:
    """Follows which version of the configuration nodes decide by and replicas have seen."""

    def __init__(self) -> None:
        """Nothing was seen yet."""
        self.newest_acknowledged = 0
        self.of_node: dict[str, int] = collections.defaultdict(int)
        self.of_replica: dict[str, int] = collections.defaultdict(int)
        self.seen = 0

    def take(self, row: trace.Row) -> list[Finding]:
        """What is wrong with the next row."""
        if isinstance(row, rows.Write):
            return self.decided(row, row.node, row.version) + self.written(row)
        if isinstance(row, rows.NoteLogged):
            return self.decided(row, row.node, row.fields["configuration_version"]) if row.leased else []
        if isinstance(row, rows.StaleLease):
            text = f"{row.node} is leased at {row.version}, {row.acked} is acknowledged"
            return [Finding("in-force", row.at_ms, text)]
        if isinstance(row, rows.Closed) and row.code in UNCONFIGURED_CODES:
            text = f"{row.prompt} met a node without the manifest: {row.code}"
            return [Finding("in-force", row.at_ms, text)]
        return self.ran(row) if isinstance(row, rows.Ran) else []

    def decided(self, row: trace.Row, node: str, version: int) -> list[Finding]:
        """A node decides by a version: nothing older than it did, if a replica has seen that."""
        before = min(self.of_node[node], self.seen)
        self.of_node[node] = max(self.of_node[node], version)
        if version >= before:
            return []
        text = f"{node} went back to serial {version}; {self.seen} was seen by a replica"
        return [Finding("regress", row.at_ms, text)]

    def written(self, row: rows.Write) -> list[Finding]:
        """Nothing goes out under an older version than is acknowledged."""
        if row.version >= self.newest_acknowledged:
            return []
        text = f"{row.attempt_id} went under {row.version}, {self.newest_acknowledged} is acknowledged"
        return [Finding("in-force", row.at_ms, text)]

    def ran(self, row: rows.Ran) -> list[Finding]:
        """A replica runs nothing under an older version than it has seen."""
        before = self.of_replica[row.replica]
        self.of_replica[row.replica] = row.version
        self.seen = max(self.seen, row.version)
        if row.version >= before:
            return []
        text = f"{row.replica} saw {before}, ran {row.version}"
        return [Finding("regress", row.at_ms, text)]


def configurations(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """Acknowledged ones are kept and nothing older goes out after; refused ones are never in force."""
    asked, versions = asks(trace_rows), VersionsInForce()
    acknowledged: dict[str, int] = {}
    refused: set[str] = set()
    unchanged: set[str] = set()
    findings = []
    for row in trace_rows:
        if isinstance(row, rows.Asked) and row.change:
            unchanged.discard(row.change)
        ask = asked.get(row.call) if isinstance(row, rows.Answered) else None
        if isinstance(row, rows.Answered) and ask is not None:
            if row.changed is False and ask.verb in CHANGES and ask.change:
                unchanged.add(ask.change)
            if row.outcome == ACKNOWLEDGED and ask.verb in CHANGES:
                version = row.version or 0
                acknowledged[row.change or ""] = version
                if ask.verb in CONFIGURATION_CHANGES:
                    versions.newest_acknowledged = max(versions.newest_acknowledged, version)
            if row.outcome == REFUSED and ask.change:
                refused.add(ask.change)
        findings += versions.take(row)
    return findings + at_the_end(facts.final, acknowledged, refused | unchanged, asked)


def at_the_end(
    state: check_facts.AgreedState,
    acknowledged: dict[str, int],
    refused: set[str],
    asked: dict[str, rows.Asked],
) -> list[Finding]:
    """Each acknowledged change of any verb is in the final state and does what it says; no refused one is."""
    if state is None:
        return []
    changes: dict[str, int] = state.recent_changes
    kept_all = len(changes) < CHANGES_KEPT
    found = []
    for change, version in acknowledged.items():
        if changes.get(change, None if kept_all else version) != version:
            text = f"{change} was acknowledged at {version}, the state has {changes.get(change)}"
            found.append(("acknowledged", text))
    found += [("refused", f"{change} was refused and is in the state") for change in refused & set(changes)]
    found += marks_at_the_end(state, changes, {ask.change: ask for ask in asked.values() if ask.change})
    return [Finding(rule, AT_THE_END_MS, text) for rule, text in found]


def marks_at_the_end(
    state: check_facts.AgreedState, changes: dict[str, int], asked: dict[str, rows.Asked]
) -> list[tuple[str, str]]:
    """Changes in the final state whose mark on a replica or a zone is not, by rule and text."""
    found = []
    for change, version in changes.items():
        ask = asked.get(change)
        if ask is None:
            continue
        later = [asked[other] for other, newer in changes.items() if newer > version and other in asked]
        if ask.verb == "leaving" and not any(other.verb == "platform" for other in later):
            if ask.replica not in state.leaving_replicas:
                found.append(("acknowledged", f"{change} is in the state, its mark on {ask.replica} is not"))
        if ask.verb in ("drain", "undrain") and not any(other.zone == ask.zone for other in later):
            if (ask.zone in state.evacuated_zones) != (ask.verb == "drain"):
                text = f"{change} is in the state, zone {ask.zone} is not as it says"
                found.append(("acknowledged", text))
    return found


def lost_updates(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """With compare-and-set, nothing was agreed between the version that was named and the change."""
    asked = asks(trace_rows)
    done = [
        (row.version or 0, row, asked[row.call].if_version)
        for row in trace.of_kind(trace_rows, rows.Answered)
        if row.outcome == ACKNOWLEDGED and row.call in asked and asked[row.call].verb in CONFIGURATION_CHANGES
    ]
    versions = {version for version, _, _ in done}
    return [
        Finding("lost-update", row.at_ms, f"{row.change} at {version} was to follow {base}")
        for version, row, base in done
        if base is not None and any(base < between < version for between in versions)
    ]


ACKNOWLEDGEMENT = "ack"
BINDS = {"show": ("show", "patch"), "status": ("status", "ack"), "history": ("history", "ack")}
"""By kind of read, the kinds of answers that it must not fall behind."""


def reads(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """Linearizable: no read of any verb tells less than was told or acknowledged before it was asked."""
    asked = asks(trace_rows)
    told: dict[str, list[tuple[int, int]]] = collections.defaultdict(list)
    known: dict[str | None, int] = {}
    findings = []
    for row in trace.of_kind(trace_rows, rows.Answered):
        ask = asked.get(row.call)
        if ask is None:
            continue
        if ask.verb == "change":
            if known.get(ask.change, row.at_ms) < ask.at_ms and row.status == NOT_FOUND:
                text = f"{row.node} never heard of {ask.change}, which was acknowledged"
                findings.append(Finding("read", row.at_ms, text))
            continue
        if row.status != OK or row.version is None:
            continue
        kind = ACKNOWLEDGEMENT if ask.verb in CHANGES else ask.verb
        before = [version for of in BINDS.get(kind, ()) for time, version in told[of] if time < ask.at_ms]
        least = max(before, default=0)
        if row.version < least:
            text = f"{row.node} told {kind} {row.version}, {least} was told before"
            findings.append(Finding("read", row.at_ms, text))
        told[kind].append((row.at_ms, row.version))
        if ask.verb in CONFIGURATION_CHANGES:
            told["patch"].append((row.at_ms, row.version))
        if kind == ACKNOWLEDGEMENT and row.change:
            known[row.change] = row.at_ms
    return findings


CHECKS = (configurations, slow_changes, lost_updates, reads)
