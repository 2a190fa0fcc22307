"""The bounds that a simulated deployment is run with and checked against."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timings:
    """Bounds in the unit that a name ends with, else shares or counts; see docs/design/platform.md for those
    that proxies read."""

    drain_ms: int = 3000
    """From when the list shows that a replica drains until no request is sent to it."""
    apply_ms: int = 2000
    """From an acknowledgement until every proxy in touch has the configuration."""
    back_ms: int = 250
    """The pause after which a client may come back."""
    grace_s: int = 8
    """How long a process that is asked to end may take."""
    lease_ms: int = 3000
    """How long a replica is ordered about by one controller alone."""
    retry_ratio: float = 0.2
    """Retries allowed, as a share of the requests of `retry_window_s`."""
    retry_window_s: int = 10
    retry_slack: int = 56
    """Retries allowed beside that share."""
    quota_window_s: int = 5
    """The span over which the requests of a tenant with a limit are counted."""
    quota_excess: float = 0.1
    """The share by which a tenant may exceed its limit."""
    quota_slack: int = 20
    """Requests of a tenant in such a span that are allowed beside that."""
    cold_excess: float = 1.5
    """The factor by which the rate of a cold replica may be exceeded."""
    cold_slack: int = 5
    """Requests in a second to a cold replica allowed beside that."""
    ceiling_window_s: int = 5
    """The span over which loads from the store are counted."""
    ceiling_excess: float = 1.1
    """The factor by which the store's rate limit may be exceeded."""
    ack_within_ms: int = 4000
    """From when a change is sent in calm until it is answered."""
    in_touch_ms: int = 3000
    """How long processes must reach each other to count as in touch."""
    recover_s: int = 12
    """From the end of a fault until requests are served again."""
    thaw_slack_ms: int = 300
    """How long a controller that was frozen or cut off may still send what it had begun."""
    evacuate_ms: int = 5000
    """From the acknowledgement of an evacuation until the zone gets no more requests."""
