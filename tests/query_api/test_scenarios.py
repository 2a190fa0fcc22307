"""Every fault on fixed seeds, every rule checked over the whole trace."""

import pytest

import basaltport.simulation.query_api.plays as plays
import basaltport.simulation.query_api.scenarios.scenarios as scenarios


RUNS = [(name, 1) for name in sorted(scenarios.SCENARIOS)]
RUNS += [("mayhem", 1122), ("mayhem", 124), ("mayhem", 171), ("cold-storm", 5029), ("cold-storm", 5035)]


def test_a_leader_names_only_ledgers_that_its_beats_reach():
    """A ledger came back empty, not yet in the roster, and was named one of two: nothing was agreed again."""
    assert plays.Play("mayhem", 116, skip={0}).play().findings() == []


@pytest.mark.parametrize("name, seed", RUNS)
def test_no_rule_breaks(name, seed):
    p = plays.Play(name, seed).play()
    assert p.findings() == []
    assert sum(request.outcome == "done" for request in p.world.requests.values()) > 100
