"""Windows of usage, and when their reports are due."""

from dataclasses import dataclass

MS_PER_S = 1000
SETTLE_SHARE = 0.3  # of the time until a report is due; the rest is for a new holder


@dataclass(frozen=True, slots=True)
class UsageRules:
    """Settings of metering.

    Parameters
    ----------
    window_ms : float
        Length of a window of the wall clock; window k begins k times this after the
        epoch.
    late_ms : float
        Time after the end of a window by which its report is due.
    lease_ms : float
        Life of the holder's lease, and the time within which no two holders may act
        in turn.

    Examples
    --------
    >>> rules = UsageRules(window_ms=5000, late_ms=10_000, lease_ms=3000)
    >>> rules.window_at(12_000), rules.settled_ms(2)
    (2, 18000.0)
    """

    window_ms: float
    late_ms: float
    lease_ms: float

    def window_at(self, true_ms: float) -> int:
        """Return the number of the window at a time."""
        return int(true_ms // self.window_ms)

    def settled_ms(self, window: int) -> float:
        """Return when the counts of a window have arrived from all members."""
        return (window + 1) * self.window_ms + SETTLE_SHARE * self.late_ms
