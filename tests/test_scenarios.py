"""Every fault on fixed seeds, every rule checked over the whole trace."""

import pytest

import basaltport.rehearsal.scenarios as scenarios


RUNS = [(name, 1) for name in sorted(scenarios.SCENARIOS)]
RUNS += [("mayhem", 124), ("mayhem", 171), ("cold-storm", 5029), ("cold-storm", 5035)]


@pytest.mark.parametrize("name, seed", RUNS)
def test_no_rule_breaks(name, seed):
    p = scenarios.Play(name, seed).play()
    assert p.findings() == []
    assert sum(q["outcome"] == "done" for q in p.w.queries.values()) > 100
