"""The real disk code: torn tails, damage in the middle, other members' folders, failed writes, snapshots."""

import json
import os

import hypothesis
import hypothesis.strategies as st

import basaltport.kinds as kinds
import basaltport.consensus.book as book
import basaltport.consensus.journal as journal

G = kinds.Generation(1, "l")


def entries(n, at=1):
    return [{"entry": book.entry(s, G, {"op": "ledgers", "ledgers": [f"l{s}"]})} for s in range(at, at + n)]


def disk(path, name="l"):
    d = journal.Disk(str(path), name)
    return d, d.open()


def held(path):
    d, got = disk(path)
    d.close()
    return [e["s"] for e in got.ok_value[0]["tail"]]


def filled(path, n=5):
    d, got = disk(path)
    assert got.ok_value[0] is None
    d.write(entries(n), None)
    d.close()
    return os.path.join(path, f"journal.{d.n}")


def test_what_was_synced_is_there_again(tmp_path):
    filled(tmp_path)
    assert held(tmp_path) == [1, 2, 3, 4, 5]


def test_a_torn_tail_is_dropped_and_written_over(tmp_path):
    f = filled(tmp_path)
    with open(f, "r+b") as x:
        x.truncate(os.path.getsize(f) - 7)
    d, got = disk(tmp_path)
    assert [e["s"] for e in got.ok_value[0]["tail"]] == [1, 2, 3, 4]
    d.write(entries(1, 5), None)
    d.close()
    assert held(tmp_path) == [1, 2, 3, 4, 5]


def test_damage_in_the_middle_is_refused_loudly_and_nothing_changed(tmp_path):
    f = filled(tmp_path)
    with open(f, "r+b") as x:
        x.seek(os.path.getsize(f) // 2)
        x.write(b"\xff\xfe")
    before = open(f, "rb").read()
    _, got = disk(tmp_path)
    assert "good ones behind it" in got.err_value
    assert open(f, "rb").read() == before


def test_a_damaged_snapshot_is_refused(tmp_path):
    d, _ = disk(tmp_path)
    d.write([], {**journal.empty(), "tail": [entries(1)[0]["entry"]]})
    d.close()
    f = os.path.join(tmp_path, f"snap.{d.n}.dat")
    raw = open(f, "rb").read()
    open(f, "wb").write(raw.replace(b"l1", b"l9"))
    assert "checksum" in disk(tmp_path)[1].err_value
    os.remove(f)
    assert "cannot be read" in disk(tmp_path)[1].err_value


def test_another_member_s_folder_and_a_newer_format_are_refused(tmp_path):
    filled(tmp_path)
    assert "of member 'l', not 'other'" in disk(tmp_path, "other")[1].err_value
    c = os.path.join(tmp_path, "current")
    doc = json.load(open(c))
    json.dump({**doc, "format": 99}, open(c, "w"))
    assert "format 99 is newer" in disk(tmp_path)[1].err_value
    open(c, "w").write("{")
    assert "garbled" in disk(tmp_path)[1].err_value


def test_a_switch_that_was_cut_short_leaves_the_old_generation_in_force(tmp_path, monkeypatch):
    filled(tmp_path)
    d, got = disk(tmp_path)

    def cut(*a):
        raise OSError("power")

    monkeypatch.setattr(os, "rename", cut)
    try:
        d.write([], journal.empty())
    except OSError:
        pass
    monkeypatch.undo()
    assert held(tmp_path) == [1, 2, 3, 4, 5]


def test_after_a_failed_write_only_a_snapshot_is_taken(tmp_path, monkeypatch):
    d, _ = disk(tmp_path)
    d.write(entries(2), None)
    sync = os.fsync

    def full(fd):
        raise OSError("no space")

    monkeypatch.setattr(os, "fsync", full)
    for _ in range(2):
        try:
            d.write(entries(1, 3), None)
            raise AssertionError
        except OSError:
            monkeypatch.setattr(os, "fsync", sync)
    d.write([], {**journal.empty(), "tail": [e["entry"] for e in entries(3)]})
    d.write(entries(1, 4), None)
    d.close()
    assert held(tmp_path) == [1, 2, 3, 4]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(st.integers(1, 6), st.integers(0, 400))
def test_cut_anywhere_a_journal_gives_a_prefix(n, cut):
    raw = b"".join(journal.encode(r) for r in entries(n))
    recs, good = journal.read(raw[: min(cut, len(raw))]).ok_value
    assert recs == entries(n)[: len(recs)] and good <= cut
    assert len(recs) == n or cut < len(raw)
