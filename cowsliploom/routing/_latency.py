"""Quantiles of a service's recent latency."""

from dataclasses import dataclass

SAMPLES_KEPT = 96  # enough for a 0.9 quantile, few enough to follow a change
SAMPLES_MIN = 8  # quantiles of fewer samples mislead
MERGE_MIN = 4  # samples gathered before the first quantiles are computed
MERGE_MAX = 16  # samples gathered between two computations, to spread the sort
MERGE_PART = 4  # fold once a quarter of the samples kept is new


@dataclass(frozen=True, slots=True)
class LatencyWindow:
    """Hold the latest samples of one service.

    Parameters
    ----------
    samples : tuple of float
        Samples in order of arrival, in milliseconds, at most ``SAMPLES_KEPT``.
    pending : tuple of float
        Samples that the quantiles do not cover yet.
    ordered : tuple of float
        ``samples`` in ascending order.

    Notes
    -----
    A window forgets, as an HDR histogram doesn't, and reads a quantile by one
    index. The sort is spread over ``FOLD_MAX`` samples.

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
        """Return a quantile, or the default while there are too few samples."""
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
