"""Types that distinguish identifiers, log indices, fencing tokens and times for the type checker."""

import time
import typing


class LogIndex(int):
    """The index of an entry in the replicated log."""

    __slots__ = ()


class Fence(int):
    """A fencing token: the log index at which an owner was assigned; a higher token supersedes a lower
    one."""

    __slots__ = ()


class Millis(int):
    """A time or a duration in milliseconds."""

    __slots__ = ()


class MemberId(str):
    """The id of a member: a new one at each start, unless its disk has kept the former one."""

    __slots__ = ()


class Name(str):
    """The name of a member from its settings, which stays the same across restarts."""

    __slots__ = ()


class Zone(str):
    """The name of a zone."""

    __slots__ = ()


class Item(str):
    """What a request asks for: a model, or a model with an adapter as `model/adapter`."""

    __slots__ = ()

    def base(self) -> "Item":
        """Returns the model without its adapter."""
        return Item(self.split("/", 1)[0])

    def is_adapter(self) -> bool:
        """Whether this item includes an adapter."""
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
    """The name of a tenant in the configuration."""

    __slots__ = ()


class KeyDigest(bytes):
    """The digest of the key by which a client authenticates as a tenant; see `credentials`."""

    __slots__ = ()


class Term(typing.NamedTuple):
    """The term of a leader; ordered by its count, then by the name or member id of the candidate."""

    count: int = 0
    name: str = ""

    def text(self) -> str:
        """Returns the term as text for logs and status pages."""
        return f"{self.count}:{self.name}"


def steady() -> Millis:
    """Returns the monotonic time in ms; it includes the time while the system was suspended."""
    return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)
