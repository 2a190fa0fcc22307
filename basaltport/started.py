"""The time at which this process started, on the clock of `identifiers.steady`.

Programs import this module before any other, so that the time is not that of a later import.
"""

import time

NS_PER_MS = 1_000_000
STARTED_AT_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS
