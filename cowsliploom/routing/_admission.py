"""Early admission of queries, by the wait they would meet."""

from dataclasses import dataclass

TIME_LEFT_RATIO = 0.7  # an estimate may be wrong by this much before it hurts
RAISE_RATIO = 1.25  # an expired wait shows the estimate as too low
LOWER_RATIO = 0.98  # a served wait lets it come down again, slowly
PESSIMISM_MAX = 16  # no estimate is corrected further than this


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Correct a computed wait by what earlier ones came to.

    Parameters
    ----------
    pessimism : float
        Factor on the computed wait, at least 1.
    """

    pessimism: float = 1

    def wait_ms(self, ahead: int, parallel_calls: float, typical_ms: float) -> float:
        """Return the expected wait in a queue, in milliseconds.

        Parameters
        ----------
        ahead : int
            Waiting requests that will be served first.
        parallel_calls : float
            Calls that the service's servers take at once from this entry VM.
        typical_ms : float
            Typical latency of the service, in milliseconds.
        """
        rounds = (ahead + 1) / max(parallel_calls, 0.1)
        return rounds * typical_ms * self.pessimism


def note_expired(estimate: WaitEstimate) -> WaitEstimate:
    """Return the estimate after a request whose time ran out in the queue."""
    return WaitEstimate(min(PESSIMISM_MAX, estimate.pessimism * RAISE_RATIO))


def note_served(estimate: WaitEstimate) -> WaitEstimate:
    """Return the estimate after a request that left the queue in time."""
    if estimate.pessimism <= 1:
        return estimate
    return WaitEstimate(max(1, estimate.pessimism * LOWER_RATIO))


def fits(wait_ms: float, typical_ms: float, left_ms: float) -> bool:
    """Tell whether wait and work fit into the time left."""
    return wait_ms + typical_ms <= left_ms * TIME_LEFT_RATIO
