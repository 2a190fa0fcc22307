"""In each window no more requests of a tenant are admitted over all proxies than its limit allows."""

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

import tests.support.quota_days as days
import tests.support.quota_mutations as mutations
import tests.support.quota_world as quota_world
import tests.support.sweeps as sweeps

SETTINGS = {"deadline": None, "derandomize": True, "stateful_step_count": 25}
HEALTH = list(hypothesis.HealthCheck)
STORIES = [
    days.lost_holder,
    days.lost_holder_and_owner,
    days.owners_in_turn,
    days.frozen_asker,
    days.shares_that_come_again,
    days.asked_for_all,
    days.calm_then_bursts,
    days.moving_demand,
    days.answers_lost,
    days.lower_limit,
]
SEEDS = sweeps.part(range(400), range(40))


def over(world):
    """What is over the bound in the worst window."""
    return max(0, world.worst()[0])


# Guards against QUOTA: a tenant got more than its limit in a window, over all proxies.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_window_is_over_the_limit_on_a_day_of_troubles(seed):
    assert over(days.play(seed)) == 0


# Guards against QUOTA: the same where shares are large, so that each rule of theirs is needed.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
def test_no_window_is_over_the_limit_in_a_story(story, seed):
    world = story(seed)
    assert over(world) == 0 and world.admitted["t1"]


@pytest.mark.parametrize("mutation", mutations.MUTATIONS, ids=lambda mutation: mutation.name)
def test_a_rule_that_is_broken_is_seen(mutation):
    assert over(mutation.story(0)) == 0
    with mutation.applied():
        assert max(over(mutation.story(seed)) for seed in range(3)) > 0


@pytest.mark.parametrize("counting", [days.alone, days.without_limits], ids=lambda made: made.__name__)
def test_proxies_that_count_alone_or_not_at_all_are_seen_over_the_limit(counting):
    assert over(days.play(3, with_limits=False)) == 0
    assert over(days.play(3, with_limits=False, make_holder=counting)) > 0


def test_one_seed_is_one_run():
    first, second = days.play(7), days.play(7)
    assert first.admitted == second.admitted and first.refused == second.refused
    assert first.admitted != days.play(8).admitted


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Days whose steps hypothesis chooses and shrinks."""

    @stateful.initialize(seed=st.integers(0, 10**6))
    def begin(self, seed):
        self.world = days.new_world(seed)
        self.world.run(11_000)

    @stateful.rule(action=st.sampled_from(days.ACTIONS + days.OF_LIMITS), span=st.sampled_from(days.SPANS_MS))
    def act(self, action, span):
        action(self.world, self.world.rng)
        self.world.run(span)

    @stateful.rule(every=st.sampled_from([10, 100]), span=st.sampled_from([300, 5000]))
    def press_all(self, every, span):
        for tenant in days.TENANTS:
            self.world.press(tenant, every, span)
        self.world.run(span)

    @stateful.rule(index=st.integers(0, 4), away=st.integers(1, 12_000))
    def burst_and_freeze(self, index, away):
        index %= len(self.world.proxies)
        self.world.burst(index, "t1", 60)
        self.world.run(3)
        self.world.freeze(self.world.proxies[index], away)

    def teardown(self):
        if hasattr(self, "world"):
            assert over(self.world) == 0


# Guards against QUOTA: the same for steps of any kind in any order.
def test_no_window_is_over_the_limit_whatever_the_steps():
    settings = hypothesis.settings(max_examples=40, suppress_health_check=HEALTH, **SETTINGS)
    stateful.run_state_machine_as_test(QuotaMachine, settings=settings)


def test_the_machine_sees_a_rule_that_is_broken():
    phases = [hypothesis.Phase.generate]
    settings = hypothesis.settings(max_examples=40, phases=phases, suppress_health_check=HEALTH, **SETTINGS)
    whole_rate = next(each for each in mutations.MUTATIONS if each.story is days.asked_for_all)
    with whole_rate.applied(), pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(QuotaMachine, settings=settings)


def test_the_worst_window_is_found():
    world = quota_world.World(0, days.STRICT, {"t1": days.STEEP}, 1)
    world.admitted["t1"] = [0.0, 10.0, 4000.0, 4500.0, 5000.0, 9000.0, 9600.0]
    allowed = days.STRICT.most_in_window(days.STEEP)
    assert world.worst() == (5 - allowed, 5, allowed, "t1", 0.0)
