"""Random durations and faults of calls on the stand-in."""

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
    """Duration and faults of a call.

    Parameters
    ----------
    duration_ms : float
        Time for which the call occupies its slot, in milliseconds.
    fails : bool
        Whether the call ends with status 500.
    mismatched : bool
        Whether the reply is mismatched.
    late : bool
        Whether the reply is delayed.
    """

    duration_ms: float
    fails: bool = False
    mismatched: bool = False
    late: bool = False


def plan_work(
    settings: ServerSettings,
    faults: ServerFaults,
    route: str,
    busy: int,
    randomness: Random,
) -> Work:
    """Draw the duration and faults of a call; ``busy`` includes its own slot."""
    duration_ms = randomness.lognormvariate(
        math.log(max(settings.latency_ms, 0.001)), settings.latency_sigma
    )
    for slow in faults.slow:
        if _applies(slow, route, busy, randomness):
            duration_ms = duration_ms * slow.factor + slow.extra_ms
    error = _first_error(faults, route, busy, randomness)
    return Work(
        duration_ms=0 if error and error.fast else duration_ms,
        fails=error is not None,
        mismatched=randomness.random() < faults.crossed_share,
        late=randomness.random() < faults.late_share,
    )


def _first_error(
    faults: ServerFaults, route: str, busy: int, randomness: Random
) -> ErrorFault | None:
    applicable = (
        error for error in faults.errors if _applies(error, route, busy, randomness)
    )
    return next(applicable, None)


def _applies(
    fault: SlowFault | ErrorFault, route: str, busy: int, randomness: Random
) -> bool:
    if fault.route and fault.route != route:
        return False
    return busy >= fault.busy_min and randomness.random() < fault.share
