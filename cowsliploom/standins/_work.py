"""How long a call takes on the stand-in, and what goes wrong with it."""

import math
from dataclasses import dataclass
from random import Random

from cowsliploom.standins._server_settings import (
    ErrorFault,
    ServerFaults,
    ServerSettings,
    SlowFault,
)


@dataclass(frozen=True, slots=True)
class Work:
    """Hold what a call costs and how it ends.

    Parameters
    ----------
    duration_ms : float
        Time in the slot, in milliseconds.
    fails : bool
        Ends with status 500.
    crossed : bool
        Its reply is crossed.
    late : bool
        Its reply is held back.
    """

    duration_ms: float
    fails: bool = False
    crossed: bool = False
    late: bool = False


def plan_work(
    settings: ServerSettings,
    faults: ServerFaults,
    route: str,
    busy: int,
    randomness: Random,
) -> Work:
    """Draw a call's work; the call itself counts in ``busy``."""
    duration_ms = randomness.lognormvariate(
        math.log(max(settings.latency_ms, 0.001)), settings.latency_sigma
    )
    for slow in faults.slow:
        if _strikes(slow, route, busy, randomness):
            duration_ms = duration_ms * slow.factor + slow.extra_ms
    error = _first_error(faults, route, busy, randomness)
    return Work(
        duration_ms=0 if error and error.fast else duration_ms,
        fails=error is not None,
        crossed=randomness.random() < faults.crossed_share,
        late=randomness.random() < faults.late_share,
    )


def _first_error(
    faults: ServerFaults, route: str, busy: int, randomness: Random
) -> ErrorFault | None:
    striking = (
        error for error in faults.errors if _strikes(error, route, busy, randomness)
    )
    return next(striking, None)


def _strikes(
    fault: SlowFault | ErrorFault, route: str, busy: int, randomness: Random
) -> bool:
    if fault.route and fault.route != route:
        return False
    return busy >= fault.busy_min and randomness.random() < fault.share
