"""Each number of a configuration at the ends of its range and beyond, on an empty and on a running system.

An integer of 400 digits, or a `load_s` of 1e308, ended steps of proxies and the leader's timer.
"""

import copy
import dataclasses

import hypothesis
import hypothesis.strategies as strategies
import pytest

import basaltport.configuration.forms as forms
import basaltport.configuration.ranges as ranges
import basaltport.configuration.routes as routes
import basaltport.configuration.tenants as tenants
import basaltport.proxy.node as proxy_node
import tests.proxy.test_proxy as reducer
import tests.support.fleet_stand as fleet_stand

ENGINE = "services.0.engine"
PLACES = {
    "routes.0": routes.ROUTE,
    "routes.1.shares.0": routes.SHARE,
    "services.0": routes.SERVICE,
    ENGINE: routes.ENGINE,
    f"{ENGINE}.models.0": routes.MODEL,
    "limits": routes.LIMITS,
    "tenants.0": tenants.TENANT,
}
FIELDS = [
    (f"{place}.{field}", predicate)
    for place, form in PLACES.items()
    for field, predicate in form.predicates.items()
    if isinstance(predicate, ranges.NumberRange)
]
IDS = [path for path, _ in FIELDS]
NUMBERS = 25
TOO_LARGE = 10**400


def document(edition=1):
    """Returns a configuration with every section, and all numbers within their ranges."""
    found = fleet_stand.document()
    shares = [{"service": "write", "weight": weight} for weight in (1, 2)]
    found["routes"][1] |= {"service": None, "shares": shares}
    found["tenants"] = [{"name": "desk", "keys": ["k"], "urgency": 1, "rate_per_s": 5, "burst": 2}]
    return copy.deepcopy({**found, "edition": edition})


def changed(path, value, edition=1):
    """Returns the configuration with another value at a place."""
    found = at = document(edition)
    *way, last = path.split(".")
    for key in way:
        at = at[int(key) if key.isdigit() else key]
    at[last] = value
    return found


def edges(field_range):
    """Returns the values at the ends of a range, of both types of numbers."""
    values = [field_range.least, field_range.most] + [0] * field_range.may_be_zero
    if not field_range.is_whole:
        values += [float(value) for value in values] + [field_range.least + 5e-324]
    return [int(value) if field_range.is_whole else value for value in values]


def beyond(field_range):
    """Returns values next to a range and far outside it, and what is no number."""
    below = [-1, -5e-324, -TOO_LARGE] + [0, 0.0] * (not field_range.may_be_zero)
    return [*below, TOO_LARGE, int(field_range.most) * 2, True, "1", [], 0.5 if field_range.is_whole else "x"]


def test_every_number_has_a_range():
    forms_of_all = [*PLACES.values(), routes.TOP, routes.EDITION, routes.CHANGE, routes.NAMED]
    predicates = {predicate for form in forms_of_all for predicate in form.predicates.values()}
    assert forms.is_number not in predicates and len(FIELDS) == NUMBERS


@pytest.mark.parametrize("path, field_range", FIELDS, ids=IDS)
def test_a_number_at_the_ends_of_its_range_is_valid(path, field_range):
    for value in edges(field_range):
        assert routes.check(changed(path, value)) == [], value


@pytest.mark.parametrize("path, field_range", FIELDS, ids=IDS)
def test_a_number_beyond_its_range_is_found_with_place_value_and_range(path, field_range):
    for value in beyond(field_range):
        (found,) = routes.check(changed(path, value))
        assert found["place"] == path
        assert found["finding"].endswith(field_range.describe())
    (found,) = routes.check(changed(path, -7))
    assert found["finding"].startswith("-7 is ")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    field=strategies.sampled_from(FIELDS),
    value=strategies.one_of(
        strategies.integers(),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.integers(-(10**400), 10**400),
        strategies.booleans(),
    ),
)
def test_a_number_is_valid_or_found(field, value):
    path, field_range = field
    found = [row["place"] for row in routes.check(changed(path, value))]
    assert found == ([] if field_range(value) else [path])


class Fleet(fleet_stand.FleetSimulation):
    """Controllers with the real placement and real proxies."""

    def proxy_of(self, me, seed):
        return proxy_node.ProxyNode(me, seed, self.now, {"retry_slack": 100}, 2)

    def do_order(self, node, effect):
        """Orders get no answer."""


def fleet():
    """Returns a running fleet without a configuration, and its proxy."""
    world = Fleet(1, packed=True)
    world.listing = [fleet_stand.row("r1", "z1", {"birch": ["a1"]}), fleet_stand.row("r2", "z2", {})]
    assert world.until(lambda: world.settled(*world.nodes), 3000) is not None
    return world, world.proxy("p1")


def put(world, found, base):
    """Returns the status of a configuration that the leader is sent."""
    name = f"e{found['edition']}"
    return world.asked(world.leader(), "configure", change=name, base=base, document=found)[0]


@pytest.mark.parametrize("path, field_range", FIELDS, ids=IDS)
def test_a_fleet_runs_with_a_number_at_the_ends_of_its_range(path, field_range):
    world, proxy = fleet()
    edition = 0
    for value in edges(field_range):
        for found in (changed(path, value, edition + 1), document(edition + 2)):
            assert put(world, found, edition) == 200
            edition += 1
            world.run(300)
            proxy.out = []
            proxy.report_demand({"alder": 3, "birch/a2": 1})
            for effect in proxy.out:
                world.do_send(world.nodes["p1"], effect)
            world.run(300)
    world.run(1500)
    assert proxy.table.edition == edition


@pytest.mark.parametrize("path, field_range", FIELDS, ids=IDS)
def test_a_fleet_refuses_a_number_beyond_its_range_and_runs_on(path, field_range):
    world, proxy = fleet()
    assert put(world, changed(path, TOO_LARGE, 1), 0) == 400
    assert put(world, document(2), 0) == 200
    assert put(world, changed(path, TOO_LARGE, 3), 2) == 400
    world.run(500)
    assert proxy.table.edition == 2


@pytest.mark.parametrize("path, field_range", FIELDS, ids=IDS)
def test_a_proxy_answers_with_a_number_at_the_ends_of_its_range(path, field_range):
    for value in edges(field_range):
        rows = [reducer.row("r1", models=("birch",), cold_ms=500), reducer.row("r2", "z2", models=())]
        found = {**changed(path, value), "tenants": None}
        if path.startswith("tenants"):
            found["tenants"] = changed(path, value)["tenants"]
        proxy = reducer.SimulatedProxy(rows, found)
        for item in ("birch", "birch/a2", "alder"):
            for route in ("safe", "once", "stream"):
                for effect in proxy.ask(route, item):
                    if hasattr(effect, "attempt") and hasattr(effect, "replica"):
                        proxy.end(effect.attempt, "refused", status=503)
        proxy.wait(2500)
        state = dataclasses.replace(proxy.node.cluster_state, configuration=document(2))
        proxy.node.cluster_state = state
        proxy.node.state_changed()
        proxy.wait(500)
        assert proxy.node.table.edition == 2
