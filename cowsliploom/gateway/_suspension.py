"""Time for which the whole machine was suspended, which its steady clock leaves out."""

import time
from collections.abc import Callable

GAP_MIN_MS = 400.0  # between the two clocks; less may be their reading
NS_PER_MS = 1_000_000


def boot_clock_ms() -> float:
    """Return the time since the machine's start, suspensions included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS


class Suspension:
    """Notice that the machine was suspended, by two clocks that run apart.

    Parameters
    ----------
    steady_ms : callable
        Clock that stands still meanwhile.
    boot_ms : callable
        Clock that goes on.

    Examples
    --------
    >>> clocks = {'steady': 0.0, 'boot': 1000.0}
    >>> suspension = Suspension(lambda: clocks['steady'], lambda: clocks['boot'])
    >>> clocks.update(steady=250.0, boot=6250.0)
    >>> suspension.missed_ms()
    5000.0
    >>> suspension.missed_ms()
    0
    """

    def __init__(
        self,
        steady_ms: Callable[[], float],
        boot_ms: Callable[[], float] = boot_clock_ms,
    ) -> None:
        self._steady_ms = steady_ms
        self._boot_ms = boot_ms
        self._apart_ms = boot_ms() - steady_ms()

    def missed_ms(self) -> float:
        """Return for how long the machine was suspended since the last call."""
        apart_ms = self._boot_ms() - self._steady_ms()
        missed_ms = apart_ms - self._apart_ms
        if missed_ms < GAP_MIN_MS:
            return 0
        self._apart_ms = apart_ms
        return missed_ms
