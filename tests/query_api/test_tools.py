"""The tools: plan, rehearse, replay, check, and their exit codes on bad input."""

import json
import pathlib

import pytest

import basaltport.log_events as log_events
import basaltport.main as main
import basaltport.simulation.query_api.planner as planner
import basaltport.simulation.query_api.world.stage as stage

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "basaltport" / "examples"


def call(capsys, *argv):
    with pytest.raises(SystemExit) as e:
        main.run(["basaltport", *map(str, argv)])
    got = capsys.readouterr()
    return e.value.code, got.out, got.err


@pytest.mark.parametrize("name", ["thin", "furrow", "tsehay"])
def test_every_example_can_be_placed_whole(name):
    p = planner.plan(stage.example(f"{name}.json"), stage.example(f"{name}-platform.json"))
    assert p["not_placed"] == {} and p["evicted"] == {}
    assert all(r["used"] <= r["room"] for r in p["replicas"].values())


def test_a_plan_tells_what_does_not_fit_and_why():
    m = stage.example("furrow.json")
    m["groups"]["models"]["room"] = 30
    p = planner.plan(m, stage.example("furrow-platform.json"))
    assert "no room: everything held here is in use or wanted" in p["not_placed"].values()
    gone = {i for out in p["evicted"].values() for i in out}
    assert gone and not gone & set(p["kept"])
    assert not set(p["not_placed"]) & set(p["kept"])
    for v in m["models"].values():
        v["kept"] = True
    q = planner.plan(m, stage.example("furrow-platform.json"))
    assert set(q["not_placed"]) & set(q["kept"])
    assert all(r["used"] <= r["room"] for r in p["replicas"].values())


def test_a_recorded_trace_is_the_same_run_again(capsys, tmp_path):
    t = tmp_path / "trace"
    assert call(capsys, "simulate", "queries", "calm", "--seed=2", f"--trace={t}")[0] == 0
    code, out, _ = call(capsys, "simulate", "replay", t)
    assert code == 0 and "the same run" in out and "no rule broke" in out
    rows = t.read_text().split("\n")
    rows[40] = rows[40].replace('"t": ', '"t": 1')
    t.write_text("\n".join(rows))
    assert "differs from row 41" in call(capsys, "simulate", "replay", t)[1]


@pytest.mark.parametrize(
    "argv, text",
    [
        (["dance"], "no command 'dance'"),
        (["manifest", "check", "nowhere.json"], "nowhere.json: No such file"),
        (["manifest", "check"], "needs a manifest file"),
        (["manifest", "check", "{bad}"], "not JSON"),
        (["manifest", "put", "{bad}"], "not JSON"),
        (["manifest", "check", "--colour=red", "{bad}"], "Unknown command line flag 'colour'"),
        (["manifest", "plan", EXAMPLES / "thin.json"], "No such file"),
        (
            ["manifest", "plan", EXAMPLES / "thin.json", f"--platform={EXAMPLES / 'furrow-platform.json'}"],
            "catalog-1.group",
        ),
        (
            ["manifest", "plan", EXAMPLES / "thin-platform.json", f"--platform={EXAMPLES / 'thin.json'}"],
            "lines: is required",
        ),
        (["simulate", "queries", "picnic"], "no scenario"),
        (["simulate", "replay", "{bad}"], "garbled or cut short"),
        (["simulate", "replay", EXAMPLES / "thin.json"], "garbled or cut short"),
        (["query-fleet", "load"], "--demand"),
        (["query-fleet", "load", "--demand={bad}"], "not JSON"),
        (["query-fleet", "load", f"--demand={EXAMPLES / 'thin.json'}"], "is required"),
        (["rostrum"], "--settings is needed"),
        (["rostrum", "--settings={bad}"], "not JSON"),
        (["ledger", f"--settings={EXAMPLES / 'thin.json'}"], "expected_seats: is required"),
        (["query-fleet", "run", "--preset=huge"], "huge"),
    ],
)
def test_bad_input_is_exit_code_2_with_a_finding_and_no_traceback(capsys, tmp_path, argv, text):
    bad = tmp_path / "bad.json"
    bad.write_text('{"lines": ')
    code, out, err = call(capsys, *[str(a).replace("{bad}", str(bad)) for a in argv])
    assert code == 2
    assert text in out + err and "Traceback" not in out + err


def test_nobody_answering_is_exit_code_4(capsys):
    code, out, _ = call(capsys, "cluster", "status", "--node=127.0.0.1:1", "--json")
    assert code == 4 and json.loads(out)["changed"] is False


SETTINGS = {
    "house": "h", "name": "l1", "zone": "z1", "addr": "127.0.0.1:1", "http": "127.0.0.1:2",
    "seeds": ["127.0.0.1:3"], "expected_seats": 3, "data": "d",
}  # fmt: skip


@pytest.mark.parametrize(
    "change, place",
    [
        ({"addr": "localhost:1"}, "addr"),
        ({"seeds": []}, "seeds"),
        ({"seeds": ["127.0.0.1:1"]}, "seeds"),
        ({"http": "127.0.0.1:1"}, "http"),
        ({"expected_seats": 0}, "expected_seats"),
        ({"name": "Bad Name"}, "name"),
        ({"colour": 1}, "colour"),
        ({"data": None}, "data"),
    ],
)
def test_bad_settings_are_found_with_their_place(capsys, tmp_path, change, place):
    s = {k: v for k, v in {**SETTINGS, **change}.items() if v is not None}
    p = tmp_path / "s.json"
    p.write_text(json.dumps(s))
    code, _, err = call(capsys, "ledger", f"--settings={p}")
    assert code == 2 and err.startswith(place)


def test_every_verb_has_help_and_every_event_stands_in_the_catalogue_page(capsys):
    code, out, _ = call(capsys, "help")
    assert code == 0
    for _, verbs in main.GROUPS:
        for v in verbs:
            assert f"  {v}" in out
            assert call(capsys, v, "--help")[0] == 0
    page = (EXAMPLES.parent.parent / "docs" / "operate" / "events.md").read_text()
    listed = [row for row in page.split("\n") if row.startswith("| ") and row[2].isdigit()]
    assert listed == log_events.catalogue()
