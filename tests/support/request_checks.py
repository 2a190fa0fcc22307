"""Checks of the rules for requests at the client's socket and in the logs of the replicas."""

import collections
import collections.abc
import dataclasses
import enum
import re

import tests.support.request_cases as request_cases
import tests.support.request_stand as request_stand

HEADERS = request_stand.HEADERS
DEADLINE_SLACK_MS = 250
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


class Check(enum.Enum):
    OWN_RESPONSE = "a client gets only the complete response to its own request, or an evident failure"
    STAMP = "an error response has a replica's stamp only with the status that the replica sent"
    ONCE = "a non-repeatable request runs at most once"
    NOT_RUN = (
        "a rejected request never runs; only for repeatable requests a replica's own rejection is passed on"
    )
    REPLICAS = "a request is sent to no more replicas than its route allows"
    BUDGET = "retries stay within the ratio plus the fixed allowance"
    DEADLINE = "no request is open past its deadline"
    ORDER = "no event of a stream is missing, duplicated or of another run"
    UNMODIFIED = "a replica receives only what a client sent, complete and unmodified"
    NO_EXTRA_BYTES = "a client receives no bytes that belong to no request"


@dataclasses.dataclass(frozen=True)
class Finding:
    check: Check
    case: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """`size` is the number of bytes from the start of the connection to the end of the response."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    size: int


def parse(raw: bytes, requests: int) -> tuple[list[Answer], bytes]:
    """Returns the responses in the received bytes, at most one for each request, and the remaining bytes."""
    found: list[Answer] = []
    at = 0
    while len(found) < requests and at < len(raw):
        head_end = raw.find(b"\r\n\r\n", at)
        if head_end < 0 or not raw.startswith(b"HTTP/1.1 ", at):
            return found, raw[at:] if not b"HTTP/1.1 ".startswith(raw[at : at + 9]) else b""
        headers = request_stand.head_of(raw[at:])
        status = int(raw[at + 9 : at + 12])
        body, end = body_at(raw, head_end + 4, headers)
        found.append(Answer(status, headers, body, end is not None, len(raw) if end is None else end))
        if end is None:
            return found, b""
        at = end
    return found, raw[at:]


def body_at(raw: bytes, at: int, headers: dict[str, str]) -> tuple[bytes, int | None]:
    """Returns a body and the offset of its end, None if the end is missing."""
    if "transfer-encoding" not in headers:
        if "content-length" not in headers:
            return raw[at:], None
        end = at + int(headers["content-length"])
        return raw[at:end], end if end <= len(raw) else None
    body = b""
    while True:
        line = raw.find(b"\r\n", at)
        if line < 0:
            return body, None
        size = int(raw[at:line], 16)
        if line + 4 + size > len(raw):
            return body + raw[line + 2 : line + 2 + size], None
        body += raw[line + 2 : line + 2 + size]
        at = line + 4 + size
        if size == 0:
            return body, at


class CaseChecker:
    """Checks one case; `findings` lists the violations."""

    def __init__(self, played: request_cases.Played) -> None:
        self.played = played
        self.findings: list[Finding] = []
        self.answers, self.rest = parse(played.raw(), len(played.ids))
        self.route = played.case.route
        self.arrivals = {i: [a for a in played.log if a.request_id == i] for i in played.ids}

    def report(self, check: Check, detail: str) -> None:
        self.findings.append(Finding(check, self.played.case.name, detail))

    def check(self) -> list[Finding]:
        if self.rest:
            self.report(Check.NO_EXTRA_BYTES, repr(self.rest[:80]))
        for request_id, answer in zip(self.played.ids, self.answers, strict=False):
            self.check_response(request_id, answer)
        for request_id in self.played.ids:
            self.check_runs(request_id)
        self.check_forwarded()
        self.check_deadlines()
        return self.findings

    def run_with_stamp(self, stamp: str | None) -> request_stand.Arrival | None:
        return next((a for a in self.played.log if a.stamp == stamp), None)

    def check_response(self, request_id: str, answer: Answer) -> None:
        stamp = answer.headers.get(HEADERS.stamp.lower())
        run = self.run_with_stamp(stamp)
        if answer.headers.get(HEADERS.request_id.lower(), request_id) != request_id:
            self.report(
                Check.OWN_RESPONSE,
                f"{request_id} got the response to {answer.headers[HEADERS.request_id.lower()]}",
            )
        if stamp and (run is None or run.request_id != request_id):
            self.report(Check.OWN_RESPONSE, f"{request_id} got the stamp {stamp}")
        if run and run.status != answer.status:
            self.report(Check.STAMP, f"{answer.status} with the stamp of a run that gave {run.status}")
        if answer.status < 200:
            self.report(Check.OWN_RESPONSE, f"status {answer.status}")
        if not {"content-length", "transfer-encoding"} & answer.headers.keys():
            self.report(Check.OWN_RESPONSE, f"{answer.status} without an explicit end, {answer.body!r}")
        passed = run is not None and self.route in request_cases.REPEATABLE
        if (
            answer.status in NOT_RUN_STATUSES
            and not passed
            and any(not a.proven for a in self.arrivals[request_id])
        ):
            self.report(Check.NOT_RUN, f"{request_id}: {answer.status}, and it may have run")
        if 200 <= answer.status < 300:
            self.check_success(request_id, answer, run)

    def check_success(self, request_id: str, answer: Answer, run: request_stand.Arrival | None) -> None:
        if run is None:
            self.report(Check.OWN_RESPONSE, f"{request_id}: a success without a stamp")
        elif run.is_reset and answer.whole and not self.was_resumed(request_id, run):
            self.report(
                Check.OWN_RESPONSE,
                f"{request_id}: a response whose connection was reset was treated as complete",
            )
        elif self.route in ("stream", "single"):
            self.check_stream(request_id, answer, run)
        elif answer.whole and answer.body != run.answer_body:
            self.report(Check.OWN_RESPONSE, f"{request_id}: {answer.body!r} is not {run.answer_body!r}")

    def was_resumed(self, request_id: str, run: request_stand.Arrival) -> bool:
        """Whether a later attempt may have continued the stream of a run."""
        runs = self.arrivals[request_id]
        return self.route == "stream" and runs[-1] is not run and not runs[-1].is_reset

    def check_stream(self, request_id: str, answer: Answer, run: request_stand.Arrival) -> None:
        events = EVENT.findall(answer.body)
        numbers = [int(n) for n, _, _ in events]
        whole = b"".join(b"id: %s\ndata: %s %s\n\n" % e for e in events)
        if numbers != list(range(1, len(numbers) + 1)):
            self.report(Check.ORDER, f"pieces {numbers}")
        if any(i.decode() != request_id for _, i, _ in events):
            self.report(Check.OWN_RESPONSE, f"{request_id}: pieces of another request")
        has_all = len(numbers) == request_stand.EVENTS or (
            run.ends_with_connection and answer.body == run.answer_body
        )
        if answer.whole and (not has_all or answer.body != whole):
            self.report(Check.ORDER, f"ends as complete with {numbers} and {answer.body[len(whole) :]!r}")
        if self.route == "single" and any(s.decode() != run.stamp for _, _, s in events):
            self.report(Check.ORDER, "pieces of two runs")

    def check_runs(self, request_id: str) -> None:
        arrivals = self.arrivals[request_id]
        ran = [a for a in arrivals if not a.proven]
        if self.route not in request_cases.REPEATABLE and len(ran) > 1:
            self.report(Check.ONCE, f"{request_id} went to {[a.replica for a in ran]}")
        if len({a.replica for a in arrivals}) > request_cases.TRIES:
            self.report(Check.REPLICAS, f"{request_id} went to {[a.replica for a in arrivals]}")

    def check_forwarded(self) -> None:
        for a in self.played.log:
            if a.request_id not in self.played.ids:
                self.report(Check.UNMODIFIED, f"a request with the id {a.request_id!r}")
            elif a.line != f"POST /{a.request_id} HTTP/1.1":
                self.report(Check.UNMODIFIED, a.line)
            elif a.body not in (None, self.played.case.body):
                self.report(Check.UNMODIFIED, f"the body {a.body!r}")

    def check_deadlines(self) -> None:
        """Check deadlines; the time of a pipelined request starts at the end of the response before it."""
        if self.played.case.sent is not None or self.played.case.read is not None:
            return
        start = self.played.sent_ms
        for n, request_id in enumerate(self.played.ids):
            answer = self.answers[n] if n < len(self.answers) else None
            if answer is not None and answer.whole:
                end: float | None = self.played.arrived_ms(answer.size)
            else:
                end = self.played.ended_ms
            if end is None or end > start + request_cases.DEADLINE_MS + DEADLINE_SLACK_MS:
                self.report(Check.DEADLINE, f"{request_id}: from {start:.0f} to {end and round(end)}")
            if end is None or answer is None or not answer.whole:
                return
            start = end


def check_all(played: collections.abc.Sequence[request_cases.Played], shared: bool = False) -> list[Finding]:
    """Returns the violations in the cases; `shared` says that all of them use one service."""
    found = [f for p in played for f in CaseChecker(p).check()]
    for group in [played] if shared else [[p] for p in played]:
        found += check_budget(group)
    return found


def check_budget(played: collections.abc.Sequence[request_cases.Played]) -> list[Finding]:
    """Returns a finding if the retries of a service exceed its budget."""
    checkers = [CaseChecker(p) for p in played]
    arrivals = [a for c in checkers for a in c.arrivals.values()]
    retries = sum(max(0, len(a) - 1) for a in arrivals)
    max_retries = request_cases.RETRY_RATIO * len(arrivals) + request_cases.RETRY_SLACK
    if retries <= max_retries:
        return []
    return [Finding(Check.BUDGET, played[0].case.name, f"{retries} retries, {max_retries} allowed")]


def outcomes(played: collections.abc.Iterable[request_cases.Played]) -> collections.Counter[str]:
    """Returns how many requests got each status; "cut" counts incomplete responses, "none" missing ones."""
    found: collections.Counter[str] = collections.Counter()
    for p in played:
        answers, _ = parse(p.raw(), len(p.ids))
        for a in answers:
            found[str(a.status) if a.whole else "cut"] += 1
        found["none"] += len(p.ids) - len(answers)
    return found
