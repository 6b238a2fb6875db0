"""Call counts that daemons add up and exchange."""

from dataclasses import astuple, dataclass


@dataclass(frozen=True, slots=True)
class Counts:
    """Count calls and the bad ones among them.

    Parameters
    ----------
    calls, errors : int
        Calls, and those that failed by an error of the server's own.
    timed, slow : int
        Calls whose latency had a threshold, and the slow or failed ones of them.
    cold_calls, cold_errors : int
        Calls to cold servers, and the failed ones of them; not counted above.
    answered, failed_answers : int
        Calls that the server answered, cold or not, and the failures of them.
    gauged, slow_answers : int
        Answered calls with a known baseline latency, and the far slower or failed
        ones of them.
    """

    calls: int = 0
    errors: int = 0
    timed: int = 0
    slow: int = 0
    cold_calls: int = 0
    cold_errors: int = 0
    answered: int = 0
    failed_answers: int = 0
    gauged: int = 0
    slow_answers: int = 0

    def __add__(self, other: 'Counts') -> 'Counts':
        """Return the sum of both."""
        return Counts(
            self.calls + other.calls,
            self.errors + other.errors,
            self.timed + other.timed,
            self.slow + other.slow,
            self.cold_calls + other.cold_calls,
            self.cold_errors + other.cold_errors,
            self.answered + other.answered,
            self.failed_answers + other.failed_answers,
            self.gauged + other.gauged,
            self.slow_answers + other.slow_answers,
        )

    def __sub__(self, other: 'Counts') -> 'Counts':
        """Return the difference of both."""
        return Counts(
            self.calls - other.calls,
            self.errors - other.errors,
            self.timed - other.timed,
            self.slow - other.slow,
            self.cold_calls - other.cold_calls,
            self.cold_errors - other.cold_errors,
            self.answered - other.answered,
            self.failed_answers - other.failed_answers,
            self.gauged - other.gauged,
            self.slow_answers - other.slow_answers,
        )

    @property
    def total(self) -> int:
        """Return all calls, to cold servers too."""
        return self.calls + self.cold_calls

    def is_growth(self) -> bool:
        """Return whether no count is negative."""
        return all(count >= 0 for count in astuple(self))
