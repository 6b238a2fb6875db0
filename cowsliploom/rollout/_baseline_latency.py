"""Latency of the old version at the start of a move, pooled over all daemons."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

# Multiple of the baseline p95; load alone slows answers by less, a bad version by more.
FAR_SLOWER_RATIO = 1.5
COLD_SLOWER_RATIO = 2.5  # additional multiple while the server is cold
CALLS_MIN = 10  # calls needed for a baseline
BASELINE_CALLS = 32  # the first calls, most of them from before the move
QUANTILE = 0.95
TAIL_RATIO = 3.0  # of p95 to median; a longer tail is a fault that precedes the move


@dataclass(frozen=True, slots=True)
class BaselineLatency:
    """Hold a p95 of the old version and the number of calls behind it."""

    p95_ms: float = math.inf
    calls: int = 0


def baseline_of(latencies_ms: Collection[float]) -> BaselineLatency:
    """Return the baseline of a sample of latencies.

    Examples
    --------
    >>> baseline_of([1, 2, 3, 50])
    BaselineLatency(p95_ms=9.0, calls=4)
    """
    calls = len(latencies_ms)
    ranked = sorted(latencies_ms)
    tail_ms = ranked[int(QUANTILE * calls)]
    return BaselineLatency(min(tail_ms, TAIL_RATIO * ranked[calls // 2]), calls)


def pooled(parts: Iterable[BaselineLatency]) -> BaselineLatency:
    """Return the mean of the percentiles, weighted by their calls.

    Examples
    --------
    >>> pooled([BaselineLatency(10, 8), BaselineLatency(20, 8)])
    BaselineLatency(p95_ms=15.0, calls=16)
    """
    known = tuple(part for part in parts if part.calls)
    calls = sum(part.calls for part in known)
    if not calls:
        return BaselineLatency()
    return BaselineLatency(
        sum(part.p95_ms * part.calls for part in known) / calls, calls
    )


class BaselineLatencies:
    """Hold the old version's latency on each route from before the move.

    Notes
    -----
    The values stored with the move's state take precedence, as they come from all
    daemons; a daemon that has just started has no values of its own.
    """

    def __init__(self) -> None:
        self._shared_ms: Mapping[str, float] = {}

    def set_shared(self, baseline_ms: Mapping[str, float]) -> None:
        """Set the baselines by route that are stored with the move's state."""
        self._shared_ms = baseline_ms

    def baseline_ms(self, route: str, own: BaselineLatency) -> float:
        """Return the baseline of a route in ms; infinite while it is unknown."""
        shared_ms = self._shared_ms.get(route)
        if shared_ms is not None:
            return shared_ms
        return own.p95_ms if own.calls >= CALLS_MIN else math.inf


def is_far_slower(elapsed_ms: float, baseline_ms: float, cold: bool) -> bool:
    """Return whether an answer took far longer than the baseline."""
    bound_ms = FAR_SLOWER_RATIO * baseline_ms
    if cold:
        bound_ms *= COLD_SLOWER_RATIO
    return elapsed_ms > bound_ms
