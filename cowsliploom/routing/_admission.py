"""Admission control by expected queueing time."""

from dataclasses import dataclass

TIME_LEFT_RATIO = 0.25  # the slowest of many services may wait four times as long
INTERVAL_WEIGHT = 0.1  # averages over about ten departures
RAISE_RATIO = 1.25  # a request that expired shows that the estimate is too low
LOWER_RATIO = 0.98  # a served request lowers the estimate slowly
CORRECTION_MAX = 16


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Queueing time estimate, corrected by earlier requests.

    Parameters
    ----------
    correction : float
        Factor on the computed time, at least 1.
    """

    correction: float = 1

    def wait_ms(self, ahead: int, interval_ms: float) -> float:
        """Return the expected queueing time, in milliseconds.

        Parameters
        ----------
        ahead : int
            Queued requests that will be served first.
        interval_ms : float
            Time between two departures from the queue, in milliseconds.
        """
        return (ahead + 1) * interval_ms * self.correction


def record_expired(estimate: WaitEstimate) -> WaitEstimate:
    """Return the estimate after a request expired in the queue."""
    return WaitEstimate(min(CORRECTION_MAX, estimate.correction * RAISE_RATIO))


def record_served(estimate: WaitEstimate) -> WaitEstimate:
    """Return the estimate after a request left the queue in time."""
    if estimate.correction <= 1:
        return estimate
    return WaitEstimate(max(1, estimate.correction * LOWER_RATIO))


def fits_time_left(wait_ms: float, typical_ms: float, left_ms: float) -> bool:
    """Return whether queueing and processing fit into the time left."""
    return wait_ms + typical_ms <= left_ms * TIME_LEFT_RATIO


@dataclass(frozen=True, slots=True)
class Departures:
    """Average interval between departures from a queue.

    Parameters
    ----------
    interval_ms : float
        Moving average, in milliseconds; 0 without samples.
    last_ms : float
        Time of the last departure; 0 while the queue is empty.
    """

    interval_ms: float = 0
    last_ms: float = 0


def record_departure(departures: Departures, now_ms: float) -> Departures:
    """Return the average after a request left the queue."""
    interval_ms = departures.interval_ms
    if departures.last_ms:
        change_ms = now_ms - departures.last_ms - interval_ms
        interval_ms += change_ms * INTERVAL_WEIGHT
    return Departures(interval_ms, now_ms)


def record_empty(departures: Departures) -> Departures:
    """Return the average after the queue emptied, so that idle time is not counted."""
    return Departures(departures.interval_ms)
