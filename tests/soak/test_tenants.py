"""What the soak holds of keys, tenants and limits: each check finds what it is there for, nothing else."""

import random
import time

import pytest

import tests.soak.clients as clients
import tests.soak.fleet as fleet
import tests.soak.key_checks as key_checks
import tests.soak.plan as plan
import tests.soak.tenants as tenants

PLAN = plan.Plan(1, "127.1.1", is_limited=True)
KEYS = PLAN.keys
STEADY = next(key for key in KEYS if key.is_steady)
PASSING = next(key for key in KEYS if len(key.owners) == 1 and not key.is_steady)
MOVING = next(key for key in KEYS if len(key.owners) == 2)
STRANGE = next(key for key in KEYS if key.text and not key.owners)
NONE = next(key for key in KEYS if not key.text)
OWNER = STEADY.owners[0]
LIMITED = next(key for key in KEYS if key.is_steady and key.owners[0] in tenants.LIMITED)
OK = tenants.OK


def asked(key):
    """The id of a request with a key."""
    return tenants.request_id(key, random.Random(1))


@pytest.mark.parametrize(
    "key, told, shown, broken",
    [
        (STEADY, [OWNER], [], ""),
        (STEADY, [], [], "UNASKED"),
        (STEADY, [OWNER, OWNER], [], "UNASKED"),
        (STEADY, [tenants.TENANTS[1]], [], "UNASKED"),
        (STEADY, [OWNER], [STEADY.text], "KEY"),
        (MOVING, [MOVING.owners[0]], [], ""),
        (MOVING, [MOVING.owners[1]], [], ""),
        (MOVING, [tenants.TENANTS[2]], [], "UNASKED"),
        (NONE, [], [], ""),
        (NONE, [OWNER], [], "UNASKED"),
        (STRANGE, [OWNER], [], "UNASKED"),
    ],
)
def test_a_run_must_be_told_the_tenant_of_its_key_and_no_key(key, told, shown, broken):
    found = tenants.broken_by_arrival(KEYS, asked(key), told, shown)
    assert found.partition(":")[0] == broken


@pytest.mark.parametrize(
    "key, is_public, holder, status, ran_for, broken",
    [
        (STEADY, False, None, OK, OWNER, ""),
        (STEADY, False, None, 401, "", "CONFIG"),
        (STEADY, True, None, 404, "", "CONFIG"),
        (STEADY, False, None, 503, "", ""),
        (STEADY, False, OWNER, OK, tenants.TENANTS[1], "CONFIG"),
        (STEADY, False, None, 429, "", "QUOTA"),
        (LIMITED, False, None, 429, "", ""),
        (PASSING, False, None, 401, "", ""),
        (PASSING, False, PASSING.owners[0], 401, "", "CONFIG"),
        (PASSING, False, "", 401, "", ""),
        (PASSING, False, "", OK, PASSING.owners[0], "CONFIG"),
        (PASSING, False, None, OK, PASSING.owners[0], ""),
        (MOVING, False, MOVING.owners[1], OK, MOVING.owners[0], "CONFIG"),
        (STRANGE, False, None, OK, "", "ROUTE"),
        (STRANGE, True, None, OK, "", "ROUTE"),
        (STRANGE, False, "", 401, "", ""),
        (NONE, False, None, OK, "", "ROUTE"),
        (NONE, True, None, OK, "", ""),
        (NONE, True, None, 401, "", "CONFIG"),
    ],
)
def test_an_answer_must_fit_who_holds_the_key(key, is_public, holder, status, ran_for, broken):
    found = tenants.broken_by_answer(key, is_public, holder, status, ran_for, is_limited=True)
    assert found.partition(":")[0] == broken
    if status == tenants.TOO_MANY:
        assert tenants.broken_by_answer(key, is_public, holder, status, ran_for, is_limited=False)


def later(seconds=0.1):
    """A moment after any change so far can be in force everywhere."""
    return time.monotonic() + tenants.APPLY_S + seconds


def book_after(*changes):
    """A book after changes: the key's holder and whether that was acknowledged, each after the one before."""
    book = tenants.KeyBook(KEYS)
    for number, (holder, is_acknowledged) in enumerate(changes):
        book.begin(number, {PASSING.number: holder} if holder else {})
        book.end(number, is_acknowledged)
    return book


@pytest.mark.parametrize(
    "changes, holder",
    [
        ([], None),
        ([(OWNER, True)], OWNER),
        ([(OWNER, True), ("", True)], ""),
        ([(OWNER, True), ("", False)], None),
        ([(OWNER, True), ("", False), (OWNER, True)], OWNER),
        ([(OWNER, False), ("", True)], ""),
        ([(OWNER, True), (OWNER, False)], OWNER),
    ],
)
def test_who_holds_a_key_is_sure_only_once_no_other_change_may_be_in_force(changes, holder):
    book = book_after(*changes)
    assert book.in_force(PASSING, later()) == holder
    if changes:
        assert book.in_force(PASSING, time.monotonic()) is None


def test_of_two_changes_at_once_either_may_be_in_force():
    book = book_after((OWNER, True))
    book.begin(7, {})
    book.begin(8, {PASSING.number: OWNER})
    book.end(8, True)
    assert book.in_force(PASSING, later()) is None
    book.end(7, False)
    assert book.in_force(PASSING, later()) is None
    book.begin(9, {})
    book.end(9, True)
    assert book.in_force(PASSING, later()) == ""


def test_while_a_controller_is_in_trouble_nothing_is_sure():
    book = book_after((OWNER, True))
    with book.troubled():
        assert book.in_force(PASSING, later(5)) is None
    assert book.in_force(PASSING, time.monotonic()) is None
    assert book.in_force(PASSING, later()) == OWNER


def arrivals(count, every_s, taken_s=0.0, tenant="tenant-2", runs=1):
    """Requests sent at an even pace, each of which ran so often, `taken_s` after it was sent."""
    ids = [f"2-{int(1e9 * (100 + every_s * n)):x}-{n:08x}" for n in range(count)]
    return [tenants.Arrival(i, tenant, tenants.sent_at(i) + taken_s) for i in ids for _ in range(runs)]


def test_requests_are_counted_once_that_were_sent_and_ran_within_a_window():
    assert tenants.most_in_window(arrivals(100, 0.1)) == 51
    assert tenants.most_in_window(arrivals(100, 0.1, taken_s=1.0)) == 41
    assert tenants.most_in_window(arrivals(100, 0.1, taken_s=5.5)) == 0
    assert tenants.most_in_window(arrivals(100, 0.1, runs=2)) == 51
    assert tenants.most_in_window([]) == 0


def test_a_window_over_the_bound_is_found_and_one_at_the_bound_is_not():
    most = int(tenants.bound(tenants.LIMITED["tenant-2"]))
    others = arrivals(10, 0.5, tenant="tenant-3")
    assert tenants.broken_by_limits([*arrivals(most, 0.01), *others], 15) == []
    (found,) = tenants.broken_by_limits([*arrivals(most + 1, 0.01), *others], 15)
    assert found.startswith("QUOTA: 35 requests of tenant-2")
    many = arrivals(500, 0.01, tenant="tenant-0")
    assert tenants.broken_by_limits([*arrivals(most, 0.01), *others, *many], 15) == []


def test_a_tenant_that_gets_hardly_any_of_its_limit_is_found():
    others = arrivals(10, 0.5, tenant="tenant-3")
    assert tenants.broken_by_limits([*arrivals(8, 0.5), *others], 15) == []
    (found,) = tenants.broken_by_limits([*arrivals(7, 0.5, runs=2), *others], 15)
    assert found.startswith("STARVED: 7 requests of tenant-2")


def test_a_change_gives_and_takes_keys_and_never_that_of_nobody():
    drawn = [tenants.draw_held(KEYS, chance / 10) for chance in range(40)]
    assert all(tenants.steady(KEYS).items() <= held.items() for held in drawn)
    assert {held.get(PASSING.number) for held in drawn} == {None, *PASSING.owners}
    assert {held.get(MOVING.number) for held in drawn} == {None, *MOVING.owners}
    assert all(STRANGE.number not in held and NONE.number not in held for held in drawn)
    texts = [key for row in PLAN.tenants(drawn[0]) for key in row["apiKeys"]]
    assert len(texts) == len(set(texts)) == len(drawn[0])


def test_an_id_tells_the_key_and_the_moment():
    before, request = time.monotonic(), asked(MOVING)
    assert tenants.key_number(request) == MOVING.number
    assert before <= tenants.sent_at(request) <= time.monotonic()


def test_a_client_keeps_what_its_answers_break():
    connection = clients.KeptConnection(PLAN, random.Random(1), keys=[STRANGE])
    connection.judge(False, asked(STRANGE), 401, "")
    assert connection.wrong == []
    connection.judge(False, asked(STRANGE), OK, "")
    assert len(connection.wrong) == 1 and STRANGE.text not in connection.wrong[0]


@pytest.mark.parametrize(
    "statuses, is_held, is_settled",
    [
        ([401, 401, 401], False, True),
        ([200, 401, 401, 401], False, True),
        ([401, 401], False, False),
        ([401, 200, 401], False, False),
        ([401, 401, 0], False, False),
        ([401, 200, 503, 200], True, True),
        ([200, 401, 200], True, False),
        ([0, 0, 0], True, False),
    ],
)
def test_a_change_of_keys_has_settled_once_the_last_answers_agree(statuses, is_held, is_settled):
    assert key_checks.is_settled(statuses, is_held) is is_settled


def test_a_log_that_holds_a_key_is_a_finding(tmp_path):
    rigged = fleet.Fleet(1, fleet.ROOT, tmp_path, 1)
    (tmp_path / "proxy-1.out").write_text("as usual")
    assert rigged.told_keys() == []
    text = next(key.text for key in rigged.plan.keys if key.is_steady)
    (tmp_path / "proxy-1.out").write_text(f'{{"why": "Invalid header: b\'{text}\'"}}')
    assert rigged.told_keys() == ["KEY in proxy-1.out"]


@pytest.mark.parametrize(
    "status, is_held, is_wrong", [(0, True, False), (0, False, False), (401, True, True), (503, False, True)]
)
def test_no_answer_at_all_tells_nothing_of_a_key(status, is_held, is_wrong):
    assert key_checks.is_wrong(status, is_held) is is_wrong


def test_who_holds_a_key_is_not_sure_at_a_proxy_that_was_frozen_until_it_is_in_touch():
    book = tenants.KeyBook(KEYS)
    book.begin(1, {PASSING.number: "tenant-0"})
    book.end(1, True)
    with book.frozen("p1"):
        assert book.in_force(PASSING, later(100), "p1") is None
        assert book.in_force(PASSING, later(), "p2") == "tenant-0"
    assert book.in_force(PASSING, time.monotonic() + tenants.APPLY_S, "p1") is None
    assert book.in_force(PASSING, time.monotonic() + tenants.IN_TOUCH_S + 1, "p1") == "tenant-0"
