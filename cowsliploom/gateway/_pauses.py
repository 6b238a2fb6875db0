"""Detection of pauses of this process, which stop its timers but not the clock."""

from collections.abc import Callable

PAUSE_MIN_MS = 900.0  # several times the interval of the ticks


class PauseDetector:
    """Tell since when this process has run without a pause.

    A process that was stopped, or that had no processor, learns of it only when it runs
    again. What it measured by elapsed time until then says nothing about others.

    Parameters
    ----------
    now_ms : callable
        Monotonic clock.

    Notes
    -----
    ``tick`` is called every quarter of a second, and each question counts as a tick.
    A suspension, which the monotonic clock leaves out, is reported by ``restart``.

    Examples
    --------
    >>> clock = [0.0]
    >>> pauses = PauseDetector(lambda: clock[0])
    >>> for clock[0] in (250.0, 500.0, 4000.0, 4250.0):
    ...     pauses.tick()
    >>> pauses.running_since_ms()
    4000.0
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._ticked_ms = now_ms()
        self._since_ms = self._ticked_ms

    def tick(self) -> None:
        """Record that the process runs."""
        now_ms = self._now_ms()
        if now_ms > self._ticked_ms + PAUSE_MIN_MS:
            self._since_ms = now_ms
        self._ticked_ms = now_ms

    def restart(self) -> None:
        """Record that a pause ends now."""
        self._ticked_ms = self._now_ms()
        self._since_ms = self._ticked_ms

    def running_since_ms(self) -> float:
        """Return when the last pause ended, or the process started."""
        self.tick()
        return self._since_ms
