"""What must hold of clients' requests, checked over a trace."""

import collections

import basaltport.simulation.finding as finding
import basaltport.simulation.query_api.checks.check_facts as check_facts
import basaltport.simulation.query_api.world.rows as rows
import basaltport.simulation.trace as trace

Finding = finding.Finding
WINDOW_MS = 10_000
HALF_SECOND_MS = 500
SENDS_PER_RESEND = 5
CLIENT_FAULT_STATUSES = (400, 401, 403, 404, 413, 422)
ANSWERED = ("done", "gone")


def once_only(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """What may run once runs once."""
    once = {row.prompt for row in trace.of_kind(trace_rows, rows.Sent) if row.once}
    seen: dict[str, str] = {}
    findings = []
    for row in trace.of_kind(trace_rows, rows.Ran):
        if row.prompt not in once:
            continue
        if row.prompt in seen:
            text = f"{row.prompt} ran as {seen[row.prompt]} and {row.attempt_id}"
            findings.append(Finding("once-only", row.at_ms, text))
        seen[row.prompt] = row.attempt_id
    return findings


def request_of(attempt_id: str) -> str:
    """The id of an attempt's request."""
    return attempt_id.rsplit(".", 1)[0]


def refusal(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """A refused request never ran; and had its key's first one run before, no refusal is true."""
    ran = {request_of(row.attempt_id) for row in trace.of_kind(trace_rows, rows.Ran)}
    ran_before: set[str] = set()
    findings = []
    for row in trace_rows:
        if isinstance(row, rows.Ran):
            ran_before.add(row.prompt)
        elif isinstance(row, rows.Closed) and row.outcome == "refused" and row.code != "key-reused":
            if row.request_id in ran or row.prompt in ran_before:
                text = f"{row.request_id} was refused ({row.code}) and ran"
                findings.append(Finding("refusal", row.at_ms, text))
    return findings


def replies(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """Each request ends once, an answer is its own run's, and a stream is whole or ends abnormally."""
    ran: set[str] = set()
    numbers: dict[str, list[int]] = collections.defaultdict(list)
    runs: dict[str, set[str]] = collections.defaultdict(set)
    findings = []
    for row in trace_rows:
        if isinstance(row, rows.Ran):
            ran.add(row.prompt)
        elif isinstance(row, rows.TwiceClosed):
            text = f"{row.request_id} ended twice: {row.was}, {row.now}"
            findings.append(Finding("reply", row.at_ms, text))
        elif isinstance(row, rows.Piece):
            findings += wrong_piece(row, numbers[row.request_id], runs[row.request_id])
        elif isinstance(row, rows.Closed) and row.outcome == "done":
            findings += wrong_reply(row, ran, len(numbers[row.request_id]), facts.pieces)
    return findings


def wrong_reply(row: rows.Closed, ran: set[str], pieces: int, whole: int) -> list[Finding]:
    """What is wrong with an answer, of which the client got so many pieces."""
    findings = []
    if row.prompt not in ran:
        findings.append(Finding("reply", row.at_ms, f"{row.prompt} was answered without a run"))
    if row.reply is not None and row.reply != row.prompt:
        findings.append(Finding("reply", row.at_ms, f"{row.prompt} got the reply of {row.reply}"))
    if (row.pieces or 0) != pieces or pieces and pieces != whole:
        text = f"{row.request_id} ended clean with {pieces} of {whole} pieces"
        findings.append(Finding("stream", row.at_ms, text))
    return findings


def wrong_piece(row: rows.Piece, numbers: list[int], runs: set[str]) -> list[Finding]:
    """What is wrong with a piece after those that came before it."""
    numbers.append(row.piece_number)
    runs.add(row.run)
    told = ""
    if numbers != list(range(len(numbers))):
        told = f"pieces {numbers}"
    elif len(runs) > 1:
        told = f"pieces of runs {sorted(runs)}"
    elif row.piece != f"{row.prompt}.{row.piece_number}":
        told = f"{row.piece} as its piece {row.piece_number}"
    return [Finding("stream", row.at_ms, f"{row.request_id} was told {told}")] if told else []


def resends(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """In every window of ten seconds that ends at a resend: at most a fifth of first sends and more."""
    seen: set[str] = set()
    first: list[int] = []
    again: list[int] = []
    findings = []
    for row in trace.of_kind(trace_rows, rows.Write):
        (again if row.request_id in seen else first).append(row.at_ms)
        seen.add(row.request_id)
        if not again or again[-1] != row.at_ms:
            continue
        start = row.at_ms - WINDOW_MS
        count, base = (sum(1 for time in times if time > start) for times in (again, first))
        if count > base / SENDS_PER_RESEND + facts.allowance:
            text = f"{count} resends on {base} first sends in ten seconds"
            findings.append(Finding("resend", row.at_ms, text))
    return findings


def judged(trace_rows: trace.Trace, start_ms: int, end_ms: int, blank: bool) -> list[rows.Sent]:
    """The requests that were sent in this span; without those that have a key, where all memory was lost."""
    return [
        row
        for row in trace.of_kind(trace_rows, rows.Sent)
        if start_ms <= row.at_ms < end_ms and not (blank and row.key)
    ]


def ends(trace_rows: trace.Trace) -> dict[str, rows.Closed]:
    """How requests ended."""
    return {row.request_id: row for row in trace.of_kind(trace_rows, rows.Closed)}


def answered(ended: dict[str, rows.Closed], request_id: str) -> bool:
    """Whether a request was answered, or its client went away."""
    return request_id in ended and ended[request_id].outcome in ANSWERED


def recovery(
    trace_rows: trace.Trace, start_ms: int, end_ms: int, blank: bool = False, share: float = 0.95
) -> int:
    """Ms from a fault to the end of the last half second in which less than the share was answered."""
    ended = ends(trace_rows)
    sent: collections.Counter[int] = collections.Counter()
    good: collections.Counter[int] = collections.Counter()
    for row in judged(trace_rows, start_ms, end_ms, blank):
        half_second = (row.at_ms - start_ms) // HALF_SECOND_MS
        sent[half_second] += 1
        good[half_second] += answered(ended, row.request_id)
    low = [half_second for half_second, count in sent.items() if good[half_second] < share * count]
    return (max(low) + 1) * HALF_SECOND_MS if low else 0


def back(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """Requests are served again: of what was sent in each stated span, the stated share was answered."""
    findings = []
    ended = ends(trace_rows)
    for span in facts.served:
        cut_later = {
            request_id
            for request_id, row in ended.items()
            if row.outcome == "cut" and row.at_ms > span.end_ms
        }
        sent = judged(trace_rows, span.start_ms, span.end_ms, facts.blank)
        sent = [row for row in sent if row.request_id not in cut_later]
        good = [row for row in sent if answered(ended, row.request_id)]
        if not sent or len(good) < span.share * len(sent):
            text = f"{len(good)} of {len(sent)} sent from {span.start_ms} to {span.end_ms} ms were answered"
            findings.append(Finding("back", span.start_ms, text))
    return findings


def final_answers(trace_rows: trace.Trace, facts: check_facts.CheckFacts) -> list[Finding]:
    """What is given up on is answered in the step that decides it, and told when to come back."""
    once = {row.request_id for row in trace.of_kind(trace_rows, rows.Sent) if row.once}
    lost: collections.Counter[str] = collections.Counter()
    over: set[str] = set()
    due: dict[str, rows.AttemptLost] = {}
    findings = []
    for row in trace_rows:
        for request_id, since in list(due.items()):
            if row.at_ms > since.at_ms:
                text = f"{request_id} was given up on and not answered at once"
                findings.append(Finding("final-word", since.at_ms, text))
                del due[request_id]
        if isinstance(row, rows.AttemptLost):
            lost[row.request_id] += 1
            final = row.request_id in once or lost[row.request_id] > 1
            if row.request_id not in over and final:
                due[row.request_id] = row
        elif isinstance(row, rows.Closed):
            due.pop(row.request_id, None)
            over.add(row.request_id)
            findings += without_retry(row)
    return findings


def without_retry(row: rows.Closed) -> list[Finding]:
    """A rejection that does not say when to come back."""
    rejected = row.outcome in ("refused", "unknown") and row.status not in CLIENT_FAULT_STATUSES
    if not rejected or row.retry:
        return []
    return [Finding("final-word", row.at_ms, f"{row.request_id}: {row.code} without when to come back")]
