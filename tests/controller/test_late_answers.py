"""Answers of the platform and of replicas that a controller reads late, since it stood still, are no news."""

import asyncio

import pytest

import basaltport.controller.events as controller_events
import basaltport.controller.server as server
import basaltport.identifiers as identifiers
import basaltport.placement.effects as effects

ROWS = [{"id": "r1"}]
REPORT = {"models": {}}


class Port:
    """Gives its answer at once, or once the process has stood still for so long."""

    def __init__(self, clock, stall_ms):
        self.clock, self.stall_ms = clock, stall_ms

    async def list(self):
        self.clock.now += self.stall_ms
        return ROWS

    async def report(self, request):
        self.clock.now += self.stall_ms
        return REPORT


class Clock:
    """A steady clock that a test moves."""

    def __init__(self):
        self.now = 5000

    def __call__(self):
        return identifiers.Millis(self.now)


class Server(server.ControllerServer):
    """A controller's process without a disk or connections; `events` are those that its reducer would get."""

    def __init__(self, port):
        self.port, self.events, self.listed_at = port, [], None

    def step(self, event):
        self.events.append(event)


def play(monkeypatch, stall_ms, call):
    """The server after a call whose answer was read so much later."""
    clock = Clock()
    monkeypatch.setattr(identifiers, "steady", clock)
    made = Server(Port(clock, stall_ms))
    asyncio.run(call(made))
    return made


# guards the cause of review/1 on a related path: what a process read late was taken for the state of now
@pytest.mark.parametrize("stall_ms, is_taken", [(0, True), (2500, True), (2501, False), (4900, False)])
def test_a_list_that_is_read_late_is_not_taken(monkeypatch, stall_ms, is_taken):
    made = play(monkeypatch, stall_ms, lambda server: server.list())
    assert made.events == [controller_events.Listed(5000 + stall_ms, is_taken, ROWS if is_taken else [])]
    assert made.listed_at == (5000 if is_taken else None), "a list is as old as the call for it"


@pytest.mark.parametrize("stall_ms, is_taken", [(0, True), (1000, True), (1001, False), (4900, False)])
def test_a_report_that_is_read_late_is_not_taken(monkeypatch, stall_ms, is_taken):
    made = play(monkeypatch, stall_ms, lambda server: server.report(effects.Report("r1", "10.0.0.1:1")))
    report = REPORT if is_taken else {}
    assert made.events == [controller_events.Reported(5000 + stall_ms, "r1", is_taken, report)]
