"""Senders' keys: a claim held by most keepers, under lost, doubled and late frames, kills, new rosters."""

import collections
import dataclasses
import random

import pytest

import basaltport.events as events
import basaltport.handlers as handlers
import basaltport.identifiers as identifiers
import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.member as member
import basaltport.range_digests as range_digests
import basaltport.query_api.events as query_events
import basaltport.query_api.messages as messages
import basaltport.query_api.query_proxy.key_claim as key_claim
import basaltport.query_api.query_proxy.key_claims as key_claims
import basaltport.query_api.query_proxy.final_answers as final_answers
import basaltport.query_api.query_proxy.request as request
import basaltport.query_api.anti_entropy.key_holder as key_holder

KEEP = 60_000
LEASE = 1650


class Rules:
    keep_ms = KEEP
    keep_bound = 1000
    lines = {}


class Rule:
    urgency = 5


class KeyHolder(
    key_claims.KeyClaimsMixin, key_holder.KeyHolderMixin, final_answers.FinalAnswersMixin, member.Member
):
    """Only what keys need of a rostrum; a held claim is handed to the house."""

    TICKS = ("tick_key_claims", "tick_key_holder")

    def __init__(self, house, name, seat):
        me = member.Me("h", name, seat, "rostrum", "z", seat, seat, [], 3)
        member.Member.__init__(self, me, 1, house.now)
        self.house, self.rules = house, Rules
        self.outcome_counts, self.requests = collections.Counter(), {}
        self.cluster_state = house.log[0][1]
        self.queues = self
        self.key_claims_start()
        self.key_holder_start()

    def remove(self, q):
        pass

    def address_of(self, seat):
        return seat

    def estimate_retry_after(self, q):
        return 1000

    def run_admission(self, q, at, ev):
        self.house.held.append((self, q))


def entry(index, operation):
    return log.LogEntry(identifiers.LogIndex(index), identifiers.Term(1, "l"), operation)


def restarted(house, *nodes):
    """Nodes that come back under other ids."""
    rows = [(k.me.seat, house.row(k.me.name, k.me.name + "-1")) for k in nodes]
    return log.MembersChanged(tuple(log.Replacement(*row) for row in rows))


class House:
    """Nodes that take entries of the roster at their own pace, and a bag of frames."""

    def __init__(self, seed, names=None):
        self.rng = random.Random(seed)
        names = names or self.rng.choice((3, 4, 5, 6, 7))
        self.now = 1_000_000
        self.bag, self.held, self.ran, self.ended, self.n = [], [], {}, {}, 0
        rows = [f"n{i}-0" for i in range(names)]
        op = log.ClusterFounded({s: self.row(f"n{i}", s) for i, s in enumerate(rows)}, ())
        self.log = [(self.now, state_machine.apply(state_machine.ClusterState(), entry(1, op)))]
        self.nodes = {s: self.start(s) for s in rows}

    def row(self, name, seat):
        return log.MemberRecord(name, seat, "rostrum", "z", seat, seat)

    def start(self, seat):
        k = KeyHolder(self, seat.split("-")[0], seat)
        k.cluster_state = self.log[-1][1]
        k.join_ranges()
        return k

    def compute_appended_state(self):
        return self.log[-1][1]

    def agree(self, op):
        b = self.compute_appended_state()
        self.log.append((self.now, state_machine.apply(b, entry(b.log_index + 1, op))))

    def take(self, k):
        """A node applies a few more entries, or jumps to the newest."""
        at = [b.log_index for _, b in self.log].index(k.cluster_state.log_index)
        more = self.log[at + 1 :]
        if more:
            k.cluster_state = more[self.rng.randrange(len(more))][1]
            k.join_ranges()

    def leased(self, k):
        """A lease is lost at the latest LEASE after an entry that the node has not applied."""
        late = [t for t, b in self.log if b.log_index > k.cluster_state.log_index]
        return not late or self.now - late[0] < LEASE

    def do(self, k, f, *a):
        k.now, k.out = self.now, []
        f(*a)
        for e in k.out:
            if isinstance(e, events.Send):
                self.bag.append((e.addr, e.msg))
            if isinstance(e, query_events.FinalAnswer | query_events.RepeatResponse):
                assert e.request_id not in self.ended, "ended twice"
                self.ended[e.request_id] = e

    def deliver(self):
        i = self.rng.randrange(len(self.bag))
        addr, m = self.bag[i] if self.rng.random() < 0.1 else self.bag.pop(i)
        k = self.nodes.get(addr)
        if k and self.rng.random() < 0.9:
            f = handlers.require(k, "hear_", type(m))
            self.do(k, f, "", m)

    def ask(self, key):
        k = self.rng.choice(list(self.nodes.values()))
        self.n += 1
        q = request.Request(f"q{self.n}", "l", "s", "m", {"prompt": key}, self.now, self.now + 8000, Rule)
        ev = query_events.RequestArrived(self.now, q.id, "l", "t", q.body, -1, key)
        self.do(k, k.begin_claim, q, ev)
        q.claim.next_step, q.claim.arrival = 0, ev

    def finish(self):
        """A held query is refused before it ran, or runs and ends or is lost."""
        k, q = self.held.pop(self.rng.randrange(len(self.held)))
        if self.nodes.get(k.me.seat) is not k:
            return
        x = self.rng.random()
        if x < 0.3 or not self.leased(k):
            self.do(k, k.reject_id, q.id, 503, "stopping")
            return
        assert q.claim.key_id not in self.ran, (q.id, self.ran[q.claim.key_id])
        self.ran[q.claim.key_id] = q.id
        if x < 0.6:
            self.do(k, k.give_up, q, 502, "dispatch-broken")
        elif x < 0.9:
            k.requests.pop(q.id)
            self.do(k, k.end_claim, q, "yes", 200, {"reply": q.body["prompt"]})

    def roster(self):
        seats = list(self.compute_appended_state().members)
        live = [s for s in seats if s in self.nodes]
        x = self.rng.random()
        if x < 0.4 and len(live) > 2:
            s = self.rng.choice(live)
            del self.nodes[s]
            name, _, n = s.partition("-")
            new = f"{name}-{int(n) + 1}"
            self.agree(log.MembersChanged((log.Replacement(s, self.row(name, new)),)))
            self.nodes[new] = self.start(new)
        elif x < 0.7 and len(seats) > 2:
            drops = self.rng.sample(seats, min(len(seats) - 1, self.rng.choice((1, 1, 1, 2, 3))))
            self.agree(log.MembersChanged(removed=tuple(drops)))
        else:
            out = [s for s in self.nodes if s not in seats]
            if out:
                s = self.rng.choice(out)
                self.agree(log.MembersChanged(added=self.row(s.split("-")[0], s)))

    def play(self, steps):
        for n in range(steps):
            x = self.rng.random()
            if x < 0.75 and self.bag:
                self.deliver()
            elif x < 0.85:
                self.now += self.rng.choice((5, 20, 60))
                k = self.rng.choice(list(self.nodes.values()))
                self.do(k, k.on_tick, None)
            elif x < 0.93:
                self.take(self.rng.choice(list(self.nodes.values())))
            elif x < 0.96:
                self.ask(f"k{self.rng.randrange(1 + n // 100)}")
            elif x < 0.99 and self.held:
                self.finish()
            elif x > 0.996:
                self.roster()
        return self


def _play(seeds, steps=2500):
    hs = [House(s).play(steps) for s in seeds]
    ends = [e for h in hs for e in h.ended.values()]
    return (
        sum(len(h.ran) for h in hs),
        sum(isinstance(e, query_events.RepeatResponse) for e in ends),
        len(ends),
    )


def test_no_key_runs_twice_and_no_query_ends_twice():
    ran, repeated, ended = _play(range(100))
    assert ran > 200 and repeated > 100 and ended > 2000


def _any_grant(self, q):
    if any(a.state == "granted" for a in q.claim.answers.values()):
        self.claim_granted(q)
        return
    _weigh(self, q)


def _whole_at_once(self):
    _join(self)
    for i, j in self.range_copies.items():
        self.complete_since[i] = j.since
    self.range_copies = {}


_weigh = key_claims.KeyClaimsMixin.weigh_claim
_join = key_holder.KeyHolderMixin.join_ranges


@pytest.mark.parametrize(
    "cls, name, broken",
    [
        (key_claims.KeyClaimsMixin, "weigh_claim", _any_grant),
        (key_holder.KeyHolderMixin, "join_ranges", _whole_at_once),
        (state_machine, "needs_fewer", lambda new, old: False),
    ],
    ids=("any-grant", "whole-at-once", "no-fewer"),
)
def test_without_one_of_its_rules_a_key_runs_twice(monkeypatch, cls, name, broken):
    monkeypatch.setattr(cls, name, broken)
    with pytest.raises(AssertionError):
        _play([312, 342, 515, *range(100)])


def _keepers(key="k"):
    """A house, the key's id and its three keepers."""
    h = House(1, 3)
    for k in h.nodes.values():
        h.do(k, k.on_tick, None)
    kid = key_claim.key_id_of("l", "s", key)
    return h, kid, [h.nodes[s] for s in sorted(h.nodes[next(iter(h.nodes))].key_holders(kid).holders)]


def _claim(h, k, kid, q, n=1, at=1, owner="n0-0", digest="d"):
    """What a keeper answers to a claim, or None."""
    h.bag = []
    h.do(k, k.hear_key_claim, "", messages.KeyClaim(kid, digest, q, owner, at, n))
    return h.bag[0][1].state if h.bag else None


def _settle(h, k, kid, q, n, state):
    h.do(k, k.hear_key_outcome, "", messages.KeyOutcome(kid, "d", q, "n0-0", n, state, 200, {"reply": "r"}))


def test_a_word_that_a_claim_is_free_does_not_free_a_later_try():
    h, kid, (k, *_) = _keepers()
    assert _claim(h, k, kid, "a", 1) == "granted" and _claim(h, k, kid, "a", 2) == "granted"
    _settle(h, k, kid, "a", 1, "free")
    assert _claim(h, k, kid, "b") == "taken"
    _settle(h, k, kid, "a", 2, "free")
    assert _claim(h, k, kid, "b") == "granted"


def test_a_new_keeper_holds_every_claim_that_it_was_told_of():
    h, kid, (a, b, c) = _keepers()
    assert _claim(h, a, kid, "x") == _claim(h, b, kid, "y") == "granted"
    h.agree(restarted(h, c))
    n = h.nodes[c.me.name + "-1"] = h.start(c.me.name + "-1")
    assert _claim(h, n, kid, "x", at=2) == "blank"
    h.take(a)
    h.do(n, n.on_tick, None)
    live = (a.me.seat, b.me.seat)
    wants = [(h.nodes[s], m) for s, m in h.bag if s in live and isinstance(m, messages.KeyRangeRequest)]
    h.bag = []
    for k, m in wants:
        h.do(k, k.hear_key_range_request, "", m)
    assert {m.member_id for _, m in h.bag} == {a.me.seat}
    h.take(b)
    for k, m in wants:
        h.do(k, k.hear_key_range_request, "", m)
    for _, m in list(h.bag):
        h.do(n, n.hear_key_range_copy, "", m)
    h.do(n, n.on_tick, None)
    assert _claim(h, n, kid, "x", at=2) == _claim(h, n, kid, "y", at=2) == "taken"


def test_a_claim_under_other_keepers_gets_no_answer_and_old_answers_do_not_count():
    h, kid, (a, b, c) = _keepers()
    assert _claim(h, a, kid, "x", at=0) is None and _claim(h, a, kid, "x", at=2) is None
    h.bag = []
    q = request.Request("q1", "l", "s", "m", {}, h.now, h.now + 8000, Rule)
    h.do(a, a.begin_claim, q, query_events.RequestArrived(h.now, "q1", "l", "t", {}, -1, "k"))
    q.claim.next_step, q.claim.arrival = 0, object()
    h.agree(restarted(h, b, c))
    h.take(a)
    old = messages.KeyClaimAnswer(a.me.seat, "q1", 1, "granted", 0, {}, "", 0)
    for s in (a, b, c):
        h.do(a, a.hear_key_claim_answer, "", dataclasses.replace(old, member_id=s.me.seat))
    assert not h.held


def test_kept_replies_are_given_again_and_another_body_is_refused():
    h, kid, (a, b, c) = _keepers()
    _claim(h, a, kid, "x")
    _settle(h, a, kid, "x", 1, "done")
    assert _claim(h, a, kid, "y") == "done" and _claim(h, a, kid, "y", digest="e") == "other"
    h.now += KEEP
    assert _claim(h, a, kid, "y") == "granted"


def test_too_many_keepers_lost_at_once_is_unknown_until_what_they_knew_has_lapsed():
    h, kid, (a, b, c) = _keepers()
    h.agree(restarted(h, b, c))
    h.take(a)
    new = [h.start(s.me.name + "-1") for s in (b, c)]
    assert [_claim(h, k, kid, "x", at=2) for k in new] == ["blank", "blank"]
    assert h.bag[0][1].left == KEEP + key_holder.CLAIM_MARGIN_MS
    h.now += KEEP + key_holder.CLAIM_MARGIN_MS
    for k in new:
        h.do(k, k.on_tick, None)
    assert [_claim(h, k, kid, "x", at=2) for k in new] == ["granted", "granted"]


def test_memory_is_bounded(monkeypatch):
    h, kid, (a, b, c) = _keepers()
    monkeypatch.setattr(Rules, "keep_bound", 1)
    assert _claim(h, a, kid, "x") == "granted" and _claim(h, a, kid[:-1] + "!", "y") in ("full", None)
    monkeypatch.setattr(key_holder, "RESPONSE_BYTES", 10)
    _settle(h, a, kid, "x", 1, "done")
    assert (
        a.key_records[range_digests.range_of(kid)][kid].claims["x"].response == {} and a.response_bytes == 0
    )
