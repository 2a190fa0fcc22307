"""A log never has a gap: not in what a member keeps, nor in what it sends, takes or applies."""

import pytest

import basaltport.consensus.book as book
import basaltport.controller.shard_ownership as shard_ownership
import basaltport.identifiers as identifiers
import basaltport.messages as messages
import tests.controllers as controllers


def follower_and_leader():
    w = controllers.founded(1, 3, editions=3)
    w.run(300)
    return w, w.nodes[controllers.others(w)[0]].member, w.nodes[w.leader()].member


def test_a_copy_that_is_one_entry_ahead_leaves_no_gap_in_what_is_kept():
    w, follower, leader = follower_and_leader()
    ahead = book.apply(
        leader.book, book.entry(leader.book["serial"] + 1, leader.current_term, {"op": "final"})
    )
    follower.install({"book": ahead, "tail": []})
    after = book.entry(ahead["serial"] + 1, leader.current_term, {"op": "final"})
    follower.tail.append(after)
    follower.advance(after["s"], book.gen_of(after))
    assert list(follower.retained_entries) == [after["s"]]


def test_a_leader_with_a_gap_in_what_it_keeps_sends_a_copy():
    w, _, leader = follower_and_leader()
    oldest = min(leader.retained_entries)
    assert leader.entries_after(oldest)[0] is not None
    del leader.retained_entries[oldest + 2]
    assert leader.entries_after(oldest)[0] is None


@pytest.mark.parametrize("missing", [1, 2])
def test_entries_with_a_gap_are_not_taken(missing):
    w, follower, leader = follower_and_leader()
    serial = follower.book["serial"]
    entries = [book.entry(serial + i, leader.current_term, {"op": "final"}) for i in (1, 2, 3)]
    del entries[missing]
    if missing == 2:
        entries.append(book.entry(serial + 4, leader.current_term, {"op": "final"}))
    head = follower.head()
    beat = messages.Heartbeat(
        leader.current_term, leader.me.seat, "k", leader.me.addr, 10**6, serial, head[0], head[0],
        identifiers.LogIndex(serial), entries, {}, 0, 0
    )  # fmt: skip
    assert follower.extend(beat) is False
    assert follower.head() == head


def test_what_is_behind_a_gap_is_not_applied():
    w, follower, leader = follower_and_leader()
    serial = follower.book["serial"]
    follower.tail = [book.entry(serial + 2, leader.current_term, {"op": "final"})]
    with pytest.raises(ValueError):
        follower.advance(serial + 2, leader.current_term)
    assert follower.book["serial"] == serial


def test_a_seat_that_is_on_its_way_out_is_given_no_orders():
    """While one member takes another's place, the former one still votes and may answer."""
    w, _, leader = follower_and_leader()
    out = next(s for s in leader.book["roster"] if s != leader.me.seat)
    row = {**leader.book["roster"][out], "seat": "new", "addr": "10.9.9.9:1", "name": "new"}
    leader.append({"op": "joint", "drops": [out], "adds": [row]})
    leader.acked_at_ms[out] = leader.now
    assert out in leader.live()
    leader.tip_book = {**leader.tip_book, "slices": {}}
    leader.since = leader.now - shard_ownership.GATHER_MS
    leader.assign_shards()
    given = [e["op"].get("give", {}) for e in leader.tail if e["op"]["op"] == "slices"]
    assert given and out not in {owner for give in given for owner in give.values()}
