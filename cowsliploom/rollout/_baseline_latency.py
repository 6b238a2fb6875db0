"""What the old version usually took, as all daemons together have seen it."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

FAR_SLOWER = 1.5  # times the usual p95; several times is bad, load alone does less
COLD_SLOWER = 2.5  # times that while the server is cold
CALLS_MIN = 10  # fewer don't tell what is usual
USUAL_CALLS = 32  # the first calls, most of them from before the move
QUANTILE = 0.95
TAIL_RATIO = 3.0  # of p95 to median; more is trouble that came before the move


@dataclass(frozen=True, slots=True)
class Usual:
    """Hold a p95 of the old version, and the calls that it was taken from."""

    p95_ms: float = math.inf
    calls: int = 0


def usual_of(latencies_ms: Collection[float]) -> Usual:
    """Return what is usual by some calls.

    Examples
    --------
    >>> usual_of([1, 2, 3, 50])
    Usual(p95_ms=9.0, calls=4)
    """
    calls = len(latencies_ms)
    ranked = sorted(latencies_ms)
    tail_ms = ranked[int(QUANTILE * calls)]
    return Usual(min(tail_ms, TAIL_RATIO * ranked[calls // 2]), calls)


def pooled(seen: Iterable[Usual]) -> Usual:
    """Return the mean of percentiles, weighted by their calls.

    Examples
    --------
    >>> pooled([Usual(10, 8), Usual(20, 8)])
    Usual(p95_ms=15.0, calls=16)
    """
    known = tuple(one for one in seen if one.calls)
    calls = sum(one.calls for one in known)
    if not calls:
        return Usual()
    return Usual(sum(one.p95_ms * one.calls for one in known) / calls, calls)


class UsualTimes:
    """Tell far slower calls by what was usual before the move.

    Notes
    -----
    What the store holds with the move's state goes first, as it comes from all
    daemons; a daemon that has just started knows nothing else.
    """

    def __init__(self) -> None:
        self._given_ms: Mapping[str, float] = {}

    def give(self, usual_ms: Mapping[str, float]) -> None:
        """Take what is usual on each route, as the move's state has it."""
        self._given_ms = usual_ms

    def known_ms(self, route: str, own: Usual) -> float:
        """Return what is usual on a route; infinite while that isn't known."""
        given_ms = self._given_ms.get(route)
        if given_ms is not None:
            return given_ms
        return own.p95_ms if own.calls >= CALLS_MIN else math.inf


def is_far_slower(elapsed_ms: float, usual_ms: float, cold: bool) -> bool:
    """Tell whether an answer took far longer than is usual."""
    bound_ms = FAR_SLOWER * usual_ms
    if cold:
        bound_ms *= COLD_SLOWER
    return elapsed_ms > bound_ms
