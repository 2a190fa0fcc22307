"""The model as a state machine of hypothesis: what it finds it shrinks."""

import contextlib

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

import basaltport.consensus.timing as timing
import basaltport.model.finding as finding
import basaltport.model.random_search as random_search
import basaltport.model.run as run
import basaltport.model.schedule as schedule
import basaltport.model.faults as faults

WAITS = st.sampled_from(random_search.WAITS)
LASTS = st.sampled_from(random_search.LASTS)
FAULTS = st.sampled_from(list(random_search.WEIGHTS))
SETTINGS = {
    "derandomize": True,
    "deadline": None,
    "stateful_step_count": 8,
    "report_multiple_bugs": False,
    "database": None,
}
HEALTH = list(hypothesis.HealthCheck)


class ControlPlane(stateful.RuleBasedStateMachine):
    """Actions of a schedule, one after another, with every check; at the end all is calm again."""

    members = 3
    bearable = True
    world = None

    @stateful.initialize(seed=st.integers(0, 50))
    def found(self, seed):
        self.world = run.founded(schedule.Schedule(seed, self.members, self.bearable, ()))
        self.player = faults.Player(self.world)

    @stateful.rule(wait=WAITS, fault=FAULTS, slot=st.integers(-1, 4), lasts=LASTS, choice=st.integers(0, 7))
    def fault(self, wait, fault, slot, lasts, choice):
        slot = slot if slot == schedule.LEADER else slot % self.members
        self.player.play(schedule.Action(wait, fault, slot, lasts, choice))

    def teardown(self):
        if self.world is not None:
            run.calm(self.world)
            self.world.finish()


class Unbearable(ControlPlane):
    bearable = False


class FiveMembers(ControlPlane):
    members = 5


@pytest.mark.parametrize("machine", [ControlPlane, Unbearable, FiveMembers])
def test_no_sequence_of_troubles_breaks_a_rule(machine):
    settings = hypothesis.settings(max_examples=8, suppress_health_check=HEALTH, **SETTINGS)
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_the_machine_finds_a_lease_that_is_too_long(monkeypatch):
    monkeypatch.setattr(timing, "LEADER_LEASE", 900)
    phases = [hypothesis.Phase.generate]
    settings = hypothesis.settings(max_examples=60, phases=phases, suppress_health_check=HEALTH, **SETTINGS)
    with pytest.raises(finding.BrokenError) as caught, contextlib.redirect_stdout(None):
        stateful.run_state_machine_as_test(Unbearable, settings=settings)
    assert caught.value.rule in {finding.Rule.HOLDERS, finding.Rule.WORD}
