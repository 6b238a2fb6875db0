"""Recent latency, from which the hedge delay is computed."""

from bisect import bisect_left, insort
from collections import deque

SAMPLES_KEPT = 128
SAMPLES_MIN = 8


class RecentLatency:
    """Keep the latest samples sorted, so that a quantile is one index look-up.

    Parameters
    ----------
    default_ms : float
        Result of ``quantile`` while there are too few samples.

    Examples
    --------
    >>> recent = RecentLatency(default_ms=30)
    >>> for elapsed_ms in range(1, 11):
    ...     recent.add(elapsed_ms)
    >>> recent.quantile(0.5)
    5
    """

    def __init__(self, default_ms: float) -> None:
        self.default_ms = default_ms
        self._arrived: deque[float] = deque()
        self._ordered: list[float] = []

    def add(self, elapsed_ms: float) -> None:
        """Add a sample; drop the oldest one if the limit is reached."""
        if len(self._arrived) >= SAMPLES_KEPT:
            oldest = self._arrived.popleft()
            self._ordered.pop(bisect_left(self._ordered, oldest))
        self._arrived.append(elapsed_ms)
        insort(self._ordered, elapsed_ms)

    def quantile(self, ratio: float) -> float:
        """Return a quantile in milliseconds."""
        count = len(self._ordered)
        if count < SAMPLES_MIN:
            return self.default_ms
        return self._ordered[int(ratio * (count - 1))]
