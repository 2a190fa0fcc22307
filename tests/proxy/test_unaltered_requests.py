"""A client's prompt headers reach each replica unmodified at every attempt, and none are added."""

import asyncio
import string

import hypothesis
import hypothesis.strategies as strategies
import pytest

import tests.support.proxy_stand as stand
import tests.proxy.test_proxy_wire as wire

HEADERS = stand.HEADERS
SAID = (HEADERS.model, HEADERS.tokens, HEADERS.prefix)
PROMPT = {
    HEADERS.model: "birch",
    HEADERS.tokens: "1460,80",
    HEADERS.prefix: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}
ADAPTER = {**PROMPT, HEADERS.model: "birch/a2"}
ODD = {**PROMPT, HEADERS.tokens: "0001460, 80", HEADERS.prefix: "5C1E07A2:0800,,zz:1,e4402b7d:"}
LONG = {**PROMPT, HEADERS.prefix: ",".join(f"{n:08x}:{n}" for n in range(400))}
SAYS = {"as usual": PROMPT, "an adapter": ADAPTER, "odd values": ODD, "a long prefix": LONG}
ROWS = {"models": {"birch": ["a1", "a2"]}}


def run(coro):
    return asyncio.run(asyncio.wait_for(coro, stand.BOUND))


async def cut_stream(replica, headers, writer):
    await wire.stream(2, end=False)(replica, headers, writer)


async def whole_stream(replica, headers, writer):
    await wire.stream(4)(replica, headers, writer)


def first_then(first, then):
    """Returns a script shared by all replicas: the first request gets `first`, later ones `then`."""
    seen = []

    async def script(replica, headers, writer):
        seen.append(replica)
        await (first if len(seen) == 1 else then)(replica, headers, writer)

    return script


AGAIN = [
    ("/safe/x", wire.refuse, wire.ok),
    ("/once/x", wire.refuse, wire.ok),
    ("/safe/x", wire.absent, wire.ok),
    ("/safe/x", wire.close, wire.ok),
    ("/safe/x", wire.foreign, wire.ok),
    ("/stream/x", cut_stream, whole_stream),
]


def prompt_headers(replica):
    return [{name: headers.get(name.lower()) for name in SAID} for _, headers, _ in replica.seen]


@pytest.mark.parametrize("says", SAYS)
@pytest.mark.parametrize("path, first, then", AGAIN, ids=[f"{p} {f.__name__}" for p, f, _ in AGAIN])
def test_model_tokens_and_prompt_prefix_are_the_client_s_at_every_attempt(path, first, then, says):
    async def go():
        script = first_then(first, then)
        replicas = [stand.Replica("i-1", script, **ROWS), stand.Replica("i-2", script, "z2", **ROWS)]
        async with stand.Front(replicas) as proxy:
            status, _, body = await proxy.ask(path, **SAYS[says])
            return status, body, [row for replica in replicas for row in prompt_headers(replica)]

    status, body, rows = run(go())
    assert status == 200 and body is not None
    assert rows == [SAYS[says]] * 2


@pytest.mark.parametrize("left_out", [SAID, (HEADERS.tokens, HEADERS.prefix), (HEADERS.model,), ()])
def test_what_a_client_leaves_out_is_not_added(left_out):
    """A service without models accepts a request whatever its prompt headers say."""

    async def go():
        document = stand.document(pinned=False)
        del document["services"][0]["engine"]
        script = first_then(wire.refuse, wire.ok)
        async with stand.Front([stand.Replica("i-1", script)], document) as proxy:
            raw = proxy.text("/safe/x", Connection="close", **PROMPT)
            for name in left_out:
                raw = raw.replace(f"{name}: {PROMPT[name]}\r\n".encode(), b"")
            got = await proxy.raw(raw)
            return got, prompt_headers(proxy.replicas[0])

    got, rows = run(go())
    assert got.startswith(b"HTTP/1.1 200")
    assert rows == [{name: None if name in left_out else PROMPT[name] for name in SAID}] * 2


def test_a_request_behind_another_on_one_connection_keeps_its_own_prompt():
    async def go():
        async with stand.Front([stand.Replica("i-1", wire.ok, **ROWS)]) as proxy:
            reader, writer = await proxy.open()
            for n, says in enumerate(SAYS.values()):
                writer.write(proxy.text("/safe/x", **says, **{HEADERS.request_id: f"q{n}"}))
                await reader.readuntil(b"written")
            writer.close()
            return prompt_headers(proxy.replicas[0]), proxy.replicas[0].connections

    rows, connections = run(go())
    assert rows == list(SAYS.values()) and connections == 1


# Guards against UNASKED: a query that is empty lost its mark, so that `/a?` reached the replica as `/a`.
PATH_CHARACTERS = string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@/"
TARGETS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(PATH_CHARACTERS), strategies.sampled_from(["%2F", "%c3%A9", "%00"])
    ),
    max_size=12,
).map("".join)
ODD_TARGETS = [
    "?",
    "?&",
    "?=",
    "a?b?c",
    "../x/./y",
    "//x//",
    "%zz",
    '?q=[1]{}|^`"<>',
    "a;b=c?d;e",
    "#f",
    "?#",
]


def targets_at_the_replica(targets):
    """Returns the request targets that a replica received for those that clients sent."""

    async def go():
        replica = stand.Replica("i-1", wire.ok)
        async with stand.Front([replica]) as proxy:
            for number, target in enumerate(targets):
                await proxy.ask(target, **{HEADERS.request_id: f"q{number}"})
        return [line.split(" ")[1] for line, _, _ in replica.seen]

    return run(go())


@hypothesis.settings(derandomize=True, deadline=None, max_examples=25)
@hypothesis.given(
    strategies.lists(strategies.tuples(TARGETS, strategies.none() | TARGETS), min_size=1, max_size=8)
)
def test_path_and_query_reach_the_replica_byte_for_byte(parts):
    targets = [f"/safe/{path}" + ("" if query is None else f"?{query}") for path, query in parts]
    assert targets_at_the_replica(targets) == targets


@pytest.mark.parametrize("target", ODD_TARGETS)
def test_an_odd_target_reaches_the_replica_byte_for_byte(target):
    assert targets_at_the_replica([f"/safe/{target}"]) == [f"/safe/{target}"]


def test_a_421_that_names_no_replica_does_not_take_the_replica_out():
    async def unnamed(replica, headers, writer):
        if len(replica.seen) == 1:
            writer.write(stand.whole(headers, b"", "421 Misdirected", stamp=False))
        else:
            await wire.ok(replica, headers, writer)

    async def go():
        async with stand.Front([stand.Replica("i-1", unnamed)]) as proxy:
            first = (await proxy.ask("/safe/x", **{HEADERS.deadline: "300"}))[0]
            proxy.member.health["i-1"].missing_until.clear()
            return first, (await proxy.ask("/safe/x", **{HEADERS.request_id: "q2"}))[0]

    assert run(go()) == (503, 200)
