"""What the checks need of a run beside its trace."""

import dataclasses
import typing

import basaltport.simulation.routes.timings as timings
import basaltport.simulation.service_level as service_level

Document = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RunFacts:
    """`final`: the configuration that is read back at the end, or None; `evacuated_zones`: those of the
    agreed state at the end, or None without a leader; `cold_rate`: requests a second that a cold replica may
    get; `loads_per_s`: the store's rate limit."""

    timings: timings.Timings
    final: Document | None
    evacuated_zones: list[str] | None
    served: list[service_level.ServedSpan]
    cold_rate: float
    loads_per_s: float
