"""Answers and logs unreadable requests and internal errors without repeating what a client sent.

aiohttp answers a malformed head with the text that it could not parse, and logs that text; any part of a head
may contain a client's key.
"""

import aiohttp.web

import basaltport.logs as logs

SERVER_ERROR = 500


class RedactingConnection(aiohttp.web.RequestHandler):
    """A client connection that never reveals the data that could not be parsed."""

    __slots__ = ()

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.StreamResponse:
        """Returns a response with only a status and closes the connection.

        Raises ConnectionError if a response has already started.
        """
        if exc is not None and status >= SERVER_ERROR:
            logs.note_fault(exc)
        if request.writer.output_size > 0:
            raise ConnectionError("an answer is begun")
        reply = aiohttp.web.Response(status=status)
        reply.force_close()
        return reply

    def log_debug(self, *args: object, **kwargs: object) -> None:
        """Log nothing, because aiohttp's debug messages contain what clients sent."""

    def log_exception(self, *args: object, **kwargs: object) -> None:
        """Log the type and place of an exception that aiohttp caught."""
        error = kwargs.get("exc_info")
        if isinstance(error, BaseException):
            logs.note_fault(error)
