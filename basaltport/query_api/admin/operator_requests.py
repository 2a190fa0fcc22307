"""Operators' requests at any node: changes and reads go to the leader and its answer comes back."""

import http
import typing

import result

import basaltport.configuration.check as check
import basaltport.consensus.state_machine as state_machine
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.messages as messages
import basaltport.operator_answers as operator_answers
import basaltport.query_api.messages as query_messages

CHANGES = ("apply", "patch", "drain", "undrain", "leaving", "platform")
ZONE_ORDERS = ("drain", "undrain")
"""These name a state and nothing that it is made for: only an id tells a late copy from a new order."""
READS = ("show", "history", "status", "members", "replicas", "placement", "change")
ANSWER_WAITED_MS = 6000
REPEAT_INTERVAL_MS = 200
LEADER_SILENT_MS = 1500
NO_LEADER_RETRY_MS = 500
MAX_CHANGE_ID_CHARACTERS = 100

Document = dict[str, typing.Any]
Findings = list[dict[str, str]]
NO_LEADER: Document = {"error": "no-leader", "changed": False, "retry_after_ms": NO_LEADER_RETRY_MS}


def form_fault(verb: str, body: Document) -> str | None:
    """What is wrong with the form of a change, or None."""
    change, version = body.get("change"), body.get("if_serial")
    if change is None and verb in ZONE_ORDERS:
        return f"`{verb}` needs a `change` id, by which a late copy of it is known"
    if change is not None and not (isinstance(change, str) and 0 < len(change) <= MAX_CHANGE_ID_CHARACTERS):
        return f"`change` is a string of 1 to {MAX_CHANGE_ID_CHARACTERS} characters"
    if version is not None and type(version) is not int:
        return "`if_serial` is a whole number"
    for key in ("zone", "replica"):
        if key in body and not isinstance(body[key], str):
            return f"`{key}` is a string"
    return None


class OperatorCall:
    """A request that awaits a leader's answer. `term`: that of the leader that was asked last, None where it
    did not take it; `repeated`: more than one leader was asked; `next_at`: when it may be asked again."""

    __slots__ = ("taken_at", "verb", "body", "term", "repeated", "next_at")

    def __init__(self, taken_at: int, verb: str, body: Document, term: identifiers.Term) -> None:
        """A request that was just forwarded."""
        self.taken_at = taken_at
        self.verb = verb
        self.body = body
        self.term: identifiers.Term | None = term
        self.repeated = False
        self.next_at = taken_at

    def is_repeatable(self) -> bool:
        """Whether it may be sent to another leader: a read, or a change with an id."""
        return bool(self.body.get("change")) or self.verb in READS


class RequestInterface(typing.Protocol):
    """What `OperatorRequestsMixin` needs of the member it is part of; see `consensus.seat`."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: state_machine.ClusterState
    leader: typing.Any
    leader_heard_at_ms: int
    leading: bool
    members: dict[str, Document]

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""

    def has_committed_in_term(self) -> bool:
        """Whether an entry of this leader's term is committed."""

    def serve_as_leader(self, src: str | None, call: str, verb: str, body: Document) -> None:
        """Take a request; of a member that may lead."""


if typing.TYPE_CHECKING:
    Interface = RequestInterface
else:
    Interface = object


class OperatorRequestsMixin(operator_answers.OperatorAnswersMixin, Interface):
    """Any member: forwards to the leader, or says at once that there is none."""

    def is_leading(self) -> bool:
        """Whether this member is the leader."""
        return bool(getattr(self, "leading", False))

    def on_asked(self, event: events.Asked) -> None:
        """An operator's request is here: serve it, forward it, or answer that there is no leader."""
        if self.is_leading():
            self.serve(None, event.call, event.verb, event.body)
            return
        if self.leader is None or self.now - self.leader_heard_at_ms > LEADER_SILENT_MS:
            self.respond(None, event.call, http.HTTPStatus.SERVICE_UNAVAILABLE, dict(NO_LEADER))
            return
        if event.verb == "apply" and event.body.get("change") not in self.cluster_state.recent_changes:
            checked = check.manifest(event.body.get("manifest"), self.cluster_state.configuration)
            if isinstance(checked, result.Err):
                status = http.HTTPStatus.UNPROCESSABLE_ENTITY
                self.refuse_change(None, event.call, event.body.get("change"), status, checked.err_value)
                return
            event.body["checked"] = True
        self.hint(event.verb, event.body)
        self.calls[event.call] = OperatorCall(self.now, event.verb, event.body, self.leader.term)
        self.forward(event.call, event.verb, event.body)

    def forward(self, call: str, verb: str, body: Document) -> None:
        """Send a request to the leader."""
        self.send(self.leader.addr, messages.Forward(call, self.me.addr, verb, body))

    def hint(self, verb: str, body: Document) -> None:
        """Tell all members of a replica or zone that goes out of use, ahead of the agreed log."""
        if verb not in ("leaving", "drain"):
            return
        zone = str(body.get("zone", "")) if verb == "drain" else ""
        notice = query_messages.LeavingNotice(str(body.get("replica", "")), zone)
        for address in sorted({row["addr"] for row in self.members.values()}):
            self.send(address, notice)
        self.hear_leaving_notice("", notice)

    def hear_leaving_notice(self, source: str, message: query_messages.LeavingNotice) -> None:
        """Only query nodes use replicas."""

    def hear_reply(self, source: str, message: messages.Reply) -> None:
        """The leader answered; one of a further leader that it changed nothing is not the whole truth."""
        waiting = self.calls.get(message.call)
        if waiting is None:
            return
        if waiting.repeated and message.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            waiting.term, waiting.next_at = None, self.now + REPEAT_INTERVAL_MS
            return
        del self.calls[message.call]
        self.respond(None, message.call, message.status, message.body)

    def hear_forward(self, source: str, message: messages.Forward) -> None:
        """Another member passes an operator's request on."""
        self.serve(message.addr, message.call, message.verb, message.body)

    def tick_desk(self) -> None:
        """Repeat requests at a new leader, and answer those whose time is over."""
        term = self.leader.term if self.leader else None
        for call, waiting in list(self.calls.items()):
            if self.now - waiting.taken_at >= ANSWER_WAITED_MS:
                self.end_unanswered(call, waiting)
            elif self.now >= waiting.next_at and waiting.term != term and waiting.is_repeatable():
                self.repeat_call(call, waiting)

    def end_unanswered(self, call: str, waiting: OperatorCall) -> None:
        """Nobody answered: of a read that is all, of a change the outcome is unknown."""
        del self.calls[call]
        if waiting.verb in READS:
            body: Document = {"error": "no-answer", "changed": False}
            self.respond(None, call, http.HTTPStatus.SERVICE_UNAVAILABLE, body)
            return
        change = waiting.body.get("change")
        body = {"outcome": "unknown", "change": change, "advice": "ask by change id"}
        self.respond(None, call, http.HTTPStatus.GATEWAY_TIMEOUT, body)

    def refuse_change(
        self, src: str | None, call: str, change: object, status: int, findings: Findings
    ) -> None:
        """Answer that a change is not taken, and why."""
        self.note(log_events.Event.CHANGE_REFUSED, change_id=change, findings=len(findings))
        self.respond(src, call, status, {"outcome": "refused", "change": change, "findings": findings})

    def repeat_call(self, call: str, waiting: OperatorCall) -> None:
        """Ask a new leader what the old one left open; a change's id keeps it from being done twice."""
        if self.is_leading():
            if self.has_committed_in_term():
                del self.calls[call]
                self.serve(None, call, waiting.verb, waiting.body)
            return
        if self.leader is None:
            return
        waiting.term, waiting.repeated = self.leader.term, True
        self.forward(call, waiting.verb, waiting.body)

    def serve(self, src: str | None, call: str, verb: str, body: Document) -> None:
        """Only a leader serves requests, once an entry of its term is committed."""
        if self.leading and self.has_committed_in_term():
            self.serve_as_leader(src, call, verb, body)
            return
        self.respond(src, call, http.HTTPStatus.SERVICE_UNAVAILABLE, dict(NO_LEADER))
