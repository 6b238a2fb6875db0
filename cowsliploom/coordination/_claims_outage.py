"""What one daemon's claims know of an outage of the store."""

import math
import random

BACKOFF_MIN_MS = 500  # the first probe of a store that doesn't answer
BACKOFF_MAX_MS = 4000  # bookings come back this long after the store at the latest
PROBE_WINDOW_MS = 2000  # one call finds out, the others wait for it


class StoreOutage:
    """Let one call at a time find out whether the store is back.

    Parameters
    ----------
    seed : str
        Spreads the probes of different daemons.
    """

    def __init__(self, seed: str) -> None:
        self._rng = random.Random(seed)
        self._blocked_until_ms = -math.inf
        self._backoff_ms = BACKOFF_MIN_MS
        self.is_failing = False

    def blocks_calls(self, now_ms: float) -> bool:
        """Tell whether no call may be made now."""
        return self.is_failing and now_ms < self._blocked_until_ms

    def start_call(self, now_ms: float) -> None:
        """Keep other calls back while this one probes the store."""
        if self.is_failing:
            self._blocked_until_ms = now_ms + PROBE_WINDOW_MS

    def record_failure(self, now_ms: float) -> None:
        """Take that the store doesn't answer; wait longer each time."""
        self.is_failing = True
        self._blocked_until_ms = now_ms + self._backoff_ms * self._rng.uniform(1 / 2, 1)
        self._backoff_ms = min(BACKOFF_MAX_MS, self._backoff_ms * 2)

    def record_success(self) -> None:
        """Take that the store answers."""
        self.is_failing = False
        self._backoff_ms = BACKOFF_MIN_MS
