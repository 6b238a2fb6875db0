"""What a service's old version does on one route: its rates and its p95."""

import math
from collections import deque
from dataclasses import dataclass

from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._baseline_latency import USUAL_CALLS, Usual, usual_of

WINDOW_CALLS = 1000  # calls of the old version that make its usual rates
RECENT_CALLS = 40  # the latest calls, so that a fault of both versions shows
SPREAD = 2.0  # standard deviations added for the few calls there are
ERROR_MARGIN = 0.01  # more errors than this above the old version are bad
SLOW_MARGIN = 0.05  # more slow calls than this above the old version are bad
STALE_MS = 10_000  # without calls of the old version its rates become old
STALE_FACTOR = 3  # wider margins against old rates
RATE_MIN = 0.001  # a rate of zero would make one bad call infinite evidence
RATE_MAX = 0.95  # a version that always fails is bad whatever the old one does
LATENCIES_MAX = 256  # latest good calls that make the p95
LATENCIES_MIN = 10  # fewer don't give a p95
LATENCIES_RENEWED = 10  # new calls that make the p95 worth computing again
QUANTILE = 0.95


@dataclass(frozen=True, slots=True)
class AllowedRates:
    """Hold the rates of bad calls that are still no reason for a veto."""

    errors: float
    slow: float


class LatencyThreshold:
    """Tell slow calls by the old version's recent 95th percentile on a route."""

    def __init__(self) -> None:
        self._latencies_ms: deque[float] = deque(maxlen=LATENCIES_MAX)
        self._fresh = 0
        self._threshold_ms = math.inf
        self._usual = Usual()

    def record(self, elapsed_ms: float) -> None:
        """Take a good call of the old version."""
        self._latencies_ms.append(elapsed_ms)
        self._fresh += 1
        known = len(self._latencies_ms)
        if known >= LATENCIES_MIN and self._fresh >= LATENCIES_RENEWED:
            self._fresh = 0
            ranked = sorted(self._latencies_ms)
            self._threshold_ms = ranked[int(QUANTILE * (known - 1))]
        if known <= USUAL_CALLS:
            self._usual = usual_of(self._latencies_ms)

    @property
    def usual(self) -> Usual:
        """Return the percentile over the first calls that were seen."""
        return self._usual

    def is_known(self) -> bool:
        """Tell whether there were enough calls."""
        return math.isfinite(self._threshold_ms)

    def is_slow(self, elapsed_ms: float) -> bool:
        """Tell whether a call is slower than the old version's p95."""
        return elapsed_ms > self._threshold_ms


class Baseline:
    """Hold the old version's rates over its latest calls on one route.

    Notes
    -----
    The window counts calls, not time: it stays as it was when the old version
    gets no more traffic, so that a version can be judged after its move is done.
    """

    def __init__(self) -> None:
        self._blocks: deque[Counts] = deque()
        self._total = Counts()
        self._updated_ms = -math.inf

    def add(self, now_ms: float, counts: Counts) -> None:
        """Take a block of the old version's calls."""
        if not counts.calls:
            return
        self._blocks.append(counts)
        self._total += counts
        self._updated_ms = now_ms
        while self._total.calls - self._blocks[0].calls >= WINDOW_CALLS:
            self._total = self._total - self._blocks.popleft()

    def is_known(self) -> bool:
        """Tell whether the old version was seen at all."""
        return bool(self._total.calls)

    def allowed(self, now_ms: float) -> AllowedRates:
        """Return the rates up to which the new version is not worse."""
        stale = now_ms > self._updated_ms + STALE_MS
        widen = STALE_FACTOR if stale else 1
        usual, recent = self._total, self._recent()
        errors = max(
            _upper(usual.errors, usual.calls), _rate(recent.errors, recent.calls)
        )
        slow = max(_upper(usual.slow, usual.timed), _rate(recent.slow, recent.timed))
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
    """Return an upper bound on a rate, wider the fewer calls there are."""
    if not calls:
        return RATE_MAX
    return min(RATE_MAX, (bad + SPREAD * math.sqrt(bad + 1)) / calls)


def _rate(bad: int, calls: int) -> float:
    return bad / calls if calls else 0


def _clamp(rate: float) -> float:
    return min(RATE_MAX, max(RATE_MIN, rate))
