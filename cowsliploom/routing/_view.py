"""What this entry VM has seen of one backend server itself."""

from dataclasses import dataclass

HALF_LIFE_MS = 5000  # an old view counts half as much after this time
DECAY_AFTER_MS = 250  # a view younger than this is taken whole
UNKNOWN_ERROR_RATIO = 0.1  # neither good nor bad
ERROR_COST = 20  # a server that fails every call costs as much as 21 good ones
LATENCY_WEIGHT = 0.125  # one sample's part in the latency
BASELINE_WEIGHT = 0.02  # the baseline follows over some fifty samples
ERROR_WEIGHT = 0.25  # a few failures in a row are enough
OUTLIER_RATIO = 4  # one straggler must not turn the choice of replica
BASELINE_OUTLIER_RATIO = 2  # sudden slowness must not become the baseline
SLOW_RATIO = 2.5  # slower than a short queue at the server explains
VERY_SLOW_RATIO = 5  # slower than overload explains within the limits
RECENT_BITS = 8  # calls looked at for slowness
RECENT_MASK = 255
SUSPECT_CALLS = 3  # of the recent ones; half of what makes a server slow
SLOW_CALLS = 6  # of the recent ones; stragglers of 5% reach it once in millions


@dataclass(frozen=True, slots=True)
class ServerView:
    """Hold an entry VM's own view of one backend server.

    Parameters
    ----------
    latency_ms, baseline_ms : float
        Moving averages over some ten and some fifty calls; 0 when unknown.
    error_ratio : float
        Moving average of failed calls, from 0 to 1.
    updated_ms : float
        Time of the last call that counted.
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
        """Tell whether most recent calls were slow."""
        return self.slow_bits.bit_count() >= SLOW_CALLS

    @property
    def is_suspect(self) -> bool:
        """Tell whether more recent calls were slow than stragglers explain."""
        return self.slow_bits.bit_count() >= SUSPECT_CALLS

    @property
    def is_very_slow(self) -> bool:
        """Tell whether most recent calls were very slow."""
        return self.very_slow_bits.bit_count() >= SLOW_CALLS


def observe_success(view: ServerView, elapsed_ms: float, now_ms: float) -> ServerView:
    """Return the view after a call that was answered."""
    baseline_ms = view.baseline_ms
    if not baseline_ms:
        error_ratio = view.error_ratio * (1 - ERROR_WEIGHT)
        return ServerView(elapsed_ms, elapsed_ms, error_ratio, now_ms)
    sample_ms = min(elapsed_ms, view.latency_ms * OUTLIER_RATIO)
    steady_ms = min(elapsed_ms, baseline_ms * BASELINE_OUTLIER_RATIO)
    slow = elapsed_ms > baseline_ms * SLOW_RATIO
    very_slow = elapsed_ms > baseline_ms * VERY_SLOW_RATIO
    return ServerView(
        view.latency_ms + (sample_ms - view.latency_ms) * LATENCY_WEIGHT,
        baseline_ms + (steady_ms - baseline_ms) * BASELINE_WEIGHT,
        view.error_ratio * (1 - ERROR_WEIGHT),
        now_ms,
        (view.slow_bits << 1 | slow) & RECENT_MASK,
        (view.very_slow_bits << 1 | very_slow) & RECENT_MASK,
    )


def is_very_slow(view: ServerView, elapsed_ms: float) -> bool:
    """Tell whether a call took far longer than the server used to take."""
    return elapsed_ms > view.baseline_ms * VERY_SLOW_RATIO


def observe_failure(view: ServerView, now_ms: float) -> ServerView:
    """Return the view after a failed call; its latency says nothing good."""
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
    """Return the view with no recent call marked as slow."""
    return ServerView(
        view.latency_ms, view.baseline_ms, view.error_ratio, view.updated_ms
    )


def expected_cost(
    view: ServerView, in_flight: int, typical_ms: float, now_ms: float
) -> float:
    """Return what one more call is expected to cost, in milliseconds.

    Parameters
    ----------
    view : ServerView
        Own view of the server.
    in_flight : int
        Calls of this entry VM at the server.
    typical_ms : float
        Typical latency of the service, which stands for an unknown server.
    now_ms : float
        Time, in milliseconds.

    Notes
    -----
    An old view decays towards unknown, never towards good: a server that failed
    is not trusted again just because nothing was sent to it. Failures multiply
    the cost, so that quick errors draw no traffic.
    """
    age_ms = now_ms - view.updated_ms
    latency_ms = view.latency_ms or typical_ms
    error_ratio = view.error_ratio
    if age_ms > DECAY_AFTER_MS:
        weight = 0.5 ** (age_ms / HALF_LIFE_MS)
        latency_ms = typical_ms + (latency_ms - typical_ms) * weight
        error_ratio = UNKNOWN_ERROR_RATIO + (error_ratio - UNKNOWN_ERROR_RATIO) * weight
    return (in_flight + 1) * latency_ms * (1 + ERROR_COST * error_ratio)
