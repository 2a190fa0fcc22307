"""Handles operators' requests at any controller: changes and reads of the configuration, and zone orders.

A follower forwards a request to the leader. A request that a leader didn't decide is sent to the next leader.
Every request gets an answer: 503 if nothing was changed, 504 if that is unknown.
"""

import collections.abc
import dataclasses
import typing

import basaltport.configuration.editions as editions
import basaltport.configuration.routes as routes
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.controller.operator_calls as operator_calls
import basaltport.controller.zone_orders as zone_orders
import basaltport.events as events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.messages as messages

NO_LEADER_TIMEOUT_MS = 900
"""A request that was never sent to a leader times out after this, in ms."""
REQUEST_TIMEOUT_MS = 3800
"""Every other request times out after this, in ms."""
REFUSED_RETRY_MS = 200
"""The delay before a request is sent again after the leader couldn't accept it, in ms."""
UNANSWERED_RETRY_MS = 1000
"""The delay before a request is sent again to a leader that hasn't answered, in ms."""
MAX_LEADER_SILENCE_MS = 1500
"""Requests are not forwarded to a leader that has been silent for longer, in ms."""
FINDINGS_LOGGED = 3
"""The most findings of a refused change that are logged."""
LONG_AGO = -(10**9)
"""A time in ms that makes the next heartbeat due at once."""
OK = 200
BAD_REQUEST = 400
PRECONDITION_FAILED = 412

Document = dict[str, typing.Any]
Operation = log.Operation
State = state_machine.ClusterState
DecideChange = collections.abc.Callable[[State, Document], Operation | tuple[int, Document]]
"""Returns the operation to append, or the answer if there is nothing to append."""


class OperatorRequestsNeeds(typing.Protocol):
    """The members of the controller that `OperatorRequestsMixin` uses; see `consensus`."""

    me: member.Me
    now: identifiers.Millis
    cluster_state: State
    appended_state: State
    leading: bool
    leader: typing.Any
    leader_heard_at_ms: int
    heartbeat_sent_at_ms: int
    heartbeat_number: int
    """The number of the last heartbeat."""
    listeners: typing.Any
    pending_changes: list[Document]
    """Changes that wait for their commit; see `consensus.read_index`."""
    pending_reads: list[Document]
    """Answers that wait until a quorum confirms the leader; see `consensus.read_index`."""

    def has_committed_in_term(self) -> bool:
        """Whether the first entry of this leader's term is committed."""

    def tick_stored(self) -> None:
        """Convert a configuration that an earlier release stored."""

    def answer_ready_requests(self) -> None:
        """Acknowledge the changes that are committed."""

    def append(self, operation: Operation) -> identifiers.LogIndex:
        """Append an entry to the log and return its index."""

    def note(self, number: int, **fields: object) -> None:
        """Log an event."""


if typing.TYPE_CHECKING:

    class Needs(zone_orders.ZoneOrdersMixin, OperatorRequestsNeeds):
        """The controller as this mixin sees it, for the type checker only."""
else:
    Needs = zone_orders.ZoneOrdersMixin


class OperatorRequestsMixin(Needs):
    """Accepts operators' requests, forwards them to the leader, and decides them on the leader.

    In all methods `source` is the address of the controller that forwarded a request, None for a request that
    an operator sent to this controller."""

    calls: dict[str, operator_calls.ForwardedRequest]

    def operator_requests_start(self) -> None:
        """Initialize without requests, and subscribe to the end of the leadership."""
        self.operator_answers_start()
        self.zone_orders_start()
        self.listeners.leadership_ending.append(self.pass_reads_to_next_leader)

    # any controller

    def on_asked(self, event: events.Asked) -> None:
        """Decide an operator's request on the leader, forward it on a follower, or refuse it."""
        if event.verb not in operator_calls.VERBS:
            self.respond(None, event.call, BAD_REQUEST, {"error": "unknown-verb"})
            return
        received_at = self.received_at(event)
        if self.is_too_old(event.verb, received_at):
            self.refuse_too_old(None, event.call, event.verb, received_at)
            return
        if self.leading and self.has_committed_in_term():
            self.decide(None, event.call, event.verb, event.body, received_at)
            return
        age_ms = self.now - received_at
        self.note(log_events.Event.REQUEST_FORWARDED, verb=event.verb, call=event.call, age_ms=age_ms)
        self.calls[event.call] = operator_calls.ForwardedRequest(received_at, event.verb, event.body)
        self.forward(event.call, self.calls[event.call])

    def forward(self, call: str, request: operator_calls.ForwardedRequest) -> None:
        """Send a request to the leader if it is due, or decide it if this controller leads by now."""
        if self.leading:
            if self.has_committed_in_term():
                del self.calls[call]
                self.decide(None, call, request.verb, request.body, request.received_at)
            return
        if self.leader is None or self.now - self.leader_heard_at_ms > MAX_LEADER_SILENCE_MS:
            return
        if self.now < request.retry_at and request.term == self.leader.term:
            return
        request.term, request.retry_at = self.leader.term, self.now + UNANSWERED_RETRY_MS
        request.undecided_sends += 1
        message = messages.Forward(call, self.me.addr, request.verb, request.body)
        self.set_order_age(message, request)
        self.send(self.leader.addr, message)

    def tick_requests(self) -> None:
        """Send due requests again, and answer those that timed out."""
        for call, request in list(self.calls.items()):
            limit_ms = REQUEST_TIMEOUT_MS if request.undecided_sends or request.term else NO_LEADER_TIMEOUT_MS
            too_old = self.is_too_old(request.verb, request.received_at)
            if not too_old and self.now - request.received_at < limit_ms:
                self.forward(call, request)
                continue
            del self.calls[call]
            if too_old:
                self.drop_zone_order(operator_calls.Dropped.TOO_OLD, request.verb, call)
            self.answer_undecided(None, call, request.verb, request.undecided_sends)
        self.pending_changes = [
            row for row in self.pending_changes if not self.answer_if_timed_out(row, row["at"], 1)
        ]
        self.pending_reads = [
            row for row in self.pending_reads if not self.answer_if_timed_out(row, row["asked"], 0)
        ]

    def answer_if_timed_out(self, row: Document, received_at: int, undecided_sends: int) -> bool:
        """Whether a request has timed out; if so, answer it as undecided."""
        if self.now - received_at < REQUEST_TIMEOUT_MS:
            return False
        self.answer_undecided(row["src"], row["call"], row["verb"], undecided_sends)
        return True

    def answer_undecided(self, source: str | None, call: str, verb: str, undecided_sends: int) -> None:
        """Answer a request that no leader decided: 503 if nothing was changed, 504 if that is unknown."""
        nothing_changed = verb in operator_calls.READS or not undecided_sends
        answer = operator_calls.no_leader() if nothing_changed else operator_calls.undecided()
        self.respond(source, call, *answer)

    def hear_reply(self, source: str, reply: messages.Reply) -> None:
        """Pass the leader's answer to the caller. After 503 (not accepted) or 504 (outcome unknown) the
        request is sent to the next leader instead."""
        request = self.calls.get(reply.call)
        if request is None:
            return
        if reply.status in (operator_calls.UNAVAILABLE, operator_calls.TIMED_OUT):
            request.undecided_sends -= reply.status == operator_calls.UNAVAILABLE
            request.term, request.retry_at = None, self.now + REFUSED_RETRY_MS
            return
        del self.calls[reply.call]
        self.respond(None, reply.call, reply.status, reply.body)

    def hear_forward(self, source: str, request: messages.Forward) -> None:
        """Decide a request that another controller forwarded, unless it is a zone order that is too old."""
        sent_after = self.sent_after(request) if self.leading else self.now
        if self.is_too_old(request.verb, sent_after):
            self.refuse_too_old(request.addr, request.call, request.verb, sent_after)
            return
        self.decide(request.addr, request.call, request.verb, request.body, self.now)

    # the leader

    def decide(self, source: str | None, call: str, verb: str, body: Document, received_at: int) -> None:
        """Decide a request as the leader; answer 503 if this controller doesn't lead."""
        if not self.leading or not self.has_committed_in_term():
            self.respond(source, call, *operator_calls.no_leader())
            return
        self.tick_stored()
        if verb in operator_calls.READS:
            self.answer_after_confirmation(source, call, verb, body, received_at)
            return
        change = body.get("change")
        index = self.appended_state.recent_changes.get(change) if change else None
        if index is not None:
            self.wait_for_commit(source, call, verb, body, received_at, index)
            return
        decided = self.change_operations()[operator_calls.Verb(verb)](self.appended_state, body)
        if isinstance(decided, tuple):
            if decided[0] != OK:
                self.log_refused_change(change, decided)
            self.answer_after_confirmation(source, call, verb, body, received_at, decided)
            return
        if change:
            decided = dataclasses.replace(decided, change_id=change)
        self.wait_for_commit(source, call, verb, body, received_at, self.append(decided))

    def log_refused_change(self, change: object, answer: tuple[int, Document]) -> None:
        """Log a refused change with its first findings."""
        findings = answer[1].get("findings", [])[:FINDINGS_LOGGED]
        event = log_events.Event.CHANGE_REFUSED
        self.note(event, change=change, status=answer[0], findings=findings)

    def wait_for_commit(
        self, source: str | None, call: str, verb: str, body: Document, received_at: int, index: int
    ) -> None:
        """Answer a change once the entry at an index is committed."""
        row = {"src": source, "call": call, "verb": verb, "body": body, "at": received_at, "serial": index}
        row["committed"] = self.now if index <= self.cluster_state.log_index else None
        self.pending_changes.append(row)
        self.pending_changes.sort(key=lambda waiting: typing.cast(int, waiting["serial"]))
        self.answer_ready_requests()

    def answer_after_confirmation(
        self,
        source: str | None,
        call: str,
        verb: str,
        body: Document,
        received_at: int,
        answer: tuple[int, Document] | None = None,
    ) -> None:
        """Answer once a quorum has acknowledged a heartbeat that is sent after this, and the entries that the
        answer depends on are committed. Without `answer`, it is read from the state committed by then."""
        row = {
            "n": self.heartbeat_number,
            "src": source,
            "call": call,
            "verb": verb,
            "body": body,
            "asked": received_at,
        }
        self.pending_reads.append(
            {**row, "got": answer, "serial": self.appended_state.log_index if answer else 0}
        )
        self.heartbeat_sent_at_ms = LONG_AGO

    def serve_read(self, row: Document) -> None:
        """Send an answer after a quorum confirmed the leader, or wait until the entries it depends on are
        committed."""
        if row["serial"] > self.cluster_state.log_index:
            self.pending_reads.append(row)
            return
        answer = row["got"] or self.read_configuration(self.cluster_state)
        self.respond(row["src"], row["call"], *answer)

    def read_configuration(self, state: State) -> operator_calls.Answer:
        """Returns the committed configuration and its version."""
        document = {"document": state.configuration, "serial": int(state.configuration_version)}
        return operator_calls.Answer(OK, document)

    def acknowledge(self, row: Document) -> None:
        """Answer a change that was committed."""
        index = int(row["serial"])
        event = log_events.Event.CHANGE_ACKNOWLEDGED
        body = row["body"]
        fields = {"verb": row["verb"], "call": row["call"], "zone": body.get("zone")}
        self.note(event, serial=index, change=body.get("change"), **fields)
        self.respond(row["src"], row["call"], OK, {"serial": index})

    def unknown(self, row: Document) -> None:
        """Hand over a change that was not committed before this leader stepped down."""
        self.pass_to_next_leader(row, row["at"], 1)

    def pass_to_next_leader(self, row: Document, received_at: int, undecided_sends: int) -> None:
        """Queue a request that was accepted here for the next leader; answer a forwarded one as undecided."""
        if row["src"] is None:
            request = operator_calls.ForwardedRequest(received_at, row["verb"], row["body"], undecided_sends)
            self.calls[row["call"]] = request
            return
        self.answer_undecided(row["src"], row["call"], row["verb"], undecided_sends)

    def pass_reads_to_next_leader(self) -> None:
        """Hand the pending reads to the next leader, before this one steps down."""
        reads, self.pending_reads = self.pending_reads, []
        for row in reads:
            self.pass_to_next_leader(row, row["asked"], 0)

    # Changes: each method returns the operation to append, or the answer if there is nothing to append.

    def change_operations(self) -> dict[operator_calls.Verb, DecideChange]:
        """Returns the method that decides each kind of change."""
        return {
            operator_calls.Verb.CONFIGURE: self.put_configuration,
            operator_calls.Verb.RECONFIGURE: self.patch_configuration,
            operator_calls.Verb.EVACUATE: self.evacuate_zone,
            operator_calls.Verb.READMIT: self.readmit_zone,
        }

    def validate_change(
        self,
        state: State,
        body: Document,
        findings: list[Document],
        document: collections.abc.Callable[[], typing.Any],
        operation: Operation,
    ) -> Operation | tuple[int, Document]:
        """Returns the operation if the change is based on the current edition and the resulting document is
        valid, otherwise the refusal."""
        current_edition = editions.edition_of(state.configuration)
        if body.get("base") != current_edition:
            error = {"error": "edition", "edition": current_edition}
            return operator_calls.Answer(PRECONDITION_FAILED, error)
        findings = findings or routes.check(document(), state.configuration)
        if findings:
            return operator_calls.Answer(BAD_REQUEST, {"error": "invalid", "findings": findings})
        return operation

    def put_configuration(self, state: State, body: Document) -> Operation | tuple[int, Document]:
        """Replace the configuration."""
        document = body.get("document")
        operation = log.ConfigurationPut(document)
        return self.validate_change(state, body, [], lambda: document, operation)

    def patch_configuration(self, state: State, body: Document) -> Operation | tuple[int, Document]:
        """Add, replace or remove items of the configuration."""
        patch = body.get("patch")
        findings = routes.check_patch(patch)
        operation = log.ItemsPatched(patch)
        return self.validate_change(
            state, body, findings, lambda: routes.patch(state.configuration, patch), operation
        )

    def zone_operation(
        self, state: State, body: Document, make: collections.abc.Callable[[str], Operation], evacuated: bool
    ) -> Operation | tuple[int, Document]:
        """Returns the operation that evacuates or readmits a zone, or the answer if the zone is in that state
        already."""
        zone = body.get("zone")
        if not isinstance(zone, str) or not zone:
            findings = [{"place": "zone", "finding": "not a name"}]
            return operator_calls.Answer(BAD_REQUEST, {"error": "invalid", "findings": findings})
        if (zone in state.evacuated_zones) is evacuated:
            return operator_calls.Answer(OK, {"serial": int(state.log_index)})
        return make(zone)

    def evacuate_zone(self, state: State, body: Document) -> Operation | tuple[int, Document]:
        """Returns the operation that evacuates a zone."""
        return self.zone_operation(state, body, log.ZoneEvacuated, True)

    def readmit_zone(self, state: State, body: Document) -> Operation | tuple[int, Document]:
        """Returns the operation that withdraws the evacuation of a zone."""
        return self.zone_operation(state, body, log.EvacuationWithdrawn, False)
