"""What a process uses and says, by its own readings alone."""

import os
import resource

import basaltport.frames as frames
import basaltport.identifiers as identifiers
import basaltport.messages as messages

PAGE = os.sysconf("SC_PAGE_SIZE")
MB = 1 << 20


class Frames:
    """Counts of messages and bytes by kind, as (messages, bytes)."""

    def __init__(self):
        self.out = {}
        self.into = {}

    def add(self, side, kind, size):
        n, b = side.get(kind, (0, 0))
        side[kind] = n + 1, b + size

    def install(self):
        """Counts all that this process packs and unpacks from now on."""
        pack, unpack = frames.parts, frames.body

        def parts(msg):
            got = pack(msg)
            self.add(self.out, type(msg).__name__, sum(map(len, got)))
            return got

        def body(h, raw):
            self.add(self.into, messages.KINDS[h.kind].__name__, frames.HEADER_SIZE + len(raw))
            return unpack(h, raw)

        frames.parts, frames.body = parts, body
        return self


def memory():
    """(MB now, MB at most)."""
    with open("/proc/self/statm") as f:
        now = int(f.read().split()[1]) * PAGE / MB
    return now, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def waited():
    """Seconds that this process was ready to run and had to wait for a processor; its first thread's."""
    try:
        with open("/proc/self/schedstat") as f:
            return int(f.read().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


def sample(counted):
    """Processor seconds, memory in MB, and counts since the start; `at` in ms."""
    u = resource.getrusage(resource.RUSAGE_SELF)
    now, most = memory()
    return {
        "at": int(identifiers.steady()),
        "cpu_s": u.ru_utime + u.ru_stime,
        "waited_s": waited(),
        "memory_mb": now,
        "peak_mb": max(now, most),
        "out": dict(counted.out),
        "in": dict(counted.into),
    }


def between(a, b):
    """Rates from one sample to a later one: processor in % of a core; messages and bytes a second."""
    t = (b["at"] - a["at"]) / 1000
    r = {"seconds": t, "cpu_percent": 100 * (b["cpu_s"] - a["cpu_s"]) / t}
    r["waited_percent"] = 100 * (b["waited_s"] - a["waited_s"]) / t
    r |= {"memory_mb": b["memory_mb"], "peak_mb": b["peak_mb"]}
    for side in ("in", "out"):
        kinds_ = {k: minus(v, a[side].get(k, (0, 0)), t) for k, v in b[side].items()}
        r[f"messages_{side}"] = sum(n for n, _ in kinds_.values())
        r[f"bytes_{side}"] = sum(n for _, n in kinds_.values())
        r[f"kinds_{side}"] = {k: v for k, v in kinds_.items() if v[0]}
    return r


def minus(b, a, t):
    return (b[0] - a[0]) / t, (b[1] - a[1]) / t
