"""The data node: all its mixins in one reducer."""

import basaltport.query_api.failure_detection.ring as ring
import basaltport.admin.desk as desk
import basaltport.configuration.rules as rules
import basaltport.consensus.node as node
import basaltport.consensus.voting_policy as voting_policy
import basaltport.log_events as log_events
import basaltport.messages as messages
import basaltport.query_api.query_proxy.model_readiness as model_readiness
import basaltport.query_api.query_proxy.claims as claims
import basaltport.query_api.query_proxy.comeback as comeback
import basaltport.query_api.query_proxy.dispatch as dispatch
import basaltport.query_api.query_proxy.interp as interp
import basaltport.query_api.query_proxy.lines as lines
import basaltport.query_api.cell.cell as cell
import basaltport.query_api.zone_controller.store as store
import basaltport.query_api.zone_controller.zone as zone
import basaltport.query_api.anti_entropy.keep as keep


HINT = 8000


class QueryNode(
    interp.InterpMixin,
    claims.ClaimMixin,
    comeback.ComebackMixin,
    model_readiness.ReadinessMixin,
    dispatch.DispatchMixin,
    zone.StewardMixin,
    store.StoreMixin,
    keep.KeepMixin,
    cell.CellMixin,
    ring.RingMixin,
    desk.AskMixin,
    node.FollowerNode,
):
    TICKS = (
        "tick_hello",
        "tick_cells",
        "tick_readiness",
        "tick_slots",
        "tick_steward",
        "tick_store",
        "tick_shunned",
        "tick_desk",
        "tick_ring",
        "tick_claims",
        "tick_keep",
    )

    def __init__(self, me, seed, now):
        node.FollowerNode.__init__(self, me, seed, now, voting_policy.ALL_MEMBERS)
        self.rules = rules.compile(None, 0)
        self.rules_serial = -1
        self.compiled = None
        self.queries = {}
        self.lines = lines.Lines()
        self.tally = {}
        self.demanded = {}
        self.shunned = {}
        self.shunned_zones = {}
        self.share_from = now
        self.cell_start()
        self.ring_start()
        self.readiness_start()
        self.dispatch_start()
        self.steward_start()
        self.store_start()
        self.desk_start()
        self.claim_start()
        self.keep_start()
        self.listeners.state_applied.append(self.use_agreed_state)

    def use_agreed_state(self):
        """The agreed state that is in force here is newer."""
        if self.book["mserial"] != self.rules_serial:
            m = self.book["manifest"]
            self.rules = rules.compile(m, self.book["mserial"], self.compiled, self.rules)
            self.compiled = m
            self.rules_serial = self.book["mserial"]
            self.note(
                log_events.Event.MANIFEST_IN_FORCE,
                serial=int(self.book["mserial"]),
                lines=len(self.rules.lines),
            )
            self.recheck()
        self.take_duties()
        self.join_ranges()

    def recheck(self):
        """Queries of lines or items that are no more are refused; the rest take the new rules."""
        for q in list(self.lines):
            if not self.allowed(q):
                self.refuse(q, 410, "withdrawn", "the manifest no longer has this line, model or sender")
                continue
            q.rule = self.rules.lines[q.line]

    def hear_leaving(self, src, m):
        if m.replica:
            self.shunned[m.replica] = self.now
        if m.zone:
            self.shunned_zones[m.zone] = self.now

    def on_stop(self, ev):
        """Nothing is left to do here: no lease from now on, so the leader may hand on the duties."""
        self.stopped = True
        self.lease_end = -(10**9)
        if self.leader:
            self.send(self.leader.addr, messages.Leave(self.me.seat))

    def tick_shunned(self):
        """Hints go once the agreed mark took over, or proved not to come."""
        b = self.book
        for r, at in list(self.shunned.items()):
            if r in b["leaving"] or self.now - at > HINT:
                del self.shunned[r]
        for z, at in list(self.shunned_zones.items()):
            if z in b["drains"] or self.now - at > HINT:
                del self.shunned_zones[z]
