"""The disk at every cut of what it does, in every way a loss of power can leave it (docs/storage.md)."""

import pytest

import tests.crash_files as crash_files
import tests.crash_states as crash_states

entry, promise = crash_states.entry, crash_states.promise


def first_start(session):
    session.open()


def appends(session):
    session.open()
    session.append(promise(1))
    session.append(entry(1, 1), entry(2, 1), entry(3, 1))
    session.append(promise(3), entry(3, 3))


def switches(session):
    session.open()
    session.append(promise(1), entry(1, 1))
    session.write(([entry(2, 1)], False), ([entry(3, 1), promise(2)], True), ([promise(4)], False))
    session.switch()
    session.switch(entry(4, 4))


def opened_first(script):
    """A script after its start: only what comes from then on is looked at."""

    def play(session):
        script(session)
        forget_the_start(session)

    play.__name__ = script.__name__
    return play


def forget_the_start(session):
    labels = [cut.label for cut in session.cuts]
    del session.cuts[: labels.index("opened")]


def promise_more(session):
    session.open()
    session.append(promise(7))


def promise_and_switch(session):
    session.open()
    session.append(promise(7))
    session.switch(promise(8))


SCRIPTS = [first_start, appends, switches]


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize("short_writes", [False, True], ids=["whole writes", "short writes"])
def test_power_is_lost_at_every_cut(script, short_writes):
    files = crash_files.Files(short_writes=short_writes)
    tally = crash_states.check(crash_states.play(script, files))
    print(script.__name__, tally)


AGAIN = [
    (first_start, opened_first(promise_more)),
    (opened_first(appends), promise_and_switch),
    (opened_first(switches), promise_more),
]


@pytest.mark.parametrize("script, then", AGAIN, ids=lambda f: f.__name__)
def test_power_is_lost_again_at_every_cut_of_the_next_process(script, then):
    tally = crash_states.check(crash_states.play(script), then, crash_states.open_only)
    print(tally)


@pytest.mark.parametrize("script", [first_start, switches], ids=lambda f: f.__name__)
def test_a_process_is_killed_at_every_operation_and_power_is_lost_in_the_next(script):
    """What the killed one had not synced is seen by the next, and is lost with the power unless it is
    synced."""
    tally = crash_states.Tally()
    count = crash_states.play(script).files.operations
    for kill_at in range(count):
        crash_states.check(crash_states.play(killed(script, kill_at)), tally=tally)
    print(count, tally)


def killed(script, kill_at):
    def play(session):
        session.files.kill_at = kill_at
        try:
            script(session)
        except crash_files.Killed:
            session.kill()
        session.cuts.clear()
        opened_first(promise_more)(session)

    return play


@pytest.mark.parametrize("length", [1, 5])
def test_the_disk_refuses_operations_for_a_while(length):
    """From any operation on; then only a snapshot is taken."""
    tally = crash_states.Tally()
    opened = crash_states.play(first_start).files.operations
    count = crash_states.play(refused_from(10**9, 1)).files.operations
    for start in range(opened, count):
        crash_states.check(crash_states.play(refused_from(start, length)), tally=tally)
    print(count - opened, tally)


def refused_from(start, length):
    def script(session):
        session.open()
        session.files.refused = range(start, start + length)
        session.append(promise(1), entry(1, 1))
        session.switch(entry(2, 2))
        while session.failed:
            session.append(promise(3))
            session.switch()
        session.append(promise(5))

    return script


def test_after_a_refused_switch_room_is_given_back():
    """The disk holds two snapshots and a bit: however often a third is tried, those in force stay whole and
    the next switch finds room once there is some."""
    files = crash_files.Files()

    def full(session):
        session.open()
        session.append(entry(1, 1))
        session.switch(entry(2, 2))
        files.capacity = files.used() + 300
        for _ in range(4):
            session.switch()
            assert session.failed
        assert files.used() < files.capacity
        files.capacity = files.used() + 10_000
        session.switch(promise(5))
        assert not session.failed

    print(crash_states.check(crash_states.play(opened_first(full), files)))


def test_a_folder_that_is_made_at_the_start_is_there_after_a_loss():
    """The settings may name a folder in one that is not there yet either."""
    with crash_states.folder("/state/of/member"):
        print(crash_states.check(crash_states.play(first_start), promise_more))


@pytest.mark.parametrize("founders", [None, crash_states.FOUNDERS], ids=["joined", "founded"])
def test_a_folder_of_format_1_is_taken_over_at_every_cut(founders):
    files = crash_states.folder_of_format_1(founders)
    identity = crash_states.member_identity.Identity("seat-of-old", founders)
    model = crash_states.Model().promise(1).entry(1, 1)
    expected = crash_states.Expected(frozenset({model}), identity, ())
    session = crash_states.play(promise_and_switch, files, expected=expected, starts=1)
    print(crash_states.check(session, promise_more))
