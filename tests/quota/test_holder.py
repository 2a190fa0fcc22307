"""A proxy's side of the count, by its messages."""

import pytest

import basaltport.quota.bounds as bounds
import basaltport.quota.holder as quota_holder
import basaltport.quota.messages as messages
import basaltport.quota.outcomes as outcomes

LIMIT = bounds.TenantLimit(10, 40)
BOUNDS = bounds.QuotaBounds(5000, 0.1, 20)
OVER, SILENT = outcomes.Reason.OVER_LIMIT, outcomes.Reason.OWNER_SILENT
WAITING, ADMITTED = quota_holder.WAITING, quota_holder.ADMITTED


@pytest.fixture
def holder():
    made = quota_holder.QuotaHolder("p1", 5, "127.0.0.1:1", BOUNDS)
    made.configure({"t": LIMIT, "u": LIMIT}, 0)
    return made


def grant(request, row, incarnation=5, tenant="t"):
    return messages.QuotaGrant(incarnation, request.shard, request.number, request.sent_at, {tenant: row})


def ask(holder, now, *ids, tenant="t"):
    for request_id in ids:
        assert holder.admit(tenant, request_id, now) == WAITING
    (request,) = holder.take_requests(now)
    return request


def with_share(holder, now=0, fraction=300_000, lasts_ms=10_000):
    request = ask(holder, now, "first")
    assert holder.hear(grant(request, [1, 0, fraction, lasts_ms]), now) == [outcomes.Settled("first", True)]
    return request


def test_a_tenant_without_a_limit_is_not_counted(holder):
    assert holder.admit("w", "r1", 0) == ADMITTED and holder.take_requests(0) == []


def test_requests_wait_for_the_owner_and_those_that_come_meanwhile_for_the_next_ask(holder):
    first = ask(holder, 0, "r1", "r2")
    assert first.rows["t"][0] == 2 and first.number == 1 and first.incarnation == 5
    assert holder.admit("t", "r3", 1) == WAITING and holder.take_requests(1) == []
    settled = holder.hear(grant(first, [2]), 2)
    assert settled == [outcomes.Settled("r1", True), outcomes.Settled("r2", True)]
    (second,) = holder.take_requests(2)
    assert second.rows["t"][0] == 1 and second.number == 2
    assert holder.hear(grant(second, [1]), 3) == [outcomes.Settled("r3", True)]
    assert holder.counts().admitted_by_owner == 3 and holder.counts().waited_ms == 6


def test_tenants_of_a_shard_are_asked_for_in_one_message(holder):
    names = [f"t{i}" for i in range(30)]
    holder.configure({name: LIMIT for name in names}, 0)
    for name in names:
        holder.admit(name, f"r-{name}", 0)
    requests = holder.take_requests(0)
    assert len(requests) == len({request.shard for request in requests})
    assert sorted(name for request in requests for name in request.rows) == sorted(names)


def test_the_owners_refusal_holds_for_a_moment_without_asking(holder):
    request = ask(holder, 0, "r1", "r2")
    settled = holder.hear(grant(request, [1, 400]), 2)
    assert settled == [outcomes.Settled("r1", True), outcomes.Settled("r2", False, OVER, 400)]
    refused = holder.admit("t", "r3", 40)
    assert refused == outcomes.Admission(outcomes.Outcome.REFUSED, OVER, 362)
    assert holder.take_requests(40) == [] and holder.admit("t", "r4", 60) == WAITING


def test_a_silent_owner_is_known_after_a_while_and_then_only_probed(holder):
    ask(holder, 0, "r1")
    holder.admit("t", "r2", 50)
    assert holder.tick(99) == []
    settled = holder.tick(100)
    assert [each.request_id for each in settled] == ["r1", "r2"]
    assert {(each.is_admitted, each.reason) for each in settled} == {(False, SILENT)}
    assert holder.admit("t", "r3", 150).reason is SILENT and holder.take_requests(150) == []
    probe = ask(holder, 310, "r4")
    assert holder.admit("t", "r5", 320).reason is SILENT
    assert holder.hear(grant(probe, [1]), 330) == [outcomes.Settled("r4", True)]
    assert holder.admit("t", "r6", 340) == WAITING


def test_another_shard_is_asked_while_one_is_silent(holder):
    ask(holder, 0, "r1")
    holder.tick(100)
    ask(holder, 150, "r2", tenant="u")


# Guards against QUOTA: tokens that come late count in a window in which they were not made.
def test_a_grant_gives_tokens_only_shortly_after_it_was_asked_for(holder):
    request = ask(holder, 0, "r1")
    (settled,) = holder.hear(grant(request, [1]), bounds.GRANT_LIFE_MS + 1)
    assert (settled.is_admitted, settled.reason) == (False, SILENT)


# Guards against QUOTA: tokens that are given twice.
def test_a_grant_that_comes_twice_gives_its_tokens_once(holder):
    request = ask(holder, 0, "r1")
    assert len(holder.hear(grant(request, [1]), 1)) == 1
    assert holder.admit("t", "r2", 1) == WAITING
    assert holder.hear(grant(request, [1]), 2) == []


# Guards against QUOTA: a proxy that started anew spends what its former self was given.
def test_a_grant_for_a_former_incarnation_is_not_taken(holder):
    request = ask(holder, 0, "r1")
    assert holder.hear(grant(request, [1, 0, 300_000, 10_000], incarnation=4), 1) == []
    assert holder.counts().shares == 0 and holder.counts().waiting == 1


def test_a_token_of_one_who_left_goes_to_the_next(holder):
    request = ask(holder, 0, "r1", "r2")
    holder.admit("t", "r3", 1)
    holder.forget("r1")
    assert holder.hear(grant(request, [2]), 2) == [outcomes.Settled("r2", True), outcomes.Settled("r3", True)]
    holder.forget("r2")
    assert holder.counts().waiting == 0


# Guards against QUOTA: a share is spent beyond its time.
def test_a_share_begins_empty_and_ends_by_the_time_at_which_it_was_asked_for(holder):
    request = ask(holder, 1000, "first")
    holder.hear(grant(request, [1, 0, 300_000, 10_000]), 1200)
    assert holder.admit("t", "r1", 1200) == WAITING
    assert holder.admit("t", "r2", 3000) == ADMITTED
    assert holder.admit("t", "r3", 10_999) == ADMITTED
    assert holder.admit("t", "r4", 11_000) == WAITING
    assert holder.counts().admitted_by_share == 2


def test_no_grant_makes_a_share_last_longer_than_shares_do(holder):
    with_share(holder, 0, lasts_ms=60_000)
    assert holder.admit("t", "r1", 9999) == ADMITTED and holder.admit("t", "r2", 10_000) == WAITING


def test_a_share_in_use_is_renewed_and_one_that_is_not_ends(holder):
    with_share(holder)
    holder.admit("t", "r1", 1900)
    assert holder.take_requests(1900) == []
    (renewal,) = holder.take_requests(2000)
    wanted, demand, fraction, lasts_ms, by = renewal.rows["t"]
    assert (wanted, fraction, lasts_ms, by) == (0, 300_000, 8000, 1) and demand > 0
    holder.hear(grant(renewal, [0, 0, 300_000, 10_000]), 2001)
    assert holder.admit("t", "r2", 11_500) == ADMITTED
    assert holder.counts().renewals == 1


# Guards against QUOTA: an answer to what was asked before the share was made smaller makes it large again.
def test_grants_of_requests_sent_before_a_share_was_taken_change_it_no_more(holder):
    first = ask(holder, 0, "r1")
    holder.tick(100)
    second = ask(holder, 400, "r2")
    holder.hear(grant(first, [0, 0, 100_000, 10_000]), 401)
    holder.hear(grant(second, [1, 0, 500_000, 10_000]), 402)
    assert ask(holder, 403, "r3").rows["t"][2:5:2] == [100_000, 2]


def test_a_share_that_is_not_granted_again_is_gone(holder):
    with_share(holder)
    (renewal,) = holder.take_requests(2000)
    holder.hear(grant(renewal, []), 2001)
    assert holder.admit("t", "r1", 5000) == WAITING


# Guards against QUOTA: a share of the former limit after the limit was lowered.
def test_a_lower_limit_holds_for_a_share_at_once(holder):
    with_share(holder, fraction=600_000)
    holder.configure({"t": bounds.TenantLimit(1, 0)}, 9000)
    assert BOUNDS.budget(bounds.TenantLimit(1, 0)).share_capacity(600_000) < 9
    admitted = [holder.admit("t", f"r{i}", 9000) for i in range(20)].count(ADMITTED)
    assert 0 < admitted < 9


def test_a_tenant_whose_limit_is_taken_away_waits_no_more(holder):
    request = ask(holder, 0, "r1")
    holder.configure({}, 1)
    assert holder.hear(grant(request, [], tenant="x"), 2) == [outcomes.Settled("r1", True)]
    assert holder.admit("t", "r2", 3) == ADMITTED


def test_tenants_that_are_not_used_are_forgotten(holder):
    holder.configure({f"t{i}": LIMIT for i in range(100)}, 0)
    for i in range(100):
        holder.admit(f"t{i}", f"r{i}", 0)
    for request in holder.take_requests(0):
        rows = {name: [1, 0, 90_000, 10_000] for name in request.rows}
        holder.hear(messages.QuotaGrant(5, request.shard, request.number, 0, rows), 1)
    holder.tick(5000)
    assert len(holder._tenants) == 100
    holder.take_requests(20_000)
    holder.tick(20_000)
    assert len(holder._tenants) == 0 and holder.counts().shares == 0
