"""Scale runs: hollow nodes keep the protocol of followers, lines need three sizes, bad flags are told."""

import asyncio
import pathlib
import subprocess
import sys

import pytest

import basaltport.fleet.messages as messages
import basaltport.consensus.state_machine as state_machine
import basaltport.identifiers as identifiers
import basaltport.placement.catalog as catalog
import basaltport.configuration.routes as routes
import basaltport.main as main
import basaltport.simulation.query_api.drills.fleet as fleet
import basaltport.scale.cli as cli
import basaltport.scale.fit as fit
import basaltport.scale.hollow as hollow
import basaltport.scale.part as part
import basaltport.scale.size as size_
import basaltport.scale.table as table
import tests.support.controller_parts as parts
import tests.support.controllers as controllers
import tests.fleet.test_fleet as checks

SIZE = size_.Size(4, 8, 5, 23)
FEED = [f for k, f in vars(checks).items() if k.startswith("test_")]


class Follower(hollow.Hollow):
    """A hollow node with the notes that the checks of real followers read."""

    def __init__(self, me, seed, now):
        super().__init__(me, seed, now, SIZE)
        self.marks = hollow.Marks()
        self.changes, self.heard_facts = [], {}

    def step(self, ev):
        out = super().step(ev)
        self.marks.look(self, self.now)
        assert not self.marks.broken
        return out

    def rows_changed(self, ids):
        if all("zone" in r for r in self.rows.values()):
            super().rows_changed(ids)
        self.changes.append(set(ids))

    def model_statuses_received(self, items):
        self.heard_facts.update(items)

    def usage(self):
        super().usage()
        return {"m": 1}, {}


@pytest.mark.parametrize("check", FEED, ids=lambda f: f.__name__)
def test_a_hollow_node_passes_every_check_of_a_follower(check, monkeypatch):
    """Never back, a snapshot and then what changed, asks for what was lost, kept unled."""
    monkeypatch.setattr(parts, "Proxy", Follower)
    check()


def test_going_back_is_told():
    class At:
        def __init__(self, serial, gen, n):
            state = state_machine.ClusterState(log_index=identifiers.LogIndex(serial))
            self.cluster_state, self.feed_term, self.rows_version = state, identifiers.Term(gen, "k"), n
            self.rows, self.proxies = {}, 1

    for back in (At(4, 2, 7), At(5, 1, 9), At(5, 2, 6)):
        m = hollow.Marks()
        m.look(At(5, 2, 7), 10)
        m.look(At(5, 3, 1), 20)
        assert not m.broken and m.at("term", 3) == 20 and m.at("term", 4) is None
        m.was = (5, identifiers.Term(2, "k"), 7)
        m.look(back, 30)
        assert len(m.broken) == 1


def test_a_hollow_node_reports_what_a_node_with_traffic_would():
    w = controllers.World(1, 3, packed=True)
    w.until(lambda: w.settled("k1", "k2", "k3"), 3000)
    w.proxy_of = lambda me, seed: hollow.Hollow(me, seed, w.now, SIZE, 20.0, 30)
    w.listing = [{**r, "leaves_in_ms": None} for r in size_.rows(SIZE).values()]
    w.until(lambda: w.leader(), 3000)
    said, send = [], w.do_send

    def look(n, e):
        said.extend([e.msg] if isinstance(e.msg, messages.Follow) else [])
        send(n, e)

    w.do_send = look
    p = w.proxy("p1")
    w.until(lambda: len(p.rows) == SIZE.replicas, 5000)
    del said[:]
    w.run(10_000)
    assert 24 <= len(said) <= 26
    assert 150 < sum(n for m in said for n in m.request_counts.values()) < 250
    assert all(sum(m.running_counts.values()) == 30 for m in said)
    cat = catalog.Catalog(size_.document(SIZE))
    assert all(cat.knows(i) for m in said for i in m.request_counts)


def test_the_configuration_is_valid_and_holds_every_adapter():
    doc = size_.document(size_.TARGET)
    assert routes.check(doc) == [] and routes.check_patch(size_.change(2)) == []
    cat = catalog.Catalog(doc)
    models = cat.services[size_.SERVICE].models
    assert len(models) == 530 and sum(m.adapter_count for m in models.values()) == 94_000
    rows = size_.rows(size_.TARGET)
    assert len(rows) == 600 and all(
        cat.knows(f"{m}/{a}") for r in rows.values() for m in r["models"] for a in r["models"][m]
    )
    assert len({m for r in rows.values() for m in r["models"]}) == 530


def test_a_line_goes_through_its_points_and_takes_three_sizes():
    got = fit.line([(10, 25), (20, 45), (40, 85)]).ok_value
    assert got.slope == pytest.approx(2) and got.start == pytest.approx(5) and got.r2 == pytest.approx(1)
    assert fit.reaches(got, 105) == pytest.approx(50) and got.spread is None
    assert fit.line([(10, 1), (20, 2), (30, 3), (30, 5)]).ok_value.spread == 2
    for few in ([], [(10, 1)], [(10, 1), (20, 2), (20, 3)]):
        assert "takes 3 sizes" in fit.line(few).err_value.finding


BAD = [
    (["--nodes=40,120"], "sizes: a slope takes 3 sizes, here are 2"),
    (["--nodes=40,40,40"], "sizes: a slope takes 3 sizes, here are 1"),
    (["--nodes=40,120,many"], "nodes: not whole numbers"),
    (["--nodes=40,120,341"], "nodes: not 4 to 340"),
    (["--nodes=40,80,120", "--replicas=100,200"], "replicas: 2 values, where others have 3"),
    (["--nodes=40,80,80", "--replicas=100,100,200"], "sizes: no field has 3 values"),
    (["--seconds=20"], "seconds: 3 runs take"),
    (["--hosts=37"], "hosts"),
    (["--nose=1"], "nose"),
    (["extra"], "extra: not a flag"),
    (["--dir=basaltport"], "dir: not empty"),
]


@pytest.mark.parametrize("args, finding", BAD, ids=lambda x: x[0] if isinstance(x, list) else "")
def test_bad_flags_start_nothing(args, finding, capsys, monkeypatch):
    monkeypatch.chdir(pathlib.Path(__file__).parent.parent.parent)
    monkeypatch.setattr(fleet.Fleet, "spawn", lambda *a: pytest.fail("something was started"))
    with pytest.raises(SystemExit) as e:
        main.run(["basaltport", "scale", *args])
    got = capsys.readouterr()
    assert e.value.code == 2 and finding in got.err and got.out == ""


def test_a_part_without_its_file_tells_so():
    got = subprocess.run(
        [sys.executable, "-m", "basaltport", "scale-part", "--conf=/nowhere"],
        capture_output=True,
        text=True,
        cwd=pathlib.Path(__file__).parent.parent.parent,
    )
    assert got.returncode == 2 and got.stderr.startswith("--conf: ") and "Traceback" not in got.stderr


def test_orders_at_hollow_replicas_take_their_time(monkeypatch):
    p = part.Port(SIZE)
    now = [1000]
    monkeypatch.setattr(part.identifiers, "steady", lambda: now[0])

    class E:
        replica, kind, model, adapter = "replica-0", "load", "model-4", None

    async def order():
        first, early = await p.order(E), await p.order(E)
        now[0] += 1000 * size_.LOAD_S
        return first, early, await p.order(E)

    assert asyncio.run(order()) == ("accepted", "accepted", "done")
    assert "model-4" in p.rows["replica-0"]["models"]


def run(nodes, percent):
    rates = dict.fromkeys(table.UNITS, 0.0) | {"cpu_percent": percent}
    return {"size": {**SIZE.doc(), "nodes": nodes}, "roles": {"leader": rates}, "broken": []}


def test_a_report_has_lines_only_where_enough_sizes_gave_a_figure():
    runs = [
        run(10, 1.0),
        run(20, 2.0),
        {"size": {**SIZE.doc(), "nodes": 40}, "ended": ["rest"], "broken": []},
    ]
    got = table.report("nodes", runs)
    assert all("slope" not in x for x in got["lines"])
    got = table.report("nodes", [*runs, run(30, 3.0)])
    line = next(x for x in got["lines"] if x["figure"] == "% of a core")
    assert line["at_target"] == pytest.approx(34) and "34" in table.text(got)


def test_the_field_that_differs_is_the_one_the_lines_are_drawn_over():
    a, b, c = size_.Size(4, 8, 1, 0), size_.Size(4, 80, 1, 0), size_.Size(4, 99, 1, 0)
    assert cli.axis([a, b, c]) == "replicas"
