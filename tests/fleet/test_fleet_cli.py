"""Operators' commands and pages, with controllers and a proxy in a fixed state that serve HTTP on
127.0.0.1."""

import asyncio
import copy
import importlib
import json
import pathlib
import pickle
import re
import subprocess
import sys
import urllib.error
import urllib.request

import pytest

import basaltport.controller.admin_api as admin
import basaltport.controller.metrics as metrics
import basaltport.controller.placement_view as placement_view
import basaltport.controller.status_view as view
import basaltport.identifiers as identifiers
import basaltport.main as main
import basaltport.proxy.events as events
import basaltport.proxy.status_pages as proxy_status
import tests.support.fleet_stand as fleet_stand
import tests.support.live as live
import tests.support.proxy_stand as stand

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.append(str(ROOT / "platform"))
operators = importlib.import_module("operators")


@pytest.fixture(scope="module")
def fleet():
    with fleet_stand.ServedFleet() as f:
        yield f


def call(capsys, *argv):
    """Runs a command; returns its exit code, standard output and standard error."""
    with pytest.raises(SystemExit) as e:
        main.run(["basaltport", *map(str, argv)])
    got = capsys.readouterr()
    return e.value.code, got.out, got.err


def normalized(text):
    """Returns output in which ports and member ids are replaced and columns are not aligned."""
    text = re.sub(r"127\.0\.0\.1:\d+", "IP:PORT", text)
    text = re.sub(r"\b(k\d)-[0-9a-f]{8}\b", r"\1-SEAT", text)
    return "\n".join(re.sub(r"  +", "  ", x).rstrip() for x in text.split("\n"))


def test_every_controller_gives_the_leader_s_answer(capsys, fleet):
    for page in ("status", "placement"):
        got = {call(capsys, "fleet", page, f"--node={fleet.served.address(n)}") for n in fleet.names}
        assert len(got) == 1
        code, out, err = got.pop()
        assert (code, err) == (0, "")
        live.assert_transcript(f"fleet_{page}", normalized(out))


def get(address, page, body=None):
    """Returns the status and text of an answer without following a redirect."""

    class NoRedirects(urllib.request.HTTPRedirectHandler):
        def redirect_request(self, *a):
            return None

    try:
        with urllib.request.build_opener(NoRedirects).open(
            f"http://{address}/basaltport/{page}", body, timeout=live.TIMEOUT_S
        ) as r:
            return r.status, r.read().decode()
    except urllib.error.HTTPError as e:
        with e:
            return e.code, e.read().decode()


def test_a_controller_s_own_word_its_metrics_and_what_is_not_there(fleet):
    at = fleet.served.address(fleet.other)
    assert get(at, "status")[0] == 307
    own = json.loads(get(at, "status?own=1")[1])
    assert (own["name"], own["leads"], own["leader"]) == (fleet.other, False, fleet.leader)
    text = get(fleet.served.address(fleet.leader), "metrics")[1]
    for line in ("basaltport_holds 1.0", "basaltport_wants 1.0", "basaltport_list_age_seconds 0.3"):
        assert f"\n{line}\n" in text
    assert "\nbasaltport_leads 0.0\n" in get(at, "metrics")[1]
    assert '\nbasaltport_limit_tokens_total{tokens="granted"} 0.0\n' in text
    assert get(at, "journal")[0] == 404 and get(at, "status?own=1", b"x")[0] == 405
    counts = json.loads(get(fleet.served.address(fleet.leader), "configuration")[1])
    counts.pop("serial")
    assert counts == {
        **{"edition": 1, "routes": 4, "hosts": 1, "services": 1, "models": 2},
        **{"tenants": None, "keys": 0},
    }
    names = [m["name"] for m in json.loads(get(fleet.served.address(fleet.leader), "members")[1])["members"]]
    assert names == ["k1", "k2", "k3", "p1"]


def test_pages_change_no_state_and_name_problems(fleet):
    m, now = fleet.w.nodes[fleet.leader].member, fleet.w.now
    was = pickle.dumps(m.placement)
    for t in (now, now + 500):
        pages = [
            view.status(m, t, t),
            placement_view.page(m, t),
            view.configuration(m, t),
            view.members(m, t),
        ]
        json.dumps(pages)
        list(metrics.families(m, t, t))
    assert pickle.dumps(m.placement) == was
    problems = " ".join(view.unsettled(m, now + 4000, now - 10))
    for expected in ("not vouched", "controller k2 is silent", "last read 4010 ms ago"):
        assert expected in problems
    assert view.unsettled(m, now, now) == []
    assert view.unsettled(m, now, None) == ["the list of replicas was not read yet"]


def test_a_controller_without_a_leader_reports_its_own_state(capsys, fleet):
    w = fleet_stand.FleetSimulation(2)
    assert w.until(lambda: w.settled("k1", "k2", "k3"), 3000) is not None
    for n in ("k1", "k2"):
        w.kill(n)
    w.run(7000)
    with fleet_stand.AdminServerThread(
        {"k3": admin.controller_admin(fleet_stand.ShellStub(w, "k3"), lambda: w.now)}
    ) as t:
        code, out, err = call(capsys, "fleet", "status", f"--node={t.address('k3')}")
        assert code == 1 and err == "no leader\n"
        assert "leader none" in out and "no leader is heard" in out
        code, out, err = call(capsys, "fleet", "placement", "--json", f"--node={t.address('k3')}")
        assert code == 1 and json.loads(out)["leader"] is None
        nodes = f"{t.address('k3')},{fleet.served.address(fleet.other)}"
        assert call(capsys, "fleet", "status", f"--node={nodes}")[0] == 0


def test_the_operators_server_of_the_platform_serves_controller_pages(fleet):
    async def run():
        o = operators.OperatorApi(fleet_stand.ShellStub(fleet.w, fleet.leader), lambda: ())
        await o.start("127.0.0.1:0")
        try:
            r, w = await asyncio.open_connection(*o.server.address)
            w.write(live.get("/basaltport/configuration"))
            async with asyncio.timeout(live.TIMEOUT_S):
                got = await r.read()
            w.close()
            return got
        finally:
            await o.stop()

    assert b'"edition": 1' in asyncio.run(run())


# proxies


@pytest.fixture
def proxy():
    m, now = fleet_stand.proxy_with_replica_states()
    a = admin.proxy_admin(type("Shell", (), {"member": m})(), lambda: now)
    with fleet_stand.AdminServerThread({"p1": a}) as t:
        yield m, now, t.address("p1")


def test_a_proxy_s_status_and_explanations_of_requests(capsys, proxy):
    m, now, at = proxy
    out = [call(capsys, "fleet", "status", f"--node={at}")]
    for path, item in [("/safe/x", "birch"), ("/once/", "alder"), ("/safe/", "cedar"), ("/none/", "birch")]:
        out.append(
            call(
                capsys,
                "fleet",
                "explain",
                f"--node={at}",
                "--host=desk.example",
                f"--path={path}",
                f"--item={item}",
            )
        )
    assert [x[0] for x in out] == [0] * 5
    live.assert_transcript("fleet_proxy", normalized("\n".join(x[1] for x in out)))


def test_an_explanation_matches_the_routing_and_changes_no_state():
    m, now = fleet_stand.proxy_with_replica_states()
    was = copy.deepcopy({k: v for k, v in vars(m).items() if k not in ("rng", "table")})
    chance = m.rng.getstate()
    got = proxy_status.explain(m, now, "desk.example", "/safe/x", "birch")
    proxy_status.status(m, now)
    list(proxy_status.samples(m, now))
    assert m.rng.getstate() == chance
    assert pickle.dumps(was) == pickle.dumps({k: vars(m)[k] for k in was})
    ev = events.Arrived(now, 1, "desk.example", "/safe/x", identifiers.Item("birch"), -1, 0, "")
    sent = [e.replica for e in m.step(ev) if isinstance(e, events.Attempt)]
    assert sent == [o["replica"] for o in got["outcomes"]] == ["r6"]


def test_a_proxy_s_pages_stand_beside_its_readiness():
    async def run():
        async with stand.Front([]) as f:
            address = f.shell.probe_listener.sockets[0].getsockname()
            out = []
            for path in ("/basaltport/status", "/ready", "/basaltport/metrics", "/basaltport/explain?path=x"):
                r, w = await asyncio.open_connection(*address)
                w.write(live.get(path))
                async with asyncio.timeout(live.TIMEOUT_S):
                    out.append((await r.read()).decode())
                w.close()
            return out

    status, ready, metrics, bad = asyncio.run(run())
    assert " 200 OK" in status and '"role": "proxy"' in status
    assert " 503 " in ready and " 400 " in bad
    assert "\nbasaltport_ready 0.0\n" in metrics and "\nprocess_resident_memory_bytes " in metrics


def test_metrics_where_a_process_runs_without_ssl():
    code = (
        "import sys; sys.modules['ssl'] = None; import basaltport.controller.admin_api as a;"
        "assert 'prometheus_client' not in sys.modules;"
        "r = a.metrics_library(); print(r.generate_latest(r.CollectorRegistry()), sys.modules['ssl'])"
    )
    got = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert got.stdout.strip() == "b'' None", got.stderr


# the command line


@pytest.mark.parametrize(
    "argv, code, text",
    [
        (["fleet", "status"], 2, "--node: missing"),
        (["fleet", "status", "--node=k1:80"], 2, "--node: 'k1:80' is not an address"),
        (["fleet", "placement", "--node=127.0.0.1:1", "--own"], 2, "Unknown command line flag 'own'"),
        (["fleet", "explain", "--node=x", "--path=a"], 2, "--host: missing\n--path: does not begin"),
        (["config"], 2, "needs check FILE, or diff FILE FILE"),
        (["config", "check", "{bad}"], 2, "not JSON"),
        (["config", "check", "--words=nowhere.py", "{bad}"], 2, "--words: nowhere.py"),
        (["config", "diff", "{bad}"], 2, "diff: needs 2 files"),
        (["fleet", "status", "--node=127.0.0.1:1"], 1, "nobody answered; 127.0.0.1:1"),
    ],
)
def test_bad_input_exits_with_2_and_an_unreachable_node_with_1(capsys, tmp_path, argv, code, text):
    bad = tmp_path / "bad.json"
    bad.write_text("{")
    got = call(capsys, *[a.replace("{bad}", str(bad)) for a in argv])
    assert got[0] == code and got[1] == "" and text in got[2]
    assert code == 2 or got[2].count("\n") == 1


def test_the_next_node_is_tried_if_one_is_unreachable(capsys, fleet):
    nodes = f"127.0.0.1:1,{fleet.served.address(fleet.other)}"
    code, out, _ = call(capsys, "fleet", "status", f"--node={nodes}", "--json")
    assert code == 0 and json.loads(out)["name"] == fleet.leader


def test_config_check_and_diff_of_files(capsys, tmp_path):
    def file(name, doc):
        (tmp_path / name).write_text(json.dumps(doc))
        return tmp_path / name

    old, new = fleet_stand.document(), copy.deepcopy(fleet_stand.document())
    new["edition"] = 2
    new["routes"][0]["deadline_ms"] = 4000
    del new["routes"][1]
    new["services"][0]["engine"]["models"].append({"name": "cedar"})
    a, b = file("a", old), file("b", new)
    assert call(capsys, "config", "check", a)[:2] == (0, "no findings\n")
    assert call(capsys, "config", "diff", a, a)[:2] == (0, "the same\n")
    code, out, _ = call(capsys, "config", "diff", a, b)
    assert code == 1 and out.split("\n")[:-1] == [
        "changed  edition: 1 -> 2",
        "changed  routes.safe.deadline_ms: 3000 -> 4000",
        "removed  routes.once",
        "added    services.write.engine.models.cedar",
        "4 changes",
    ]
    new["routes"][0]["deadline_ms"] = -1
    b = file("b", new)
    code, out, _ = call(capsys, "config", "check", b)
    assert code == 2 and out.startswith("routes.0.deadline_ms: -1 is not a number of 1 to 1e+15\n")
    names = ROOT / "platform" / "names.py"
    lanes = file("c", {"edition": 1, "lanes": [{"name": "x"}], "depots": []})
    code, out, _ = call(capsys, "config", "check", f"--words={names}", lanes)
    assert code == 2 and "lanes.0.pathPrefix: is required\n" in out


TENANTS = [
    {"name": "desk", "keys": ["secret-1", "secret-2"], "urgency": 1, "rate_per_s": 5},
    {"name": "hall", "keys": ["secret-3"]},
]


# Guards against a tenant's key on a terminal, in a ticket or in a CI log.
@pytest.mark.parametrize(
    "old, new, rows",
    [
        (
            TENANTS,
            [{**TENANTS[0], "keys": ["secret-2", "secret-4", "secret-5"], "rate_per_s": 6}, TENANTS[1]],
            ["changed  tenants.desk.keys: 2 -> 3, 2 new", "changed  tenants.desk.rate_per_s: 5 -> 6"],
        ),
        (TENANTS, [TENANTS[0], {**TENANTS[1], "keys": []}], ["changed  tenants.hall.keys: 1 -> 0, 0 new"]),
        ([TENANTS[0], {**TENANTS[1], "keys": []}], TENANTS, ["changed  tenants.hall.keys: 0 -> 1, 1 new"]),
        (
            TENANTS,
            [TENANTS[0], {"name": "porch", "keys": ["secret-3"]}],
            ["removed  tenants.hall", "added    tenants.porch"],
        ),
        (None, TENANTS, ["changed  tenants"]),
        (TENANTS, [{**TENANTS[0], "former": ["secret-9"], "label": "secret"}, TENANTS[1]], 2),
        ([{**TENANTS[0], "former": ["secret-9"]}], [{**TENANTS[0], "former": ["secret-8"]}], 1),
    ],
)
def test_the_difference_of_two_configurations_shows_no_key(capsys, tmp_path, old, new, rows):
    paths = [tmp_path / "old", tmp_path / "new"]
    for path, tenants in zip(paths, (old, new), strict=True):
        path.write_text(json.dumps({**fleet_stand.document(), "tenants": tenants}))
    code, out, _ = call(capsys, "config", "diff", *paths)
    as_json = call(capsys, "config", "diff", "--json", *paths)[1]
    assert code == 1 and "secret" not in out + as_json
    if isinstance(rows, list):
        assert out.split("\n")[:-2] == rows
    assert len(json.loads(as_json)["changes"]) == (len(rows) if isinstance(rows, list) else rows)


# Guards against a report about a key of two tenants that contains the key.
def test_a_check_of_a_file_shows_no_key(capsys, tmp_path):
    shared = [TENANTS[0], {"name": "hall", "keys": ["secret-1", 3]}]
    (tmp_path / "a").write_text(json.dumps({**fleet_stand.document(), "tenants": shared}))
    code, out, err = call(capsys, "config", "check", tmp_path / "a")
    assert code == 2 and "secret" not in out + err
    assert out.startswith("tenants.1.keys.0: a key of tenant 'desk' too\ntenants.1.keys.1: not a text")
