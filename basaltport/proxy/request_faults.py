"""What is said of requests that can't be read, and of our own faults at them: never what a client sent.

The library answers a garbled head with the text of what it could not read, and logs that text; any part of a
head may be a client's key.
"""

import aiohttp.web

import basaltport.log_events as log_events
import basaltport.logs as logs

SERVER_ERROR = 500


class SilentConnection(aiohttp.web.RequestHandler):
    """A client's connection that tells nobody what it could not read."""

    __slots__ = ()

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.StreamResponse:
        """An answer of a status alone; it ends the connection. ConnectionError where one is begun."""
        if exc is not None and status >= SERVER_ERROR:
            log_fault(exc)
        if request.writer.output_size > 0:
            raise ConnectionError("an answer is begun")
        reply = aiohttp.web.Response(status=status)
        reply.force_close()
        return reply

    def log_debug(self, *args: object, **kw: object) -> None:
        """Nothing: the library's texts hold what clients sent."""

    def log_exception(self, *args: object, **kw: object) -> None:
        """Log a fault that the library met."""
        fault = kw.get("exc_info")
        if isinstance(fault, BaseException):
            log_fault(fault)


def log_fault(error: BaseException) -> None:
    """Log a fault of our own: its type and where it arose, since its text may hold what a client sent."""
    logs.note(log_events.Event.STEP_FAILED, {"why": logs.describe_fault(error)})
