"""Tenants on the whole path of routes: keys, limits and their changes under each fault, on fixed seeds."""

import pytest

import basaltport.simulation.routes.request_rows as request_rows
import basaltport.simulation.routes.tenant_rows as tenant_rows
import basaltport.simulation.routes.tenant_scenarios as tenant_scenarios
import basaltport.simulation.trace as trace

RUNS = [
    ("keys-and-strangers", 1),
    ("keys-taken-leader-cut", 1),
    ("keys-taken-proxies-frozen", 1),
    ("hot-tenant-bridge-cut", 1),
    ("tenants-mayhem", 2),
]
SWEEP = [(name, seed) for seed in range(2, 8) for name in tenant_scenarios.SCENARIOS]


# Guards against requests run for nobody or another tenant (UNASKED), by unknown keys (ROUTE), by keys taken
# away (CONFIG) and beyond limits (QUOTA).
@pytest.mark.parametrize("name, seed", RUNS)
def test_no_rule_of_tenants_breaks(name, seed):
    played = tenant_scenarios.Play(name, seed).play()
    assert played.findings() == []
    ends = trace.of_kind(played.world.trace, request_rows.OperationEnd)
    assert sum(row.outcome == "done" for row in ends) > 300


# Guards against the same, in every scenario.
@pytest.mark.sweep(every=60)
@pytest.mark.parametrize("name, seed", SWEEP)
def test_no_rule_of_tenants_breaks_in_a_sweep(name, seed):
    assert tenant_scenarios.Play(name, seed).play().findings() == []


# Guards against what only the bytes of messages lose.
def test_no_rule_of_tenants_breaks_over_packed_messages():
    assert tenant_scenarios.Play("tenants-mayhem", 3, packed=True).play().findings() == []


def test_one_seed_is_one_run_of_tenants():
    traces = [tenant_scenarios.Play("tenants-mayhem", 1).play().world.trace for _ in range(2)]
    assert traces[0] == traces[1]
    assert tenant_scenarios.schedule(7) == tenant_scenarios.schedule(7) != tenant_scenarios.schedule(8)


def test_scenarios_bring_about_what_the_rules_are_for():
    play = tenant_scenarios.Play("hot-tenant-nothing", 1).play()
    keyed = trace.of_kind(play.world.trace, tenant_rows.Keyed)
    assert len({row.key for row in keyed if row.owed and row.key}) > 25
    assert any(row.key is None and not row.public for row in keyed)
    assert any(row.key and row.key.startswith("stranger") for row in keyed)
    assert sum(not row.owed for row in keyed) > 500
