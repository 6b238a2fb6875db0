"""Detection of machine suspensions, which the monotonic clock leaves out."""

import time
from collections.abc import Callable

# A smaller gap between the clocks may come from reading them one after the other.
GAP_MIN_MS = 400.0
NS_PER_MS = 1_000_000


def boot_clock_ms() -> float:
    """Return the time since the machine booted, suspensions included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS


class SuspensionDetector:
    """Measure suspensions by the drift between two clocks.

    Parameters
    ----------
    monotonic_ms : callable
        Clock that stops while the machine is suspended.
    boot_ms : callable
        Clock that also runs while the machine is suspended.

    Examples
    --------
    >>> clocks = {'monotonic': 0.0, 'boot': 1000.0}
    >>> detector = SuspensionDetector(
    ...     lambda: clocks['monotonic'], lambda: clocks['boot']
    ... )
    >>> clocks.update(monotonic=250.0, boot=6250.0)
    >>> detector.suspended_ms()
    5000.0
    >>> detector.suspended_ms()
    0
    """

    def __init__(
        self,
        monotonic_ms: Callable[[], float],
        boot_ms: Callable[[], float] = boot_clock_ms,
    ) -> None:
        self._monotonic_ms = monotonic_ms
        self._boot_ms = boot_ms
        self._offset_ms = boot_ms() - monotonic_ms()

    def suspended_ms(self) -> float:
        """Return how long the machine was suspended since the last call."""
        offset_ms = self._boot_ms() - self._monotonic_ms()
        suspended_ms = offset_ms - self._offset_ms
        if suspended_ms < GAP_MIN_MS:
            return 0
        self._offset_ms = offset_ms
        return suspended_ms
