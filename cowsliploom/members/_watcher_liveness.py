"""Liveness of the store's watcher, from ages that members gossip."""

# Fractions of the time within which store updates are to be in force. They are
# compared with the age of the latest evidence that some member watches the store.
SUSPECT_SHARE = 0.25
MISSING_SHARE = 0.6
TAKEOVER_STEP_SHARE = 0.08  # added per member ahead, so that few ask at once


class WatcherLiveness:
    """Track when some member was last known to watch the store.

    Parameters
    ----------
    apply_ms : float
        Time within which store updates are to be in force.

    Notes
    -----
    Only reports of other members count, so that a member that watches the store
    doesn't stop because of its own watch.

    Examples
    --------
    >>> liveness = WatcherLiveness(apply_ms=3000)
    >>> liveness.is_missing(now_ms=0)
    True
    >>> liveness.record(age_ms=100, now_ms=500)
    >>> liveness.is_suspect(now_ms=1200), liveness.is_missing(now_ms=1200)
    (True, False)
    """

    def __init__(self, apply_ms: float) -> None:
        self.apply_ms = apply_ms
        self._last_watched_ms = float('-inf')
        self._store_answered_ms = float('-inf')

    def record(self, age_ms: float, now_ms: float) -> None:
        """Record the age at which a peer knew of a watcher."""
        self._last_watched_ms = max(self._last_watched_ms, now_ms - age_ms)

    def store_answered(self, now_ms: float) -> None:
        """Record that the store has answered this member."""
        self._store_answered_ms = now_ms

    def add_age(self, missed_ms: float) -> None:
        """Add time that the monotonic clock omitted while the VM was suspended."""
        self._last_watched_ms -= missed_ms
        self._store_answered_ms -= missed_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the time since some member was known to watch the store."""
        return now_ms - self._last_watched_ms

    def reported_age_ms(self, now_ms: float) -> float:
        """Return the age that a watching member reports to its peers.

        It goes by the store's latest answer. An open watch proves nothing, as its
        connection may have gone silent.
        """
        return min(self.age_ms(now_ms), now_ms - self._store_answered_ms)

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether the watcher is to be asked if it is alive."""
        return self.age_ms(now_ms) > SUSPECT_SHARE * self.apply_ms

    def is_missing(self, now_ms: float, members_ahead: int = 0) -> bool:
        """Return whether this member has to watch for updates to arrive in time.

        Parameters
        ----------
        now_ms : float
            Monotonic clock.
        members_ahead : int
            Live members that are to start watching before this one. Default 0.
        """
        share = MISSING_SHARE + TAKEOVER_STEP_SHARE * members_ahead
        return self.age_ms(now_ms) > share * self.apply_ms
