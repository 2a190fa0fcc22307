"""Each check is seen to fail: one safety rule of the daemons is broken, and its check must say so."""

import dataclasses

import pytest

import basaltport.admin.desk as desk
import basaltport.replica_client.pieces as pieces
import basaltport.events as events
import basaltport.consensus.election as election
import basaltport.consensus.follower as follower
import basaltport.consensus.follower_lease as follower_lease
import basaltport.consensus.leadership as leadership
import basaltport.consensus.open_membership as open_membership
import basaltport.consensus.read_index as read_index
import basaltport.consensus.replication as replication
import basaltport.consensus.timing as timing
import basaltport.query_api.query_proxy.model_readiness as model_readiness
import basaltport.simulation.query_api.standins.backend as backend
import basaltport.simulation.query_api.scenarios.scenarios as scenarios
import basaltport.query_api.query_proxy.claims as claims
import basaltport.query_api.query_proxy.comeback as comeback
import basaltport.query_api.query_proxy.dispatch as dispatch
import basaltport.query_api.query_proxy.interp as interp
import basaltport.query_api.cell.cell as cell
import basaltport.query_api.zone_controller.slots as slots
import basaltport.query_api.zone_controller.store as store
import basaltport.query_api.zone_controller.zone as zone


def _resend_all(self, q, why):
    q.resent = False
    self.requeue(q, why)
    return True


def _broken_is_refused(self, q, run, ev):
    self.refuse_id(q.id, 503, "replica-refused", ev.detail)


def _eager_lease(self, s, r):
    if r["role"] != "rostrum" or s not in self.echoes:
        return 0
    self.lapse[s] = self.echoes[s][1] + self.policy.follower_lease_ms + follower_lease.MARGIN
    return self.echoes[s][0]


def _use_all(self, replica):
    return replica in self.book["platform"]


def _leased(self):
    return bool(self.book["serial"])


def _unconfirmed(self):
    if self.settled():
        rs, self.reads = self.reads, []
        for r in rs:
            self.serve_read(r)
    _settle(self)


def _alone(self):
    """Agreed by the leader's own disk."""
    self.tail = [dataclasses.replace(e, term=self.promised) for e in self.tail]
    if self.tail:
        last = self.tail[-1]
        self.advance(last.index, self.promised)
        for w in self.waiting:
            w["committed"] = self.now


def _hasty(self):
    while self.waiting:
        self.acknowledge(self.waiting.pop(0))
    _settle(self)


def _lead_on(self):
    if self.leading:
        self.keep_roster()
        self.keep_duties()
        if self.now - self.beat_at >= timing.HEARTBEAT:
            self.beat()
        self.settle()


def _all_live(self, s):
    return self.quiet(s) < open_membership.DROP


def _no_compare(self, t, body, manifest, op):
    return op


def _never(self, s):
    return False


def _ask_first(self, q, run):
    """Every timed-out query awaits the controller, also one that can't be resent."""
    self.doubts[self.ask(q.item, self.zone_of(run.replica), False)] = (q, run, self.now + 400)


def _no_time(self, q):
    return 0


def _held_at_once(self, q):
    self.claim_held(q)


def _trusting(self, doc):
    if doc.get("end"):
        return "end", self.n, None
    self.n += 1
    return "piece", self.n - 1, doc.get("piece")


def _clean_end(self, e, st, outcome):
    """A stream that broke off is closed as if it were whole."""
    self.closed(e.query, "done", 200, {"reply": e.body["prompt"], "pieces": st["pieces"]})
    return events.Replied(self.now, e.dispatch, "done", 200)


def _reply_other(self, n, life, e, st):
    e.body = {**e.body, "prompt": "p1"}
    _reply(self, n, life, e, st)


_settle = read_index.ReadIndexMixin.settle
_reply = backend.BackendMixin.reply

READ_INDEX = read_index.ReadIndexMixin
CASES = [
    ("once-only", "replicas-sick", 1, [(model_readiness.ReadinessMixin, "resend", _resend_all)]),
    ("refusal", "replicas-sick", 1, [(dispatch.DispatchMixin, "was_broken", _broken_is_refused)]),
    ("final-word", "replicas-dark", 1, [(model_readiness.ReadinessMixin, "timed_out", _ask_first)]),
    (
        "final-word",
        "replicas-sick",
        1,
        [(comeback, "AGAIN", 0), (comeback.ComebackMixin, "come_back", _no_time)],
    ),
    ("reply", "calm", 1, [(backend.BackendMixin, "reply", _reply_other)]),
    ("once-only", "calm", 1, [(interp.InterpMixin, "do_claim", lambda self, q, arg, ev: None)]),
    ("once-only", "rostrum-killed", 1, [(claims.ClaimMixin, "weigh_claim", _held_at_once)]),
    ("stream", "replicas-torn", 1, [(pieces.Pieces, "take", _trusting)]),
    ("stream", "streams-cut", 1, [(backend.BackendMixin, "broke_off", _clean_end)]),
    ("leaving", "replica-leaves", 1, [(cell.CellMixin, "may_use", _use_all)]),
    ("emptied", "zone-emptied", 1, [(cell.CellMixin, "may_use", _use_all)]),
    ("in-force", "core-split", 1, [(follower.FollowerMixin, "leased", _leased)]),
    ("in-force", "storm", 1, [(READ_INDEX, "settle", _hasty)]),
    ("in-force", "power-cut", 5, [(follower_lease.LeaseGrantMixin, "echo_for", _eager_lease)]),
    (
        "in-force",
        "ledgers-dying",
        1,
        [(open_membership.OpenMembershipMixin, "heard_of", _all_live), (open_membership, "STUCK", 10**9)],
    ),
    ("lost-update", "storm", 1, [(desk.DeskMixin, "manifest_op", _no_compare)]),
    (
        "acknowledged",
        "core-split",
        1,
        [
            (replication.ReplicationMixin, "count", _alone),
            (follower_lease.FollowerLeaseMixin, "behind", _never),
        ],
    ),
    (
        "resend",
        "replicas-sick",
        1,
        [(dispatch.DispatchMixin, "resend_credit", lambda self, q, spend=True: True)],
    ),
    ("flood", "replicas-restart", 1, [(slots.SlotMixin, "slot_limit", lambda self, p: 8)]),
    ("store", "cold-storm", 1, [(store.StoreMixin, "share_permits", lambda self, m: dict(m.want))]),
    ("room", "cold-storm", 1, [(zone.StewardMixin, "free", lambda self, p: 1000)]),
    (
        "read",
        "core-split",
        5,
        [(READ_INDEX, "settle", _unconfirmed), (leadership.LeadershipMixin, "tick_lead", _lead_on)],
    ),
    ("back", "leader-killed", 1, [(election.ElectionMixin, "election_timeout", lambda self: 30_000)]),
]


@pytest.mark.parametrize("rule, name, seed, breaks", CASES, ids=[f"{c[0]}-{c[1]}" for c in CASES])
def test_a_broken_rule_is_found(monkeypatch, rule, name, seed, breaks):
    for cls, attr, broken in breaks:
        monkeypatch.setattr(cls, attr, broken)
    found = set()
    for s in range(seed, seed + 4):
        found |= {f["rule"] for f in scenarios.Play(name, s).play().findings()}
        if rule in found:
            break
    assert rule in found
