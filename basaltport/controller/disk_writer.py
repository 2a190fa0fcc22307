"""The thread that writes to a controller's disk."""

import collections.abc
import concurrent.futures
import queue
import threading
import typing


class Write(typing.NamedTuple):
    """A call that the thread is to make, and where its result goes."""

    future: "concurrent.futures.Future[typing.Any]"
    function: collections.abc.Callable[..., typing.Any]
    arguments: tuple[typing.Any, ...]
    keywords: dict[str, typing.Any]


class DiskWriter(concurrent.futures.Executor):
    """One daemon thread; a stalled disk may hold it up for long, but not the end of the process."""

    def __init__(self) -> None:
        """The thread starts at once."""
        self.writes: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        threading.Thread(target=self.work, daemon=True).start()

    def submit(
        self,
        fn: collections.abc.Callable[..., typing.Any],
        /,
        *args: object,
        **kwargs: object,
    ) -> "concurrent.futures.Future[typing.Any]":
        """Have the thread make a call."""
        future: concurrent.futures.Future[typing.Any] = concurrent.futures.Future()
        self.writes.put(Write(future, fn, args, kwargs))
        return future

    def work(self) -> None:
        """Make one call after another until `shutdown`."""
        while True:
            write = self.writes.get()
            if write is None:
                return
            try:
                write.future.set_result(write.function(*write.arguments, **write.keywords))
            except Exception as error:
                write.future.set_exception(error)

    def shutdown(self, wait: bool = False, *, cancel_futures: bool = False) -> None:
        """End the thread after the calls that it has; never waits for it."""
        self.writes.put(None)
