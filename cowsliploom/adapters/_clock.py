"""Clock port implemented with the operating system's clocks."""

import time

NS_PER_MS = 1_000_000
MS_PER_S = 1000


class SystemClock:
    """Read the operating system's clocks.

    Notes
    -----
    ``now_ms`` reads the boot-time clock, which also counts while the VM is
    suspended, so that a lease expires during suspension.
    """

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS

    def wall_ms(self) -> float:
        """Return milliseconds since the epoch."""
        return time.time() * MS_PER_S
