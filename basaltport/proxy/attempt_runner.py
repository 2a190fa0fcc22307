"""Runs attempts as asyncio tasks: starts and cancels them, and reports their ends to the reducer."""

import asyncio
import collections.abc
import functools
import inspect
import typing

import basaltport.identifiers as identifiers
import basaltport.member as member
import basaltport.proxy.attempt_outcome as attempt_outcome
import basaltport.proxy.events as events
import basaltport.proxy.response as response
import basaltport.proxy.upstream as upstream

Outcome = attempt_outcome.Outcome
Result = attempt_outcome.Result


class AttemptRunner:
    """Runs attempts on connections to replicas. `tasks` holds them by attempt id."""

    def __init__(
        self,
        replicas: upstream.Upstream,
        step: collections.abc.Callable[[member.Event], None],
        log_fault: collections.abc.Callable[[Exception], None],
    ) -> None:
        """`step` passes an event to the reducer; `log_fault` logs an internal error."""
        self.replicas = replicas
        self.step = step
        self.log_fault = log_fault
        self.tasks: dict[int, asyncio.Task[None]] = {}

    def start(self, effect: events.Attempt, client_response: response.ClientResponse | None) -> None:
        """Start an attempt; `client_response` is where its response goes, None if the client is gone."""
        if client_response is None:
            self.report_never_started(effect.attempt)
            return
        task = asyncio.get_running_loop().create_task(self.run(effect, client_response))
        self.tasks[effect.attempt] = task

    def stop(self, attempt_id: int) -> None:
        """Cancel an attempt; its end is still reported."""
        task = self.tasks.get(attempt_id)
        if task is None:
            return
        task.cancel()
        coroutine = typing.cast("collections.abc.Coroutine[None, None, None]", task.get_coro())
        if inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
            self.report_never_started(attempt_id)

    def report_never_started(self, attempt_id: int) -> None:
        """Report the end of an attempt that never ran: a task that is cancelled before its first step runs
        none of its code, not even `finally`."""
        self.tasks.pop(attempt_id, None)
        ended = events.Ended(identifiers.steady(), attempt_id, Result(Outcome.UNSENT, 0, "stopped"))
        asyncio.get_running_loop().call_soon(self.step, ended)

    async def run(self, effect: events.Attempt, client_response: response.ClientResponse) -> None:
        """Run one attempt and report its end to the reducer."""
        result = None
        try:
            result = await self.replicas.run(
                effect, client_response, functools.partial(self.report_progress, effect.attempt)
            )
        except Exception as error:
            self.log_fault(error)
        finally:
            if result is None:
                result = Result(Outcome.CUT if client_response.is_started else Outcome.BROKEN, 0, "fault")
            self.tasks.pop(effect.attempt, None)
            self.step(events.Ended(identifiers.steady(), effect.attempt, result))

    def report_progress(self, attempt_id: int, connect_ms: int = -1) -> None:
        """Report that response bytes arrived; `connect_ms` is the connect time as in the event."""
        self.step(events.Progress(identifiers.steady(), attempt_id, connect_ms))
