"""Editions, and the headers that name them, at their limits."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

import basaltport.configuration.editions as editions
import basaltport.configuration.routes as routes

HIGHEST = editions.MAX_EDITION
NO_EDITIONS = [-1, 0, HIGHEST + 1, 10**400, 1.0, 1e300, True, "1", None, [], {}]


def places(edition, current=None):
    """Returns the places of the findings of a configuration with an edition."""
    document = {"edition": edition, "routes": [], "services": []}
    return [row["place"] for row in routes.check(document, current)]


@pytest.mark.parametrize("current", [None, {"edition": 1}, {"edition": HIGHEST - 1}])
@pytest.mark.parametrize("edition", NO_EDITIONS, ids=lambda value: repr(value)[:20])
def test_what_is_no_edition_is_found(edition, current):
    assert places(edition, current) == ["edition"]
    assert [row["place"] for row in routes.check_patch({"edition": edition})] == ["edition"]


def test_a_missing_edition_is_found():
    assert [row["place"] for row in routes.check({"routes": [], "services": []})] == ["edition"]


@pytest.mark.parametrize("edition", [1, 2, 2**31, 2**53 + 1, HIGHEST])
def test_an_edition_higher_than_the_current_one_is_valid(edition):
    assert places(edition) == places(edition, {"edition": edition - 1}) == []
    assert places(edition, {"edition": edition}) == ["edition"]
    assert routes.check_patch({"edition": edition}) == []


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, HIGHEST), strategies.sampled_from(["%d", '"%d"', 'W/"%d"', " %d "]))
def test_each_edition_can_be_named(edition, form):
    assert editions.parse_base(form % edition) == edition


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.one_of(strategies.text(), strategies.integers().map(str)))
def test_a_base_is_an_edition_or_none(text):
    base = editions.parse_base(text)
    assert base is None or editions.NO_EDITION <= base <= HIGHEST


@pytest.mark.parametrize(
    "text", ["", "*", "-1", "+1", "1.0", "1e3", "0x1", "1_0", "١", str(HIGHEST + 1), '"1", "2"']
)
def test_what_names_no_edition_is_no_base(text):
    assert editions.parse_base(text) is None
