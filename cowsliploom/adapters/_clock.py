"""Clocks of the operating system."""

import time

NS_PER_MS = 1_000_000
MS_PER_S = 1000


class SystemClock:
    """Read the operating system's clocks.

    Notes
    -----
    The monotonic clock is the boot-time one where there is one, so that a lease
    also runs out while the VM is suspended.
    """

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS

    def wall_ms(self) -> float:
        """Return milliseconds since the epoch."""
        return time.time() * MS_PER_S
