"""Pace at which a client must read its answers; sans-IO."""

PACE_BYTES_PER_MS = 4  # a client that needs longer has passed any deadline


class ReadingPace:
    """Tell whether a client reads its answers too slowly.

    It may read nothing for a while, and in all it must keep a pace: reading a byte now
    and then does not let it keep an answer in memory for as long as it likes.

    Examples
    --------
    >>> pace = ReadingPace()
    >>> pace.is_too_slow(unsent_bytes=4000, now_ms=0, pause_max_ms=1000)
    False
    >>> pace.is_too_slow(unsent_bytes=3999, now_ms=900, pause_max_ms=1000)
    False
    >>> pace.is_too_slow(unsent_bytes=3998, now_ms=2100, pause_max_ms=1000)
    True
    """

    def __init__(self) -> None:
        self._unsent_bytes = 0
        self._start_bytes = 0
        self._start_ms: float = 0
        self._progress_ms: float = 0

    def is_too_slow(
        self, unsent_bytes: int, now_ms: float, pause_max_ms: float
    ) -> bool:
        """Return whether a client should be cut off.

        Parameters
        ----------
        unsent_bytes : int
            What it has not read yet.
        now_ms : float
            Monotonic clock.
        pause_max_ms : float
            How long it may read nothing.
        """
        if unsent_bytes > self._unsent_bytes:
            self._start_bytes = unsent_bytes
            self._start_ms = now_ms
            self._progress_ms = now_ms
        elif unsent_bytes < self._unsent_bytes:
            self._progress_ms = now_ms
        self._unsent_bytes = unsent_bytes
        if not unsent_bytes:
            return False
        time_max_ms = pause_max_ms + self._start_bytes / PACE_BYTES_PER_MS
        is_paused = now_ms - self._progress_ms > pause_max_ms
        return is_paused or now_ms - self._start_ms > time_max_ms
