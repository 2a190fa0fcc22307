"""What holds of a request at the sockets of its client and in the logs of the replicas."""

import collections
import collections.abc
import dataclasses
import enum
import re

import tests.support.request_cases as request_cases
import tests.support.request_stand as request_stand

W = request_stand.W
HELD_MS = 250
PROMISES = (408, 421, 429, 503)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


class Check(enum.Enum):
    OWN = "each caller gets its own answer whole, or what cannot be taken for one"
    STAMP = "a failure bears no replica's stamp with another status than that replica gave"
    ONCE = "what may not be repeated runs at most once"
    PROMISE = (
        "what is refused never ran and never will; a replica's own word for what may be repeated is its own"
    )
    TRIES = "a request goes to no more replicas than its route says"
    BUDGET = "further arrivals stay within the ratio and the slack"
    HELD = "nothing is held past its deadline"
    ORDER = "no piece of a stream is missing, comes twice or is of another run"
    UNASKED = "a replica is sent only what a client sent, unaltered and whole"
    STRAY = "no bytes come that no request waits for"


@dataclasses.dataclass(frozen=True)
class Finding:
    check: Check
    case: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """`size`: bytes up to its end, from the start of the connection."""

    status: int
    heads: dict[str, str]
    body: bytes
    whole: bool
    size: int


def parse(raw: bytes, requests: int) -> tuple[list[Answer], bytes]:
    """The answers in what came, at most one for each request, and the bytes after them."""
    out: list[Answer] = []
    at = 0
    while len(out) < requests and at < len(raw):
        top = raw.find(b"\r\n\r\n", at)
        if top < 0 or not raw.startswith(b"HTTP/1.1 ", at):
            return out, raw[at:] if not b"HTTP/1.1 ".startswith(raw[at : at + 9]) else b""
        heads = request_stand.head_of(raw[at:])
        status = int(raw[at + 9 : at + 12])
        body, end = body_at(raw, top + 4, heads)
        out.append(Answer(status, heads, body, end is not None, len(raw) if end is None else end))
        if end is None:
            return out, b""
        at = end
    return out, raw[at:]


def body_at(raw: bytes, at: int, heads: dict[str, str]) -> tuple[bytes, int | None]:
    """A body and where it ends, None where its end is missing."""
    if "transfer-encoding" not in heads:
        if "content-length" not in heads:
            return raw[at:], None
        end = at + int(heads["content-length"])
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


class Judge:
    """Looks at one case; `findings` holds what is wrong."""

    def __init__(self, played: request_cases.Played) -> None:
        self.played = played
        self.findings: list[Finding] = []
        self.answers, self.rest = parse(played.raw(), len(played.ids))
        self.route = played.case.route
        self.arrivals = {i: [a for a in played.log if a.request_id == i] for i in played.ids}

    def found(self, check: Check, detail: str) -> None:
        self.findings.append(Finding(check, self.played.case.name, detail))

    def judge(self) -> list[Finding]:
        if self.rest:
            self.found(Check.STRAY, repr(self.rest[:80]))
        for request_id, answer in zip(self.played.ids, self.answers, strict=False):
            self.own(request_id, answer)
        for request_id in self.played.ids:
            self.runs(request_id)
        self.asked()
        self.held()
        return self.findings

    def by_stamp(self, stamp: str | None) -> request_stand.Arrival | None:
        return next((a for a in self.played.log if a.stamp == stamp), None)

    def own(self, request_id: str, answer: Answer) -> None:
        stamp = answer.heads.get(W.stamp.lower())
        run = self.by_stamp(stamp)
        if answer.heads.get(W.request_id.lower(), request_id) != request_id:
            self.found(Check.OWN, f"{request_id} got the answer to {answer.heads[W.request_id.lower()]}")
        if stamp and (run is None or run.request_id != request_id):
            self.found(Check.OWN, f"{request_id} got the stamp {stamp}")
        if run and run.status != answer.status:
            self.found(Check.STAMP, f"{answer.status} with the stamp of a run that gave {run.status}")
        if answer.status < 200:
            self.found(Check.OWN, f"status {answer.status}")
        if not {"content-length", "transfer-encoding"} & answer.heads.keys():
            self.found(Check.OWN, f"{answer.status} without an end, {answer.body!r}")
        passed = run is not None and self.route in request_cases.REPEATABLE
        if answer.status in PROMISES and not passed and any(not a.proven for a in self.arrivals[request_id]):
            self.found(Check.PROMISE, f"{request_id}: {answer.status}, and it may have run")
        if 200 <= answer.status < 300:
            self.success(request_id, answer, run)

    def success(self, request_id: str, answer: Answer, run: request_stand.Arrival | None) -> None:
        if run is None:
            self.found(Check.OWN, f"{request_id}: a success without a stamp")
        elif run.is_reset and answer.whole:
            self.found(Check.OWN, f"{request_id}: an answer whose connection was reset passed for whole")
        elif self.route in ("stream", "single"):
            self.stream(request_id, answer, run)
        elif answer.whole and answer.body != run.answer_body:
            self.found(Check.OWN, f"{request_id}: {answer.body!r} is not {run.answer_body!r}")

    def stream(self, request_id: str, answer: Answer, run: request_stand.Arrival) -> None:
        events = EVENT.findall(answer.body)
        numbers = [int(n) for n, _, _ in events]
        whole = b"".join(b"id: %s\ndata: %s %s\n\n" % e for e in events)
        if numbers != list(range(1, len(numbers) + 1)):
            self.found(Check.ORDER, f"pieces {numbers}")
        if any(i.decode() != request_id for _, i, _ in events):
            self.found(Check.OWN, f"{request_id}: pieces of another request")
        if answer.whole and (len(numbers) != request_stand.EVENTS or answer.body != whole):
            self.found(Check.ORDER, f"ends as complete with {numbers} and {answer.body[len(whole) :]!r}")
        if self.route == "single" and any(s.decode() != run.stamp for _, _, s in events):
            self.found(Check.ORDER, "pieces of two runs")

    def runs(self, request_id: str) -> None:
        arrivals = self.arrivals[request_id]
        ran = [a for a in arrivals if not a.proven]
        if self.route not in request_cases.REPEATABLE and len(ran) > 1:
            self.found(Check.ONCE, f"{request_id} went to {[a.replica for a in ran]}")
        if len({a.replica for a in arrivals}) > request_cases.TRIES:
            self.found(Check.TRIES, f"{request_id} went to {[a.replica for a in arrivals]}")

    def asked(self) -> None:
        for a in self.played.log:
            if a.request_id not in self.played.ids:
                self.found(Check.UNASKED, f"a request with the id {a.request_id!r}")
            elif a.line != f"POST /{a.request_id} HTTP/1.1":
                self.found(Check.UNASKED, a.line)
            elif a.body not in (None, self.played.case.body):
                self.found(Check.UNASKED, f"the body {a.body!r}")

    def held(self) -> None:
        """A pipelined request's time starts with the end of the answer before it."""
        if self.played.case.sent is not None or self.played.case.read is not None:
            return
        start = self.played.sent_ms
        for n, request_id in enumerate(self.played.ids):
            answer = self.answers[n] if n < len(self.answers) else None
            if answer is not None and answer.whole:
                end: float | None = self.played.came_ms(answer.size)
            else:
                end = self.played.ended_ms
            if end is None or end > start + request_cases.DEADLINE_MS + HELD_MS:
                self.found(Check.HELD, f"{request_id}: from {start:.0f} to {end and round(end)}")
            if end is None or answer is None or not answer.whole:
                return
            start = end


def judge(played: collections.abc.Sequence[request_cases.Played], shared: bool = False) -> list[Finding]:
    """What is wrong with the cases; `shared`: all of one service."""
    out = [f for p in played for f in Judge(p).judge()]
    for group in [played] if shared else [[p] for p in played]:
        out += budget(group)
    return out


def budget(played: collections.abc.Sequence[request_cases.Played]) -> list[Finding]:
    """Of all requests to a service."""
    judges = [Judge(p) for p in played]
    arrivals = [a for j in judges for a in j.arrivals.values()]
    further = sum(max(0, len(a) - 1) for a in arrivals)
    most = request_cases.RETRY_RATIO * len(arrivals) + request_cases.RETRY_SLACK
    if further <= most:
        return []
    return [Finding(Check.BUDGET, played[0].case.name, f"{further} further arrivals, {most} may be")]


def outcomes(played: collections.abc.Iterable[request_cases.Played]) -> collections.Counter[str]:
    """How many requests got each status; "cut" and "none" for answers not whole and missing."""
    out: collections.Counter[str] = collections.Counter()
    for p in played:
        answers, _ = parse(p.raw(), len(p.ids))
        for a in answers:
            out[str(a.status) if a.whole else "cut"] += 1
        out["none"] += len(p.ids) - len(answers)
    return out
