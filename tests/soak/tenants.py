"""The tenants of a soak: who holds which key when, and what must hold of the requests that are sent with
them.

A request's id tells its key and when it was sent, so that the stand-ins, which never see a key, know whose it
is.
"""

import bisect
import collections
import collections.abc
import contextlib
import math
import random
import time
import typing

TENANTS = ["tenant-0", "tenant-1", "tenant-2", "tenant-3"]
LIMITED = {"tenant-2": (2.0, 3.0), "tenant-3": (1.0, 0.0)}
"""Rate a second and burst of the tenants that have a limit, where the plan has limits."""
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20
"""`quotaWindowS`, `quotaExcess` and `quotaSlack` of the platform's pages."""
TIMINGS = {"quotaWindowS": WINDOW_S, "quotaExcess": EXCESS, "quotaSlack": SLACK}
"""What processes are told of them."""
APPLY_S = 2.5
"""`configApplyMs`: what is acknowledged is in force so much later at all that are in touch."""
IN_TOUCH_S = 3.0
"""`inTouchMs`: so long after it was frozen a proxy counts as in touch again."""
STARVED_SHARE = 0.25
"""Who is served less than this share of what is due is starved, by the platform's pages."""
OK, UNAUTHORIZED, FORBIDDEN, NOT_FOUND, TOO_MANY = 200, 401, 403, 404, 429
NEWLY_HELD = 0.6
"""Which part of the keys that come and go a change gives to their tenants."""

Document = dict[str, typing.Any]
Held = dict[int, str]
"""By key: the tenant that holds it."""


class Key(typing.NamedTuple):
    """A key of the soak, or none at all where its text is empty. `owners`: who may hold it, in turns; nobody
    ever has one without owners. `is_steady`: its owner always has it."""

    number: int
    text: str
    owners: tuple[str, ...]
    is_steady: bool = False


class Arrival(typing.NamedTuple):
    """A request that a replica ran. Times are seconds of the steady clock, which all processes share."""

    request_id: str
    tenant: str
    arrived_at: float


def all_keys(seed: int) -> list[Key]:
    """The keys of a seed: for each tenant one that it keeps and one that comes and goes; one that goes from a
    tenant to another; one that nobody has; none."""
    kinds = [((name,), True) for name in TENANTS] + [((name,), False) for name in TENANTS]
    kinds += [((TENANTS[0], TENANTS[1]), False), ((), False)]
    keys = [Key(n, f"key{seed}x{n}y{7919 * (n + seed)}", *kind) for n, kind in enumerate(kinds)]
    return [*keys, Key(len(keys), "", ())]


def request_id(key: Key, chance: random.Random) -> str:
    """An id that tells the key of a request that is sent now, and the moment."""
    return f"{key.number:x}-{time.monotonic_ns():x}-{chance.getrandbits(32):08x}"


def holds_key(keys: list[Key], text: str) -> bool:
    """Whether a text that others see holds a key."""
    return any(key.text in text for key in keys if key.text)


def key_number(request: str) -> int:
    """The number of a request's key, from its id."""
    return int(request.split("-")[0], 16)


def sent_at(request: str) -> float:
    """When a request was sent, from its id."""
    return int(request.split("-")[1], 16) / 1e9


def rows(keys: list[Key], held: Held, is_limited: bool) -> list[Document]:
    """The tenants of a configuration that gives keys to whom `held` says."""
    found = []
    for number, name in enumerate(TENANTS):
        row: Document = {"name": name, "urgency": number % 2}
        row["apiKeys"] = [key.text for key in keys if held.get(key.number) == name]
        if is_limited and name in LIMITED:
            row |= dict(zip(("ratePerS", "burstSize"), LIMITED[name], strict=True))
        found.append(row)
    return found


def steady(keys: list[Key]) -> Held:
    """The keys that their owners always have."""
    return {key.number: key.owners[0] for key in keys if key.is_steady}


def draw_held(keys: list[Key], chance: float) -> Held:
    """Who holds which key after a change; `chance` decides."""
    drawn, held = random.Random(chance), steady(keys)
    for key in keys:
        if key.owners and not key.is_steady and drawn.random() < NEWLY_HELD:
            held[key.number] = drawn.choice(key.owners)
    return held


class KeyBook:
    """Who holds which key for sure, as far as the operator knows of its changes.

    What is in force may be any change that was tried since the last one that was acknowledged began, or that
    one. `sure`: by key, its holder, "" for nobody, and since when that is so; missing where it is not known.
    """

    def __init__(self, keys: list[Key]) -> None:
        """Nothing is in force yet."""
        self.keys = keys
        self.possible: dict[int, Held] = {}
        self.ended: set[int] = set()
        """The changes that were tried and came to an end, whatever it was."""
        self.before: dict[int, set[int]] = {}
        """By change: those that had ended when it began."""
        self.sure: dict[int, tuple[str, float]] = {}
        self.troubles = 0
        self.calm_since = 0.0
        self.awake_since: dict[str, float] = {}
        """By proxy that was frozen: since when it runs again, or for ever later while it is frozen."""

    @contextlib.contextmanager
    def troubled(self) -> collections.abc.Iterator[None]:
        """While a controller is in trouble, and for a time after it, some may be out of touch."""
        self.troubles += 1
        try:
            yield
        finally:
            self.troubles -= 1
            self.calm_since = time.monotonic()

    def begin(self, number: int, held: Held) -> None:
        """A change is sent for the first time."""
        self.before[number] = set(self.ended)
        self.possible[number] = held
        self._compare(time.monotonic())

    def end(self, number: int, is_acknowledged: bool) -> None:
        """A change is sent no more; those that ended before it began are over once it is acknowledged."""
        self.ended.add(number)
        if is_acknowledged:
            for earlier in self.before[number]:
                self.possible.pop(earlier, None)
        self._compare(time.monotonic())

    def _compare(self, now: float) -> None:
        for key in self.keys:
            holders = {held.get(key.number, "") for held in self.possible.values()}
            if len(holders) > 1:
                self.sure.pop(key.number, None)
            elif self.sure.get(key.number, ("?", now))[0] not in holders:
                self.sure[key.number] = holders.pop(), now

    @contextlib.contextmanager
    def frozen(self, proxy: str) -> collections.abc.Iterator[None]:
        """While a proxy is frozen, and for a time after it, it is out of touch."""
        self.awake_since[proxy] = math.inf
        try:
            yield
        finally:
            self.awake_since[proxy] = time.monotonic()

    def is_calm(self, since: float) -> bool:
        """Whether no controller has been in trouble from a time on."""
        return not self.troubles and self.calm_since <= since

    def in_force(self, key: Key, sent: float, proxy: str = "") -> str | None:
        """Who surely holds a key, at a proxy that is in touch, when a request was sent; None where that is
        not known."""
        if self.troubles or sent <= self.awake_since.get(proxy, 0.0) + IN_TOUCH_S:
            return None
        holder, since = self.sure.get(key.number, ("", sent))
        return holder if sent > max(since, self.calm_since) + APPLY_S else None


def broken_by_answer(
    key: Key, is_public: bool, holder: str | None, status: int, ran_for: str, is_limited: bool
) -> str:
    """What an answer breaks, or "". `holder`: who surely holds the key, as of `KeyBook.in_force`; `ran_for`:
    the tenant that a replica was told."""
    needs_key = not (is_public and not key.text)
    if status == OK and needs_key and not key.owners:
        return "ROUTE: a request ran whose key nobody ever had"
    if status in (UNAUTHORIZED, FORBIDDEN, NOT_FOUND) and (key.is_steady or holder or not needs_key):
        return f"CONFIG: {status} though its key and route are there"
    if status == OK and key.owners and holder is not None and ran_for != holder:
        return f"CONFIG: a request ran for {ran_for!r} though its key is that of {holder!r}"
    if status == TOO_MANY and not (is_limited and set(key.owners) & set(LIMITED)):
        return "QUOTA: 429 though its tenant has no limit"
    return ""


def broken_by_arrival(keys: list[Key], request: str, told: list[str], shown: list[str]) -> str:
    """What a request breaks that a replica runs, or "". `told`: what it says of its tenant; `shown`: the keys
    that it bears."""
    key = keys[key_number(request)]
    if shown:
        return f"KEY: a replica was shown the key of {key.owners}"
    if len(told) != (1 if key.owners else 0) or not set(told) <= set(key.owners):
        return f"UNASKED: a request of one of {key.owners} ran for {told}"
    return ""


def bound(limit: tuple[float, float]) -> float:
    """How many requests of a tenant may run in any window."""
    rate, burst = limit
    return (rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK


def most_in_window(arrivals: collections.abc.Iterable[Arrival]) -> int:
    """The most requests that were sent and arrived within one window; each is counted once."""
    first: dict[str, float] = {}
    for arrival in arrivals:
        first[arrival.request_id] = min(arrival.arrived_at, first.get(arrival.request_id, arrival.arrived_at))
    rows = sorted((sent_at(request), arrived) for request, arrived in first.items())
    sent = [row[0] for row in rows]
    most = 0
    for start, (began, _) in enumerate(rows):
        end = bisect.bisect_right(sent, began + WINDOW_S)
        most = max(most, sum(arrived <= began + WINDOW_S for _, arrived in rows[start:end]))
    return most


def broken_by_limits(arrivals: collections.abc.Iterable[Arrival], seconds: float) -> list[str]:
    """The limited tenants of which more requests ran in some window than may, or hardly any in all the
    seconds in which they asked for many more."""
    by_tenant: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in arrivals:
        by_tenant[arrival.tenant].append(arrival)
    found = []
    for name, limit in LIMITED.items():
        most, ran = most_in_window(by_tenant[name]), len({arrival.request_id for arrival in by_tenant[name]})
        if most > bound(limit):
            found.append(f"QUOTA: {most} requests of {name} in {WINDOW_S} s, {bound(limit):g} allowed")
        if ran < STARVED_SHARE * limit[0] * seconds:
            found.append(
                f"STARVED: {ran} requests of {name} in {seconds:g} s, its limit is {limit[0]:g} a second"
            )
    return found
