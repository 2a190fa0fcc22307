"""What the checks of the JSON API's simulator need of a run beside its trace."""

import dataclasses
import typing

import basaltport.simulation.service_level as service_level

AgreedState = typing.Any
"""What members agree to."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckFacts:
    """`groups`: of the configuration, by name; `loads`: loads from the store at once; `allowance`: resends
    allowed beside a fifth; `blank`: all members lost their memory, so repeats by key are not judged;
    `pieces`: those of a whole stream; `final`: the agreed state at the end, or None without a leader."""

    groups: dict[str, dict[str, typing.Any]]
    loads: int
    allowance: int
    served: list[service_level.ServedSpan]
    blank: bool
    pieces: int
    final: AgreedState
