"""Error rate, slow rate and recent p95 of a service's old version on one route."""

import math
from collections import deque
from dataclasses import dataclass

from cowsliploom.rollout._baseline_latency import (
    BASELINE_CALLS,
    BaselineLatency,
    baseline_of,
)
from cowsliploom.rollout._counts import Counts

WINDOW_CALLS = 1000  # calls of the old version behind its baseline rates
RECENT_CALLS = 40  # the latest calls, so that a fault of both versions shows
BOUND_DEVIATIONS = 2.0  # standard deviations added, as the calls are few
ERROR_MARGIN = 0.01  # tolerated error rate above the old version's
SLOW_MARGIN = 0.05  # tolerated rate of slow calls above the old version's
STALE_MS = 10_000  # without calls of the old version its rates are stale then
STALE_FACTOR = 3  # widens the margins against stale rates
RATE_MIN = 0.001  # a rate of zero would make one bad call infinite evidence
RATE_MAX = 0.95  # a version that always fails is bad whatever the old one does
LATENCIES_MAX = 256  # latest successful calls behind the p95
LATENCIES_MIN = 10  # calls needed for a p95
LATENCIES_PER_UPDATE = 10  # new calls after which the p95 is computed again
QUANTILE = 0.95


@dataclass(frozen=True, slots=True)
class AllowedRates:
    """Hold the highest rates of bad calls that don't count against a version."""

    errors: float
    slow: float


class LatencyThreshold:
    """Classify calls as slow by the old version's recent p95 on a route."""

    def __init__(self) -> None:
        self._latencies_ms: deque[float] = deque(maxlen=LATENCIES_MAX)
        self._since_update = 0
        self._threshold_ms = math.inf
        self._baseline = BaselineLatency()

    def record(self, elapsed_ms: float) -> None:
        """Record a successful call of the old version."""
        self._latencies_ms.append(elapsed_ms)
        self._since_update += 1
        known = len(self._latencies_ms)
        if known >= LATENCIES_MIN and self._since_update >= LATENCIES_PER_UPDATE:
            self._since_update = 0
            ranked = sorted(self._latencies_ms)
            self._threshold_ms = ranked[int(QUANTILE * (known - 1))]
        if known <= BASELINE_CALLS:
            self._baseline = baseline_of(self._latencies_ms)

    @property
    def baseline(self) -> BaselineLatency:
        """Return the p95 over the first calls on the route."""
        return self._baseline

    def is_known(self) -> bool:
        """Return whether there were enough calls for a threshold."""
        return math.isfinite(self._threshold_ms)

    def is_slow(self, elapsed_ms: float) -> bool:
        """Return whether a call is slower than the old version's p95."""
        return elapsed_ms > self._threshold_ms


class BaselineRates:
    """Hold the old version's rates over its latest calls on one route.

    Notes
    -----
    The window is a number of calls rather than a time span: it stays as it is when
    the old version gets no more traffic, so that the new version can still be judged
    after the move.
    """

    def __init__(self) -> None:
        self._blocks: deque[Counts] = deque()
        self._total = Counts()
        self._updated_ms = -math.inf

    def add(self, now_ms: float, counts: Counts) -> None:
        """Add a block of the old version's calls."""
        if not counts.calls:
            return
        self._blocks.append(counts)
        self._total += counts
        self._updated_ms = now_ms
        while self._total.calls - self._blocks[0].calls >= WINDOW_CALLS:
            self._total = self._total - self._blocks.popleft()

    def is_known(self) -> bool:
        """Return whether any call of the old version was recorded."""
        return bool(self._total.calls)

    def allowed(self, now_ms: float) -> AllowedRates:
        """Return the rates up to which the new version is not considered worse."""
        stale = now_ms > self._updated_ms + STALE_MS
        widen = STALE_FACTOR if stale else 1
        window, recent = self._total, self._recent()
        errors = max(
            _upper(window.errors, window.calls), _rate(recent.errors, recent.calls)
        )
        slow = max(_upper(window.slow, window.timed), _rate(recent.slow, recent.timed))
        return AllowedRates(
            errors=_clamp(errors + ERROR_MARGIN * widen),
            slow=_clamp(slow + SLOW_MARGIN * widen),
        )

    def _recent(self) -> Counts:
        recent = Counts()
        for block in reversed(self._blocks):
            recent += block
            if recent.calls >= RECENT_CALLS:
                break
        return recent


def _upper(bad: int, calls: int) -> float:
    """Return an upper bound on a rate; fewer calls give a wider bound."""
    if not calls:
        return RATE_MAX
    return min(RATE_MAX, (bad + BOUND_DEVIATIONS * math.sqrt(bad + 1)) / calls)


def _rate(bad: int, calls: int) -> float:
    return bad / calls if calls else 0


def _clamp(rate: float) -> float:
    return min(RATE_MAX, max(RATE_MIN, rate))
