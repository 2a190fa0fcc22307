"""What a process uses and says, by its own readings alone."""

import collections.abc
import os
import resource
import typing

import result

import basaltport.frames as frames
import basaltport.identifiers as identifiers
import basaltport.messages as messages

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1 << 20
KIB_OF_MIB = 1024
NS_OF_S = 1e9
MS = 1000
PERCENT = 100

Reading = dict[str, typing.Any]
"""As it travels between a part and the run, as JSON: `at` in ms, `cpu_s`, `waited_s`, `memory_mb`, `peak_mb`,
and under `in` and `out` (messages, bytes) of each kind since the start."""
Rates = dict[str, typing.Any]
"""`cpu_percent` of a core, `memory_mb`, and messages and bytes a second, all together and by kind."""
Traffic = tuple[float, float]
"""Messages and bytes."""
NO_TRAFFIC = (0, 0)


class Frames:
    """Counts of messages and bytes by kind."""

    def __init__(self) -> None:
        """Nothing is counted yet."""
        self.out: dict[str, tuple[int, int]] = {}
        self.into: dict[str, tuple[int, int]] = {}

    def add(self, side: dict[str, tuple[int, int]], kind: str, size: int) -> None:
        """One message more, of `size` bytes."""
        number, total = side.get(kind, NO_TRAFFIC)
        side[kind] = number + 1, total + size

    def install(self) -> "Frames":
        """Counts all that this process packs and unpacks from now on."""
        pack, unpack = frames.parts, frames.body

        def parts(message: object) -> list[bytes]:
            """Pack a message, and count it."""
            packed = pack(message)
            self.add(self.out, type(message).__name__, sum(map(len, packed)))
            return packed

        def body(header: frames.Header, raw: bytes) -> result.Result[object, str]:
            """Unpack a message, and count it."""
            self.add(self.into, messages.KINDS[header.kind].__name__, frames.HEADER_SIZE + len(raw))
            return unpack(header, raw)

        vars(frames).update(parts=parts, body=body)
        return self


def memory_mb() -> tuple[float, float]:
    """MB now, and the most so far."""
    with open("/proc/self/statm") as file:
        now = int(file.read().split()[1]) * PAGE_BYTES / MIB
    return now, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_OF_MIB


def waited_s() -> float:
    """Seconds that this process was ready to run and had to wait for a processor; its first thread's."""
    try:
        with open("/proc/self/schedstat") as file:
            return int(file.read().split()[1]) / NS_OF_S
    except (OSError, IndexError, ValueError):
        return 0.0


def sample(counted: Frames) -> Reading:
    """Processor seconds, memory in MB, and counts since the start; `at` in ms."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    now, most = memory_mb()
    return {
        "at": int(identifiers.steady()),
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "waited_s": waited_s(),
        "memory_mb": now,
        "peak_mb": max(now, most),
        "out": dict(counted.out),
        "in": dict(counted.into),
    }


def between(first: Reading, later: Reading) -> Rates:
    """Rates from one sample to a later one: processor in % of a core; messages and bytes a second."""
    seconds = (later["at"] - first["at"]) / MS
    rates = {"seconds": seconds, "cpu_percent": PERCENT * (later["cpu_s"] - first["cpu_s"]) / seconds}
    rates["waited_percent"] = PERCENT * (later["waited_s"] - first["waited_s"]) / seconds
    rates |= {"memory_mb": later["memory_mb"], "peak_mb": later["peak_mb"]}
    for side in ("in", "out"):
        by_kind = {
            kind: minus(counts, first[side].get(kind, NO_TRAFFIC), seconds)
            for kind, counts in later[side].items()
        }
        rates[f"messages_{side}"] = sum(number for number, _ in by_kind.values())
        rates[f"bytes_{side}"] = sum(size for _, size in by_kind.values())
        rates[f"kinds_{side}"] = {kind: traffic for kind, traffic in by_kind.items() if traffic[0]}
    return rates


def minus(
    later: collections.abc.Sequence[float], first: collections.abc.Sequence[float], seconds: float
) -> Traffic:
    """Messages and bytes a second between two counts."""
    return (later[0] - first[0]) / seconds, (later[1] - first[1]) / seconds
