"""Request rates of items by zone, and the number of copies that the demand for a model calls for."""

import collections.abc
import math
import typing

import basaltport.placement.catalog as catalog
import basaltport.placement.replica_state as replica_state

SLOW_DECAY_MS = 8000
FAST_DECAY_MS = 2000
"""Rates are smoothed over both times, and the lower one counts: a rate falls as soon as requests end."""
RECENT_DECAY_MS = 1000
"""Time over which a rising rate is measured, so that copies are loaded before the slow rate has followed."""
RISE_DEVIATIONS = 2
"""A rise counts only beyond this many standard deviations of random variation."""
QUIET_RATE_LIMIT = 3000
"""Requests x ms/s: a rate t ms after the last request is at most this divided by t."""
REPORT_INTERVAL_MS = 400
"""The interval of proxies' reports, and so the time that each report covers."""
RUNNING_DECAY_MS = 1000
"""Time over which the number of running requests is smoothed."""
HOT_RATE = 3.0
"""Requests per second in a zone above which a model becomes hot there."""
COOL_RATE = 1.5
"""Requests per second in a zone down to which a hot model stays hot there."""
MAX_RUNNING_PER_COPY = 10
"""Target limit of concurrent requests per hot copy, since concurrent requests slow each other down."""
MIN_HOT_COPIES = 2
MAX_COUNTED_RUN_MS = 1000
"""Upper limit of the run time of a request in the computation of target copies."""
HOT_MEMORY_SHARE = 0.6
"""Share of the memory of all replicas that the target copies of hot models may use."""
DEFAULT_SERVICE_MS = 600
"""Run time of a request before one was measured."""
MIN_SERVICE_MS = 50
MAX_SERVICE_MS = 10_000
MIN_STARTED_REQUESTS = 5
"""Number of started requests from which the mean run time is measured."""
MODEL_TIME_SMOOTHING = 0.8
"""Weight of the former value when the run time of a model is updated."""
RATE_EXPIRY_MS = 30_000
"""The rates of an item are dropped after this time without a request."""
NEVER_USED = -60_000
"""Time of last use, in ms, of an item that was never requested."""
MIN_IN_USE_MS = 300
MAX_IN_USE_MS = 2000


class HotModel(typing.NamedTuple):
    """A model with a high request rate, and the number of copies that it should have."""

    zones: set[str]
    """The zones in which its rate is high."""
    target_copies: int
    rate: float
    """Requests per second over all zones."""


class Rate:
    """A smoothed request rate per second; t seconds after the last request it is at most 3 / t."""

    __slots__ = ("slow_rate", "fast_rate", "recent_rate", "decayed_at", "last_requested_at")

    def __init__(self, now: int) -> None:
        """Create a rate of zero at the time `now` in ms."""
        self.slow_rate = self.fast_rate = self.recent_rate = 0.0
        self.decayed_at = self.last_requested_at = now

    def decay(self, now: int) -> None:
        """Apply the exponential decay up to the time `now`."""
        elapsed = now - self.decayed_at
        if elapsed > 0:
            self.slow_rate *= math.exp(-elapsed / SLOW_DECAY_MS)
            self.fast_rate *= math.exp(-elapsed / FAST_DECAY_MS)
            self.recent_rate *= math.exp(-elapsed / RECENT_DECAY_MS)
            self.decayed_at = now

    def add(self, requests: float, now: int) -> None:
        """Count a number of requests at the time `now`."""
        self.decay(now)
        self.slow_rate += requests * 1000 / SLOW_DECAY_MS
        self.fast_rate += requests * 1000 / FAST_DECAY_MS
        self.recent_rate += requests * 1000 / RECENT_DECAY_MS
        self.last_requested_at = now

    def read(self, now: int) -> float:
        """Return the requests per second at the time `now`."""
        self.decay(now)
        return min(self.slow_rate, self.fast_rate, QUIET_RATE_LIMIT / max(1, now - self.last_requested_at))


def significant_rise(rates: collections.abc.Iterable[Rate], now: int) -> float:
    """Return the requests per second over the last second less what random variation can explain.

    Requests arrive as a Poisson process, so the variance of a rate smoothed over a time t is the rate divided
    by 2 t.
    """
    rate = 0.0
    for zone_rate in rates:
        zone_rate.decay(now)
        rate += zone_rate.recent_rate
    return rate - RISE_DEVIATIONS * math.sqrt(rate * 1000 / (2 * RECENT_DECAY_MS))


class DemandNeeds(typing.Protocol):
    """The state and methods of Placement that `DemandMixin` uses."""

    now: int
    catalog: catalog.Catalog
    usable_zones: set[str]
    replicas: dict[str, replica_state.Replica]
    serving_ids: dict[str, set[str]]

    def usable(self, replica: replica_state.Replica) -> bool:
        """Whether requests may be sent to a replica."""


if typing.TYPE_CHECKING:
    Needs = DemandNeeds
else:
    Needs = object


class DemandMixin(Needs):
    """Measures the demand for items and determines the hot models."""

    now: int

    def reset_demand(self) -> None:
        """Reset all demand measurements."""
        self.request_rates: dict[str, dict[str, Rate]] = {}
        self.last_used: dict[str, int] = {}
        self.hot_models: dict[str, HotModel] = {}
        self.service_ms: float = DEFAULT_SERVICE_MS
        self.started_requests = self.total_run_ms = 0.0
        self.model_times_ms: dict[str, float] = {}
        """Measured run time of requests by model, in ms."""
        self.service_measured_at = self.now
        self.copies_checked_at = 0

    def usage_reported(
        self, now: int, zone: str, items: dict[str, int], running: dict[str, int]
    ) -> list[typing.Any]:
        """Record a proxy's report: requests started since its last report by item, and running by replica."""
        self.now = now
        for item, requests in items.items():
            self.last_used[item] = now
            self.count_requests(item, zone, requests)
            self.started_requests += requests
            model = item.partition("/")[0]
            if model != item:
                self.last_used[model] = now
                self.count_requests(model, zone, requests)
        for replica_id, requests in running.items():
            replica = self.replicas.get(replica_id)
            if replica is not None:
                replica.running = (
                    self.running_requests(replica) + requests * REPORT_INTERVAL_MS / RUNNING_DECAY_MS
                )
                self.total_run_ms += requests * REPORT_INTERVAL_MS
        return []

    def count_requests(self, item: str, zone: str, requests: int) -> None:
        """Add requests to the rate of an item in a zone."""
        by_zone = self.request_rates.setdefault(item, {})
        if zone not in by_zone:
            by_zone[zone] = Rate(self.now)
        by_zone[zone].add(requests, self.now)

    def running_requests(self, replica: replica_state.Replica) -> float:
        """Return the number of running requests on a replica, smoothed over the last second."""
        elapsed = self.now - replica.running_at
        if elapsed > 0:
            replica.running *= math.exp(-elapsed / RUNNING_DECAY_MS)
            replica.running_at = self.now
        return replica.running

    def request_rate(self, item: str) -> float:
        """Return the requests per second for an item over all zones."""
        by_zone = self.request_rates.get(item)
        return sum(rate.read(self.now) for rate in by_zone.values()) if by_zone else 0.0

    def zone_rates(self, item: str) -> dict[str, float]:
        """Return the requests per second for an item in each zone with demand for it."""
        rates = {zone: rate.read(self.now) for zone, rate in self.request_rates.get(item, {}).items()}
        return {zone: rate for zone, rate in rates.items() if rate > 0}

    def idle_ms(self, item: str) -> int:
        """Return the time in ms since the last request for an item."""
        return self.now - self.last_used.get(item, NEVER_USED)

    def in_use(self, item: str) -> bool:
        """Whether requests for an item are likely to be running still, judged by its last request."""
        return self.idle_ms(item) < min(MAX_IN_USE_MS, max(MIN_IN_USE_MS, 1.5 * self.service_ms))

    def find_hot_models(self) -> None:
        """Update the hot models with their zones and target copies, and drop rates that have expired."""
        hot: dict[str, HotModel] = {}
        for item, by_zone in list(self.request_rates.items()):
            if all(self.now - rate.last_requested_at > RATE_EXPIRY_MS for rate in by_zone.values()):
                del self.request_rates[item]
                continue
            if (
                "/" in item
                or sum(max(rate.slow_rate, rate.recent_rate) for rate in by_zone.values()) < COOL_RATE
            ):
                continue
            found = self.hot_model(item, by_zone)
            if found is not None:
                hot[item] = found
        self.measure_service_time()
        self.measure_model_times()
        self.hot_models = self.limit_to_memory(hot)

    def hot_model(self, model: str, by_zone: dict[str, Rate]) -> HotModel | None:
        """Return the demand for a hot model, else None; a hot model stays hot down to a lower rate."""
        rates = {zone: rate.read(self.now) for zone, rate in by_zone.items()}
        steady = sum(rates.values())
        total = max(steady, significant_rise(by_zone.values(), self.now))
        if total > steady > 0:
            rates = {zone: rate * total / steady for zone, rate in rates.items()}
        former = self.hot_models.get(model)
        busy = {
            zone
            for zone, n in rates.items()
            if n > (COOL_RATE if former and zone in former.zones else HOT_RATE)
        }
        zones = {zone for zone in busy if zone in self.usable_zones}
        if not zones and total <= (2 * COOL_RATE if former else 2 * HOT_RATE):
            return None
        return HotModel(zones, self.target_copies(model, zones, total), total)

    def limit_to_memory(self, hot: dict[str, HotModel]) -> dict[str, HotModel]:
        """Limit target copies to HOT_MEMORY_SHARE of all memory, with the hottest models first."""
        memory_mb = sum(
            self.catalog.services[replica.service].memory_mb
            for replica in self.replicas.values()
            if replica.has_engine and self.usable(replica)
        )
        out: dict[str, HotModel] = {}
        left = HOT_MEMORY_SHARE * memory_mb
        for model, found in sorted(hot.items(), key=lambda entry: -entry[1].rate):
            services = self.catalog.services_of.get(model, ())
            weights_mb = max((s.models[model].weights_mb for s in services), default=1)
            copies = max(1, min(found.target_copies, int(left // weights_mb)))
            left = max(0, left - copies * weights_mb)
            out[model] = HotModel(found.zones, copies, found.rate)
        return out

    def measure_service_time(self) -> None:
        """Update the mean run time: total run time by number of started requests, both decaying."""
        if self.started_requests > MIN_STARTED_REQUESTS:
            self.service_ms = min(
                MAX_SERVICE_MS, max(MIN_SERVICE_MS, self.total_run_ms / self.started_requests)
            )
        fading = math.exp((self.service_measured_at - self.now) / SLOW_DECAY_MS)
        self.started_requests *= fading
        self.total_run_ms *= fading
        self.service_measured_at = self.now

    def measure_model_times(self) -> None:
        """Update the run time of requests of each model.

        The requests that run on a replica are divided among its models in proportion to what each is expected
        to run there, so that a slow model is not assumed to be as quick as the others on its replica.
        """
        rates = {model: rate for model in self.serving_ids if (rate := self.model_rate(model)) >= COOL_RATE}
        expected = {model: rate * self.model_time_ms(model) for model, rate in rates.items()}
        running = dict.fromkeys(rates, 0.0)
        for replica in self.replicas.values():
            here = {m: expected[m] / len(self.serving_ids[m]) for m in replica.models if m in expected}
            total = sum(here.values())
            for model, part in here.items():
                running[model] += self.running_requests(replica) * part / total
        for model, rate in rates.items():
            measured_ms = min(MAX_SERVICE_MS, max(MIN_SERVICE_MS, 1000 * running[model] / rate))
            former_ms = self.model_time_ms(model)
            smoothed_ms = MODEL_TIME_SMOOTHING * former_ms + (1 - MODEL_TIME_SMOOTHING) * measured_ms
            self.model_times_ms[model] = smoothed_ms

    def model_rate(self, item: str) -> float:
        """Return the requests per second for a model; 0 for an adapter, which counts for its model."""
        return 0.0 if "/" in item else self.request_rate(item)

    def model_time_ms(self, model: str) -> float:
        """Return the measured run time in ms of requests of a model, else the mean of all models."""
        return self.model_times_ms.get(model, self.service_ms)

    def target_copies(self, model: str, zones: set[str], rate: float) -> int:
        """Return the target number of copies: one per hot zone, and enough for MAX_RUNNING_PER_COPY.

        That limit is far below a replica's slots, since concurrent requests slow each other down.
        """
        slots = min((s.slots for s in self.catalog.services_of.get(model, ())), default=1)
        running = rate * min(MAX_COUNTED_RUN_MS, self.model_time_ms(model)) / 1000
        return max(MIN_HOT_COPIES, len(zones), math.ceil(running / min(MAX_RUNNING_PER_COPY, slots)))
