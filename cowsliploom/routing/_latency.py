"""Quantiles of a service's recent latency."""

from dataclasses import dataclass

SAMPLES_KEPT = 96  # enough for a 0.9 quantile, few enough to adapt to changes
SAMPLES_MIN = 8  # quantiles of fewer samples are unreliable
MERGE_MIN = 4  # pending samples before the first quantiles are computed
MERGE_MAX = 16  # pending samples between two sorts, to amortise their cost
MERGE_PART = 4  # merge when pending samples reach a quarter of those kept


@dataclass(frozen=True, slots=True)
class LatencyWindow:
    """Sliding window of the latest latency samples of one service.

    Parameters
    ----------
    samples : tuple of float
        Samples in order of arrival, in milliseconds, at most ``SAMPLES_KEPT``.
    pending : tuple of float
        Samples not yet included in the quantiles.
    ordered : tuple of float
        ``samples`` in ascending order.

    Notes
    -----
    Unlike an HDR histogram, a window drops old samples, and it reads a quantile
    with one index. The cost of the sort is spread over up to ``MERGE_MAX`` samples.

    Examples
    --------
    >>> window = LatencyWindow()
    >>> for elapsed_ms in range(1, 9):
    ...     window = add_sample(window, elapsed_ms)
    >>> window.quantile(0.5, default_ms=50)
    4
    """

    samples: tuple[float, ...] = ()
    pending: tuple[float, ...] = ()
    ordered: tuple[float, ...] = ()

    def quantile(self, ratio: float, default_ms: float) -> float:
        """Return a quantile, or the default if there are too few samples."""
        count = len(self.ordered)
        if count < SAMPLES_MIN:
            return default_ms
        return self.ordered[int(ratio * (count - 1))]


def add_sample(window: LatencyWindow, elapsed_ms: float) -> LatencyWindow:
    """Return the window with one more sample."""
    pending = (*window.pending, elapsed_ms)
    merge_at = min(MERGE_MAX, max(MERGE_MIN, len(window.samples) // MERGE_PART))
    if len(pending) < merge_at:
        return LatencyWindow(window.samples, pending, window.ordered)
    samples = (*window.samples, *pending)[-SAMPLES_KEPT:]
    return LatencyWindow(samples, (), tuple(sorted(samples)))
