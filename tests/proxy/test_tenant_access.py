"""Which requests of which tenants a proxy sends, by the keys that they come with."""

import dataclasses

import pytest

import basaltport.credentials as credentials
import basaltport.events as base
import basaltport.fleet.messages as messages
import basaltport.identifiers as identifiers
import basaltport.proxy.events as events
import basaltport.proxy.tenant_access as tenant_access
import basaltport.proxy.tenant_directory as tenant_directory
import tests.proxy.test_proxy as reducer
import tests.support.proxy_stand as stand

Reason = tenant_access.Reason
ADDRESS = "127.0.0.1:9"
LEADER = identifiers.Name("c1")
FIRST, SECOND, UNKNOWN = (credentials.digest(text) for text in ("k-first", "k-second", "k-nobody"))
TENANTS = (
    {"name": "first", "keys": ["k-first"], "urgency": 2},
    {"name": "second", "keys": ["k-second"], "urgency": 1},
)


def document(tenants=TENANTS, **more):
    made = stand.document(**more)
    made["routes"].append(
        {**made["routes"][0], "name": "open", "prefix": "/open/", "public": True, "pinned": False}
    )
    return made if tenants is None else {**made, "tenants": [dict(row) for row in tenants]}


class Fleet(reducer.Sim):
    """A proxy that hears a leader, which is told of configurations as by the feed."""

    def __init__(self, doc=None, rows=None):
        super().__init__(
            [reducer.row("a"), reducer.row("b", "z2")] if rows is None else rows, doc or document()
        )
        self.hears_leader()

    def hears_leader(self):
        self.m.led_at = identifiers.Millis(self.now)

    def wait(self, ms, led=True):
        got = []
        for _ in range(0, ms, 50):
            if led:
                self.m.led_at = identifiers.Millis(self.now)
            got += super().wait(50)
        return got

    def told(self, doc):
        """The feed brings a configuration."""
        state = self.m.cluster_state
        state = dataclasses.replace(
            state,
            configuration=doc,
            configuration_version=state.configuration_version + 1,
            log_index=identifiers.LogIndex(state.log_index + 1),
        )
        term, n = self.m.feed_gen, self.m.feed_n
        update = messages.Update(
            term, LEADER, ADDRESS, [ADDRESS], state.log_index, [], state, False, n, n, {}, [], 1
        )
        return self.step(base.Heard(self.now, ADDRESS, update))


def told(effects):
    """(status, detail, when to come back) of the answers of our own among effects."""
    return [(e.status, e.detail, e.retry_after_ms) for e in effects if isinstance(e, events.Close)]


def sent(effects):
    """(tenant, priority) of the attempts among effects."""
    return [(e.tenant, e.priority) for e in effects if isinstance(e, events.Attempt)]


@pytest.mark.parametrize(
    ("tenants", "is_public", "key", "expected"),
    [
        (None, False, UNKNOWN, "granted to nobody"),
        (None, False, credentials.NO_KEY, "granted to nobody"),
        ((), False, FIRST, Reason.UNKNOWN_KEY),
        ((), False, credentials.NO_KEY, Reason.NO_KEY),
        ((), True, credentials.NO_KEY, "granted to nobody"),
        (TENANTS, False, FIRST, "first"),
        (TENANTS, True, FIRST, "first"),
        (TENANTS, False, SECOND, "second"),
        (TENANTS, False, UNKNOWN, Reason.UNKNOWN_KEY),
        (TENANTS, False, credentials.NO_KEY, Reason.NO_KEY),
        (TENANTS, True, credentials.NO_KEY, "granted to nobody"),
        (TENANTS, True, UNKNOWN, Reason.UNKNOWN_KEY),
    ],
    ids=str,
)
def test_whose_a_request_is_follows_from_its_key_and_whether_its_route_is_public(
    tenants, is_public, key, expected
):
    directory = tenant_directory.TenantDirectory(document(tenants))
    found = tenant_access.check_key(directory, is_public, key)
    if isinstance(found, tenant_access.Granted):
        found = found.tenant.name if found.tenant else "granted to nobody"
    assert found == expected


# Guards against requests that run although no configuration ever held their key.
@pytest.mark.parametrize(
    ("key", "detail"),
    [
        pytest.param(UNKNOWN, "unknown key", id="unknown key"),
        pytest.param(credentials.NO_KEY, "no key", id="no key"),
    ],
)
@pytest.mark.parametrize("route", ["safe", "once", "stream", "single"])
def test_a_request_whose_key_nobody_has_is_answered_with_401_and_sent_nowhere(route, key, detail):
    fleet = Fleet()
    assert told(fleet.ask(route, key=key)) == [(401, detail, 0)]
    assert not fleet.m.requests and not fleet.m.queue
    assert fleet.m.refusals == {(route, detail): 1}


def test_an_unknown_key_is_no_key_on_a_public_route_either():
    fleet = Fleet()
    assert told(fleet.ask("open", key=UNKNOWN)) == [(401, "unknown key", 0)]
    assert sent(fleet.ask("open")) == [("", 1)], "as the least urgent tenant's"


def test_an_attempt_bears_its_tenant_and_the_urgency_of_tenants_comes_before_that_of_routes():
    fleet = Fleet()
    assert sent(fleet.ask("safe", key=FIRST)) == [("first", 1)]
    assert sent(fleet.ask("safe", key=SECOND)) == [("second", 0)]


def test_what_waits_goes_by_the_tenants_urgency_first():
    fleet = Fleet(rows=[reducer.row("a", models=())])
    fleet.ask("once", key=FIRST)
    fleet.ask("once", key=SECOND)
    fleet.ask("once", key=FIRST)
    assert [tenant for tenant, _ in sent(fleet.rows(reducer.row("a")))] == ["second", "first", "first"]


def test_without_tenants_no_key_is_looked_at_and_routes_alone_set_the_order():
    fleet = Fleet(document(None))
    assert sent(fleet.ask("safe", key=UNKNOWN)) == [("", 0)]
    assert sent(fleet.ask("safe")) == [("", 0)]


def test_a_proxy_without_a_configuration_holds_what_comes_and_checks_its_key_when_it_has_one():
    fleet = Fleet(rows=[])
    assert fleet.ask("safe", key=UNKNOWN) == [] and fleet.ask("safe", key=FIRST) == []
    fleet.m.out = []
    fleet.m.rows = {"a": reducer.row("a")}
    fleet.m.rows_changed(["a"])
    effects = fleet.m.out
    assert told(effects) == [(401, "unknown key", 0)]
    assert sent(effects) == [("first", 1)]


# Guards against final refusals by proxies that no new configuration reaches.
@pytest.mark.parametrize(
    ("route", "key"),
    [("safe", UNKNOWN), ("safe", credentials.NO_KEY), ("none", FIRST), ("none", UNKNOWN)],
    ids=["unknown key", "no key", "no route", "neither"],
)
def test_a_proxy_that_hears_no_leader_says_503_for_keys_and_routes_that_it_does_not_know(route, key):
    fleet = Fleet()
    fleet.wait(2000, led=False)
    [(status, detail, retry_after_ms)] = told(fleet.ask(route, key=key))
    assert (status, detail) == (503, "out of touch with the controllers")
    assert retry_after_ms > 0
    assert sent(fleet.ask("safe", key=FIRST)) == [("first", 1)], "what it knows it serves on"


def test_a_route_that_no_configuration_has_is_answered_with_404_where_a_leader_is_heard():
    assert told(Fleet().ask("none", key=FIRST)) == [(404, "no route", 0)]
