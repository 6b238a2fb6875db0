"""Early admission of queries, by the wait they would meet."""

from dataclasses import dataclass

TIME_LEFT_RATIO = 0.25  # the slowest of many services waits up to four times as long
INTERVAL_WEIGHT = 0.1  # some ten departures decide
RAISE_RATIO = 1.25  # an expired wait shows the estimate as too low
LOWER_RATIO = 0.98  # a served wait lets it come down again, slowly
CORRECTION_MAX = 16  # no estimate is corrected further than this


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Correct a computed wait by what earlier ones came to.

    Parameters
    ----------
    pessimism : float
        Factor on the computed wait, at least 1.
    """

    correction: float = 1

    def wait_ms(self, ahead: int, interval_ms: float) -> float:
        """Return the expected wait in a queue, in milliseconds.

        Parameters
        ----------
        ahead : int
            Waiting requests that will be served first.
        interval_ms : float
            Time between two requests that leave the queue, in milliseconds.
        """
        return (ahead + 1) * interval_ms * self.correction


def record_expired(estimate: WaitEstimate) -> WaitEstimate:
    """Return the estimate after a request whose time ran out in the queue."""
    return WaitEstimate(min(CORRECTION_MAX, estimate.correction * RAISE_RATIO))


def record_served(estimate: WaitEstimate) -> WaitEstimate:
    """Return the estimate after a request that left the queue in time."""
    if estimate.correction <= 1:
        return estimate
    return WaitEstimate(max(1, estimate.correction * LOWER_RATIO))


def fits_time_left(wait_ms: float, typical_ms: float, left_ms: float) -> bool:
    """Tell whether wait and work fit into the time left."""
    return wait_ms + typical_ms <= left_ms * TIME_LEFT_RATIO


@dataclass(frozen=True, slots=True)
class Departures:
    """Measure the time between requests that leave a queue.

    Parameters
    ----------
    interval_ms : float
        Moving average, in milliseconds; 0 until one was seen.
    last_ms : float
        Time of the last departure; 0 while nothing waits.
    """

    interval_ms: float = 0
    last_ms: float = 0


def record_departure(departures: Departures, now_ms: float) -> Departures:
    """Return the measure after a request left the queue."""
    interval_ms = departures.interval_ms
    if departures.last_ms:
        change_ms = now_ms - departures.last_ms - interval_ms
        interval_ms += change_ms * INTERVAL_WEIGHT
    return Departures(interval_ms, now_ms)


def record_empty(departures: Departures) -> Departures:
    """Return the measure after the queue ran empty: the next gap is no wait."""
    return Departures(departures.interval_ms)
