"""Whose word is enough while members change: the argument of `docs/control-safety.md` at small sizes, the
check of the model that follows it, and schedules in which a majority of the newest roster did not answer."""

import itertools

import pytest

import basaltport.consensus.log as log
import basaltport.consensus.state_machine as state_machine
import basaltport.fleet.publish as publish
import basaltport.identifiers as identifiers
import basaltport.model.electorate as electorate
import basaltport.model.finding as finding
import basaltport.model.random_search as random_search
import basaltport.model.run as run
import basaltport.model.schedule as schedule
import tests.support.model_breaks as breaks

SEATS = "abcdefg"
TERM = identifiers.Term(1, "")
LEAVER_ANSWERED = [
    '{"seed": 20066, "members": 5, "bearable": false, "actions": [[60, "split", 0, 200, 1], '
    '[20, "changes", 2, 1500, 0], [1500, "proxy", 2, 1500, 1], [1500, "replace-cut", 3, 700, 0], '
    '[4000, "full", 2, 700, 3], [4520, "power", 3, 15000, 0], [0, "changes", 0, 0, 0], '
    '[150, "nothing", -1, 8000, 3], [20, "replace-cut", -1, 50, 1], [1500, "replace-cut", 0, 4000, 4], '
    '[4000, "wipe", 0, 8000, 4], [400, "stop", 2, 4000, 4]]}',
    '{"seed": 30048, "members": 5, "bearable": false, "actions": [[9000, "replace-cut", 1, 2200, 2], '
    '[2500, "split", -1, 9000, 1], [0, "changes", 0, 0, 0], [2500, "changes", 0, 0, 5], '
    '[400, "changes", -1, 8000, 0], [9000, "replace-new-first", 2, 0, 0], [4640, "power", 4, 15000, 0], '
    '[0, "changes", 0, 0, 5], [150, "replace-cut", 2, 200, 6], [9000, "cut-pair", -1, 2000, 5], '
    '[760, "kill", 0, 1, 0], [20, "stop", 2, 700, 5]]}',
]


def book_of(seats, former=None):
    return state_machine.ClusterState(
        log_index=identifiers.LogIndex(1),
        term=TERM,
        members=members_of(seats),
        voting=state_machine.VOTING_DISK_MEMBERS,
        former_members=None if former is None else members_of(former),
    )


def members_of(seats):
    return {seat: log.MemberRecord(seat, seat, "ledger", "z", seat) for seat in seats}


def entry(serial, operation):
    return log.LogEntry(identifiers.LogIndex(serial), TERM, operation)


def subsets(seats):
    return (set(some) for n in range(len(seats) + 1) for some in itertools.combinations(seats, n))


def neighbours():
    """Rosters of three to six seats, and what one change makes of them: one out, one in, a joint change begun
    and ended."""
    for size in range(3, 7):
        seats = set(SEATS[:size])
        yield [seats], [seats - {"a"}]
        yield [seats], [seats | {"g"}]
        for gone in range(1, size):
            following = seats - set(SEATS[:gone]) | {"g"}
            yield [seats], [following, seats]
            yield [following, seats], [following]


def test_who_has_the_word_of_one_roster_leaves_none_to_be_elected_by_its_neighbour():
    for one, other in itertools.chain.from_iterable(((x, y), (y, x)) for x, y in neighbours()):
        for some in subsets(SEATS):
            if electorate.elects(some, one):
                assert electorate.excluded(some, one) and electorate.excluded(some, other), (one, other, some)


def test_the_word_of_a_roster_two_changes_back_is_not_enough():
    agreed, word = book_of("bcd"), set("abe")
    assert electorate.elects(word, [set("abcde")])
    assert not electorate.bears(word, electorate.rosters(agreed, []))
    unended = [entry(2, log.MembersChanged(removed=("a",))), entry(3, log.MembersChanged(removed=("b",)))]
    assert not electorate.bears(word, electorate.rosters(book_of("abcde"), unended))


def test_as_one_leaves_its_word_counts_by_the_agreed_roster_only():
    leaves = [entry(2, log.MembersChanged(removed=("c",))), entry(3, log.ShardsAssigned())]
    candidates = electorate.rosters(book_of("abcde"), leaves)
    assert candidates == [[set("abcde")], [set("abde")]]
    assert electorate.bears(set("abc"), candidates)
    assert electorate.bears(set("abd"), candidates)
    assert not electorate.bears(set("ab"), candidates)
    assert not electorate.bears(set("bc"), candidates)
    assert not electorate.bears(set("abc"), electorate.rosters(book_of("abde"), []))


def test_as_one_leaves_by_a_joint_change_its_word_counts_by_the_agreed_roster_only():
    leaves = [entry(2, log.JointChangeBegun(("c",), ())), entry(3, log.ShardsAssigned())]
    candidates = electorate.rosters(book_of("abcde"), leaves)
    assert candidates == [[set("abcde")], [set("abde"), set("abcde")]]
    assert electorate.bears(set("abc"), candidates)
    assert not electorate.bears(set("ab"), candidates)
    assert not electorate.bears(set("abc"), electorate.rosters(book_of("abde"), []))


def test_as_one_joins_its_word_counts_only_beside_a_majority_of_the_agreed():
    candidates = electorate.rosters(
        book_of("abc"), [entry(2, log.MembersChanged(added=members_of("d")["d"]))]
    )
    assert electorate.bears(set("abd"), candidates)
    assert electorate.bears(set("ab"), candidates)
    assert not electorate.bears(set("ad"), candidates)


def test_half_of_an_agreed_even_roster_is_not_enough_beside_one_that_joins():
    """The other half could go on with proof that the disk of one of these is lost."""
    candidates = electorate.rosters(
        book_of("abcd"), [entry(2, log.MembersChanged(added=members_of("e")["e"]))]
    )
    assert electorate.excluded(set("abe"), candidates[0])
    assert not electorate.bears(set("abe"), candidates)
    assert electorate.bears(set("abc"), candidates)


def test_an_agreed_joint_change_needs_both_of_its_rosters():
    joint = electorate.rosters(book_of("abf", former="abc"), [])
    assert electorate.bears(set("ab"), joint)
    assert not electorate.bears(set("af"), joint)
    assert not electorate.bears(set("ac"), joint)
    ending = electorate.rosters(book_of("abf", former="abc"), [entry(2, log.JointChangeCompleted())])
    assert electorate.bears(set("af"), ending)
    assert not electorate.bears(set("ac"), ending)


def test_an_agreed_roster_needs_more_than_half_of_it():
    for size in range(3, 7):
        candidates = electorate.rosters(book_of(SEATS[:size]), [])
        for some in subsets(SEATS):
            assert electorate.bears(some, candidates) == (2 * len(some & set(SEATS[:size])) > size)


@pytest.mark.parametrize("text", LEAVER_ANSWERED, ids=["20066", "30048"])
def test_a_leaver_that_answered_under_the_agreed_roster_lets_the_leader_feed(text):
    assert run.play(schedule.load(text)).broken is None


@pytest.mark.parametrize("seed", [20066, 30048])
def test_the_schedules_that_it_was_found_by_break_no_rule(seed):
    assert run.play(random_search.draw(seed, 5, 30)).broken is None


def test_a_feed_behind_what_is_agreed_elsewhere_is_found_without_the_words(monkeypatch):
    """With the check of words off and a leader that feeds without its lease."""
    monkeypatch.setattr(electorate, "bears", lambda seats, candidates: True)
    monkeypatch.setattr(publish.PublishMixin, "publish", breaks.publish_always)
    for seed in range(1, 40):
        actions = tuple(random_search.cut_leader(random_search.random.Random(seed), 3))
        broken = run.play(schedule.Schedule(seed, 3, bool(seed % 2), actions)).broken
        if broken and broken.rule is finding.Rule.WORD and "newest" in broken.facts:
            return
    pytest.fail("no seed found it")


@pytest.mark.parametrize("first", [20066, 20070, 20074])
def test_long_schedules_of_five_members_break_no_rule(first):
    for seed in range(first, first + 4):
        plan = random_search.draw(seed, 5, 30)
        assert run.play(plan).broken is None, schedule.dump(plan)
