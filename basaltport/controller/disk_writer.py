"""The thread that writes to a controller's disk."""

import collections.abc
import concurrent.futures
import queue
import threading
import typing


class Write(typing.NamedTuple):
    """A function call that the thread is to execute, and the future for its result."""

    future: "concurrent.futures.Future[typing.Any]"
    function: collections.abc.Callable[..., typing.Any]
    arguments: tuple[typing.Any, ...]
    keywords: dict[str, typing.Any]


class DiskWriter(concurrent.futures.Executor):
    """Executes writes in a single daemon thread, so that a stalled disk doesn't block the end of the
    process."""

    def __init__(self) -> None:
        """Start the thread."""
        self.writes: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        threading.Thread(target=self.execute_writes, daemon=True).start()

    def submit(
        self,
        fn: collections.abc.Callable[..., typing.Any],
        /,
        *args: object,
        **kwargs: object,
    ) -> "concurrent.futures.Future[typing.Any]":
        """Queue a call for the thread and return the future for its result."""
        future: concurrent.futures.Future[typing.Any] = concurrent.futures.Future()
        self.writes.put(Write(future, fn, args, kwargs))
        return future

    def execute_writes(self) -> None:
        """Execute queued calls in order until `shutdown`."""
        while True:
            write = self.writes.get()
            if write is None:
                return
            try:
                write.future.set_result(write.function(*write.arguments, **write.keywords))
            except Exception as error:
                write.future.set_exception(error)

    def shutdown(self, wait: bool = False, *, cancel_futures: bool = False) -> None:
        """End the thread after the queued calls, without waiting for it."""
        self.writes.put(None)
