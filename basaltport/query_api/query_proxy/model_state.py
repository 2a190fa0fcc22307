"""What a query node knows of an item."""

import dataclasses

LOADED = "loaded"
LOADING = "loading"
LONG_AGO = -(10**9)


@dataclasses.dataclass(slots=True, eq=False)
class ModelState:
    """What a zone's controller last said of an item, and the last sign that it served.

    Times on the node's clock and durations, in milliseconds; `serving_since` and `last_served_at` are None
    where it is not known to serve."""

    state: str = ""
    kept: bool = False
    idle_window_ms: int = 0
    expected_load_ms: int = 0
    serving_since: int | None = None
    last_served_at: int | None = None
    reason: str = ""
    last_load_ms: int | None = None
    loading_since: int = 0
    asked_at: int = LONG_AGO
