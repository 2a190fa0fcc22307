"""State machines: agreement under faults, lines, credits."""

import collections

import hypothesis
import hypothesis.stateful as sf
import hypothesis.strategies as st

import basaltport.simulation.query_api.world.stage as stage
import basaltport.query_api.query_proxy.retry_budget as retry_budget
import basaltport.query_api.query_proxy.queues as queues
import basaltport.query_api.query_proxy.request as request


class Agreement(sf.RuleBasedStateMachine):
    """Three ledgers and three rostrums: whatever is acknowledged stays, under any order of these faults."""

    @sf.initialize(seed=st.integers(0, 5))
    def begin(self, seed):
        self.w = stage.ready("thin", seed)
        self.n = 0
        self.acked = {}
        self.refused = set()
        self.down = None

    def note(self, change):
        def then(status, body):
            if body.get("outcome") == "acknowledged":
                self.acked[change] = body["serial"]
            if body.get("outcome") == "refused":
                self.refused.add(change)

        return then

    @sf.rule(i=st.integers(0, 5), bound=st.integers(1, 50), cas=st.booleans())
    def change(self, i, bound, cas):
        self.n += 1
        name = sorted(self.w.nodes)[i]
        body = {"patch": {"lines": {"desk": {"bound": bound}}}, "change": f"c{self.n}"}
        if cas:
            body["if_serial"] = 3
        if self.w.nodes[name].member:
            self.w.ask(name, "patch", body, self.note(f"c{self.n}"))

    @sf.rule(i=st.integers(0, 5))
    def kill(self, i):
        if self.down is None:
            self.down = sorted(self.w.nodes)[i]
            self.w.kill(self.down, power=True)

    @sf.rule()
    def boot(self):
        if self.down:
            self.w.boot(self.down)
            self.down = None

    @sf.rule(i=st.integers(0, 5), ms=st.integers(100, 3000))
    def freeze(self, i, ms):
        name = sorted(self.w.nodes)[i]
        self.w.freeze(name)
        self.w.run(ms)
        self.w.wake(name)

    @sf.rule(a=st.integers(0, 5), b=st.integers(0, 5), ms=st.integers(100, 3000))
    def split(self, a, b, ms):
        names = sorted(self.w.nodes)
        self.w.split({names[a], names[b]})
        self.w.run(ms)
        self.w.heal()

    @sf.rule(ms=st.integers(1, 1000))
    def run_on(self, ms):
        self.w.run(ms)

    @sf.invariant()
    def one_leader_a_generation(self):
        if not hasattr(self, "w"):
            return
        lead = [n.member.current_term for n in self.w.nodes.values() if getattr(n.member, "leading", False)]
        assert len(lead) == len(set(lead))

    def teardown(self):
        if not hasattr(self, "w"):
            return
        self.boot()
        self.w.run(6000)
        assert self.w.run_until(lambda: self.w.leader() is not None, 15_000)
        got = self.w.must("patch", {"patch": {"lines": {"desk": {"bound": 9}}}})
        changes = self.w.leader().member.cluster_state.recent_changes
        assert got[1]["serial"] == max(changes.values())
        for c, s in self.acked.items():
            assert changes.get(c) == s
        assert not self.refused & set(changes)


class Queues(sf.RuleBasedStateMachine):
    """Against a model: in turn by sender, in order for each, nothing lost, nobody starved."""

    def __init__(self):
        super().__init__()
        self.queues = queues.Queues()
        self.model = collections.defaultdict(list)
        self.n = 0
        self.passed = collections.Counter()

    @sf.rule(line=st.sampled_from("abc"), sender=st.sampled_from("xyz"), item=st.sampled_from("mn"))
    def put(self, line, sender, item):
        self.n += 1
        rule = collections.namedtuple("Rule", "urgency")(1 + 4 * "abc".index(line))
        q = request.Request(str(self.n), line, sender, item, {}, 0, 0, rule)
        self.queues.put(q)
        self.model[line, sender].append(q)

    @sf.rule(item=st.sampled_from(["m", "n", "any"]))
    def take(self, item):
        fit = [q for d in self.model.values() for q in d if item in ("any", q.item)]
        q = self.queues.take(lambda q: item in ("any", q.item))
        if not fit:
            assert q is None
            return
        mine = [x for x in self.model[q.queue, q.client] if item in ("any", x.item)]
        assert q is mine[0]
        self.model[q.queue, q.client].remove(q)
        if item != "any":
            return
        for line in {k[0] for k, d in self.model.items() if d}:
            self.passed[line] += 1
        self.passed[q.queue] = 0
        assert max(self.passed.values()) <= 1 << 9

    @sf.rule(line=st.sampled_from("abc"), sender=st.sampled_from("xyz"))
    def drop(self, line, sender):
        if self.model[line, sender]:
            self.queues.remove(self.model[line, sender].pop())

    @sf.invariant()
    def sizes(self):
        for line in "abc":
            assert self.queues.size(line) == sum(len(d) for k, d in self.model.items() if k[0] == line)


class RetryBudgets(sf.RuleBasedStateMachine):
    """In every window that ends at a resend: at most a fifth of the first sends in it and the allowance."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.r = retry_budget.RetryBudget()
        self.first, self.again = [], []

    @sf.rule(ms=st.integers(0, 4000))
    def wait(self, ms):
        self.now += ms

    @sf.rule(n=st.integers(1, 30))
    def send(self, n):
        for _ in range(n):
            self.r.record_first(self.now)
            self.first.append(self.now)

    @sf.rule(n=st.integers(1, 10))
    def again_(self, n):
        for _ in range(n):
            if self.r.spend(self.now, 20, 2):
                self.again.append(self.now)
        lo = self.now - retry_budget.WINDOW_MS
        first = sum(t > lo for t in self.first)
        assert sum(t > lo for t in self.again) <= first // 5 + 2

    @sf.rule()
    def an_allowance_is_always_there_at_last(self):
        self.now += retry_budget.WINDOW_MS + 1
        assert self.r.spend(self.now, 20, 2)
        self.again.append(self.now)


_few = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    stateful_step_count=20,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestAgreement = Agreement.TestCase
TestAgreement.settings = _few
TestQueues = Queues.TestCase
TestQueues.settings = hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
TestRetryBudgets = RetryBudgets.TestCase
TestRetryBudgets.settings = TestQueues.settings


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.integers(0, 1000), st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=12)
)
def test_shares_sum_to_the_whole(total, seats):
    assert sum(retry_budget.member_share(total, seats, s) for s in seats) == total
    assert retry_budget.member_share(total, seats, "stranger") == 0


def test_an_urgent_line_comes_first_and_a_slow_one_is_not_starved():
    ls = queues.Queues()
    for n in range(2000):
        for line, u in (("fast", 9), ("slow", 1)):
            rule = collections.namedtuple("Rule", "urgency")(u)
            ls.put(request.Request(f"{line}{n}", line, "s", "m", {}, 0, 0, rule))
    got = [ls.take(lambda q: True).queue for _ in range(1000)]
    assert got[0] == "fast"
    assert 2 <= got.count("slow") <= 10
