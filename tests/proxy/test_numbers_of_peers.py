"""Numbers in headers and events of clients and replicas, at their limits and in other digits than ASCII ones.

A client's `Model: m/a²`, and a replica's `Keep-Alive: timeout=²` or `id: ²`, raised an error in the proxy:
500 for the client, and a sound response was lost.
"""

import asyncio

import pytest

import basaltport.configuration.adapters as adapters
import basaltport.proxy.response_stream as response_stream
import basaltport.proxy.upstream_pool as upstream_pool
import tests.support.proxy_stand as stand

HEADERS = stand.HEADERS
OTHER_DIGITS = ["²", "٣", "9" * 5000, "-1", "+1", "1.0", "1_0", "0x1", ""]


def run(coro):
    return asyncio.run(asyncio.wait_for(coro, stand.BOUND))


@pytest.mark.parametrize("number", [*OTHER_DIGITS, "0", "01", "3", "1000001"])
def test_a_name_with_another_number_is_no_adapter(number):
    assert not adapters.is_adapter_of(f"a{number}", 2)
    assert not adapters.is_adapter_of(number, 2)


def test_each_adapter_of_a_model_is_known_by_its_name():
    for count in (0, 1, 10, adapters.MAX_ADAPTERS):
        for number in (1, 2, 10, count, count + 1):
            assert adapters.is_adapter_of(f"a{number}", count) == (1 <= number <= count)


@pytest.mark.parametrize("number", ["²", "9" * 5000])
def test_a_client_that_names_no_adapter_gets_an_answer_of_the_proxy(number):
    async def go():
        async with stand.Front([stand.Replica("i-1", answer("5"))]) as proxy:
            stand.lead(proxy.member)
            return await proxy.ask("/safe/x", **{HEADERS.model: f"birch/a{number}"})

    status, headers, _ = run(go())
    assert status == 503 and "retry-after" in headers


def answer(keep_alive):
    async def script(replica, headers, writer):
        head = stand.head(headers, **{"Content-Length": 7, "Keep-Alive": f"timeout={keep_alive}"})
        writer.write(head.decode().encode("latin-1", "replace") + b"written")

    return script


@pytest.mark.parametrize("number", [*OTHER_DIGITS, "0", "9" * 400])
def test_a_replica_s_keep_alive_time_never_costs_a_response(number):
    async def go():
        async with stand.Front([stand.Replica("i-1", answer(number))]) as proxy:
            return [(await proxy.ask("/once/x", **{HEADERS.request_id: f"q{n}"}))[::2] for n in range(2)]

    assert run(go()) == [(200, b"written")] * 2


def test_keep_alive_times_are_read_and_bounded():
    assert upstream_pool.keep_alive_s("timeout=5, max=100") == 5
    assert upstream_pool.keep_alive_s("7") == 7
    assert upstream_pool.keep_alive_s("timeout=99999999") == upstream_pool.MAX_KEEP_ALIVE_S
    assert upstream_pool.keep_alive_s("timeout=²") is None


@pytest.mark.parametrize(
    "last_id, expected",
    [("9", "10"), ("007", "8"), ("9" * 400, "1" + "0" * 400), ("9" * 5000, None), ("²", None), ("x", None)],
)
def test_the_id_after_any_id(last_id, expected):
    stream = response_stream.EventStream()
    stream.feed(f"id: {last_id}\ndata: a\n\n".encode("latin-1"))
    assert stream.resume() == last_id and stream.expected_id == expected
