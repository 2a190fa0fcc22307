import time
import typing


class Serial(int):
    __slots__ = ()


class Fence(int):
    __slots__ = ()


class Millis(int):
    __slots__ = ()


class Seat(str):
    __slots__ = ()


class Name(str):
    __slots__ = ()


class Zone(str):
    __slots__ = ()


class Item(str):
    """A model, or a model and adapter as `model/adapter`."""

    __slots__ = ()

    def base(self):
        return Item(self.split("/", 1)[0])

    def is_adapter(self):
        return "/" in self


class ReplicaId(str):
    __slots__ = ()


class QueryId(str):
    __slots__ = ()


class DispatchId(str):
    __slots__ = ()


class Generation(typing.NamedTuple):
    count: int = 0
    name: str = ""

    def text(self):
        return f"{self.count}:{self.name}"


def steady():
    """Monotonic time that counts suspension."""
    return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)
