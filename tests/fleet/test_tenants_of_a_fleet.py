"""Tenant keys in controllers and proxies: changes take effect in time and are never undone, and no key is
shown."""

import json

import pytest

import basaltport.consensus.log as log
import basaltport.consensus.sizes as sizes
import basaltport.controller.admin_api as admin_api
import basaltport.credentials as credentials
import basaltport.fleet.messages as fleet_messages
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.proxy.node as proxy_node
import basaltport.proxy.status_pages as status_pages
import tests.support.fleet_stand as fleet_stand
import tests.support.proxy_stand as proxy_stand

APPLY_MS = 2500
ROUNDS = 8


class ProxySimulation(fleet_stand.FleetSimulation):
    """Simulated controllers and proxies with the real placement and the real proxy code."""

    def proxy_of(self, me, seed):
        return proxy_node.ProxyNode(me, seed, self.now, {"retry_slack": 100}, 2)


def key(number):
    return f"secret-{number}"


def document(edition, tenants):
    return {**proxy_stand.document(), "edition": edition, "tenants": tenants}


def world(seed=1, proxies=2):
    w = ProxySimulation(seed, 3, packed=True)
    w.listing = [fleet_stand.row("r1", "z1", {"birch": ["a1"]})]
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    tenants = [{"name": "desk", "keys": [key(0)], "rate_per_s": 5}, {"name": "hall", "keys": ["secret-hall"]}]
    apply_change(w, "configure", 1, 0, document=document(1, tenants))
    made = [w.proxy(f"p{number + 1}") for number in range(proxies)]
    w.run(600)
    return w, made


def apply_change(w, verb, edition, base, **body):
    """Send a change to one controller after another until it is acknowledged."""
    for _ in range(20):
        for node in w.up():
            call = w.ask(node.name, verb, change=f"e{edition}", base=base, **body)
            if w.until(lambda call=call: w.answers[call], 1500) is None:
                continue
            status = w.answers[call][0]
            if status == 200:
                return
            assert status in (503, 504), w.answers[call]
    raise AssertionError("never acknowledged")


def change(w, edition, **change):
    apply_change(w, "reconfigure", edition, edition - 1, patch={"edition": edition, **change})


def owner(proxy, text):
    """Returns the name of the tenant that owns a key, or None."""
    tenant = proxy.table.tenants.owner_of(credentials.digest(text))
    return tenant and tenant.name


def known(proxy):
    """Returns the numbers of the keys that a proxy accepts for the tenant `desk`."""
    return [number for number in range(ROUNDS + 2) if owner(proxy, key(number)) == "desk"]


# Guards against CONFIG: an added key is not accepted in time, or a removed one is accepted again.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("fault", ["none", "leader cut off", "leader ends", "losses"])
def test_successive_key_changes_take_effect_in_time(seed, fault):
    w, proxies = world(seed)
    newest = dict.fromkeys(range(len(proxies)), 0)
    for number in range(1, ROUNDS):
        if number == ROUNDS // 2 and fault == "leader cut off":
            w.part([w.leader()])
        if number == ROUNDS // 2 and fault == "leader ends":
            w.kill(w.leader())
        w.lossy = 0.2 if fault == "losses" else 0.0
        change(w, number + 1, put={"tenants": [{"name": "desk", "keys": [key(number), key(number + 1)]}]})
        end = w.now + APPLY_MS
        while w.now < end and not all(known(proxy) == [number, number + 1] for proxy in proxies):
            for index, proxy in enumerate(proxies):
                assert proxy.table.edition >= newest[index], "older again"
                newest[index] = proxy.table.edition
            w.run(10)
        for proxy in proxies:
            assert known(proxy) == [number, number + 1]
            assert owner(proxy, "secret-hall") == "hall"


# Guards against CONFIG: after changes that are faster than the feed, a proxy keeps an older configuration.
def test_keys_that_change_faster_than_the_feed_end_with_the_newest():
    w, proxies = world()
    for number in range(1, 30):
        leader = w.nodes[w.leader()]
        patch = {"edition": number + 1, "put": {"tenants": [{"name": "desk", "keys": [key(number % 9)]}]}}
        w.ask(leader.name, "reconfigure", change=f"c{number}", base=number, patch=patch)
        w.run(3)
    w.run(APPLY_MS)
    assert [(proxy.table.edition, known(proxy)) for proxy in proxies] == [(30, [29 % 9])] * 2


BIG = [{"name": f"t{number}", "keys": [f"secret-{number:0500}"]} for number in range(1000)]
"""Tenants with 0.5 MB of keys, which take 1.7 s over the slowest supported link."""


# Guards against CONFIG: a large change is sent repeatedly over a slow link and so arrives late.
def test_a_large_change_that_is_under_way_is_not_sent_again():
    w, (proxy,) = world(proxies=1)
    w.cut(w.leader(), "p1", False)
    sent, send = [], w.do_send

    def record(node, effect):
        if isinstance(effect.msg, fleet_messages.Update) and (effect.msg.entries or effect.msg.state_copy):
            sent.append(w.now)
        send(node, effect)

    w.do_send = record
    change(w, 2, put={"tenants": BIG})
    w.run(1500)
    assert len(sent) == 1
    w.heal()
    w.run(1000)
    assert len(sent) == 2 and proxy.table.edition == 2


# Guards against large changes that exceed the memory limit of the log because their size is not counted.
def test_the_size_of_a_large_change_is_counted():
    patch = {"edition": 2, "put": {"tenants": BIG}}
    entry = log.LogEntry(identifiers.LogIndex(1), identifiers.Term(), log.ItemsPatched(patch))
    size = sizes.entry_size(entry)
    assert len(json.dumps(patch)) * 0.9 < size < len(json.dumps(patch)) * 1.1


# Guards against CONFIG: a proxy that restarts or gets a new leader uses an older configuration.
def test_a_proxy_that_starts_while_keys_change_has_the_newest():
    w, _ = world(proxies=1)
    change(w, 2, put={"tenants": [{"name": "desk", "keys": [key(1)]}]})
    w.kill(w.leader())
    fresh = w.proxy("p9")
    change(w, 3, remove={"tenants": ["desk"]})
    w.run(APPLY_MS)
    assert known(fresh) == [] and fresh.table.edition == 3 and owner(fresh, "secret-hall") == "hall"
    change(w, 4, remove={"tenants": ["hall"]})
    w.run(APPLY_MS)
    assert owner(fresh, "secret-hall") is None and not fresh.table.tenants.is_empty


# Guards against CONFIG: an invalid configuration is acknowledged or takes effect.
@pytest.mark.parametrize(
    "verb, body",
    [
        ("reconfigure", {"patch": {"edition": 2, "put": {"tenants": [{"name": "new", "keys": [key(0)]}]}}}),
        ("reconfigure", {"patch": {"edition": 2, "put": {"tenants": [{"name": "new"}]}}}),
        (
            "configure",
            {"document": document(2, [{"name": n, "keys": ["secret-x"]} for n in ("desk", "hall")])},
        ),
    ],
)
def test_a_key_of_two_tenants_is_refused_without_showing_it(verb, body):
    w, proxies = world()
    status, answer = w.asked(w.leader(), verb, change="e2", base=1, **body)[:2]
    assert status == 400 and answer["findings"] and "secret" not in json.dumps(answer)
    w.run(APPLY_MS)
    assert [proxy.table.edition for proxy in proxies] == [1, 1]
    refused = [fields for _, _, number, fields in w.notes if number == log_events.Event.CHANGE_REFUSED]
    assert refused and "secret" not in json.dumps(w.notes)


# Guards against CONFIG: two concurrent changes of the same version are both acknowledged.
def test_one_of_two_concurrent_key_changes_is_accepted():
    w, proxies = world()
    calls = []
    for number, node in enumerate(w.up()):
        patch = {"edition": 2, "put": {"tenants": [{"name": "desk", "keys": [key(number + 1)]}]}}
        calls.append(w.ask(node.name, "reconfigure", change=f"race{number}", base=1, patch=patch))
    w.run(4000)
    statuses = [w.answers[call][0] for call in calls]
    assert sorted(statuses) == [200, 412, 412]
    assert [known(proxy) for proxy in proxies] == [[statuses.index(200) + 1]] * 2


class ShellStub:
    """The attributes of a controller's process that its admin pages read."""

    def __init__(self, member):
        self.member, self.listed_at = member, 0


def pages_of(w, proxies):
    """Yields all status documents and metrics of the controllers and of some proxies."""
    for node in w.controllers():
        admin = admin_api.controller_admin(ShellStub(node.member), lambda: w.now)
        yield from (page({"own": "1"}).document for page in admin.pages.values())
        yield [str(family) for family in admin.families()]
    for proxy in proxies:
        yield status_pages.status(proxy, w.now)
        yield [str(sample) for sample in status_pages.samples(proxy, w.now)]


# Guards against a tenant's key on a status page or in a log.
def test_no_page_and_no_log_holds_a_key():
    w, proxies = world()
    change(w, 2, put={"tenants": [{"name": "desk", "keys": [key(1), key(2)]}]})
    w.run(APPLY_MS)
    shown = json.dumps([list(pages_of(w, proxies)), w.notes], default=str)
    assert "secret" not in shown and '"edition": 2' in shown
    (counts,) = {
        (page["tenants"], page["keys"])
        for page in pages_of(w, [])
        if isinstance(page, dict) and "hosts" in page
    }
    assert counts == (2, 3)


# Guards against a key change that the log does not distinguish from other changes.
def test_proxies_log_how_many_tenants_and_keys_are_in_force():
    w, _ = world()
    change(w, 2, put={"tenants": [{"name": "desk", "keys": [key(1), key(2)]}]})
    w.run(APPLY_MS)
    in_force = log_events.Event.CONFIGURATION_IN_FORCE
    logged = [fields for _, name, number, fields in w.notes if number == in_force and name == "p1"]
    assert [(f["edition"], f["tenants"], f["keys"]) for f in logged] == [(1, 2, 2), (2, 2, 3)]
