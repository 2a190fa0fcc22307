"""When this process began, on the clock of `kinds.steady`. Programs import this module before all else."""

import time

NS_IN_MS = 1_000_000
AT_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_IN_MS
