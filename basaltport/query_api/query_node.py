"""A node that takes requests of the JSON API (role `rostrum` of the command line), and may own zones."""

import collections
import typing

import basaltport.configuration.rules as rules
import basaltport.consensus.node as node
import basaltport.consensus.voting_policy as voting_policy
import basaltport.events as common_events
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.member as member
import basaltport.messages as common_messages
import basaltport.query_api.admin.operator_requests as operator_requests
import basaltport.query_api.anti_entropy.key_holder as key_holder
import basaltport.query_api.cell.cell as cell
import basaltport.query_api.failure_detection.ring as ring
import basaltport.query_api.messages as messages
import basaltport.query_api.query_proxy.admission as admission
import basaltport.query_api.query_proxy.attempts as attempts
import basaltport.query_api.query_proxy.estimates as estimates
import basaltport.query_api.query_proxy.final_answers as final_answers
import basaltport.query_api.query_proxy.key_claims as key_claims
import basaltport.query_api.query_proxy.model_readiness as model_readiness
import basaltport.query_api.query_proxy.queues as queues
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.query_proxy.slots as slots
import basaltport.query_api.zone_controller.zone_controller as zone_controller

HINT_VALID_MS = 8000
NO_VERSION = -1
LONG_AGO = -(10**9)

Document = dict[str, typing.Any]


class QueryNode(
    admission.AdmissionMixin,
    key_claims.KeyClaimsMixin,
    final_answers.FinalAnswersMixin,
    model_readiness.ModelReadinessMixin,
    attempts.AttemptsMixin,
    slots.SlotsMixin,
    estimates.EstimatesMixin,
    zone_controller.ZoneControllerMixin,
    key_holder.KeyHolderMixin,
    cell.CellMixin,
    ring.RingMixin,
    operator_requests.OperatorRequestsMixin,
    node.FollowerNode,
):
    """The reducer of a query node, from all its mixins.

    `rules`: the configuration in force, compiled; `leaving_hints` and `evacuation_hints`: replicas and zones
    that an operator takes out of use, heard ahead of the agreed log, each with when; `shares_since`: from
    when on this node uses its share of the retry allowance."""

    TICKS = (
        "tick_hello",
        "tick_cells",
        "tick_readiness",
        "tick_slots",
        "tick_zone_controller",
        "tick_store",
        "tick_hints",
        "tick_desk",
        "tick_ring",
        "tick_key_claims",
        "tick_key_holder",
    )

    def __init__(self, me: member.Me, seed: int, now: identifiers.Millis) -> None:
        """`seed` is that of all its chance."""
        node.FollowerNode.__init__(self, me, seed, now, voting_policy.ALL_MEMBERS)
        self.rules = rules.compile(None, 0)
        self.rules_version = NO_VERSION
        self.compiled_from: Document | None = None
        self.requests: dict[str, request.Request] = {}
        self.queues = queues.Queues()
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self.last_demand: dict[str, int] = {}
        self.leaving_hints: dict[str, identifiers.Millis] = {}
        self.evacuation_hints: dict[str, identifiers.Millis] = {}
        self.shares_since = now
        self.cell_start()
        self.ring_start()
        self.readiness_start()
        self.attempts_start()
        self.slots_start()
        self.estimates_start()
        self.zone_controller_start()
        self.operator_answers_start()
        self.key_claims_start()
        self.key_holder_start()
        self.listeners.state_applied.append(self.use_agreed_state)

    def use_agreed_state(self) -> None:
        """Newer agreed state is in force here: compile its configuration, take over zones and keys."""
        version = self.cluster_state.configuration_version
        if version != self.rules_version:
            configuration = self.cluster_state.configuration
            self.rules = rules.compile(configuration, version, self.compiled_from, self.rules)
            self.compiled_from = configuration
            self.rules_version = version
            queue_count = len(self.rules.lines)
            self.note(
                log_events.Event.CONFIGURATION_IN_FORCE,
                configuration_version=int(version),
                queues=queue_count,
            )
            self.recheck_requests()
        self.take_zones()
        self.join_ranges()

    def recheck_requests(self) -> None:
        """Reject requests of queues or items that are no more; the rest take the new rules."""
        for waiting in list(self.queues):
            if not self.is_allowed(waiting):
                detail = "the manifest no longer has this line, model or sender"
                self.reject(waiting, 410, "withdrawn", detail)
                continue
            waiting.rule = self.rules.lines[waiting.queue]

    def hear_cell_update(self, source: str, message: messages.CellUpdate) -> None:
        """Take a zone's update, and go on with waits whose items some replica has come to serve."""
        super().hear_cell_update(source, message)
        self.recheck_waits()

    def hear_leaving_notice(self, source: str, message: messages.LeavingNotice) -> None:
        """An operator takes a replica or a zone out of use: use it no more, ahead of the agreed log."""
        if message.replica:
            self.leaving_hints[message.replica] = self.now
        if message.zone:
            self.evacuation_hints[message.zone] = self.now

    def on_stop(self, event: common_events.Stop) -> None:
        """Nothing is left to do here: no lease from now on, so the leader may hand on the roles."""
        self.stopped = True
        self.lease_expires_at_ms = LONG_AGO
        if self.leader:
            self.send(self.leader.addr, common_messages.MemberLeaving(self.me.seat))

    def tick_hints(self) -> None:
        """Hints go once the agreed state has them, or proved not to come to have them."""
        for replica_id, heard_at in list(self.leaving_hints.items()):
            if replica_id in self.cluster_state.leaving_replicas or self.now - heard_at > HINT_VALID_MS:
                del self.leaving_hints[replica_id]
        for zone, heard_at in list(self.evacuation_hints.items()):
            if zone in self.cluster_state.evacuated_zones or self.now - heard_at > HINT_VALID_MS:
                del self.evacuation_hints[zone]
