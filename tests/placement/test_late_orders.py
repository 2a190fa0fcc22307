"""Orders that are lost, answered to nobody, or reach their replica long after their sender gave up."""

import pytest

import tests.support.placement_fleet as fleet

ADAPTERS = [f"m0/a{number}" for number in range(1, 57)]
TROUBLE_FROM_MS = 5000
TROUBLE_UNTIL_MS = 12_000
END_MS = 40_000


def busy_fleet(seed):
    """Nine replicas full of models, adapters of one of them, and demand that moves all the time."""
    cold = iter(fleet.COLD)
    held = [["m0" if i < 3 else "m1", next(cold), next(cold)] for i in range(9)]
    f = fleet.Fleet(held=held, adapters=56, seed=seed)
    f.traffic(1000, 30_000, 5, ADAPTERS)
    f.traffic(1000, 30_000, 9, fleet.COLD)
    f.traffic(1000, 30_000, 60, ["m0", "m1"])
    return f


def set_trouble(f, late, lossy):
    """From now on these shares of orders come late, or lose their way or their answer."""
    f.late, f.lossy = late, lossy


def play(seed, late, lossy):
    """A fleet with a time of trouble; a replica that is ordered to hold too much raises an AssertionError."""
    f = busy_fleet(seed)
    f.after(TROUBLE_FROM_MS, set_trouble, f, late, lossy)
    f.after(TROUBLE_UNTIL_MS, set_trouble, f, 0.0, 0.0)
    f.run(END_MS)
    return f


@pytest.mark.sweep(every=3)
@pytest.mark.parametrize("seed", range(1, 13))
def test_no_replica_is_ordered_to_hold_too_much_where_orders_come_late(seed):
    f = play(seed, 0.2, 0.1)
    assert f.late_orders > 10
    assert not any(f.waiting.values())


@pytest.mark.sweep(every=3)
@pytest.mark.parametrize("seed", range(1, 7))
def test_no_replica_is_ordered_to_hold_too_much_where_answers_are_lost(seed):
    f = play(seed, 0.0, 0.3)
    assert not any(f.waiting.values())
