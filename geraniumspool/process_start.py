"""Start time of this process; to be imported before modules that take long to load.

Leases and claims that the previous incarnation of the process left behind expire a fixed
time after this one started. The clock is that of :class:`~geraniumspool.clock.SystemClock`.
"""

import time

from geraniumspool.units import MS_PER_SECOND

# CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, includes the time for which the host was suspended;
# leases that other processes hold expire meanwhile.
STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
PROCESS_STARTED_MS = time.clock_gettime(STEADY_CLOCK) * MS_PER_SECOND
