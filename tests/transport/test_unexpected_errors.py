"""An unexpected error of a message, a step or an effect costs that one, and the process goes on.

A message that could not be encoded ended the connection to its receiver for good, a handler that raised an
error the connection that it came on, and an error in a tick of a controller its clock: the process lived on
without ever hearing, sending or ticking again.
"""

import asyncio
import concurrent.futures
import types

import pytest

import basaltport.events as events
import basaltport.fleet.messages as fleet_messages
import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.shell as shell
import basaltport.wires as wires

BOUND_S = 10
TICK_S = 0.01


def run(coro):
    return asyncio.run(asyncio.wait_for(coro, BOUND_S))


class Peer:
    """A member's connections, with the messages that it received."""

    def __init__(self, fails_at=()):
        self.received, self.fails_at = [], fails_at
        self.arrived = asyncio.Event()
        self.wires = wires.PeerConnections("127.0.0.1:0", self.receive, lambda peer, why: None)

    def receive(self, source, message):
        self.received.append(message)
        self.arrived.set()
        if len(self.received) in self.fails_at:
            raise KeyError("an error of a handler")

    async def start(self):
        await self.wires.start()
        self.address = "127.0.0.1:%d" % self.wires.server.sockets[0].getsockname()[1]
        return self

    async def wait_for(self, number):
        while len(self.received) < number:
            self.arrived.clear()
            await self.arrived.wait()


def want(demand):
    return fleet_messages.Want("p", "z", "a:1", demand)


UNENCODABLE = [
    want({"m": object()}),
    want({"m": {1, 2}}),
    fleet_messages.Want("p", 7, "a:1", {}),
    types.SimpleNamespace(of="no kind"),
    "no message",
]


@pytest.mark.parametrize("message", UNENCODABLE, ids=lambda message: type(message).__name__)
def test_a_message_that_cannot_be_encoded_is_dropped_and_the_connection_goes_on(message):
    async def go():
        receiver, sender = await Peer().start(), await Peer().start()
        for sent in (want({"first": 1}), message, want({"second": 2})):
            sender.wires.send(receiver.address, sent)
        await receiver.wait_for(2)
        sender.wires.send(receiver.address, want({"third": 3}))
        await receiver.wait_for(3)
        await sender.wires.stop()
        await receiver.wires.stop()
        return [received.demand for received in receiver.received], sender.wires.failed_messages

    assert run(go()) == ([{"first": 1}, {"second": 2}, {"third": 3}], 1)


def test_a_handler_that_raises_an_error_costs_its_message_only():
    async def go():
        receiver, sender = await Peer(fails_at=(1, 3)).start(), await Peer().start()
        for number in range(5):
            sender.wires.send(receiver.address, want({"m": number}))
        await receiver.wait_for(5)
        await sender.wires.stop()
        await receiver.wires.stop()
        return [received.demand["m"] for received in receiver.received], receiver.wires.failed_messages

    assert run(go()) == ([0, 1, 2, 3, 4], 2)


class Reducer(member.Member):
    """Counts its ticks; `fails_at` are the ticks in which it raises an error after a write."""

    durable = True

    def __init__(self, fails_at, sends=()):
        me = member.Me("h", "k1", "k1-1", "ledger", "z", "127.0.0.1:1", "", [], 0)
        super().__init__(me, 1, identifiers.Millis(0))
        self.current_term = identifiers.Term()
        self.fails_at, self.sends = fails_at, sends
        self.ticked, self.synced, self.snapshots = 0, [], 0

    def head(self):
        return identifiers.Term(), 0

    def mark_synced(self, head, promise):
        """Nothing is stored."""

    def disk_failed(self):
        """Nothing is stored."""

    def on_synced(self, event):
        self.synced.append((event.token, event.ok))
        super().on_synced(event)

    def on_tick(self, event):
        self.ticked += 1
        for message in self.sends:
            self.send("127.0.0.1:9", message)
        self.write([])
        if self.ticked in self.fails_at:
            raise ZeroDivisionError("an error of the reducer")


class Disk:
    """A disk whose writes succeed at once."""

    def write_all(self, batch):
        """Store nothing."""


class Process(shell.Shell):
    """A shell with a reducer, without connections."""

    def __init__(self, reducer):
        super().__init__()
        self.member, self.me, self.disk = reducer, reducer.me, Disk()
        self.writer = concurrent.futures.ThreadPoolExecutor(1)
        self.period = TICK_S
        self.sent = []
        self.wires = types.SimpleNamespace(send=self.send)

    def send(self, address, message):
        if message == "bad":
            raise TypeError("an error of an effect")
        self.sent.append(message)

    async def run(self, ticks):
        """Run until the reducer has ticked so often, and all its writes have ended."""
        ticker = asyncio.get_running_loop().create_task(self.tick())
        while self.member.ticked < ticks:
            assert not ticker.done(), "the clock has stopped"
            await asyncio.sleep(TICK_S)
        ticker.cancel()
        while self.is_writing or self.queued_writes:
            await asyncio.sleep(TICK_S)


def test_an_error_in_a_tick_does_not_stop_the_clock_and_its_writes_are_made():
    process = Process(Reducer(fails_at=(2, 3)))
    run(process.run(6))
    assert process.member.failed_steps == 2
    tokens = [token for token, _ in process.member.synced]
    assert tokens == list(range(1, len(tokens) + 1)) and len(tokens) >= 6


def test_after_an_error_the_disk_counts_only_from_the_next_snapshot_on():
    reducer = Reducer(fails_at=(2,))
    process = Process(reducer)
    run(process.run(4))
    assert reducer.bad
    reducer.write([], whole=None)
    reducer.after[reducer.token] = (reducer.head(), [], True)
    reducer.step(events.Synced(identifiers.Millis(10**9), reducer.token, True))
    assert not reducer.bad


def test_an_effect_that_raises_an_error_costs_itself_only():
    process = Process(Reducer(fails_at=(), sends=("one", "bad", "two")))
    run(process.run(3))
    assert process.sent[:6] == ["one", "two"] * 3
    assert process.member.failed_steps >= 3


def test_a_write_that_cannot_be_queued_is_reported_as_failed(monkeypatch):
    reducer = Reducer(fails_at=())
    process = Process(reducer)
    queue_write = process.do_write

    def fail_first(effect):
        if effect.token == 1:
            raise ValueError("a record that cannot be encoded")
        queue_write(effect)

    monkeypatch.setattr(process, "do_write", fail_first)
    run(process.run(3))
    assert (1, False) in reducer.synced and reducer.bad
