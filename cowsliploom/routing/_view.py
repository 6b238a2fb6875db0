"""Latency and error statistics of one backend server, from local calls."""

from dataclasses import dataclass

HALF_LIFE_MS = 5000  # of the weight of statistics that are not updated
DECAY_AFTER_MS = 250  # younger statistics have full weight
UNKNOWN_ERROR_RATIO = 0.1  # neither good nor bad
ERROR_COST = 20  # a server that fails every call costs 21 times a good one
LATENCY_WEIGHT = 0.125  # weight of one sample in the moving average
BASELINE_WEIGHT = 0.02  # the baseline averages over about 50 samples
ERROR_WEIGHT = 0.25  # a few consecutive failures dominate the ratio
OUTLIER_RATIO = 4  # caps samples, so that one straggler does not change the choice
BASELINE_OUTLIER_RATIO = 2  # keeps sudden slowness out of the baseline
SLOW_RATIO = 2.5  # above the effect of a short queue at the server
VERY_SLOW_RATIO = 5  # above the effect of overload within the limits
RECENT_BITS = 8  # recent calls checked for slowness
RECENT_MASK = 255
SUSPECT_CALLS = 3  # slow recent calls; half of SLOW_CALLS
SLOW_CALLS = 6  # at 5% stragglers, false positives are one in millions


@dataclass(frozen=True, slots=True)
class ServerView:
    """Local statistics of one backend server.

    Parameters
    ----------
    latency_ms, baseline_ms : float
        Moving averages over about 10 and about 50 calls; 0 when unknown.
    error_ratio : float
        Moving average of failed calls, from 0 to 1.
    updated_ms : float
        Time of the last update.
    slow_bits, very_slow_bits : int
        One bit for each recent call, set where the call was slow.
    """

    latency_ms: float = 0
    baseline_ms: float = 0
    error_ratio: float = UNKNOWN_ERROR_RATIO
    updated_ms: float = 0
    slow_bits: int = 0
    very_slow_bits: int = 0

    @property
    def is_slow(self) -> bool:
        """Return whether most recent calls were slow."""
        return self.slow_bits.bit_count() >= SLOW_CALLS

    @property
    def is_suspect(self) -> bool:
        """Return whether more recent calls were slow than stragglers explain."""
        return self.slow_bits.bit_count() >= SUSPECT_CALLS

    @property
    def is_very_slow(self) -> bool:
        """Return whether most recent calls were very slow."""
        return self.very_slow_bits.bit_count() >= SLOW_CALLS


def observe_success(view: ServerView, elapsed_ms: float, now_ms: float) -> ServerView:
    """Return the statistics after an answered call."""
    baseline_ms = view.baseline_ms
    if not baseline_ms:
        error_ratio = view.error_ratio * (1 - ERROR_WEIGHT)
        return ServerView(elapsed_ms, elapsed_ms, error_ratio, now_ms)
    sample_ms = min(elapsed_ms, view.latency_ms * OUTLIER_RATIO)
    baseline_sample_ms = min(elapsed_ms, baseline_ms * BASELINE_OUTLIER_RATIO)
    slow = elapsed_ms > baseline_ms * SLOW_RATIO
    very_slow = elapsed_ms > baseline_ms * VERY_SLOW_RATIO
    return ServerView(
        view.latency_ms + (sample_ms - view.latency_ms) * LATENCY_WEIGHT,
        baseline_ms + (baseline_sample_ms - baseline_ms) * BASELINE_WEIGHT,
        view.error_ratio * (1 - ERROR_WEIGHT),
        now_ms,
        (view.slow_bits << 1 | slow) & RECENT_MASK,
        (view.very_slow_bits << 1 | very_slow) & RECENT_MASK,
    )


def is_very_slow(view: ServerView, elapsed_ms: float) -> bool:
    """Return whether a call took far longer than the baseline latency."""
    return elapsed_ms > view.baseline_ms * VERY_SLOW_RATIO


def observe_failure(view: ServerView, now_ms: float) -> ServerView:
    """Return the statistics after a failed call, whose latency is not counted."""
    error_ratio = view.error_ratio + (1 - view.error_ratio) * ERROR_WEIGHT
    return ServerView(
        view.latency_ms,
        view.baseline_ms,
        error_ratio,
        now_ms,
        view.slow_bits,
        view.very_slow_bits,
    )


def clear_slow_calls(view: ServerView) -> ServerView:
    """Return the statistics with no recent call marked as slow."""
    return ServerView(
        view.latency_ms, view.baseline_ms, view.error_ratio, view.updated_ms
    )


def expected_cost(
    view: ServerView, in_flight: int, typical_ms: float, now_ms: float
) -> float:
    """Return the expected cost of one more call, in milliseconds.

    Parameters
    ----------
    view : ServerView
        Statistics of the server.
    in_flight : int
        Calls in flight from this entry VM to the server.
    typical_ms : float
        Median latency of the service, used for an unknown server.
    now_ms : float
        Current time, in milliseconds.

    Notes
    -----
    Old statistics decay towards unknown, never towards good: a server that failed
    is not preferred again just because it received no calls. Errors multiply the
    cost, so that a server that fails fast does not attract traffic.
    """
    age_ms = now_ms - view.updated_ms
    latency_ms = view.latency_ms or typical_ms
    error_ratio = view.error_ratio
    if age_ms > DECAY_AFTER_MS:
        weight = 0.5 ** (age_ms / HALF_LIFE_MS)
        latency_ms = typical_ms + (latency_ms - typical_ms) * weight
        error_ratio = UNKNOWN_ERROR_RATIO + (error_ratio - UNKNOWN_ERROR_RATIO) * weight
    return (in_flight + 1) * latency_ms * (1 + ERROR_COST * error_ratio)
