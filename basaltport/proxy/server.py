"""The proxy process: startup, shutdown, timers, and the execution of the reducer's effects."""

import asyncio
import collections.abc
import gc
import os
import random
import signal
import typing

import aiohttp.web

import basaltport.controller.admin_pages as pages
import basaltport.events as base
import basaltport.handlers as handlers
import basaltport.identifiers as identifiers
import basaltport.log_events as log_events
import basaltport.logs as logs
import basaltport.member as member
import basaltport.proxy.attempt_runner as attempt_runner
import basaltport.proxy.client_server as client_server
import basaltport.proxy.events as events
import basaltport.proxy.header_names as header_names
import basaltport.proxy.node as node
import basaltport.proxy.upstream as upstream
import basaltport.sockets as sockets
import basaltport.wires as wires

TICK_S = 0.05
"""Interval between timer events of the reducer."""
NOT_READY_NOTICE_S = 2.6
"""How long the platform may take to notice that a proxy is not ready; it routes clients to the proxy until
then."""
FINAL_S = 0.8
"""Part of the grace time reserved for ending requests that could not be finished."""
MAX_FINAL_SHARE = 1 / 6
"""FINAL_S is reduced to this fraction of the grace time if that is less."""
SWEEP_MS = 5000
"""Interval between checks of idle connections."""
STALE_FEED_MS = 2000
"""If no leader was heard for this time, the settings are read again for other seeds."""
SECOND_MS = 1000
PROBE_BACKLOG = 128
OK = 200
UNAVAILABLE = 503

Settings = collections.abc.Mapping[str, typing.Any]
Reload = collections.abc.Callable[[], collections.abc.Sequence[str] | None]


class ProxyServer:
    """Runs a proxy's reducer and executes its effects on sockets."""

    end: asyncio.Event
    probe_listener: asyncio.Server

    def __init__(
        self, settings: Settings, names: header_names.HeaderNames, reload: Reload | None = None
    ) -> None:
        """`reload` is called on SIGHUP and if no leader was heard for a while; it returns seeds or None."""
        self.settings = settings
        self.names = names
        self.reload = reload
        self.is_stopping = False
        seed = random.SystemRandom().getrandbits(64)
        zones = len(settings.get("zones") or ()) or 1
        me, now = identity(settings), identifiers.steady()
        self.member = node.ProxyNode(me, seed, now, settings.get("timings"), zones)
        self.pages = pages.Pages(self, "proxy")
        self.replicas = upstream.Upstream(names)
        self.attempts = attempt_runner.AttemptRunner(self.replicas, self.step, logs.note_fault)
        self.clients = client_server.ClientServer(
            settings, names, self.member, self.step, lambda: self.is_stopping
        )
        self.wires = wires.PeerConnections(settings["address"], self.receive_message, log_refused_peer)

    # process lifecycle

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down within the grace time."""
        loop = asyncio.get_running_loop()
        logs.open_log("-")
        self.end = asyncio.Event()
        for stop in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop, self.end.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        await self.replicas.start()
        await self.wires.start()
        await self.clients.listen()
        await self.listen_for_probes()
        logs.note(log_events.Event.STARTED, self.member.me.row())
        gc.collect()
        gc.freeze()
        ticker = loop.create_task(self.tick())
        await self.end.wait()
        await self.finish()
        ticker.cancel()

    async def listen_for_probes(self) -> None:
        """Start the server for the platform's probes and operators' pages."""
        host, port = sockets.host_and_port(self.settings["ready"])
        server = aiohttp.web.Server(self.answer_probe, access_log=None)
        loop = asyncio.get_running_loop()
        self.probe_listener = await loop.create_server(server, host, port, backlog=PROBE_BACKLOG)

    async def answer_probe(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        """Answer a readiness probe or an operator's page request."""
        if request.path.startswith(pages.PREFIX):
            page: aiohttp.web.StreamResponse = await self.pages.serve(request)
            return page
        is_ready = self.member.ready() and not self.is_stopping
        is_known = request.path == self.names.ready_path
        return aiohttp.web.Response(status=OK if is_ready and is_known else UNAVAILABLE)

    def reload_settings(self) -> None:
        """Read the settings again and use their seeds."""
        seeds = self.reload() if self.reload else None
        if seeds:
            self.reseed(seeds)

    def reseed(self, seeds: collections.abc.Sequence[str]) -> None:
        """Replace the controllers that are asked for the feed."""
        self.member.me.seeds = list(seeds)

    async def tick(self) -> None:
        """Send timer events to the reducer, reload settings without a leader, and close expired
        connections."""
        reloaded_at = swept_at = identifiers.steady()
        while True:
            now = identifiers.steady()
            self.step_safely(base.Tick(now))
            if now - reloaded_at > STALE_FEED_MS and now - self.member.last_update_at > STALE_FEED_MS:
                reloaded_at = now
                self.reload_settings()
            if now - swept_at > SWEEP_MS:
                swept_at = now
                self.clients.close_expired()
            await asyncio.sleep(TICK_S)

    async def finish(self) -> None:
        """Shut down: report not ready but serve arriving requests; once no new clients arrive, finish
        running requests; then end the rest."""
        logs.note(log_events.Event.STOPPING, {"name": self.member.me.name})
        self.is_stopping = True
        self.step(base.Stop(identifiers.steady()))
        grace_s = self.member.timings["grace_s"]
        notice_s = min(NOT_READY_NOTICE_S, grace_s / 2)
        await asyncio.sleep(notice_s)
        self.clients.listener.close()
        final_s = min(FINAL_S, grace_s * MAX_FINAL_SHARE)
        deadline = identifiers.steady() + SECOND_MS * (grace_s - notice_s - final_s)
        await self.wait_until_idle(deadline)
        self.step(events.Finish(identifiers.steady()))
        await self.wait_until_idle(deadline + SECOND_MS * final_s / 2)
        await self.wires.stop()
        await self.replicas.stop()

    async def wait_until_idle(self, deadline: float) -> None:
        """Wait until no connection has a request, or the time is over."""
        while self.clients.close_idle() and identifiers.steady() < deadline:
            await asyncio.sleep(TICK_S)

    # events and effects of the reducer

    def receive_message(self, source: str, message: object) -> None:
        """Pass a message of another member to the reducer."""
        self.step_safely(base.Heard(identifiers.steady(), source, message))

    def step_safely(self, event: member.Event) -> None:
        """Run one step; an unexpected error is logged, and the process goes on."""
        try:
            self.step(event)
        except Exception as error:
            self.member.failed_steps += 1
            logs.note_fault(error)

    def step(self, event: member.Event) -> None:
        """Run one step of the reducer and execute its effects."""
        for effect in member.Member.step(self.member, event):
            handlers.require(self, "do_", type(effect))(effect)

    def do_send(self, effect: base.Send) -> None:
        """Send a message to a member."""
        self.wires.send(effect.addr, effect.msg)

    def do_note(self, effect: base.Note) -> None:
        """Write an event to the log."""
        logs.note(effect.number, effect.fields)

    def do_close(self, effect: events.Close) -> None:
        """Send a response of the proxy."""
        client_response = self.clients.responses.get(effect.request)
        if client_response:
            client_response.respond(effect.status, effect.detail, effect.retry_after_ms)

    def do_pass(self, effect: events.Pass) -> None:
        """Pass on a replica's stored error response."""
        client_response = self.clients.responses.get(effect.request)
        if client_response:
            client_response.pass_on_failure(effect.attempt)

    def do_cut(self, effect: events.Cut) -> None:
        """Abort the client's connection."""
        client_response = self.clients.responses.get(effect.request)
        if client_response:
            client_response.abort()

    def do_attempt(self, effect: events.Attempt) -> None:
        """Send a request to a replica."""
        client_response = self.clients.responses.get(effect.request)
        if client_response and not client_response.has_route():
            client_response.set_route(self.member.requests[effect.request].route)
        self.attempts.start(effect, client_response)

    def do_abort(self, effect: events.Abort) -> None:
        """Cancel an attempt."""
        self.attempts.stop(effect.attempt)


def identity(settings: Settings) -> member.Me:
    """Returns the member record of this proxy, with a new member id for each start."""
    name = settings["name"]
    member_id = identifiers.MemberId(f"{name}-{os.urandom(4).hex()}")
    location = settings["zone"], settings["address"]
    return member.Me(settings["house"], name, member_id, "proxy", *location, "", settings["seeds"], 0)


def log_refused_peer(peer: str, why: str) -> None:
    """Log a peer's connection that was refused."""
    logs.note(log_events.Event.FRAME_REFUSED, {"peer": peer, "why": why})
