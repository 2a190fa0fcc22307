"""What share of requests must be served, and when."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServedSpan:
    """Of the requests that were sent from `start_ms` to before `end_ms`, at least `share` must be served."""

    start_ms: int
    end_ms: int
    share: float
