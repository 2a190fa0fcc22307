"""A load that was surely refused gives its permit of the store back; what may have been taken keeps it."""

import basaltport.placement.effects as effects
import tests.support.placement_fleet as fleet


def load_of_a_cold_model():
    """A placement with one replica that has free memory, and the first order of its load."""
    f = fleet.Fleet(n=1, held=[["m1", "m2"]], rate=1.0)
    f.run(4500)
    orders = [e for e in f.p.requests_waiting(f.now, "x", {"m4": 1}) if isinstance(e, effects.Order)]
    (order,) = [order for order in orders if order.kind == "load"]
    return f, order


def permits(f):
    return f.p.store_buckets["s"].fill(f.now)


def test_a_refusal_for_the_count_gives_the_permit_back():
    f, order = load_of_a_cold_model()
    taken = permits(f)
    f.p.ordered(f.now, order.order, "busy")
    assert permits(f) == taken + 1


def test_a_refusal_after_a_sending_without_an_answer_keeps_the_permit():
    """The former sending may be what the replica runs."""
    f, order = load_of_a_cold_model()
    taken = permits(f)
    f.p.ordered(f.now, order.order, "unknown")
    (again,) = [e for e in f.p.tick(f.now + 100) if isinstance(e, effects.Order)]
    refilled = permits(f)
    f.p.ordered(f.now, again.order, "busy")
    assert again.model == order.model and permits(f) <= refilled < taken + 1


def test_no_more_permits_come_back_than_a_bucket_holds():
    f, order = load_of_a_cold_model()
    f.now += 60_000
    f.p.ordered(f.now, order.order, "busy")
    assert permits(f) == 2.0
