"""Operators that build on the same version: one of them prevails, at any edition."""

import pytest

import basaltport.configuration.editions as editions
import basaltport.configuration.routes as routes
import tests.support.controllers as controllers

HIGHEST = editions.MAX_EDITION
REFUSED = range(400, 500)


def put(world, name, edition, base=0):
    """Returns the status of a configuration that a follower is sent under a change id."""
    target = controllers.others(world)[0]
    document = controllers.document(edition)
    return world.asked(target, "configure", change=name, base=base, document=document)[0]


def patch(world, name, edition, base=0):
    """Returns the status of a change of items that a follower is sent under a change id."""
    target = controllers.others(world)[0]
    change = {"edition": edition, "put": {"services": []}}
    return world.asked(target, "reconfigure", change=name, base=base, patch=change)[0]


@pytest.mark.parametrize("first", [1, 7, HIGHEST - 1])
@pytest.mark.parametrize("second", [1, 8, HIGHEST])
def test_of_two_first_configurations_one_prevails(first, second):
    world = controllers.founded()
    assert [put(world, "x", first), put(world, "y", second), put(world, "x", first)] == [200, 412, 200]
    assert world.read() == first


# Guards against a first configuration of edition 0 that is silently replaced, as if there were none.
def test_of_two_first_configurations_one_prevails_also_where_its_edition_is_0():
    world = controllers.founded()
    assert put(world, "x", 0) in REFUSED
    assert put(world, "y", 1) == 200
    assert put(world, "x", 0) in REFUSED and put(world, "y", 1) == 200
    assert world.read() == 1


def test_a_first_change_of_items_of_edition_0_is_refused():
    world = controllers.founded()
    assert patch(world, "x", 0) in REFUSED
    assert put(world, "y", 1) == 200


# Guards against an edition that no If-Match can name: nothing could be built on it.
@pytest.mark.parametrize("send", [put, patch])
def test_an_edition_that_no_base_can_name_is_refused(send):
    for base in (0, 1):
        world = controllers.founded(editions=base)
        assert send(world, "x", HIGHEST + 1, base) in REFUSED
        assert send(world, "y", 10**400, base) in REFUSED
        assert put(world, "z", HIGHEST, base) == 200


@pytest.mark.parametrize("edition", [0, HIGHEST + 1])
def test_a_stored_edition_out_of_range_can_be_replaced(monkeypatch, edition):
    world = controllers.founded()
    with monkeypatch.context() as earlier_release:
        earlier_release.setattr(routes, "check", lambda document, current: [])
        assert put(world, "x", edition) == 200
    assert put(world, "y", 1, edition) == (200 if edition < 1 else 400)
    assert world.read() == max(edition, 1)
