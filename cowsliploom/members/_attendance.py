"""Whether somebody watches the store, by hearsay with ages."""

# Shares of the time within which news of the store are to be in force, for the age
# of the latest word that somebody watches it.
DOUBT_SHARE = 0.25
UNATTENDED_SHARE = 0.6
STEP_SHARE = 0.08  # more for each member that is to watch first; few ask at once


class WatcherLiveness:
    """Remember when somebody was last known to watch the store.

    Parameters
    ----------
    apply_ms : float
        Time within which news of the store are to be in force.

    Notes
    -----
    Only the word of others counts, so that a member which watches by itself doesn't
    take that for a reason to stop.

    Examples
    --------
    >>> attendance = WatcherLiveness(apply_ms=3000)
    >>> attendance.is_missing(now_ms=0)
    True
    >>> attendance.hear(age_ms=100, now_ms=500)
    >>> attendance.is_in_doubt(now_ms=1200), attendance.is_missing(now_ms=1200)
    (True, False)
    """

    def __init__(self, apply_ms: float) -> None:
        self.apply_ms = apply_ms
        self._heard_ms = float('-inf')
        self._answered_ms = float('-inf')

    def record(self, age_ms: float, now_ms: float) -> None:
        """Take how long ago somebody was known to watch."""
        self._heard_ms = max(self._heard_ms, now_ms - age_ms)

    def store_answered(self, now_ms: float) -> None:
        """Note that the store has answered this member."""
        self._answered_ms = now_ms

    def add_age(self, missed_ms: float) -> None:
        """Take time that the own clock has left out."""
        self._heard_ms -= missed_ms
        self._answered_ms -= missed_ms

    def age_ms(self, now_ms: float) -> float:
        """Return how long ago somebody was known to watch."""
        return now_ms - self._heard_ms

    def reported_age_ms(self, now_ms: float) -> float:
        """Return what a member that watches tells others: the store's latest answer.

        A watch that is open proves nothing, as it may have gone silent.
        """
        return min(self.age_ms(now_ms), now_ms - self._answered_ms)

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether the watcher is to be asked whether it lives."""
        return self.age_ms(now_ms) > DOUBT_SHARE * self.apply_ms

    def is_missing(self, now_ms: float, others_first: int = 0) -> bool:
        """Tell whether one has to watch oneself for news to come in time.

        Parameters
        ----------
        now_ms : float
            Steady clock.
        others_first : int
            Live members that are to do so before this one. Default 0.
        """
        share = UNATTENDED_SHARE + STEP_SHARE * others_first
        return self.age_ms(now_ms) > share * self.apply_ms
