"""Counts of calls, as added up and exchanged between daemons."""

from dataclasses import astuple, dataclass


@dataclass(frozen=True, slots=True)
class Counts:
    """Count calls and the bad ones among them.

    Parameters
    ----------
    calls, errors : int
        Calls, and those that failed by the server's own error.
    timed, slow : int
        Calls whose time could be judged, and the slow or failed ones of them.
    cold_calls, cold_errors : int
        Calls to cold servers, and the failed ones of them; not in the others.
    """

    calls: int = 0
    errors: int = 0
    timed: int = 0
    slow: int = 0
    cold_calls: int = 0
    cold_errors: int = 0

    def __add__(self, other: 'Counts') -> 'Counts':
        """Return the sum."""
        return Counts(
            self.calls + other.calls,
            self.errors + other.errors,
            self.timed + other.timed,
            self.slow + other.slow,
            self.cold_calls + other.cold_calls,
            self.cold_errors + other.cold_errors,
        )

    def __sub__(self, other: 'Counts') -> 'Counts':
        """Return the difference."""
        return Counts(
            self.calls - other.calls,
            self.errors - other.errors,
            self.timed - other.timed,
            self.slow - other.slow,
            self.cold_calls - other.cold_calls,
            self.cold_errors - other.cold_errors,
        )

    def is_growth(self) -> bool:
        """Tell whether no count is negative."""
        return all(count >= 0 for count in astuple(self))
