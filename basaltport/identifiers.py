"""Small types that keep identifiers, serial numbers, fences and times apart."""

import time
import typing


class LogIndex(int):
    """The position of an entry in the agreed log."""

    __slots__ = ()


class Fence(int):
    """A fencing token: the serial under which an owner was named; a higher one wins."""

    __slots__ = ()


class Millis(int):
    """A time or a duration in milliseconds."""

    __slots__ = ()


class MemberId(str):
    """The identity of a member from one start to its end, or for as long as its disk remembers it."""

    __slots__ = ()


class Name(str):
    """A member's name from its settings, which it keeps over restarts."""

    __slots__ = ()


class Zone(str):
    """The name of a zone."""

    __slots__ = ()


class Item(str):
    """A model, or a model and adapter as `model/adapter`."""

    __slots__ = ()

    def base(self) -> "Item":
        """The model without its adapter."""
        return Item(self.split("/", 1)[0])

    def is_adapter(self) -> bool:
        """Whether an adapter is named."""
        return "/" in self


class ReplicaId(str):
    """The id of a replica."""

    __slots__ = ()


class RequestId(str):
    """The id of a client's request."""

    __slots__ = ()


class AttemptId(str):
    """The id of one attempt of a request at a replica."""

    __slots__ = ()


class TenantName(str):
    """The name of a tenant, as the configuration has it."""

    __slots__ = ()


class KeyDigest(bytes):
    """The digest of a key by which a client says for which tenant it sends; see `credentials`."""

    __slots__ = ()


class Term(typing.NamedTuple):
    """The term of a leader; ordered by count, then by the candidate's name or seat."""

    count: int = 0
    name: str = ""

    def text(self) -> str:
        """The generation for logs and pages."""
        return f"{self.count}:{self.name}"


def steady() -> Millis:
    """Monotonic time that counts suspension."""
    return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)
